"""Queue of results that are not yet in the ledger."""

import dataclasses
import threading

from rhubarbreach.backlog import commands
from rhubarbreach import codes
from rhubarbreach import eventlog

__all__ = ['MAX_COMMIT_BYTES', 'MAX_OUTPUT_BYTES', 'ResultQueue']

LOG = eventlog.Logger('results')

# Allows for a slow disk.
COMMIT_TIMEOUT_SECONDS = 3.0
# Limits of the results in one commit, with `RESULT_OVERHEAD_BYTES` for the ids
# of each. The limit of a command in the log is 64 KiB higher.
MAX_COMMIT_BYTES = 1472 * 1024
RESULT_OVERHEAD_BYTES = 256
MAX_REASON_CHARACTERS = 256
# Limit of the output of an item, whose result has to fit into a commit.
MAX_OUTPUT_BYTES = (
    MAX_COMMIT_BYTES - RESULT_OVERHEAD_BYTES - 4 * MAX_REASON_CHARACTERS
)


class ResultQueue:
    """Results of items, committed in groups without blocking the caller.

    A commit that waits for a disk must not delay the scheduling: items would
    keep slots that online requests need.

    Parameters
    ----------
    propose : callable
        Commits a command; takes the command and a deadline, and returns a
        future of the reply or a `Refusal`.
    notify : callable
        Called without arguments when a commit has ended.
    """

    def __init__(self, propose, notify):
        self.propose = propose
        self.notify = notify
        self.lock = threading.Lock()
        self.pending = {}
        self.in_flight = ()
        self.future = None

    def __bool__(self):
        return bool(self.pending)

    def add(self, job_id, result):
        """Queue a result unless its item already has one.

        Returns
        -------
        bool
            False if the result fits into no commit. It would stay in the
            queue, and its item would never run again.
        """
        result = dataclasses.replace(
            result, reason=result.reason[:MAX_REASON_CHARACTERS]
        )
        if get_size(result) > MAX_COMMIT_BYTES:
            return False
        with self.lock:
            self.pending.setdefault((job_id, result.item_id), result)
        return True

    def list_keys(self):
        """Return the keys of the items with queued results."""
        with self.lock:
            return set(self.pending)

    def clear(self):
        """Discard all results after a change of the leader."""
        with self.lock:
            self.pending = {}
            self.in_flight = ()
            self.future = None

    def commit(self, now):
        """Process a finished commit, and start the next one."""
        with self.lock:
            future, in_flight = self.future, self.in_flight
        if future is not None:
            if not future.done():
                return
            self.handle_reply(future.result(), in_flight)
        with self.lock:
            results = self.select_results()
            if not results:
                return
            self.in_flight = tuple(results)
            command = commands.AddResults(self.in_flight)
            self.future = self.propose(
                commands.FAMILY.encode(command), now + COMMIT_TIMEOUT_SECONDS
            )
            future = self.future
        future.add_done_callback(lambda _: self.notify())

    def select_results(self):
        """Return queued results that fit into a commit, with their jobs."""
        chosen = []
        remaining_bytes = MAX_COMMIT_BYTES
        for (job_id, _), result in self.pending.items():
            size = get_size(result)
            if size <= remaining_bytes:
                remaining_bytes -= size
                chosen.append((job_id, result))
        return chosen

    def handle_reply(self, reply, in_flight):
        """Remove committed results; keep them if the commit was refused."""
        with self.lock:
            self.future = None
            self.in_flight = ()
        if isinstance(reply, codes.Refusal):
            LOG.warning(
                'event=results_not_committed reason={!r}', reply.reason
            )
            return
        for job_id, result in in_flight:
            LOG.info(
                'event=item_listed job={} item={} state={} bytes={} '
                'reason={!r}',
                job_id,
                result.item_id,
                result.state,
                len(result.output),
                result.reason,
            )
        with self.lock:
            for job_id, result in in_flight:
                self.pending.pop((job_id, result.item_id), None)


def get_size(result):
    """Return the approximate size of an encoded result in bytes."""
    return (
        len(result.output.encode())
        + len(result.reason.encode())
        + RESULT_OVERHEAD_BYTES
    )
