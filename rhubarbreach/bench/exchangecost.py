"""Cost of the exchange between entry hosts and the leader at several sizes."""

import random as random_module
import time

from rhubarbreach.bench import fits
from rhubarbreach.fleet import exchange_schedule
from rhubarbreach.hosts import usage
from rhubarbreach.protocol import codec
from rhubarbreach.protocol import fleetmessages

__all__ = ['measure_exchange']

MICROSECONDS = 1e6
HOST_SIZES = (30, 100, 300, 1000)
TARGET_HOSTS = 1300
# Shape of the fleet: hosts of a zone, endpoints of each host, and requests
# that a host has in flight.
HOSTS_PER_ZONE = 13
ENDPOINTS_PER_HOST = 0.6
RUNNING_PER_HOST = 4
ROUNDS = 2000
STAMP = '10.200.100.100:12345.678901234:1234:True:12345'


def get_encoded_size(message):
    """Return the encoded size of a message on a link, without TLS."""
    envelope = codec.Envelope('10.200.100.100', 12345, False, 2**60, message)
    return len(codec.encode(envelope))


class Leader:
    """The part of a leader that answers exchanges, without a link.

    Parameters
    ----------
    hosts : int
        Number of entry hosts.
    seed : int
        Seed of the random choices.
    """

    def __init__(self, hosts, seed):
        self.random = random_module.Random(seed)
        count = max(1, round(hosts * ENDPOINTS_PER_HOST))
        self.endpoint_ids = tuple(f'i-{n:08x}' for n in range(count))
        self.hosts = [
            (f'10.1.{n // 250}.{n % 250}', f'zone-{n // HOSTS_PER_ZONE}')
            for n in range(hosts)
        ]
        self.usage = usage.Usage(dict)
        self.now = 0.0
        for number in range(hosts):
            self.answer(number, self.make_message(number))

    def make_message(self, number):
        """Return the exchange of a host with random requests in flight."""
        running = {}
        for _ in range(RUNNING_PER_HOST):
            endpoint_id = self.random.choice(self.endpoint_ids)
            running[endpoint_id] = running.get(endpoint_id, 0) + 1
        return fleetmessages.Exchange(
            123,
            STAMP,
            running,
            {'account-1': 1.5},
            {},
            self.hosts[number][1],
            self.usage.loads.revision,
        )

    def answer(self, number, message):
        """Return the reply to the exchange of a host."""
        host_id, zone = self.hosts[number]
        _, entries = self.usage.report(host_id, message, self.now)
        elsewhere, nearby = self.usage.list_online(zone, self.endpoint_ids)
        revision, peers = self.usage.list_peers(message)
        return fleetmessages.ExchangeReply(
            True,
            '10.200.100.100',
            age=0.123456,
            endpoints_stamp=STAMP,
            complete=True,
            elsewhere=elsewhere,
            nearby=nearby,
            items=nearby,
            peers_revision=revision,
            peers=peers,
            granted={'account-1': 1.5},
            entries=entries,
        )


def measure_exchange(seed):
    """Measure processor time and bytes of exchanges at the leader.

    Returns
    -------
    list of Series
        Processor time of one exchange with the encoding of its reply, bytes
        of request and reply, and bytes and processor time a second at the
        leader if all hosts exchange at their longest interval.
    """
    points = {'CPU us': [], 'bytes': [], 'CPU ms/s': [], 'bytes/s': []}
    for count in HOST_SIZES:
        leader = Leader(count, seed)
        messages = [
            (number % count, leader.make_message(number % count))
            for number in range(ROUNDS)
        ]
        started = time.process_time()
        size = 0
        for number, message in messages:
            size += get_encoded_size(leader.answer(number, message))
        seconds = (time.process_time() - started) / ROUNDS
        size += sum(get_encoded_size(message) for _, message in messages)
        size /= ROUNDS
        interval = max(
            exchange_schedule.EXCHANGE_INTERVAL_SECONDS,
            exchange_schedule.MIN_EXCHANGE_INTERVAL_SECONDS,
            count / exchange_schedule.MAX_EXCHANGES_PER_SECOND,
        )
        per_second = count / interval
        points['CPU us'].append(fits.Point(count, seconds * MICROSECONDS))
        points['bytes'].append(fits.Point(count, size))
        points['CPU ms/s'].append(
            fits.Point(count, seconds * per_second * 1000)
        )
        points['bytes/s'].append(fits.Point(count, size * per_second))
    return [
        fits.Series('exchange', 'entry hosts', unit, tuple(row), TARGET_HOSTS)
        for unit, row in points.items()
    ]
