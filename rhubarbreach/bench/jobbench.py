"""Benchmark of one job group: items accepted, claimed and ended per second.

Run with `python -m rhubarbreach.bench.jobbench machine` for the state
machine alone, or with `group` for three hosts in one process over loopback
links, each with its own log.
"""

import concurrent.futures
import contextlib
import ctypes
import dataclasses
import gc
import pathlib
import resource
import socket
import sys
import tempfile
import time

import msgspec

from rhubarbreach.batch import store
from rhubarbreach.batch import ticker
from rhubarbreach import clock
from rhubarbreach import codes
from rhubarbreach.consensus import client
from rhubarbreach.consensus import group
from rhubarbreach.consensus import groups
from rhubarbreach.consensus import model
from rhubarbreach.protocol import link
from rhubarbreach.state import jobcommands
from rhubarbreach.state import jobs

__all__ = ['measure_group', 'measure_machine', 'run_jobs']

GROUP_ID = 'jobs-0'
HOSTS = ('host-1', 'host-2', 'host-3')
TIMEOUT_SECONDS = 60.0
# Sizes of a typical item: a chat request and its response.
BODY_BYTES = 600
RESULT_BYTES = 500
CLAIM_ITEMS = 64
REPORT_ITEMS = 64
CLAIM_MILLISECONDS = 60_000
CLAIM_BYTES = 512 * 1024
PAGE_BYTES = resource.getpagesize()
# Items per day in the target deployment.
TARGET_ITEMS_PER_DAY = 67_000_000
SECONDS_PER_DAY = 86_400


@dataclasses.dataclass(frozen=True, slots=True)
class Figures:
    """Rates in items per second and resident bytes per item.

    `waiting_bytes` is the size of an item with its body, `ended_bytes` that
    of an item whose result has replaced the body. `snapshot_seconds` is the
    duration of a snapshot of all items.
    """

    items: int
    accepted_rate: float
    ended_rate: float
    waiting_bytes: float = 0.0
    ended_bytes: float = 0.0
    snapshot_seconds: float = 0.0

    def describe(self):
        """Return one line of key=value pairs."""
        groups_for_target = (
            TARGET_ITEMS_PER_DAY / SECONDS_PER_DAY / self.ended_rate
        )
        return (
            f'items={self.items} accepted_per_s={self.accepted_rate:.0f} '
            f'claimed_and_ended_per_s={self.ended_rate:.0f} '
            f'waiting_bytes={self.waiting_bytes:.0f} '
            f'ended_bytes={self.ended_bytes:.0f} '
            f'snapshot_s={self.snapshot_seconds:.2f} '
            f'groups_for_target={groups_for_target:.2f}'
        )


class LocalClient:
    """Client of a state machine in this process, without replication."""

    def __init__(self):
        self.machine = jobs.JobsMachine()
        self.index = 0

    def propose(self, group_id, command, deadline):
        """Apply a command immediately."""
        self.index += 1
        return self.machine.apply(self.index, command)

    def query(self, group_id, query, deadline):
        """Answer a query."""
        return self.machine.query(query)


def get_resident_bytes():
    """Return the resident memory of this process in bytes.

    Memory that the allocator keeps for reuse is returned to the system first.
    Otherwise it would include the copies that the caller of the store held.
    """
    gc.collect()
    ctypes.CDLL(None).malloc_trim(0)
    fields = pathlib.Path('/proc/self/statm').read_text().split()
    return int(fields[1]) * PAGE_BYTES


def make_begin_job(number, count):
    """Return the command that begins a job of one of eight accounts."""
    return jobcommands.BeginJob(
        f'batch-{number:032x}',
        f'account-{number % 8}',
        f'job-{number}',
        b'd' * 32,
        'POST',
        '/v1/chat/completions',
        'rota',
        count,
        True,
        1.0,
        3,
        1000,
        SECONDS_PER_DAY * 1000,
        0.0,
    )


def submit_job(jobs_store, number, count):
    """Submit a job; return its number of items."""
    custom_ids = [f'item-{index:05d}' for index in range(count)]
    padding = b'x' * (BODY_BYTES - 50)
    bodies = [
        b'{"model":"rota","n":%06d,"prompt":"%s"}' % (index, padding)
        for index in range(count)
    ]
    status = jobs_store.submit(
        make_begin_job(number, count),
        custom_ids,
        bodies,
        clock.monotonic() + TIMEOUT_SECONDS,
    )
    if isinstance(status, codes.Refusal):
        raise RuntimeError(status.reason)
    return status.total


def run_holder(jobs_store, name):
    """Claim and end items as one host does, until none is available."""
    stored = jobcommands.StoredResult(
        0, '', 200, 'application/json', b'r' * RESULT_BYTES
    )
    result = msgspec.msgpack.encode(stored)
    sequence = 0
    while True:
        sequence += 1
        command = jobcommands.ClaimItems(
            name, sequence, CLAIM_ITEMS, CLAIM_BYTES, CLAIM_MILLISECONDS
        )
        reply = jobs_store.propose(
            0, command, clock.monotonic() + TIMEOUT_SECONDS
        )
        if isinstance(reply, codes.Refusal):
            raise RuntimeError(reply.reason)
        if not reply.claims:
            return
        results = [
            jobcommands.ItemResult(
                claim.epoch, item, jobcommands.ItemEnd.DONE, result
            )
            for claim in reply.claims
            for item in claim.items
        ]
        for start in range(0, len(results), REPORT_ITEMS):
            report = jobcommands.ReportResults(
                tuple(results[start : start + REPORT_ITEMS])
            )
            reply = jobs_store.propose(
                0, report, clock.monotonic() + TIMEOUT_SECONDS
            )
            if isinstance(reply, codes.Refusal):
                raise RuntimeError(reply.reason)


