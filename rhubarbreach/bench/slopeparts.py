"""Measurements of single mechanisms at several sizes, without sockets."""

import gc
import random as random_module
import time
import tracemalloc

from rhubarbreach.bench import configcost
from rhubarbreach.bench import fits
from rhubarbreach.bench import jobbench
from rhubarbreach import clock
from rhubarbreach.limits import owner
from rhubarbreach.membership import endpoints
from rhubarbreach.membership import members
from rhubarbreach.membership import swim
from rhubarbreach.protocol import codec
from rhubarbreach.protocol import limitmessages
from rhubarbreach.protocol import membermessages
from rhubarbreach.state import model

__all__ = [
    'measure_accounts',
    'measure_endpoints',
    'measure_grants',
    'measure_hosts',
    'measure_items',
]

MICROSECONDS = 1e6
HOST_SIZES = (10, 20, 40, 80)
HOST_SECONDS = 20.0
HOST_WARM_SECONDS = 20.0
HOST_TICK = 0.04
ENDPOINT_SIZES = (100, 200, 400, 800)
ACCOUNT_SIZES = (1000, 3000, 6000, 13000)
LESSOR_SIZES = (10, 20, 40, 80)
ITEM_SIZES = (2000, 4000, 8000, 16000)
GRANT_ROUNDS = 2000
NODES = 1300
NODES_PER_REGION = 163
ENDPOINTS_PER_ZONE = 527
ACCOUNTS = 13000
ITEMS_PER_JOB = 65000


def get_size(message):
    """Return the bytes of a message on a link, without TLS."""
    envelope = codec.Envelope('entry-host-0001', 12345, False, 2**60, message)
    return len(codec.encode(envelope))


class Wire:
    """Delivers the messages of detectors in virtual time.

    Parameters
    ----------
    count : int
        Hosts.
    seed : int
        Seed of their choices.
    """

    def __init__(self, count, seed):
        self.messages = 0
        self.bytes = 0
        self.queue = []
        self.detectors = {}
        for number in range(count):
            row = membermessages.HostRow(
                f'host-{number:04d}',
                f'10.0.{number // 250}.{number % 250}:7000',
                f'zone-{number % 19}',
                f'region-{number % 8}',
                ('entry',),
                1,
                members.Status.ALIVE,
                f'10.0.{number // 250}.{number % 250}:8000',
            )
            self.detectors[row.host_id] = swim.Detector(
                row,
                ('host-0000',),
                self.make_sender(row.host_id),
                random_module.Random(seed + number),
            )

    def make_sender(self, sender_id):
        """Return the function with which a detector sends."""

        def send(receiver_id, message):
            self.messages += 1
            self.bytes += get_size(message)
            self.queue.append((sender_id, receiver_id, message))

        return send

    def step(self, now):
        """Let all detectors tick and deliver what they send."""
        for detector in self.detectors.values():
            detector.tick(now)
        while self.queue:
            sender_id, receiver_id, message = self.queue.pop(0)
            self.detectors[receiver_id].receive(sender_id, message, now)


def measure_hosts(seed):
    """Return messages, bytes and CPU of the failure detection of a host."""
    found = {'messages/s': [], 'bytes/s': [], 'CPU us/s': [], 'bytes': []}
    for count in HOST_SIZES:
        tracemalloc.start()
        wire = Wire(count, seed)
        now = 0.0
        while now < HOST_WARM_SECONDS:
            wire.step(now)
            now += HOST_TICK
        gc.collect()
        resident, _ = tracemalloc.get_traced_memory()
        tracemalloc.stop()
        wire.messages = wire.bytes = 0
        start = time.process_time()
        while now < HOST_WARM_SECONDS + HOST_SECONDS:
            wire.step(now)
            now += HOST_TICK
        spent = time.process_time() - start
        per = count * HOST_SECONDS
        found['messages/s'].append(fits.Point(count, wire.messages / per))
        found['bytes/s'].append(fits.Point(count, wire.bytes / per))
        found['CPU us/s'].append(fits.Point(count, spent / per * MICROSECONDS))
        found['bytes'].append(fits.Point(count, resident / count))
    return [
        fits.Series('failure detection', 'hosts', unit, tuple(points), NODES)
        for unit, points in found.items()
    ]


def make_endpoint_row(number, sequence):
    """Return the announcement of an engine."""
    return membermessages.EndpointRow(
        f'engine-{number:05d}',
        f'10.1.{number // 250}.{number % 250}:9000',
        'zone-1',
        'engine',
        ('rota',),
        1,
        sequence,
        False,
        True,
        7,
        0,
        16,
        0.5,
        0.0,
    )


