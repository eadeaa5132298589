"""Fleet of store hosts in virtual time, with clients and checks."""

import collections
import contextlib
import dataclasses
from unittest import mock
import zlib

from rhubarbreach.backlog import commands
from rhubarbreach.bench.storelosses import virtualdisks
from rhubarbreach.bench.storelosses import virtualgroups
from rhubarbreach.bench.storelosses import virtualstores
from rhubarbreach.bench import virtual
from rhubarbreach import clock
from rhubarbreach import codes
from rhubarbreach.consensus import model
from rhubarbreach.consensus import replicator
from rhubarbreach.consensus import store as stores

__all__ = [
    'CLIENT_TIMEOUT_SECONDS',
    'DEPLOYMENTS',
    'Deployment',
    'Fleet',
    'replace_modules',
]

# A restarted host is reconnected within this time.
RECONNECT_SECONDS = 0.5
# A fleet is stable after this time without a machine that is down, frozen or
# cut off.
STABLE_SECONDS = 3.0
CLIENT_INTERVAL_SECONDS = 0.15
CLIENT_TIMEOUT_SECONDS = 2.0


@dataclasses.dataclass(frozen=True, slots=True)
class Deployment:
    """Numbers of a fleet of stores.

    Parameters
    ----------
    counts : tuple of int
        Numbers of stores at the start, of which one is drawn.
    max_stores : int
        Stores up to which others are added.
    tolerated : int
        Stores that may be lost at the same time.
    catch_up_seconds : float
        Time after the return of a store in which it still counts as lost.
    delay_seconds : tuple of float
        Shortest and longest delay of a message.
    sync_seconds : float
        Time of an operation that makes something durable.
    """

    counts: tuple[int, ...]
    max_stores: int
    tolerated: int
    catch_up_seconds: float
    delay_seconds: tuple[float, float]
    sync_seconds: float


DEPLOYMENTS = {
    'small': Deployment((4, 4, 5), 6, 1, 4.7, (0.0003, 0.003), 0.001),
    'grown': Deployment((8,), 11, 2, 6.0, (0.0003, 0.005), 0.002),
}


