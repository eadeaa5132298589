"""Hosts on loopback with a configuration group that is only simulated."""

import concurrent.futures
import contextlib
import dataclasses
import socket

from rhubarbreach import clock
from rhubarbreach import codes
from rhubarbreach.distribution import effect
from rhubarbreach.distribution import serve
from rhubarbreach.distribution import store
from rhubarbreach.distribution import view
from rhubarbreach.distribution import watch
from rhubarbreach.protocol import link
from rhubarbreach.state import config
from rhubarbreach.state import model


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


@dataclasses.dataclass
class Host:
    """One host of the fleet."""

    link: object
    view: object
    tracker: object
    server: object
    watcher: object
    store: object = None


def find_address():
    with socket.socket() as probe:
        probe.bind(('127.0.0.1', 0))
        return f'127.0.0.1:{probe.getsockname()[1]}'


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
        names = self.first + tuple(upstreams)
        self.addresses = {name: find_address() for name in (*names, 'late')}
        self.hosts = {}
        for name in names:
            self.start(name, upstreams.get(name, ()))

    def make_store(self, name, one, seen):
        """Return the local store of a host, None without one."""
        if name != 'store':
            return None
        return store.LocalStore(self.group, self.machine, seen)

    def start(self, name, upstreams, incarnation=1):
        address = self.addresses[name]
        one = link.Link(name, address, self.addresses, None)
        one.set_fault(self.find_delays)
        seen = view.ConfigView()
        tracker = effect.Tracker()
        local = self.make_store(name, one, seen)
        server = serve.ConfigServer(one, seen, tracker, local)
        watcher = watch.Watcher(
            watch.WatcherSettings(name, incarnation),
            one,
            seen,
            lambda: upstreams,
            tracker,
            local,
        )
        watcher.start()
        host = Host(one, seen, tracker, server, watcher, local)
        self.hosts[name] = host
        for part in (one, server, watcher):
            self.stack.callback(part.close)
        return host

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
