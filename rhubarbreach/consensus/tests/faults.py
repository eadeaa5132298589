"""Faults of the network and of the hosts of a cluster."""

import dataclasses
import threading
import time

from rhubarbreach.consensus.tests import cluster


@dataclasses.dataclass(frozen=True)
class Fault:
    """Fault that lasts for some seconds.

    A `deaf` host receives no messages and a `mute` host sends none.
    """

    kind: str
    host: str
    seconds: float


KINDS = ('partition', 'deaf', 'mute', 'lossy', 'restart', 'pause', 'wipe')


class Network:
    """Fault function that all links of a cluster share."""

    def __init__(self, random):
        self.random = random
        self.cuts = set()
        self.lossy = False
        self.lock = threading.Lock()

    def __call__(self, sender_id, receiver_id, message):
        if (sender_id, receiver_id) in self.cuts:
            return []
        if not self.lossy:
            return [0]
        with self.lock:
            chance = self.random.random()
            delay = self.random.uniform(0, 0.15)
        if chance < 0.1:
            return []
        if chance < 0.2:
            return [0, delay]
        return [delay] if chance < 0.5 else [0]

    def cut(self, host, outgoing, incoming):
        """Cut a host off in one direction or both."""
        for other in cluster.HOSTS:
            if outgoing:
                self.cuts.add((host, other))
            if incoming:
                self.cuts.add((other, host))

    def heal(self):
        """End all faults."""
        self.cuts = set()
        self.lossy = False


def inject_fault(fault, test_cluster, network, folder):
    """Start a fault, wait for its duration and end it."""
    group = test_cluster.get(fault.host)
    match fault.kind:
        case 'partition':
            network.cut(fault.host, True, True)
        case 'deaf':
            network.cut(fault.host, False, True)
        case 'mute':
            network.cut(fault.host, True, False)
        case 'lossy':
            network.lossy = True
        case 'restart' | 'wipe':
            test_cluster.stop(fault.host)
            if fault.kind == 'wipe':
                cluster.wipe(folder / fault.host)
        case 'pause':
            with group.lock:
                time.sleep(fault.seconds)
    if fault.kind != 'pause':
        time.sleep(fault.seconds)
    network.heal()
    if fault.host not in test_cluster.links:
        test_cluster.start(fault.host)
        test_cluster.links[fault.host].set_fault(network)
    if fault.kind == 'wipe':
        # A second lost disk is tolerated only once the first is replaced.
        test_cluster.wait_joined(fault.host)
