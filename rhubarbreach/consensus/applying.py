"""Thread that applies committed log entries to the state machine."""

import concurrent.futures
import threading

from rhubarbreach import clock
from rhubarbreach import codes
from rhubarbreach.consensus import leading
from rhubarbreach.consensus import model
from rhubarbreach.consensus import state as states
from rhubarbreach import eventlog
from rhubarbreach import exceptions

__all__ = ['Applier', 'complete_future', 'has_work']

LOG = eventlog.Logger('consensus')
MAX_BATCH_ENTRIES = 1024
# While a peer installs the current snapshot, the next one is postponed until
# the log has reached this many times the size at which a snapshot is due. A
# state of 20 MB takes some seconds to send to a busy host, in which the log
# grows by a few megabytes.
MAX_POSTPONE_FACTOR = 2


def complete_future(future, result):
    """Set the result of a future unless it is already done or cancelled."""
    try:
        future.set_result(result)
    except concurrent.futures.InvalidStateError:
        return


class Applier:
    """Thread that applies entries in log order and takes snapshots.

    Parameters
    ----------
    group : Group
        Group whose state machine receives the entries.
    """

    def __init__(self, group):
        self.group = group
        self.snapshot_index = group.store.snapshot.last_index
        # Total size of the commands applied since the last snapshot.
        self.applied_bytes = 0
        # Prepared snapshot that waits to be published. The next one is not
        # prepared before that.
        self.prepared = None
        self.thread = threading.Thread(
            target=self.run, name=f'apply-{group.group_id}', daemon=True
        )
        self.thread.start()

    def join(self):
        """Wait for the thread to end."""
        if threading.current_thread() is not self.thread:
            self.thread.join()

    def run(self):
        """Apply entries until the group is closed."""
        try:
            while True:
                snapshot, entries, ready = self.wait_for_work()
                if self.group.closed:
                    return
                if snapshot is not None:
                    self.restore(snapshot)
                if entries:
                    self.apply(entries)
                for read in ready:
                    complete_future(read.future, read.index)
        except Exception as error:
            LOG.exception('event=apply_failed group={}', self.group.group_id)
            self.group.end(error)

    def wait_for_work(self):
        """Wait for a snapshot to restore, or for due entries and reads."""
        group = self.group
        state = group.state
        with group.lock:
            while not group.closed:
                snapshot, state.snapshot_to_restore = (
                    state.snapshot_to_restore,
                    None,
                )
                if snapshot is not None:
                    return snapshot, [], []
                first = state.applied_index + 1
                count = min(
                    state.commit_index - state.applied_index,
                    MAX_BATCH_ENTRIES,
                )
                entries = group.store.get_entries(first, count)
                ready = pop_ready_reads(state)
                if entries or ready:
                    return None, entries, ready
                group.committed.wait()
        return None, [], []

    def restore(self, snapshot):
        """Replace the state of the machine by a snapshot."""
        state = self.group.state
        if snapshot.last_index <= state.applied_index:
            return
        self.group.machine.restore(bytes(snapshot.data))
        self.snapshot_index = snapshot.last_index
        with self.group.lock:
            state.applied_index = snapshot.last_index

    def apply(self, entries):
        """Apply entries and complete their proposals."""
        group = self.group
        results = [self.apply_entry(entry) for entry in entries]
        with group.lock:
            state = group.state
            if entries[-1].index > state.applied_index:
                state.applied_index = entries[-1].index
            waiting = [
                state.pending.pop(entry.index, None) for entry in entries
            ]
            ready = pop_ready_reads(state)
        for entry, result, pending in zip(
            entries, results, waiting, strict=True
        ):
            if pending is None:
                continue
            term, proposal = pending
            if term != entry.term:
                result = states.make_not_leader(state)
            complete_future(proposal.future, result)
        for read in ready:
            complete_future(read.future, read.index)
        self.applied_bytes += sum(len(entry.data) for entry in entries)
        self.take_snapshot(entries[-1])

    def apply_entry(self, entry):
        """Apply one entry and return the result of the state machine."""
        if entry.kind != model.ENTRY_COMMAND:
            return None
        try:
            return self.group.machine.apply(entry.index, entry.data)
        except exceptions.MessageError as error:
            # Deterministic: every replica refuses the same command.
            return codes.Refusal(
                codes.ResultCode.INVALID_CHANGE, str(error), codes.Ran.NO
            )
        except (OSError, MemoryError):
            raise
        except Exception as error:
            # A fault of the state machine occurs on every replica. Stopping
            # here would stop all replicas, again after each restart.
            LOG.exception('event=command_failed index={}', entry.index)
            return codes.Refusal(
                codes.ResultCode.INTERNAL, str(error), codes.Ran.UNKNOWN
            )

    def take_snapshot(self, last):
        """Prepare a snapshot if one is due and post its publication."""
        group = self.group
        settings = group.settings
        entry_count = last.index - self.snapshot_index
        is_large = 0 < settings.snapshot_bytes <= self.applied_bytes
        if entry_count < settings.snapshot_entries and not is_large:
            return
        if self.prepared or self.is_postponed(entry_count):
            return
        self.applied_bytes = 0
        with group.lock:
            members_index, members = group.store.get_members_at(last.index)
        self.snapshot_index = last.index
        snapshot = model.Snapshot(
            last.index,
            last.term,
            members_index,
            members,
            group.machine.snapshot(),
        )
        try:
            snapshot = group.store.prepare_snapshot(snapshot)
        except (exceptions.DiskFullError, OSError) as error:
            # The log stays longer; the next snapshot trims it.
            LOG.warning(
                'event=snapshot_refused group={} error={!r}',
                group.group_id,
                str(error),
            )
            return
        self.prepared = snapshot
        group.post(self.publish)

    def is_postponed(self, entry_count):
        """Return whether a peer has to receive the current snapshot first.

        A new snapshot would restart the transfer. The entries that follow
        the current one would be trimmed before the peer has installed it.
        """
        group = self.group
        settings = group.settings
        largest = MAX_POSTPONE_FACTOR * settings.snapshot_bytes
        if entry_count > MAX_POSTPONE_FACTOR * settings.snapshot_entries:
            return False
        if 0 < largest < self.applied_bytes:
            return False
        with group.lock:
            return leading.is_installing(group.state, clock.monotonic())

    def publish(self):
        """Publish a prepared snapshot, on the group thread."""
        if self.prepared is None:
            return
        try:
            self.group.store.publish_snapshot(self.prepared)
        finally:
            self.prepared = None


def has_work(state):
    """Return whether the apply thread has anything to do."""
    return (
        state.commit_index > state.applied_index
        or state.snapshot_to_restore is not None
        or any(is_ready(state, read) for read in state.reads)
    )


def is_ready(state, read):
    """Return whether a read may complete."""
    if not read.confirmed:
        return False
    return read.index_only or read.index <= state.applied_index


def pop_ready_reads(state):
    """Remove and return the reads that may complete."""
    ready = [read for read in state.reads if is_ready(state, read)]
    if ready:
        state.reads = [read for read in state.reads if read not in ready]
    return ready
