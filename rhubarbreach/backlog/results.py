"""Results that wait until they are in the ledger."""

import threading

from rhubarbreach.backlog import commands
from rhubarbreach import codes
from rhubarbreach import eventlog

__all__ = ['Results']

LOG = eventlog.Logger('results')

# Time for a commit through a slow disk, in seconds.
COMMIT_SECONDS = 3.0


class Results:
    """Results of items, committed in groups without waiting.

    A commit that waits for a disk must not hold up the plan: items would
    keep slots that online requests need.

    Parameters
    ----------
    propose : callable
        Commits a command; takes it and a deadline, returns a future of its
        reply or a `Refusal`.
    notify : callable
        Called without arguments when a commit has ended.
    """

    def __init__(self, propose, notify):
        self.propose = propose
        self.notify = notify
        self.lock = threading.Lock()
        self.waiting = {}
        self.sent = ()
        self.future = None

    def __bool__(self):
        return bool(self.waiting)

    def add(self, job_id, result):
        """Queue a result; an item keeps its first one."""
        with self.lock:
            self.waiting.setdefault((job_id, result.item_id), result)

    def list_keys(self):
        """Return the keys of the items whose results wait."""
        with self.lock:
            return set(self.waiting)

    def clear(self):
        """Forget all, when another store leads."""
        with self.lock:
            self.waiting = {}
            self.sent = ()
            self.future = None

    def commit(self, now):
        """Take the end of a commit into account, and begin the next one."""
        with self.lock:
            future, sent = self.future, self.sent
        if future is not None:
            if not future.done():
                return
            self.settle(future.result(), sent)
        with self.lock:
            results = [
                (key[0], result) for key, result in self.waiting.items()
            ]
            if not results:
                return
            self.sent = tuple(results)
            command = commands.AddResults(self.sent)
            self.future = self.propose(
                commands.FAMILY.encode(command), now + COMMIT_SECONDS
            )
            future = self.future
        future.add_done_callback(lambda _: self.notify())

    def settle(self, reply, sent):
        """Forget what is in the ledger; keep it when that is not known."""
        with self.lock:
            self.future = None
            self.sent = ()
        if isinstance(reply, codes.Refusal):
            LOG.warning(
                'event=results_not_committed reason={!r}', reply.reason
            )
            return
        for job_id, result in sent:
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
            for job_id, result in sent:
                self.waiting.pop((job_id, result.item_id), None)
