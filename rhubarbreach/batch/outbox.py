"""Queue of the ends of items to be reported to a job group."""

import collections
import threading

from rhubarbreach.batch import items
from rhubarbreach.state import jobcommands

__all__ = ['Outbox', 'make_commands']

# Limits of one report command.
MAX_BATCH_ITEMS = 512
MAX_BATCH_BYTES = 200 * 1024


class Outbox:
    """Queue of ends that have not been reported to their group yet.

    `since` is the monotonic time from which the wait of the queue is counted,
    None while the queue is empty.
    """

    def __init__(self):
        self.lock = threading.Lock()
        self.queue = collections.deque()
        self.since = None

    def put(self, end, now):
        """Add an `AttemptEnd` or `ReleasedItem`."""
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
            return (
                len(self.queue) >= MAX_BATCH_ITEMS or now - self.since >= delay
            )

    def take(self, now):
        """Remove and return the next batch as a list."""
        batch = []
        size = 0
        with self.lock:
            while self.queue and len(batch) < MAX_BATCH_ITEMS:
                end = self.queue[0]
                if isinstance(end, items.AttemptEnd):
                    size += len(end.result)
                    if batch and size > MAX_BATCH_BYTES:
                        break
                batch.append(self.queue.popleft())
            self.since = now if self.queue else None
        return batch

    def put_back(self, batch, now):
        """Prepend a batch that the group did not accept."""
        with self.lock:
            self.queue.extendleft(reversed(batch))
            self.since = now

    def __len__(self):
        """Return the number of queued ends."""
        return len(self.queue)


def make_commands(batch):
    """Return the commands that report a batch.

    Parameters
    ----------
    batch : list of AttemptEnd or ReleasedItem
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
            case items.AttemptEnd(item=item):
                results.append(
                    jobcommands.ItemResult(
                        item.epoch, item.index, end.end, end.result
                    )
                )
            case items.ReleasedItem(item=item):
                released[item.epoch].append(item.index)
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
