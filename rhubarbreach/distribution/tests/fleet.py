"""Fleet of hosts on loopback with a fake configuration group."""

import concurrent.futures
import contextlib

from rhubarbreach import clock
from rhubarbreach import codes
from rhubarbreach.consensus.tests import ports
from rhubarbreach.distribution import distributor
from rhubarbreach.distribution import watch
from rhubarbreach.observe import metrics
from rhubarbreach.observe import timeline
from rhubarbreach.protocol import link
from rhubarbreach.state import config
from rhubarbreach.state import model


class FakeGroup:
    """Group of one replica that loses its quorum if `confirmed` is False."""

    def __init__(self, leader_id, machine):
        self.is_leader = True
        self.leader_id = leader_id
        self.term = 1
        self.machine = machine
        self.confirmed = True

    def read(self, deadline):
        future = concurrent.futures.Future()
        refusal = codes.Refusal(codes.ResultCode.UNAVAILABLE, 'no quorum')
        future.set_result(None if self.confirmed else refusal)
        return future


class Host(distributor.Distributor):
    """Host of the fleet."""

    def __init__(self, settings, host_link, *arguments, **options):
        self.link = host_link
        super().__init__(settings, host_link, *arguments, **options)


class Fleet:
    """Fleet of a store host and the hosts given.

    Parameters
    ----------
    upstreams : dict of str to tuple of str
        Upstreams of each host by host id.
    """

    first = ('store',)

    def __init__(self, upstreams):
        self.machine = config.ConfigMachine()
        self.group = FakeGroup('store', self.machine)
        self.stack = contextlib.ExitStack()
        self.partitioned = set()
        self.operations = 0
        self.recorder = timeline.Recorder('fleet', clock.HybridClock())
        names = self.first + tuple(upstreams)
        self.addresses = {
            name: ports.find_address() for name in (*names, 'late')
        }
        self.hosts = {}
        for name in names:
            self.start(name, upstreams.get(name, ()))

    def make_replica(self, name, host_link):
        """Return the group and the state machine of a store host, or None."""
        return (self.group, self.machine) if name == 'store' else None

    def start(self, name, upstreams, incarnation=1):
        address = self.addresses[name]
        host_link = link.Link(name, address, self.addresses, None)
        host_link.set_fault(self.find_delays)
        host = Host(
            watch.WatcherSettings(name, incarnation),
            host_link,
            lambda: upstreams,
            self.get_folder(name),
            self.make_replica(name, host_link),
            recorder=self.recorder,
            metrics=metrics.Metrics(),
        )
        host.start()
        self.hosts[name] = host
        self.stack.callback(host_link.close)
        self.stack.callback(host.watcher.close)
        self.stack.callback(host.server.close)
        return host

    def get_folder(self, name):
        """Return the data folder of a host, empty for none."""
        return ''

    def find_delays(self, sender_id, receiver_id, message):
        return [] if {sender_id, receiver_id} & self.partitioned else [0]

    def change(self, change, expected=None):
        self.operations += 1
        command = model.encode_request(
            f'op-{self.operations}', expected, change
        )
        return model.decode_result(self.machine.apply(0, command))


def wait_until(condition, seconds=10.0):
    deadline = clock.monotonic() + seconds
    pause = concurrent.futures.Future()
    while clock.monotonic() < deadline:
        if condition():
            return True
        with contextlib.suppress(concurrent.futures.TimeoutError):
            pause.result(0.01)
    return False
