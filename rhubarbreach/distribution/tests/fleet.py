"""Hosts on loopback with a configuration group that is only simulated."""

import concurrent.futures
import contextlib
import random
import socket

from rhubarbreach import clock
from rhubarbreach import codes
from rhubarbreach.distribution import node
from rhubarbreach.distribution import watch
from rhubarbreach.observe import metrics
from rhubarbreach.observe import timeline
from rhubarbreach.protocol import link
from rhubarbreach.state import config
from rhubarbreach.state import model


PORTS = (10240, 32768)


class FakeGroup:
    """Group of one replica whose quorum contact a test can take away."""

    def __init__(self, leader_id, machine):
        self.is_leader = True
        self.leader_id = leader_id
        self.term = 1
        self.machine = machine
        self.confirmed = True

    def read(self, deadline):
        future = concurrent.futures.Future()
        lost = codes.Refusal(codes.ResultCode.UNAVAILABLE, 'no quorum')
        future.set_result(None if self.confirmed else lost)
        return future


class Host(node.Node):
    """One host of the fleet."""

    def __init__(self, settings, one, *arguments, **options):
        self.link = one
        super().__init__(settings, one, *arguments, **options)


def find_address():
    """Return a free address below the ports of outgoing connections.

    A port above could be taken by a link that dials before it is listened
    on; that made one of three runs on a busy machine fail.
    """
    while True:
        port = random.randrange(*PORTS)
        with socket.socket() as probe, contextlib.suppress(OSError):
            probe.bind(('127.0.0.1', port))
            return f'127.0.0.1:{port}'


class Fleet:
    """Hosts of which the first is the store host.

    Parameters
    ----------
    upstreams : dict of str to tuple of str
        Host ids that each other host polls.
    """

    first = ('store',)

    def __init__(self, upstreams):
        self.machine = config.ConfigMachine()
        self.group = FakeGroup('store', self.machine)
        self.stack = contextlib.ExitStack()
        self.cut = set()
        self.operations = 0
        self.recorder = timeline.Recorder('fleet', clock.HybridClock())
        names = self.first + tuple(upstreams)
        self.addresses = {name: find_address() for name in (*names, 'late')}
        self.hosts = {}
        for name in names:
            self.start(name, upstreams.get(name, ()))

    def make_replica(self, name, one):
        """Return group and machine of a host, None without them."""
        return (self.group, self.machine) if name == 'store' else None

    def start(self, name, upstreams, incarnation=1):
        address = self.addresses[name]
        one = link.Link(name, address, self.addresses, None)
        one.set_fault(self.find_delays)
        host = Host(
            watch.WatcherSettings(name, incarnation),
            one,
            lambda: upstreams,
            self.get_folder(name),
            self.make_replica(name, one),
            recorder=self.recorder,
            metrics=metrics.Metrics(),
        )
        host.start()
        self.hosts[name] = host
        self.stack.callback(one.close)
        self.stack.callback(host.watcher.close)
        self.stack.callback(host.server.close)
        return host

    def get_folder(self, name):
        """Return the data folder of a host, here none."""
        return ''

    def find_delays(self, sender_id, receiver_id, message):
        return [] if {sender_id, receiver_id} & self.cut else [0]

    def change(self, change, expected=None):
        self.operations += 1
        command = model.encode_request(
            f'op-{self.operations}', expected, change
        )
        return model.decode_result(self.machine.apply(0, command))


def wait_until(condition, seconds=10.0):
    end = clock.monotonic() + seconds
    pause = concurrent.futures.Future()
    while clock.monotonic() < end:
        if condition():
            return True
        with contextlib.suppress(concurrent.futures.TimeoutError):
            pause.result(0.01)
    return False
