"""Cost of single mechanisms at several sizes, measured without sockets."""

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
HOST_WARM_UP_SECONDS = 20.0
HOST_TICK_SECONDS = 0.04
ENDPOINT_SIZES = (100, 200, 400, 800)
ACCOUNT_SIZES = (1000, 3000, 6000, 13000)
LESSOR_SIZES = (10, 20, 40, 80)
ITEM_SIZES = (2000, 4000, 8000, 16000)
GRANT_ROUNDS = 2000
TARGET_HOSTS = 1300
TARGET_HOSTS_PER_REGION = 163
TARGET_ENDPOINTS_PER_ZONE = 527
TARGET_ACCOUNTS = 13000
TARGET_ITEMS_PER_JOB = 65000


def get_encoded_size(message):
    """Return the encoded size of a message on a link, without TLS."""
    envelope = codec.Envelope('entry-host-0001', 12345, False, 2**60, message)
    return len(codec.encode(envelope))


class DetectorNetwork:
    """Network of failure detectors in virtual time.

    Parameters
    ----------
    count : int
        Number of hosts.
    seed : int
        Seed of the random choices.
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
        """Return the function that a detector uses to send messages."""

        def send(receiver_id, message):
            self.messages += 1
            self.bytes += get_encoded_size(message)
            self.queue.append((sender_id, receiver_id, message))

        return send

    def step(self, now):
        """Tick all detectors and deliver the messages that they send."""
        for detector in self.detectors.values():
            detector.tick(now)
        while self.queue:
            sender_id, receiver_id, message = self.queue.pop(0)
            self.detectors[receiver_id].receive(sender_id, message, now)


def measure_hosts(seed):
    """Measure messages, bytes and CPU of failure detection per host."""
    points_by_unit = {
        'messages/s': [],
        'bytes/s': [],
        'CPU us/s': [],
        'bytes': [],
    }
    for count in HOST_SIZES:
        tracemalloc.start()
        network = DetectorNetwork(count, seed)
        now = 0.0
        while now < HOST_WARM_UP_SECONDS:
            network.step(now)
            now += HOST_TICK_SECONDS
        gc.collect()
        traced_bytes, _ = tracemalloc.get_traced_memory()
        tracemalloc.stop()
        network.messages = network.bytes = 0
        start = time.process_time()
        while now < HOST_WARM_UP_SECONDS + HOST_SECONDS:
            network.step(now)
            now += HOST_TICK_SECONDS
        cpu_seconds = time.process_time() - start
        host_seconds = count * HOST_SECONDS
        points_by_unit['messages/s'].append(
            fits.Point(count, network.messages / host_seconds)
        )
        points_by_unit['bytes/s'].append(
            fits.Point(count, network.bytes / host_seconds)
        )
        points_by_unit['CPU us/s'].append(
            fits.Point(count, cpu_seconds / host_seconds * MICROSECONDS)
        )
        points_by_unit['bytes'].append(fits.Point(count, traced_bytes / count))
    return [
        fits.Series(
            'failure detection', 'hosts', unit, tuple(points), TARGET_HOSTS
        )
        for unit, points in points_by_unit.items()
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
    """Measure the cost of the endpoint registry of a host."""
    cpu, resident_bytes, sent = [], [], []
    for count in ENDPOINT_SIZES:
        gc.collect()
        tracemalloc.start()
        registry = endpoints.EndpointRegistry()
        rows = [make_endpoint_row(number, 1) for number in range(count)]
        for row in rows:
            registry.announce(row, clock.monotonic())
        gc.collect()
        traced_bytes, _ = tracemalloc.get_traced_memory()
        tracemalloc.stop()
        renewed_rows = [
            make_endpoint_row(number, 2) for number in range(count)
        ]
        start = time.process_time()
        for row in renewed_rows:
            registry.announce(row, clock.monotonic())
        cpu_seconds = time.process_time() - start
        cpu.append(fits.Point(count, cpu_seconds * MICROSECONDS))
        resident_bytes.append(fits.Point(count, float(traced_bytes)))
        batch = membermessages.EndpointBatch(tuple(rows), False)
        sent.append(fits.Point(count, float(get_encoded_size(batch))))
    costs_by_unit = (
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
            TARGET_ENDPOINTS_PER_ZONE,
        )
        for unit, points in costs_by_unit
    ]


def measure_accounts():
    """Measure memory, snapshot size and CPU by number of client accounts."""
    points_by_unit = {'bytes': [], 'snapshot bytes': [], 'CPU us a change': []}
    for count in ACCOUNT_SIZES:
        row = dict(
            zip(configcost.COLUMNS, configcost.measure(count), strict=True)
        )
        points_by_unit['bytes'].append(
            fits.Point(count, row['bytes_per_account'] * count)
        )
        points_by_unit['snapshot bytes'].append(
            fits.Point(count, float(row['snapshot_bytes']))
        )
        points_by_unit['CPU us a change'].append(
            fits.Point(count, row['delta_apply_us'])
        )
    return [
        fits.Series(
            'configuration view',
            'client accounts',
            unit,
            tuple(points),
            TARGET_ACCOUNTS,
        )
        for unit, points in points_by_unit.items()
    ]


def make_lease(hosts, number, now):
    """Return the lease that a host sends to an owner of rates."""
    return limitmessages.ShareLease(
        share_epoch=1,
        share_count=hosts,
        duration=3.0,
        number=number,
        echo=now,
        owners=('host-0000', 'host-0001', 'host-0002'),
    )


def measure_grants():
    """Measure the cost of a grant and of a lease by number of lessors."""
    grants, leases = [], []
    for count in LESSOR_SIZES:
        now = 1000.0
        rate_owner = owner.Owner('host-0000', now - 10.0)
        own_accounts = find_own_accounts(
            ('host-0000', 'host-0001', 'host-0002')
        )
        for number in range(count):
            rate_owner.accept_lease(
                f'host-{number:04d}', make_lease(count, 1, now), now
            )
        start = time.process_time()
        for number in range(GRANT_ROUNDS):
            account = own_accounts[number % len(own_accounts)]
            request = limitmessages.GrantRequest(account.account_id, 1.0, 0.0)
            rate_owner.grant(request, account, now + 0.001 * number)
        cpu_seconds = time.process_time() - start
        grants.append(
            fits.Point(count, cpu_seconds / GRANT_ROUNDS * MICROSECONDS)
        )
        start = time.process_time()
        for number in range(count):
            later = make_lease(count, 2, now + 1.0)
            rate_owner.accept_lease(f'host-{number:04d}', later, now + 1.0)
        cpu_seconds = time.process_time() - start
        leases.append(fits.Point(count, cpu_seconds / count * MICROSECONDS))
    return [
        fits.Series(
            'rate owner',
            'lessors',
            'CPU us a grant',
            tuple(grants),
            TARGET_HOSTS_PER_REGION,
        ),
        fits.Series(
            'rate owner',
            'lessors',
            'CPU us a renewal',
            tuple(leases),
            TARGET_HOSTS_PER_REGION,
        ),
    ]


def find_own_accounts(owners):
    """Return the accounts whose rates the first of the owners grants."""
    accounts = [
        model.Account(f'account-{number:05d}', 10.0, 20.0)
        for number in range(600)
    ]
    return [
        account
        for account in accounts
        if owner.find_owner(account.account_id, owners) == owners[0]
    ]


def measure_items():
    """Measure the cost of batch items in the state machine of one group."""
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
        fits.Series(
            'job group', 'items', 'CPU us', tuple(cpu), TARGET_ITEMS_PER_JOB
        ),
        fits.Series(
            'job group',
            'items',
            'bytes',
            tuple(resident_bytes),
            TARGET_ITEMS_PER_JOB,
        ),
    ]