def count_ended(jobs_store, job_count):
    """Return the number of items that have a result, as the jobs show it.

    The replies to reports do not show it: a report whose first reply was
    lost is sent again, and its items are then no longer under their claim.
    """
    return sum(
        jobs_store.get_job(
            make_begin_job(number, 0).job_id,
            make_begin_job(number, 0).account_id,
            clock.monotonic() + TIMEOUT_SECONDS,
        ).done
        for number in range(job_count)
    )


def run_jobs(jobs_store, job_count, item_count, holders):
    """Submit jobs, then end all items from several holders in parallel.

    Returns
    -------
    tuple of float
        Seconds to submit the jobs, resident bytes gained in that time, and
        seconds to claim and end all items.
    """
    before = get_resident_bytes()
    started = time.monotonic()
    with concurrent.futures.ThreadPoolExecutor(holders) as pool:
        total = sum(
            pool.map(
                lambda number: submit_job(jobs_store, number, item_count),
                range(job_count),
            )
        )
    submit_seconds = time.monotonic() - started
    gained_bytes = get_resident_bytes() - before
    started = time.monotonic()
    with concurrent.futures.ThreadPoolExecutor(holders) as pool:
        list(
            pool.map(
                lambda number: run_holder(jobs_store, f'host-{number}#1'),
                range(holders),
            )
        )
    end_seconds = time.monotonic() - started
    ended = count_ended(jobs_store, job_count)
    if ended != total:
        raise RuntimeError(f'only {ended} of {total} items ended')
    return submit_seconds, gained_bytes, end_seconds


def measure_machine(job_count, item_count):
    """Measure the state machine without replication.

    Parameters
    ----------
    job_count, item_count : int
        Number of jobs, and number of items of each.

    Returns
    -------
    Figures
        Result of one run.
    """
    local = LocalClient()
    before = get_resident_bytes()
    submit_seconds, gained_bytes, end_seconds = run_jobs(
        store.Store(local, 1), job_count, item_count, 1
    )
    retained_bytes = get_resident_bytes() - before
    started = time.monotonic()
    local.machine.snapshot()
    total = job_count * item_count
    return Figures(
        total,
        total / submit_seconds,
        total / end_seconds,
        gained_bytes / total,
        retained_bytes / total,
        time.monotonic() - started,
    )


def find_address():
    """Return a free loopback address."""
    with socket.socket() as probe:
        probe.bind(('127.0.0.1', 0))
        return f'127.0.0.1:{probe.getsockname()[1]}'


@contextlib.contextmanager
def running_group(folder):
    """Run one group of three hosts; yield a client on the first host."""
    addresses = {host: find_address() for host in HOSTS}
    stack = contextlib.ExitStack()
    with stack:
        links = {}
        ticked_groups = []
        for host in HOSTS:
            peers = {peer: address for peer, address in addresses.items()}
            links[host] = link.Link(host, addresses[host], peers, None)
            stack.callback(links[host].close)
            group_set = groups.GroupSet(links[host])
            stack.callback(group_set.close)
            settings = model.GroupSettings(
                GROUP_ID, host, str(pathlib.Path(folder) / host), HOSTS
            )
            machine = jobs.JobsMachine()
            replica = group_set.add(
                group.Group(settings, links[host], machine)
            )
            ticked_groups.append(
                ticker.TickedGroup(replica, machine, jobcommands.COMMANDS)
            )
        group_ticker = ticker.Ticker(ticked_groups)
        group_ticker.start()
        stack.callback(group_ticker.close)
        yield client.Client(links[HOSTS[0]], HOSTS)


def measure_group(job_count, item_count, holders=8):
    """Measure one group of three hosts in this process.

    Parameters
    ----------
    job_count, item_count : int
        Number of jobs, and number of items of each.
    holders : int
        Number of hosts that claim and report in parallel.

    Returns
    -------
    Figures
        Result of one run, without the bytes per item, because three state
        machines share the process.
    """
    with (
        tempfile.TemporaryDirectory() as folder,
        running_group(folder) as group_client,
    ):
        submit_seconds, _, end_seconds = run_jobs(
            store.Store(group_client, 1), job_count, item_count, holders
        )
    total = job_count * item_count
    return Figures(total, total / submit_seconds, total / end_seconds)


def main(mode='machine', job_count=4, item_count=25_000):
    """Measure in one mode and print one line."""
    measure = measure_group if mode == 'group' else measure_machine
    figures = measure(int(job_count), int(item_count))
    sys.stdout.write(f'mode={mode} {figures.describe()}\n')


if __name__ == '__main__':
    main(*sys.argv[1:])
