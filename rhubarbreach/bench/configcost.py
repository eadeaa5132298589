"""Costs of the configuration for several numbers of client accounts.

All measurements run in one process.
"""

import gc
import hashlib
import resource
import sys
import time
import tracemalloc

from rhubarbreach.distribution import view
from rhubarbreach.protocol import codec
from rhubarbreach.protocol import configmessages
from rhubarbreach.state import config
from rhubarbreach.state import index
from rhubarbreach.state import model

__all__ = ['main', 'measure']

ACCOUNTS = (100, 1000, 5000, 13000)
CALLS = 2000
MICROSECONDS = 1e6
REVISION = 1_000_000
COLUMNS = (
    'accounts',
    'apply_us',
    'change_bytes',
    'watch_bytes',
    'idle_reply_bytes',
    'delta_reply_bytes',
    'delta_apply_us',
    'authenticate_us',
    'snapshot_bytes',
    'bytes_per_account',
)


def make_document(count):
    """Return a configuration with `count` accounts of one key each."""
    accounts = tuple(
        model.Account(f'account-{number:05d}', 10.0, 20.0)
        for number in range(count)
    )
    keys = tuple(
        model.Key(
            f'key-{number:05d}', f'account-{number:05d}', make_digest(number)
        )
        for number in range(count)
    )
    return model.Config(revision=REVISION, accounts=accounts, keys=keys)


def make_digest(number):
    """Return the digest of the key of an account."""
    return hashlib.sha256(f'key {number}'.encode()).digest()


def time_call(function):
    """Return the mean duration of `CALLS` calls in microseconds."""
    start = time.perf_counter()
    for number in range(CALLS):
        function(number)
    return (time.perf_counter() - start) / CALLS * MICROSECONDS


def get_size(message):
    """Return the size of a message on a link in bytes, without TLS."""
    envelope = codec.Envelope('entry-host-0001', 12345, False, 2**60, message)
    return len(codec.encode(envelope))


def measure(count):
    """Return the costs for a number of accounts, in the order of `COLUMNS`."""
    gc.collect()
    tracemalloc.start()
    config_view = view.ConfigView()
    config_view.replace_snapshot(
        index.from_document(make_document(count)), None
    )
    gc.collect()
    resident, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    machine = config.ConfigMachine()
    machine.config = config_view.snapshot
    machine.history = config.History(REVISION)
    changes = [
        model.PutAccount(
            model.Account(f'account-{number % count:05d}', 11.0, 22.0)
        )
        for number in range(CALLS)
    ]
    commands = [
        model.encode_request(f'{number:032x}', REVISION + number, change)
        for number, change in enumerate(changes)
    ]
    apply_us = time_call(lambda number: machine.apply(0, commands[number]))
    encoded = [model.CHANGES.encode(change) for change in changes]
    replies = [
        configmessages.ConfigReply(REVISION + number + 1, (data,), None, 1.5)
        for number, data in enumerate(encoded)
    ]
    delta_us = time_call(
        lambda number: config_view.accept_reply(
            REVISION + number, float(number), replies[number]
        )
    )
    key = 'key 7'
    authenticate_us = time_call(
        lambda number: config_view.authenticate(key, float(CALLS))
    )
    watch = configmessages.ConfigWatch('entry-host-0001', 2**40, REVISION, 0.6)
    idle = configmessages.ConfigReply(REVISION, (), None, 1.5)
    document = model.ENCODER.encode(index.to_document(config_view.snapshot))
    return (
        count,
        apply_us,
        len(commands[0]),
        get_size(watch),
        get_size(idle),
        get_size(replies[0]),
        delta_us,
        authenticate_us,
        len(document),
        resident / count,
    )


def measure_resident(count):
    """Return the resident memory of a view in bytes per account."""
    page_bytes = resource.getpagesize()
    before = read_resident_pages()
    config_view = view.ConfigView()
    config_view.replace_snapshot(
        index.from_document(make_document(count)), None
    )
    gc.collect()
    pages = read_resident_pages() - before
    return pages * page_bytes / len(config_view.snapshot.accounts)


def read_resident_pages():
    """Return the number of resident pages of this process."""
    with open('/proc/self/statm', encoding='ascii') as file:
        return int(file.read().split()[1])


def main():
    """Measure and print one line for each number of accounts."""
    largest = ACCOUNTS[-1]
    sys.stdout.write(
        f'resident_bytes_per_account={measure_resident(largest):.0f} '
        f'accounts={largest}\n'
    )
    for count in ACCOUNTS:
        pairs = zip(COLUMNS, measure(count), strict=True)
        line = ' '.join(f'{name}={value:.4g}' for name, value in pairs)
        sys.stdout.write(f'{line}\n')


if __name__ == '__main__':
    main()
