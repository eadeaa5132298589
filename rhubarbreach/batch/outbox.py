"""Ends of items on their way to a job group."""

import collections
import threading

from rhubarbreach.batch import items
from rhubarbreach.state import jobcommands

__all__ = ['Outbox', 'make_commands']

# Bounds of one command.
BATCH_ITEMS = 512
BATCH_BYTES = 200 * 1024


class Outbox:
    """Queue of the ends that one group has still to be told."""

    def __init__(self):
        self.lock = threading.Lock()
        self.queue = collections.deque()
        self.since = None

    def put(self, end, now):
        """Add an `Ended` or `Released`."""
        with self.lock:
            self.queue.append(end)
            if self.since is None:
                self.since = now

    def is_due(self, now, delay):
        """Return whether a batch is full or has waited long enough.

        Parameters
        ----------
        now : float
            Monotonic seconds.
        delay : float
            Longest wait in seconds.
        """
        with self.lock:
            if self.since is None:
                return False
            return len(self.queue) >= BATCH_ITEMS or now - self.since >= delay

    def take(self, now):
        """Remove and return the next batch as a list."""
        batch = []
        size = 0
        with self.lock:
            while self.queue and len(batch) < BATCH_ITEMS:
                end = self.queue[0]
                if isinstance(end, items.Ended):
                    size += len(end.result)
                    if batch and size > BATCH_BYTES:
                        break
                batch.append(self.queue.popleft())
            self.since = now if self.queue else None
        return batch

    def put_back(self, batch, now):
        """Return a batch that the group did not take."""
        with self.lock:
            self.queue.extendleft(reversed(batch))
            self.since = now

    def __len__(self):
        """Return the number of ends that wait."""
        return len(self.queue)


def make_commands(batch):
    """Return the commands that report a batch.

    Parameters
    ----------
    batch : list of Ended or Released
        Ends of items of one group.

    Returns
    -------
    list
        `ReportResults` and `ReleaseItems` commands.
    """
    results = []
    released = collections.defaultdict(list)
    for end in batch:
        match end:
            case items.Ended(held=held):
                results.append(
                    jobcommands.ItemResult(
                        held.epoch, held.item, end.end, end.result
                    )
                )
            case items.Released(held=held):
                released[held.epoch].append(held.item)
    commands = []
    if results:
        commands.append(jobcommands.ReportResults(tuple(results)))
    if released:
        claims = tuple(
            jobcommands.LeasedItems(epoch, tuple(indexes))
            for epoch, indexes in released.items()
        )
        commands.append(jobcommands.ReleaseItems(claims))
    return commands
