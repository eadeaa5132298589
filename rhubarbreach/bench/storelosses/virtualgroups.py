"""Replicas of a group without threads, and their links."""

import concurrent.futures
import contextlib
import types

from rhubarbreach import codes
from rhubarbreach.consensus import applying
from rhubarbreach.consensus import formation
from rhubarbreach.consensus import group as groups
from rhubarbreach.consensus import leading
from rhubarbreach.consensus import state as states
from rhubarbreach.consensus import store as stores

__all__ = ['Group', 'Link', 'Replicator']


class Notifier:
    """Condition that runs an action shortly after it is notified."""

    def __init__(self, process, action):
        self.process = process
        self.action = action
        self.is_due = False

    def notify_all(self):
        """Run the action after the current event."""
        if not self.is_due:
            self.is_due = True
            self.process.call_later(0.0, self.run)

    def run(self):
        """Run the action."""
        self.is_due = False
        self.action()

    def wait(self, timeout=None):
        """Fail: nothing may block in virtual time."""
        raise AssertionError('a thread would block')


class Inbox:
    """Queue of events that wakes its group."""

    def __init__(self, wake):
        self.wake = wake
        self.events = []

    def put(self, event):
        """Queue an event."""
        self.events.append(event)
        self.wake()

    def take(self):
        """Return the queued events and forget them."""
        events, self.events = self.events, []
        return events


class Replicator:
    """Replicator without a thread."""

    def __init__(self, group, peer):
        self.group = group
        self.peer = peer
        self.closed = False
        self.run()

    def run(self):
        """Send what is due, now and at the next heartbeat."""
        group = self.group
        process = group.process
        if self.closed:
            return
        while leading.is_message_due(group.state, self.peer, process.now):
            group.link.send(
                self.peer.peer_id,
                leading.build_message(group.state, self.peer, process.now),
            )
        due = self.peer.heartbeat_due
        process.call_later(due - process.now, self.run_if_due, due)

    def run_if_due(self, due):
        """Send unless a later message has postponed the heartbeat."""
        if self.peer.heartbeat_due == due:
            self.run()


class Group(groups.Group):
    """Group without threads."""

    def __init__(self, settings, link, machine, process):
        self.settings = settings
        self.link = link
        self.machine = machine
        self.process = process
        self.metrics = None
        self.recorder = None
        self.store = stores.Store(
            f'{settings.folder}/{settings.group_id}',
            settings.snapshot_entries // groups.TRAILING_LOG_DIVISOR,
        )
        self.admit = None
        self.lock = contextlib.nullcontext()
        self.changed = Notifier(process, self.replicate)
        self.committed = Notifier(process, self.apply)
        self.inbox = Inbox(self.wake)
        self.closed = False
        self.failure = None
        self.has_ended = False
        self.thread_failure = None
        now = process.now
        self.state = states.State(
            settings, self.store, process.machine.random, now
        )
        formation.start_formation(self.state)
        if self.store.snapshot.last_index:
            machine.restore(bytes(self.store.snapshot.data))
        self.next_tick = now
        self.was_leader = False
        self.replicators = {}
        self.last_quorum_contact = float('-inf')
        self.stall_detector = types.SimpleNamespace(handed_over=False)
        self.applier = applying.Applier.__new__(applying.Applier)
        self.applier.group = self
        self.applier.snapshot_index = self.store.snapshot.last_index
        self.applier.applied_bytes = 0
        self.applier.prepared = None
        self.step_due = float('inf')
        self.wake()

    def wake(self):
        """Schedule a step after the current one."""
        self.schedule_step(max(self.process.now, self.process.busy_until))

    def schedule_step(self, due):
        """Schedule a step unless one is due earlier."""
        if due < self.step_due:
            self.step_due = due
            self.process.call_later(due - self.process.now, self.run_due, due)

    def run_due(self, due):
        """Run the step that was scheduled for a time."""
        if due != self.step_due:
            return
        self.step_due = float('inf')
        disk = self.process.machine.disk
        disk.busy_seconds = 0.0
        self.step(self.inbox.take())
        self.process.busy_until = self.process.now + disk.busy_seconds
        disk.busy_seconds = 0.0
        self.schedule_step(max(self.next_tick, self.process.busy_until))

    def advance_state(self, now):
        """Advance the state and check the elected leader."""
        super().advance_state(now)
        if self.state.is_leader:
            self.process.machine.fleet.check_leader(self)

    def replicate(self):
        """Send what is due to all peers."""
        for current in list(self.replicators.values()):
            current.run()

    def apply(self):
        """Apply what is committed, as the apply thread does."""
        applier = self.applier
        while applying.has_work(self.state):
            snapshot, entries, ready = applier.wait_for_work()
            if snapshot is not None:
                applier.restore(snapshot)
            if entries:
                self.process.machine.fleet.check_entries(entries)
                applier.apply(entries)
            for read in ready:
                applying.complete_future(read.future, read.index)


class Link:
    """Link of a process over the network of the fleet."""

    def __init__(self, process):
        self.process = process
        self.host_id = process.machine.host_id
        self.handlers = {}

    def register(self, message_type, handler, inline=False):
        """Set the handler of a message type."""
        self.handlers[message_type] = handler

    def send(self, peer_id, message):
        """Send a message without a reply."""
        self.process.machine.fleet.deliver(
            self.process, peer_id, self.receive, message, None
        )
        return True

    def call(self, peer_id, message, deadline):
        """Return the future of a reply, or of a refusal at the deadline."""
        future = concurrent.futures.Future()
        refusal = codes.Refusal(
            codes.ResultCode.UNAVAILABLE, 'no reply in time', codes.Ran.UNKNOWN
        )
        self.process.call_later(
            deadline - self.process.now,
            applying.complete_future,
            future,
            refusal,
        )
        self.process.machine.fleet.deliver(
            self.process, peer_id, self.receive, message, future
        )
        return future

    @staticmethod
    def receive(receiver, sender, message, future):
        """Handle a message at its receiver and send the reply."""
        handler = receiver.link.handlers.get(type(message))
        if handler is None:
            return
        reply = handler(sender.machine.host_id, message)
        if future is None or reply is None:
            return
        receiver.machine.fleet.deliver(
            receiver,
            sender.machine.host_id,
            lambda *_: applying.complete_future(future, reply),
            None,
            None,
        )

    def is_silent(self, peer_id):
        """Return False: no connection is silent for long."""
        return False