def measure_endpoints():
    """Return the cost of the endpoint registry of a host."""
    cpu, resident_bytes, sent = [], [], []
    for count in ENDPOINT_SIZES:
        gc.collect()
        tracemalloc.start()
        registry = endpoints.EndpointRegistry()
        rows = [make_endpoint_row(number, 1) for number in range(count)]
        for row in rows:
            registry.announce(row, clock.monotonic())
        gc.collect()
        resident, _ = tracemalloc.get_traced_memory()
        tracemalloc.stop()
        again = [make_endpoint_row(number, 2) for number in range(count)]
        start = time.process_time()
        for row in again:
            registry.announce(row, clock.monotonic())
        spent = time.process_time() - start
        cpu.append(fits.Point(count, spent * MICROSECONDS))
        resident_bytes.append(fits.Point(count, float(resident)))
        batch = membermessages.EndpointBatch(tuple(rows), False)
        sent.append(fits.Point(count, float(get_size(batch))))
    named = (
        ('CPU us a round', cpu),
        ('bytes', resident_bytes),
        ('bytes a batch', sent),
    )
    return [
        fits.Series(
            'endpoint registry',
            'endpoints of a zone',
            unit,
            tuple(points),
            ENDPOINTS_PER_ZONE,
        )
        for unit, points in named
    ]


def measure_accounts():
    """Return memory and sizes of the configuration by accounts."""
    found = {'bytes': [], 'snapshot bytes': [], 'CPU us a change': []}
    for count in ACCOUNT_SIZES:
        row = dict(
            zip(configcost.COLUMNS, configcost.measure(count), strict=True)
        )
        found['bytes'].append(
            fits.Point(count, row['bytes_per_account'] * count)
        )
        found['snapshot bytes'].append(
            fits.Point(count, float(row['snapshot_bytes']))
        )
        found['CPU us a change'].append(
            fits.Point(count, row['delta_apply_us'])
        )
    return [
        fits.Series(
            'configuration view',
            'client accounts',
            unit,
            tuple(points),
            ACCOUNTS,
        )
        for unit, points in found.items()
    ]


def make_lease(hosts, number, now):
    """Return the lease that a host sends to its owner."""
    return limitmessages.ShareLease(
        share_epoch=1,
        share_count=hosts,
        duration=3.0,
        number=number,
        echo=now,
        owners=('host-0000', 'host-0001', 'host-0002'),
    )


def measure_grants():
    """Return the cost of a grant and of a lease by lessors of an owner."""
    grants, leases = [], []
    for count in LESSOR_SIZES:
        now = 1000.0
        one = owner.Owner('host-0000', now - 10.0)
        own = find_own_accounts(('host-0000', 'host-0001', 'host-0002'))
        for number in range(count):
            one.accept_lease(
                f'host-{number:04d}', make_lease(count, 1, now), now
            )
        start = time.process_time()
        for number in range(GRANT_ROUNDS):
            account = own[number % len(own)]
            request = limitmessages.GrantRequest(account.account_id, 1.0, 0.0)
            one.grant(request, account, now + 0.001 * number)
        spent = time.process_time() - start
        grants.append(fits.Point(count, spent / GRANT_ROUNDS * MICROSECONDS))
        start = time.process_time()
        for number in range(count):
            later = make_lease(count, 2, now + 1.0)
            one.accept_lease(f'host-{number:04d}', later, now + 1.0)
        spent = time.process_time() - start
        leases.append(fits.Point(count, spent / count * MICROSECONDS))
    return [
        fits.Series(
            'rate owner',
            'lessors',
            'CPU us a grant',
            tuple(grants),
            NODES_PER_REGION,
        ),
        fits.Series(
            'rate owner',
            'lessors',
            'CPU us a renewal',
            tuple(leases),
            NODES_PER_REGION,
        ),
    ]


def find_own_accounts(owners):
    """Return accounts that belong to the first of three owners."""
    accounts = [
        model.Account(f'account-{number:05d}', 10.0, 20.0)
        for number in range(600)
    ]
    return [
        one
        for one in accounts
        if owner.find_owner(one.account_id, owners) == owners[0]
    ]


def measure_items():
    """Return the cost of batch items in one group's machine."""
    cpu, resident_bytes = [], []
    for count in ITEM_SIZES:
        measured = jobbench.measure_machine(1, count)
        cpu.append(
            fits.Point(
                count,
                (count / measured.accepted_rate + count / measured.ended_rate)
                * MICROSECONDS,
            )
        )
        resident_bytes.append(
            fits.Point(count, measured.waiting_bytes * count)
        )
    return [
        fits.Series('job group', 'items', 'CPU us', tuple(cpu), ITEMS_PER_JOB),
        fits.Series(
            'job group',
            'items',
            'bytes',
            tuple(resident_bytes),
            ITEMS_PER_JOB,
        ),
    ]
