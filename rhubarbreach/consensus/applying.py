"""The task that applies committed entries to the machine of a group."""

import concurrent.futures
import threading

from rhubarbreach import clock
from rhubarbreach import codes
from rhubarbreach.consensus import leading
from rhubarbreach.consensus import model
from rhubarbreach.consensus import state as states
from rhubarbreach import eventlog
from rhubarbreach import exceptions

__all__ = ['Applier', 'complete', 'has_work']

LOG = eventlog.Logger('consensus')
MAX_BATCH_ENTRIES = 1024
# Snapshots are postponed until the log has this many times the size at which
# one is due. A state of 20 MB takes some seconds to send to a busy host, in
# which the log grows by a few megabytes.
MAX_POSTPONED = 2


def complete(future, result):
    """Complete a future that may have been cancelled or completed."""
    try:
        future.set_result(result)
    except concurrent.futures.InvalidStateError:
        return


class Applier:
    """Applies entries in order and takes snapshots.

    Parameters
    ----------
    group : Group
        Group whose machine is fed.
    """

    def __init__(self, group):
        self.group = group
        self.snapshot_index = group.store.snapshot.last_index
        # Size of the commands applied since the last snapshot.
        self.applied_bytes = 0
        # The next snapshot is not prepared before this one is in use.
        self.publishing = False
        self.thread = threading.Thread(
            target=self.run, name=f'apply-{group.group_id}', daemon=True
        )
        self.thread.start()

    def join(self):
        """Wait for the end of the task."""
        if threading.current_thread() is not self.thread:
            self.thread.join()

    def run(self):
        """Apply until the group is closed."""
        try:
            while True:
                restore, entries, ready = self.wait_work()
                if self.group.closed:
                    return
                if restore is not None:
                    self.restore(restore)
                if entries:
                    self.apply(entries)
                for read in ready:
                    complete(read.future, read.index)
        except Exception as error:
            LOG.exception('event=apply_failed group={}', self.group.group_id)
            self.group.post(raise_error, error)

    def wait_work(self):
        """Return a snapshot to restore, entries and reads that are due."""
        group = self.group
        state = group.state
        with group.lock:
            while not group.closed:
                restore, state.restore = state.restore, None
                if restore is not None:
                    return restore, [], []
                first = state.applied_index + 1
                count = min(
                    state.commit_index - state.applied_index,
                    MAX_BATCH_ENTRIES,
                )
                entries = group.store.get_entries(first, count)
                ready = take_ready_reads(state)
                if entries or ready:
                    return None, entries, ready
                group.committed.wait()
        return None, [], []

    def restore(self, snapshot):
        """Replace the state of the machine."""
        state = self.group.state
        if snapshot.last_index <= state.applied_index:
            return
        self.group.machine.restore(snapshot.data)
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
            ready = take_ready_reads(state)
        for entry, result, found in zip(
            entries, results, waiting, strict=True
        ):
            if found is None:
                continue
            term, proposal = found
            if term != entry.term:
                result = states.make_not_leader(state)
            complete(proposal.future, result)
        for read in ready:
            complete(read.future, read.index)
        self.applied_bytes += sum(len(entry.data) for entry in entries)
        self.take_snapshot(entries[-1])

    def apply_entry(self, entry):
        """Return what the machine makes of one entry."""
        if entry.kind != model.ENTRY_COMMAND:
            return None
        try:
            return self.group.machine.apply(entry.index, entry.data)
        except exceptions.MessageError as error:
            # Deterministic: each replica refuses the same command.
            return codes.Refusal(
                codes.ResultCode.INVALID_CHANGE, str(error), codes.Ran.NO
            )
        except (OSError, MemoryError):
            raise
        except Exception as error:
            # A fault of the machine is the same on each replica. To stop
            # here would stop all of them, again after each restart.
            LOG.exception('event=command_failed index={}', entry.index)
            return codes.Refusal(
                codes.ResultCode.INTERNAL, str(error), codes.Ran.UNKNOWN
            )

    def take_snapshot(self, last):
        """Hand a snapshot to the task of the group when one is due."""
        group = self.group
        settings = group.settings
        taken = last.index - self.snapshot_index
        is_large = 0 < settings.snapshot_bytes <= self.applied_bytes
        if taken < settings.snapshot_entries and not is_large:
            return
        if self.publishing or self.is_postponed(taken):
            return
        self.applied_bytes = 0
        with group.lock:
            changed, members = group.store.get_members_at(last.index)
        data = group.machine.snapshot()
        self.snapshot_index = last.index
        snapshot = model.Snapshot(
            last.index, last.term, changed, members, data
        )
        try:
            group.store.prepare_snapshot(snapshot)
        except exceptions.DiskFullError:
            # The log is only kept longer; the next snapshot trims it.
            LOG.warning('event=snapshot_refused group={}', group.group_id)
            return
        self.publishing = True
        group.post(self.publish, snapshot)

    def is_postponed(self, taken):
        """Return whether a peer is to get the present snapshot first.

        With a new one it would have to begin anew, and the entries behind
        the present one would be gone by the time it has that.
        """
        group = self.group
        settings = group.settings
        largest = MAX_POSTPONED * settings.snapshot_bytes
        if taken > MAX_POSTPONED * settings.snapshot_entries:
            return False
        if 0 < largest < self.applied_bytes:
            return False
        with group.lock:
            return leading.is_installing(group.state, clock.monotonic())

    def publish(self, snapshot):
        """Take a prepared snapshot into use, on the task of the group."""
        try:
            self.group.store.publish_snapshot(snapshot)
        finally:
            self.publishing = False


def has_work(state):
    """Return whether the task that applies has something to do."""
    return (
        state.commit_index > state.applied_index
        or state.restore is not None
        or any(is_ready(state, read) for read in state.reads)
    )


def is_ready(state, read):
    """Return whether a read may complete."""
    if not read.confirmed:
        return False
    return read.index_only or read.index <= state.applied_index


def raise_error(error):
    """Raise an error on the task of the group."""
    raise error


def take_ready_reads(state):
    """Remove and return the reads whose index is applied."""
    ready = [read for read in state.reads if is_ready(state, read)]
    if ready:
        state.reads = [read for read in state.reads if read not in ready]
    return ready
