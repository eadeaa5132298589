"""Three replicas of several groups in one process over real links."""

import contextlib
import random
import shutil
import socket
import time

from rhubarbreach import clock
from rhubarbreach import codes
from rhubarbreach.consensus import client
from rhubarbreach.consensus import group
from rhubarbreach.consensus import groups
from rhubarbreach.consensus import model
from rhubarbreach.protocol import link

HOSTS = ('host-1', 'host-2', 'host-3')
WAIT_SECONDS = 20


class ListMachine:
    """Keeps all commands; each result is the number of commands."""

    def __init__(self):
        self.commands = []

    def apply(self, index, command):
        self.commands.append(command)
        return str(len(self.commands)).encode()

    def query(self, query):
        return b','.join(self.commands)

    def snapshot(self):
        return b'\n'.join(self.commands)

    def restore(self, data):
        self.commands = data.split(b'\n') if data else []


def find_address():
    with socket.socket() as probe:
        probe.bind(('127.0.0.1', 0))
        return f'127.0.0.1:{probe.getsockname()[1]}'


def find_port(addresses):
    """Return a port that is free on some addresses."""
    for _ in range(50):
        with socket.socket() as probe:
            probe.bind((addresses[0], 0))
            port = probe.getsockname()[1]
        try:
            probes = [socket.create_server((a, port)) for a in addresses]
        except OSError:
            continue
        for one in probes:
            one.close()
        return port
    raise OSError('no port is free on all addresses')


def wait_until(condition, seconds=WAIT_SECONDS):
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        found = condition()
        if found:
            return found
        time.sleep(0.01)
    raise AssertionError('condition was not met in time')


class Cluster:
    """Hosts that can be stopped, started and cut off."""

    def __init__(self, folder, hosts=HOSTS, group_ids=('g',), **options):
        self.folder = folder
        self.group_ids = group_ids
        self.options = options
        self.initial = options.pop('initial', hosts)
        self.machine_type = options.pop('machine_type', ListMachine)
        self.addresses = {host: find_address() for host in hosts}
        self.links = {}
        self.sets = {}
        for host in hosts:
            self.start(host)

    def start(self, host):
        if host not in self.addresses:
            self.addresses[host] = find_address()
            for one in self.links.values():
                one.set_peer(host, self.addresses[host])
        peers = {h: a for h, a in self.addresses.items() if h != host}
        one = link.Link(host, self.addresses[host], peers, None)
        self.links[host] = one
        self.sets[host] = groups.GroupSet(one)
        for group_id in self.group_ids:
            self.start_group(host, group_id)

    def start_group(self, host, group_id):
        settings = self.make_settings(host, group_id)
        one = group.Group(settings, self.links[host], self.machine_type())
        return self.sets[host].add(one)

    def make_settings(self, host, group_id):
        options = {'heartbeat': 0.05, 'election_timeout': 0.3}
        options.update(self.options)
        return model.GroupSettings(
            group_id,
            host,
            str(self.folder / host),
            self.initial,
            **options,
        )

    def stop(self, host):
        """Stop a host without any farewell to the others."""
        self.links.pop(host).close()
        self.sets.pop(host).close()

    def get(self, host, group_id='g'):
        return self.sets[host].get(group_id)

    def groups(self, group_id='g'):
        return [one.get(group_id) for one in self.sets.values()]

    def leader(self, group_id='g', hosts=None):
        def find():
            for host in hosts or list(self.sets):
                one = self.get(host, group_id)
                if one is not None and one.quorum_contact > 0:
                    return one
            return None

        return wait_until(find)

    def propose(self, command, host=None, group_id='g', seconds=WAIT_SECONDS):
        host = host or next(iter(self.links))
        return client.propose(
            self.links[host],
            group_id,
            command,
            clock.monotonic() + seconds,
            tuple(self.links),
        )

    def commit(self, command, **options):
        result = self.propose(command, **options)
        assert not isinstance(result, codes.Refusal), result
        return result

    def set_fault(self, fault):
        for one in self.links.values():
            one.set_fault(fault)

    def wait_equal(self, group_id='g'):
        def is_equal():
            found = [g.machine.commands for g in self.groups(group_id)]
            return all(one == found[0] for one in found)

        wait_until(is_equal)

    def find_member(self, host):
        return model.find_member(self.leader().members, host)

    def wait_joined(self, host):
        """Wait until the present store of a host is a voter for good."""

        def is_joined():
            leader = self.leader()
            member = model.find_member(leader.members, host)
            return (
                member.store_id == self.get(host).store.store_id
                and member.voter
                and leader.store.members_index <= leader.state.commit_index
            )

        wait_until(is_joined)

    def close(self):
        for host in list(self.sets):
            self.stop(host)


@contextlib.contextmanager
def running(folder, *arguments, **options):
    cluster = Cluster(folder, *arguments, **options)
    try:
        yield cluster
    finally:
        cluster.close()


def make_random(seed):
    """Return a generator whose seed is shown when the test fails."""
    print(f'seed={seed}')
    return random.Random(seed)


def wipe(path):
    """Lose a disk."""
    shutil.rmtree(path)
