"""One replica of a replicated log group."""

import concurrent.futures
import contextlib
import functools
import pathlib
import queue
import random
import threading


from rhubarbreach import clock
from rhubarbreach import codes
from rhubarbreach.consensus import applying
from rhubarbreach.consensus import changes
from rhubarbreach.consensus import formation
from rhubarbreach.consensus import handling
from rhubarbreach.consensus import leading
from rhubarbreach.consensus import model
from rhubarbreach.consensus import replicator
from rhubarbreach.consensus import reporting
from rhubarbreach.consensus import slowness
from rhubarbreach.consensus import stalling
from rhubarbreach.consensus import state as states
from rhubarbreach.consensus import store as stores
from rhubarbreach.consensus import voting
from rhubarbreach import eventlog
from rhubarbreach import exceptions

__all__ = ['Group']

LOG = eventlog.Logger('consensus')

# A leader steps down if no quorum has answered for this many election
# timeouts, because the other replicas may have elected a new leader.
STEP_DOWN_TIMEOUTS = 2
# Half of the entries of a snapshot interval stay in memory after the snapshot,
# so that a replica that was offline for a second or two needs no snapshot.
TRAILING_LOG_DIVISOR = 2
# A replica whose disk fails tries to use it again after a delay that doubles
# with each failure, until the disk has worked for a while.
MIN_RETRY_SECONDS = 0.1
MAX_RETRY_SECONDS = 1.0
MAX_EVENTS = 4096
MAX_COMMAND_BYTES = 1536 * 1024