class Fleet:
    """Machines, network, clients and checks of the guarantees."""

    def __init__(self, random, count, deployment=DEPLOYMENTS['small']):
        self.random = random
        self.deployment = deployment
        self.loop = virtual.EventLoop()
        self.disks = virtualdisks.Disks()
        self.machines = {}
        self.cuts = collections.Counter()
        self.last_arrivals = {}
        self.events = []
        self.founders = None
        # Until when a machine is down, frozen or cut off, and when the fleet
        # was last known to be stable.
        self.disturbed_until = 0.0
        self.stable_at = 0.0
        self.sent_version = 0
        self.acknowledged_version = 0
        self.leaders = {}
        self.entries = {}
        for number in range(count):
            self.add_machine(f'z{number % 4}')
        self.founders = tuple(self.machines)[:3]
        for machine in list(self.machines.values()):
            self.loop.call_later(random.uniform(0.0, 0.3), machine.start, True)
        self.loop.call_every(CLIENT_INTERVAL_SECONDS, self.send_change, 3.0)

    def log(self, text):
        """Record an event for the report of a failure."""
        self.events.append(f'{self.loop.now:8.3f} {text}')

    def add_machine(self, availability_zone):
        """Return a new machine with an empty disk."""
        host_id = f'10.0.0.{len(self.machines) + 1}'
        machine = virtualstores.Machine(self, host_id, availability_zone)
        self.machines[host_id] = machine
        return machine

    def list_machines(self):
        """Return the machines that are not gone for good."""
        return [m for m in self.machines.values() if not m.is_gone]

    def choose_seeds(self):
        """Return three addresses for the settings of a process."""
        if self.loop.now < 1.0:
            return self.founders
        hosts = [machine.host_id for machine in self.list_machines()]
        count = min(3, len(hosts))
        return tuple(sorted(self.random.sample(hosts, count)))

    def note_disturbance(self, until):
        """Record that a machine is down, frozen or cut off until a time."""
        self.update_stable_at()
        self.disturbed_until = max(self.disturbed_until, until)

    def update_stable_at(self):
        """Record whether the fleet is stable now."""
        if self.loop.now >= self.disturbed_until + STABLE_SECONDS:
            self.stable_at = self.loop.now

    # Network.

    def cut(self, pairs, seconds):
        """Cut pairs of sender and receiver off for some seconds."""
        self.note_disturbance(self.loop.now + seconds)
        self.cuts.update(pairs)
        self.loop.call_later(seconds, self.cuts.subtract, pairs)

    def deliver(self, sender, receiver_id, action, message, future):
        """Run an action at the receiver after the delay of the network."""
        pair = (sender.machine.host_id, receiver_id)
        receiver = self.machines.get(receiver_id)
        if receiver is None:
            return
        # A message that was sent after a sync leaves when that is done.
        delay = self.random.uniform(*self.deployment.delay_seconds)
        delay += sender.machine.disk.busy_seconds + receiver.backlog_seconds
        arrival = max(self.loop.now + delay, self.last_arrivals.get(pair, 0.0))
        self.last_arrivals[pair] = arrival
        self.loop.call_later(
            arrival - self.loop.now,
            self.arrive,
            sender,
            receiver,
            action,
            message,
            future,
        )

    def arrive(self, sender, receiver, action, message, future):
        """Run an action at the receiver if it is reached."""
        pair = (sender.machine.host_id, receiver.host_id)
        process = receiver.process
        if process is None or self.cuts[pair] > 0 or not sender.is_alive:
            return
        if (
            sender.started_at < process.started_at
            and self.loop.now - process.started_at < self.reconnect(pair)
        ):
            return
        process.run(action, (process, sender, message, future))

    def reconnect(self, pair):
        """Return the seconds until a restarted receiver is connected."""
        # Spread over the pairs, and equal for all messages of a pair.
        return (
            RECONNECT_SECONDS * (zlib.crc32(repr(pair).encode()) % 100) / 100
        )

    # Clients.

    def find_leader(self):
        """Return the process that answers as the leader, or None."""
        now = self.loop.now
        for machine in self.list_machines():
            process = machine.process
            if (
                process is not None
                and now >= machine.frozen_until
                and process.leadership.may_answer(now)
            ):
                return process
        return None

    def send_change(self):
        """Send the next version of the configuration to the leader."""
        leader = self.find_leader()
        if leader is None:
            return
        self.sent_version += 1
        version = self.sent_version
        command = commands.FAMILY.encode(
            commands.PutCatalog(version, str(version).encode())
        )
        future = leader.group.propose(
            command, self.loop.now + CLIENT_TIMEOUT_SECONDS
        )
        future.add_done_callback(
            lambda done: self.record_reply(version, done.result())
        )

    def record_reply(self, version, reply):
        """Record that a version was acknowledged."""
        if isinstance(reply, codes.Refusal):
            return
        if isinstance(commands.FAMILY.decode(reply), commands.Done):
            self.acknowledged_version = max(self.acknowledged_version, version)

    # Guarantees.

    def check_leader(self, group):
        """Assert that a term has one leader."""
        key = (group.process.host_id, group.store.store_id)
        if group.term not in self.leaders:
            self.log(f'{group.process.host_id} leads term {group.term}')
        first = self.leaders.setdefault(group.term, key)
        if first != key:
            raise AssertionError(f'two leaders in term {group.term}')

    def check_entries(self, entries):
        """Assert that all hosts apply the same entries."""
        for entry in entries:
            if (
                entry.kind == model.ENTRY_MEMBERS
                and entry.index not in self.entries
            ):
                names = describe_members(stores.decode_members(entry.data))
                self.log(f'members at {entry.index}: {names}')
            first = self.entries.setdefault(entry.index, entry)
            if first is not entry and first != entry:
                raise AssertionError(f'entry {entry.index} differs')

    def is_served(self):
        """Return whether a leader has the newest acknowledged version."""
        leader = self.find_leader()
        return (
            leader is not None
            and leader.ledger.version >= self.acknowledged_version
        )

    def describe(self):
        """Return the state of all stores, for the report of a failure."""
        lines = []
        for machine in self.list_machines():
            process = machine.process
            if process is None:
                lines.append(f'{machine.host_id} down')
                continue
            group = process.group
            lines.append(
                f'{machine.host_id}/{group.store.store_id[:4]} '
                f'{group.state.role.value} term={group.term} '
                f'last={group.store.last_index} '
                f'commit={group.state.commit_index} '
                f'leader={group.leader_id} '
                f'members: {describe_members(group.members)}'
            )
        return lines


def describe_members(members):
    """Return the members with their roles as text."""
    return ' '.join(
        f'{member.host_id}/{member.store_id[:4]}'
        f'{"+" if member.voter else "~" if member.replaces else ""}'
        for member in members
    )


@contextlib.contextmanager
def replace_modules(fleet):
    """Replace the clock, the disks and the threads by those of a fleet."""
    disks = fleet.disks
    with contextlib.ExitStack() as stack:
        for module, name, replacement in (
            (clock, 'monotonic', fleet.loop.monotonic),
            (stores, 'files', disks),
            (stores.folder, 'DataFolder', disks.open_folder),
            (stores.segments, 'SegmentLog', disks.open_log),
            (replicator, 'Replicator', virtualgroups.Replicator),
        ):
            stack.enter_context(mock.patch.object(module, name, replacement))
        yield
