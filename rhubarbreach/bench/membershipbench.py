"""Benchmark of the failure detection in virtual time.

Examples
--------
    python -m rhubarbreach.bench.membershipbench --seed 1
"""

import argparse
import collections
import dataclasses
import random
import sys

from rhubarbreach.bench import virtual
from rhubarbreach.membership import members
from rhubarbreach.membership import swim
from rhubarbreach.protocol import codec
from rhubarbreach.protocol import membermessages

__all__ = ['Cost', 'SimulatedCluster', 'main', 'measure']

TICK_SECONDS = 0.04
JOIN_SECONDS = 30.0
MEASURE_SECONDS = 60.0
DELAY_RANGE_SECONDS = (0.0005, 0.003)


@dataclasses.dataclass(frozen=True, slots=True)
class Cost:
    """Cost of the failure detection for one number of hosts.

    Parameters
    ----------
    hosts : int
        Number of hosts.
    messages, bytes : float
        Messages and bytes sent per host and second.
    joined_after : float
        Seconds until every host sees all others as alive.
    detected_after : float
        Seconds until every host has declared an unreachable host dead.
    """

    hosts: int
    messages: float
    bytes: float
    joined_after: float
    detected_after: float


class SimulatedCluster:
    """Failure detectors of many hosts; the first host is the seed.

    Parameters
    ----------
    count : int
        Number of hosts.
    seed : int
        Seed of all random choices.
    loss : float
        Fraction of messages that are lost.
    """

    def __init__(self, count, seed, loss=0.0):
        self.loop = virtual.EventLoop()
        self.random = random.Random(seed)
        self.loss = loss
        self.sent = collections.Counter()
        self.bytes = collections.Counter()
        self.unreachable = set()
        self.detectors = {}
        for index in range(count):
            self.add(f'host-{index:03}')

    def add(self, name, incarnation=1):
        """Start a host, or restart it with a new detector."""
        own = membermessages.HostRow(
            name,
            '10.0.0.1:7000',
            'zone-a',
            'region',
            ('entry',),
            incarnation,
            members.Status.ALIVE,
            '10.0.0.1:8000',
        )
        detector = swim.Detector(
            own,
            ('host-000',),
            lambda peer, message: self.send(name, peer, message),
            random.Random(self.random.random()),
        )
        self.detectors[name] = detector
        offset = self.random.uniform(0, TICK_SECONDS)
        self.loop.call_every(TICK_SECONDS, lambda: self.tick(detector), offset)

    def tick(self, detector):
        """Run the periodic work of a detector unless it has been replaced."""
        name = detector.own.host_id
        if name not in self.unreachable and self.detectors[name] is detector:
            detector.tick(self.loop.now)

    def send(self, sender, receiver, message):
        """Count a message and deliver it after a delay, unless it is lost."""
        self.sent[type(message).__name__] += 1
        envelope = codec.Envelope(sender, 0, False, 0, message)
        self.bytes['all'] += len(codec.encode(envelope))
        if self.random.random() >= self.loss:
            delay = self.random.uniform(*DELAY_RANGE_SECONDS)
            self.loop.call_later(
                delay, self.receive, sender, receiver, message
            )

    def receive(self, sender, receiver, message):
        """Deliver a message to its receiver if that is reachable."""
        if receiver in self.detectors and receiver not in self.unreachable:
            self.detectors[receiver].receive(sender, message, self.loop.now)

    def run_until(self, condition, limit):
        """Run until a condition holds, or for `limit` seconds at most.

        Returns
        -------
        float
            Seconds of virtual time that it took.
        """
        start = self.loop.now
        while not condition() and self.loop.now < start + limit:
            self.loop.run(self.loop.now + 0.1)
        return self.loop.now - start

    def count_alive_peers(self):
        """Return how many others each reachable host sees as alive."""
        return [
            len(detector.alive_ids())
            for name, detector in self.detectors.items()
            if name not in self.unreachable
        ]


def measure(count, seed):
    """Return the `Cost` for one number of hosts."""
    cluster = SimulatedCluster(count, seed)
    joined = cluster.run_until(
        lambda: min(cluster.count_alive_peers()) == count - 1, JOIN_SECONDS
    )
    cluster.loop.run(JOIN_SECONDS)
    cluster.sent.clear()
    cluster.bytes.clear()
    cluster.loop.run(JOIN_SECONDS + MEASURE_SECONDS)
    per_host = count * MEASURE_SECONDS
    sent = cluster.sent.total() / per_host
    size = cluster.bytes.total() / per_host
    cluster.unreachable.add(f'host-{count - 1:03}')
    detected = cluster.run_until(
        lambda: max(cluster.count_alive_peers()) == count - 2, JOIN_SECONDS
    )
    return Cost(count, sent, size, joined, detected)


def main():
    """Measure and print the costs for three numbers of hosts."""
    parser = argparse.ArgumentParser()
    parser.add_argument('--seed', type=int, default=1)
    arguments = parser.parse_args()
    for count in (5, 20, 80):
        cost = measure(count, arguments.seed)
        fields = ' '.join(
            f'{field.name}={getattr(cost, field.name):.4g}'
            for field in dataclasses.fields(cost)
        )
        sys.stdout.write(f'seed={arguments.seed} {fields}\n')


if __name__ == '__main__':
    main()