class Group:
    """Replica with a state thread, an apply thread and one thread per peer.

    Parameters
    ----------
    settings : GroupSettings
        Settings of the replica.
    link : Link
        Link to the other hosts. `GroupSet.add` routes its messages here.
    machine : object
        State machine with `apply(index, command)`, `snapshot()` and
        `restore(data)`.
    metrics : Metrics, optional
        Counters and latencies.
    recorder : Recorder, optional
        Recorder of the timeline.
    admit : callable, optional
        Called with each command and its future before it is appended; returns
        a `Refusal`, or None.

    Raises
    ------
    CorruptLogError
        If the log is damaged; see `rhubarbreach.consensus.repair`.
    DataFolderError
        If the data folder of the group is in use.
    """

    def __init__(
        self,
        settings,
        link,
        machine,
        metrics=None,
        recorder=None,
        admit=None,
    ):
        self.admit = admit
        self.settings = settings
        self.link = link
        self.machine = machine
        self.metrics = metrics
        self.recorder = recorder
        path = pathlib.Path(settings.folder) / settings.group_id
        trailing_entries = settings.snapshot_entries // TRAILING_LOG_DIVISOR
        trailing_bytes = settings.snapshot_bytes // TRAILING_LOG_DIVISOR
        self.store = stores.Store(path, trailing_entries, trailing_bytes)
        self.lock = threading.RLock()
        self.changed = threading.Condition(self.lock)
        self.committed = threading.Condition(self.lock)
        self.inbox = queue.SimpleQueue()
        self.closed = False
        # Error for which this replica does not take part; it lasts until the
        # disk works again, and to the end of the process if `has_ended`.
        self.failure = None
        self.has_ended = False
        self.thread_failure = None
        self.retry_seconds = MIN_RETRY_SECONDS
        self.recovered_at = float('-inf')
        now = clock.monotonic()
        self.state = states.State(settings, self.store, random.Random(), now)
        try:
            formation.start_formation(self.state)
            if self.store.snapshot.last_index:
                machine.restore(bytes(self.store.snapshot.data))
        except BaseException:
            self.store.close()
            raise
        self.next_tick = now
        self.was_leader = False
        self.replicators = {}
        self.last_quorum_contact = float('-inf')
        self.stall_detector = stalling.StallDetector(self)
        self.applier = applying.Applier(self)
        self.thread = threading.Thread(
            target=self.run, name=f'group-{settings.group_id}', daemon=True
        )
        self.thread.start()

    @property
    def group_id(self):
        """Name of the group."""
        return self.settings.group_id

    @property
    def is_leader(self):
        """Whether this replica leads, as far as it knows."""
        return self.state.is_leader

    @property
    def is_standby(self):
        """Whether this replica is a learner that gets no entries."""
        return self.state.is_standby and not self.state.is_leader

    @property
    def leader_id(self):
        """Host of the leader, None if it is not known."""
        return self.state.leader_id

    @property
    def term(self):
        """Current term."""
        return self.store.term

    @property
    def members(self):
        """Members according to the latest change in the log."""
        return self.store.members

    @property
    def applied_index(self):
        """Index of the last applied entry."""
        return self.state.applied_index

    @property
    def quorum_contact(self):
        """Send time of the latest messages that a majority has answered.

        Seconds of the monotonic clock; minus infinity unless this replica
        leads and the first entry of its term is committed. The value is read
        without the group lock, which may be held during a disk write.
        """
        return min(self.last_quorum_contact, clock.monotonic())

    def propose(self, command, deadline):
        """Append a command to the log.

        Parameters
        ----------
        command : bytes
            Command for the state machine.
        deadline : float
            Seconds of the monotonic clock.

        Returns
        -------
        concurrent.futures.Future
            Result of the state machine, or a `Refusal`: NOT_LEADER or
            DISK_FULL with ran NO, or UNAVAILABLE with ran UNKNOWN.
        """
        if len(command) > MAX_COMMAND_BYTES:
            raise exceptions.MessageError(
                f'command of {len(command)} bytes exceeds the limit of '
                f'{MAX_COMMAND_BYTES} bytes'
            )
        future = concurrent.futures.Future()
        refusal = None
        if self.admit is not None and self.is_leader:
            refusal = self.admit(command, future)
        if refusal is not None:
            future.set_result(refusal)
            return future
        self.inbox.put(
            model.Proposal(model.ENTRY_COMMAND, command, deadline, future)
        )
        return future

    def read(self, deadline):
        """Wait until this replica has applied all entries committed so far.

        Returns
        -------
        concurrent.futures.Future
            Applied index, or a `Refusal`.
        """
        future = concurrent.futures.Future()
        self.post(changes.start_read, self, future, deadline, False)
        return future

    def read_index(self, deadline):
        """Return a future of the index that a read has to wait for."""
        future = concurrent.futures.Future()
        self.post(changes.start_read, self, future, deadline, True)
        return future

    def transfer(self, peer_id):
        """Transfer leadership to a peer.

        Returns
        -------
        concurrent.futures.Future
            True when this replica has stopped leading, False if the peer
            did not take over within two election timeouts.
        """
        future = concurrent.futures.Future()
        self.post(changes.start_transfer, self.state, peer_id, future)
        return future

    def add_learner(self, host_id, deadline):
        """Add a host that receives the log but does not vote.

        A host that is a member with the same store stays as it is.

        Returns
        -------
        concurrent.futures.Future
            None when committed, or a `Refusal`.
        """
        return changes.add_learner(self, host_id, deadline)

    def prepare(self, host_id):
        """Send the log to a learner that may have to vote soon."""
        self.post(changes.prepare, self.state, host_id)

    def promote(self, host_id, deadline):
        """Make a learner a voter if it holds the log; a voter stays one."""
        return self.post_change(changes.promote, host_id, deadline)

    def remove(self, host_id, deadline):
        """Remove a member; a host that is none needs no change."""
        return self.post_change(changes.remove, host_id, deadline)

    def post_change(self, function, host_id, deadline):
        """Post a membership change and return its future."""
        future = concurrent.futures.Future()
        self.post(function, self.state, host_id, deadline, future)
        return future

    def get_hello(self):
        """Return the announcement of this store."""
        with self.lock:
            return formation.make_hello(self.state)

    def set_contacts(self, host_ids):
        """Replace the hosts that may know the group."""
        self.state.contacts = tuple(host_ids)

    def list_contacts(self):
        """Return the hosts that may know the group, except this one.

        It is read without the group lock, which may be held during a disk
        write.
        """
        return formation.list_contacts(self.state)

    def post(self, function, *arguments):
        """Queue a function to run on the group thread, under its lock."""
        self.inbox.put(functools.partial(function, *arguments))

    def deliver(self, sender_id, message):
        """Queue a message from the link."""
        self.inbox.put((sender_id, message))

    def run(self):
        """Handle events until the group is closed or fails for good."""
        events = []
        try:
            while not self.closed:
                events = self.collect_events()
                self.stall_detector.begin_step(clock.monotonic())
                try:
                    self.step(events)
                except (OSError, exceptions.DiskFullError) as error:
                    self.recover(error, events)
                self.stall_detector.end_step()
        except Exception as error:
            self.fail(error, events)

    def recover(self, error, events):
        """Refuse all events until the disk works again.

        Nothing that the failed step has collected is sent, because its writes
        may not be durable.

        Parameters
        ----------
        error : OSError or DiskFullError
            Error of the disk.
        events : list
            Events of the failed step, which may have run.
        """
        if self.closed:
            return
        LOG.warning(
            'event=disk_failed group={} error={!r}', self.group_id, str(error)
        )
        self.withdraw(error, events)
        now = clock.monotonic()
        if now - self.recovered_at > MAX_RETRY_SECONDS:
            self.retry_seconds = MIN_RETRY_SECONDS
        while not self.closed:
            self.refuse_until(clock.monotonic() + self.retry_seconds)
            self.retry_seconds = min(2 * self.retry_seconds, MAX_RETRY_SECONDS)
            try:
                with self.lock:
                    self.store.recover()
            except (OSError, exceptions.DiskFullError) as repeated:
                self.failure = repeated
                continue
            self.resume()
            return

    def resume(self):
        """Take part in the group again, as a follower."""
        self.recovered_at = clock.monotonic()
        with self.lock:
            self.failure = None
            states.set_election_deadline(self.state, self.recovered_at)
            self.advance_state(self.recovered_at)
            self.schedule_tick(self.recovered_at)
        self.post(self.applier.publish)
        LOG.info('event=disk_recovered group={}', self.group_id)

    def withdraw(self, error, events):
        """Stop to take part in the group after an error."""
        self.stall_detector.end_step()
        self.last_quorum_contact = float('-inf')
        with self.lock:
            now = clock.monotonic()
            self.failure = error
            self.state.outbox.clear()
            self.state.after_sync.clear()
            states.become_follower(self.state, self.store.term, None, now)
            self.advance_state(now)
            self.changed.notify_all()
        self.complete_deferred()
        refusal = states.make_unknown_outcome(f'replica has failed: {error}')
        for event in events:
            handling.refuse_event(event, refusal)

    def refuse_until(self, deadline):
        """Refuse commands and drop messages until a deadline or the end."""
        refusal = codes.Refusal(
            codes.ResultCode.UNAVAILABLE, f'disk has failed: {self.failure}'
        )
        while not self.closed and clock.monotonic() < deadline:
            delay = clock.remaining(deadline, clock.monotonic())
            event = None
            with contextlib.suppress(queue.Empty):
                event = self.inbox.get(timeout=delay)
            handling.refuse_event(event, refusal)
            with self.lock:
                changes.expire_requests(self.state, clock.monotonic())
            self.complete_deferred()
            self.check_threads()

    def fail(self, error, events):
        """Stop for good; the process has to end."""
        if self.closed:
            return
        LOG.exception('event=group_failed group={}', self.group_id)
        self.has_ended = True
        with self.lock:
            # No further entry is certain to be applied, so no request may
            # wait for one.
            self.state.commit_index = self.state.applied_index
            states.clear_leader_state(self.state)
        self.withdraw(error, events)
        refusal = codes.Refusal(
            codes.ResultCode.UNAVAILABLE, f'group has failed: {error}'
        )
        while not self.closed:
            handling.refuse_event(self.inbox.get(), refusal)

    def end(self, error):
        """End this replica after an error that has ended another thread."""
        self.thread_failure = error
        self.post(self.check_threads)

    def check_threads(self):
        """Raise if another thread has ended with an error."""
        if self.thread_failure is not None:
            raise exceptions.ReplicaError(
                f'a thread has ended: {self.thread_failure!r}'
            ) from self.thread_failure

    def collect_events(self):
        """Return the queued events, or none if the next tick is due first."""
        delay = clock.remaining(self.next_tick, clock.monotonic())
        events = []
        try:
            events.append(self.inbox.get(timeout=delay))
            while len(events) < MAX_EVENTS:
                events.append(self.inbox.get_nowait())
        except queue.Empty:
            pass
        return events

    def step(self, events):
        """Handle events, sync the log and send replies."""
        with self.lock:
            now = clock.monotonic()
            proposals = []
            for event in events:
                if isinstance(event, model.Proposal):
                    proposals.append(event)
                elif event is not None:
                    self.handle_event(event, now)
            if now >= self.next_tick:
                self.next_tick = float('inf')
                self.handle_event(functools.partial(self.tick, now), now)
            if proposals:
                changes.append_proposals(self.state, proposals, now)
            self.advance_state(now)
            self.schedule_tick(now)
            dirty = not self.store.is_synced
            last_index = self.store.last_index
        self.send_messages(self.state.outbox)
        self.complete_deferred()
        if dirty:
            start = clock.monotonic()
            self.store.sync()
            reporting.observe_sync(self, clock.monotonic() - start)
            with self.lock:
                self.store.synced_index = last_index
                self.advance_state(clock.monotonic())
            self.complete_deferred()
        self.send_messages(self.state.after_sync)
        with self.lock:
            # Messages of a leader may have been queued during a disk write.
            states.postpone_election(self.state, clock.monotonic() - now)

    def handle_event(self, event, now):
        """Handle a message or call a function.

        An event that cannot be persisted has no effect: no vote is granted
        and no entries are acknowledged.
        """
        try:
            if isinstance(event, tuple):
                handling.handle_message(self.state, *event, now)
            else:
                event()
        except exceptions.DiskFullError as error:
            states.mark_disk_full(self.state, now)
            LOG.warning(
                'event=disk_full group={} file={!r}',
                self.group_id,
                str(error),
            )

    def advance_state(self, now):
        """Advance commits, reads and transfers, and notify the threads."""
        state = self.state
        if state.is_leader:
            if states.advance_commit(state):
                changes.step_down_if_removed(state, now)
            leading.confirm_reads(state, now)
            changes.continue_transfer(state, now)
        contact = float('-inf')
        if state.commit_index >= state.term_start_index:
            # A single voter is always in contact with a majority.
            contact = states.get_quorum_contact(state, float('inf'))
        # Assigned only once, because it is read without the lock.
        self.last_quorum_contact = contact
        if state.is_leader != self.was_leader:
            self.was_leader = state.is_leader
            reporting.record_leadership(self)
        replicator.update_replicators(self, now)
        if applying.has_work(state):
            self.committed.notify_all()

    def schedule_tick(self, now):
        """Set the next tick; an idle follower only waits for its leader."""
        state = self.state
        due = now + self.settings.heartbeat
        idle = not (state.reads or state.pending or state.is_leader)
        if idle and formation.is_joined(state):
            due = max(due, state.election_deadline)
        elif idle and state.is_standby:
            due = max(due, state.hello_due)
        self.next_tick = min(self.next_tick, due)

    def tick(self, now):
        """Run the timed actions that are due."""
        state = self.state
        changes.expire_requests(state, now)
        formation.announce(state, now)
        if state.is_leader:
            changes.promote_replacements(state, now)
            changes.check_disk(state, now)
            timeout = self.settings.election_timeout * STEP_DOWN_TIMEOUTS
            contact = max(
                states.get_quorum_contact(state, now), state.leader_since
            )
            if now - contact > timeout:
                LOG.warning('event=quorum_lost group={}', self.group_id)
                states.become_follower(state, self.store.term, None, now)
            else:
                slowness.hand_over_if_slow(state, now)
        elif now >= state.election_deadline:
            voting.start_pre_vote(state, now)

    def send_messages(self, outbox):
        """Send the collected messages and clear the list."""
        for peer_id, message in outbox:
            self.link.send(peer_id, message)
        outbox.clear()

    def complete_deferred(self):
        """Complete futures outside the lock, because they run callbacks."""
        with self.lock:
            deferred = self.state.deferred_results
            self.state.deferred_results = []
        for future, result in deferred:
            applying.complete_future(future, result)

    def close(self):
        """Stop all threads and release the data folder."""
        with self.lock:
            self.closed = True
            self.changed.notify_all()
            self.committed.notify_all()
        self.inbox.put(None)
        self.stall_detector.close()
        if threading.current_thread() is not self.thread:
            self.thread.join()
        self.applier.join()
        with self.lock:
            self.state.commit_index = self.state.applied_index
            states.clear_leader_state(self.state)
            self.store.close()
        self.complete_deferred()
        refusal = states.make_not_leader(self.state)
        while not self.inbox.empty():
            handling.refuse_event(self.inbox.get(), refusal)
