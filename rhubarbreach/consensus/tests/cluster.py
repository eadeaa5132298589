"""Cluster of replicas of several groups in one process, over real links."""

import contextlib
import random
import shutil
import time
import uuid

import msgspec

from rhubarbreach import clock
from rhubarbreach import codes
from rhubarbreach.consensus import client
from rhubarbreach.consensus import group
from rhubarbreach.consensus import groups
from rhubarbreach.consensus import model
from rhubarbreach.consensus.tests import ports
from rhubarbreach.protocol import link

HOSTS = ('host-1', 'host-2', 'host-3')
WAIT_SECONDS = 20
ELECTION_TIMEOUT_SECONDS = 0.3
SEPARATOR = b':'
ENCODER = msgspec.msgpack.Encoder()
DECODER = msgspec.msgpack.Decoder(tuple[int, dict[bytes, bytes], list[bytes]])


class ListMachine:
    """State machine that keeps all commands and returns their number."""

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


class IdempotentMachine(ListMachine):
    """State machine that applies each operation once.

    A client sends a command again if its reply is late, and relies on the
    machine to recognize it by its operation id. `misplaced` lists the entries
    that the group applied again or out of order.
    """

    def __init__(self):
        super().__init__()
        self.results = {}
        self.last_index = 0
        self.misplaced = []

    def apply(self, index, command):
        if index <= self.last_index:
            self.misplaced.append((index, self.last_index))
        self.last_index = index
        operation_id, _, content = command.partition(SEPARATOR)
        if operation_id not in self.results:
            self.results[operation_id] = super().apply(index, content)
        return self.results[operation_id]

    def snapshot(self):
        return ENCODER.encode((self.last_index, self.results, self.commands))

    def restore(self, data):
        state = DECODER.decode(data)
        self.last_index, self.results, self.commands = state


def make_operation(command):
    """Return a command with an operation id of its own."""
    return uuid.uuid4().hex.encode() + SEPARATOR + command


def wait_until(condition, seconds=WAIT_SECONDS):
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        result = condition()
        if result:
            return result
        time.sleep(0.01)
    raise AssertionError(f'condition was not met within {seconds} s')


class Cluster:
    """Cluster of store hosts that can be stopped, started and cut off."""

    def __init__(self, folder, hosts=HOSTS, group_ids=('g',), **options):
        self.folder = folder
        self.group_ids = group_ids
        self.options = options
        self.initial = options.pop('initial', hosts)
        self.machine_type = options.pop('machine_type', IdempotentMachine)
        self.addresses = {host: ports.find_address() for host in hosts}
        self.links = {}
        self.group_sets = {}
        for host in hosts:
            self.start(host)

    def start(self, host):
        if host not in self.addresses:
            self.addresses[host] = ports.find_address()
            for other_link in self.links.values():
                other_link.set_peer(host, self.addresses[host])
        peers = {h: a for h, a in self.addresses.items() if h != host}
        host_link = link.Link(host, self.addresses[host], peers, None)
        self.links[host] = host_link
        self.group_sets[host] = groups.GroupSet(host_link)
        for group_id in self.group_ids:
            self.start_group(host, group_id)

    def start_group(self, host, group_id):
        settings = self.make_settings(host, group_id)
        replica = group.Group(settings, self.links[host], self.machine_type())
        return self.group_sets[host].add(replica)

    def make_settings(self, host, group_id):
        options = {
            'heartbeat': 0.05,
            'election_timeout': ELECTION_TIMEOUT_SECONDS,
        }
        options.update(self.options)
        return model.GroupSettings(
            group_id,
            host,
            str(self.folder / host),
            self.initial,
            **options,
        )

    def stop(self, host):
        """Stop a host without notice to the others."""
        self.links.pop(host).close()
        group_set = self.group_sets.pop(host)
        group_set.close()
        for replica in group_set.groups.values():
            assert not getattr(replica.machine, 'misplaced', []), host

    def get(self, host, group_id='g'):
        return self.group_sets[host].get(group_id)

    def groups(self, group_id='g'):
        return [
            group_set.get(group_id) for group_set in self.group_sets.values()
        ]

    def leader(self, group_id='g', hosts=None):
        def find_leader():
            for host in hosts or list(self.group_sets):
                replica = self.get(host, group_id)
                if replica is not None and replica.quorum_contact > 0:
                    return replica
            return None

        return wait_until(find_leader)

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
        result = self.propose(make_operation(command), **options)
        assert not isinstance(result, codes.Refusal), result
        return result

    def set_fault(self, fault):
        for host_link in self.links.values():
            host_link.set_fault(fault)

    def wait_equal(self, group_id='g'):
        def is_equal():
            states = [g.machine.commands for g in self.groups(group_id)]
            return all(state == states[0] for state in states)

        wait_until(is_equal)

    def find_member(self, host):
        return model.find_member(self.leader().members, host)

    def wait_joined(self, host):
        """Wait until the current store of a host is committed as a voter."""

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
        for host in list(self.group_sets):
            self.stop(host)


@contextlib.contextmanager
def running(folder, *arguments, **options):
    cluster = Cluster(folder, *arguments, **options)
    try:
        yield cluster
    finally:
        cluster.close()


def make_random(seed):
    """Return a random generator; a failing test shows its seed."""
    print(f'seed={seed}')
    return random.Random(seed)


def wipe(path):
    """Delete a folder, as if its disk were lost."""
    shutil.rmtree(path)
