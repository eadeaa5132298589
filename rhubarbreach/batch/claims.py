"""Claims that this host holds, with their items."""

import threading

from rhubarbreach.batch import window

__all__ = ['ClaimTable']


class HeldClaim:
    """Claim of this host with the items that have not ended."""

    __slots__ = ('group', 'job_id', 'deadline', 'items')

    def __init__(self, group, job_id, deadline, items):
        self.group = group
        self.job_id = job_id
        self.deadline = deadline
        self.items = items


class Target:
    """State of the items of one target that were submitted to the executor."""

    __slots__ = ('outstanding', 'throughput', 'refused_until')

    def __init__(self):
        self.outstanding = 0
        self.refused_until = 0.0
        self.throughput = window.Throughput()


class ClaimTable:
    """Claims by group and epoch, and state by target; thread-safe.

    Notes
    -----
    Epochs are counted within each group, so a claim is identified by its
    group and epoch together.
    """

    def __init__(self):
        self.lock = threading.Lock()
        self.claims = {}
        self.targets = {}
        self.futures = {}

    def add(self, group, claimed, claimed_items, deadline):
        """Add a claim with its items.

        Parameters
        ----------
        group : int
            Number of the job group.
        claimed : Claimed
            Claim granted by the group.
        claimed_items : list of ClaimedItem
            Items of the claim that will be executed.
        deadline : float
            Monotonic deadline of the claim.
        """
        items = {item.index: item for item in claimed_items}
        claim = HeldClaim(group, claimed.job_id, deadline, items)
        with self.lock:
            self.claims[group, claimed.epoch] = claim
            for item in claimed_items:
                self.futures[group, claimed.epoch, item.index] = None
            target = self.targets.setdefault(claimed.target, Target())
            target.outstanding += len(claimed_items)

    def attach_future(self, item, future):
        """Store the future of the call of an item until the item ends."""
        key = (item.group, item.epoch, item.index)
        with self.lock:
            if key in self.futures:
                self.futures[key] = future

    def is_open(self, item):
        """Return whether an item was added and has not ended."""
        with self.lock:
            return (item.group, item.epoch, item.index) in self.futures

    def get_future(self, item):
        """Return the future of the call of an item, None before it is set."""
        with self.lock:
            return self.futures.get((item.group, item.epoch, item.index))

    def end_item(self, item):
        """Remove an item; return whether its claim was still held."""
        key = (item.group, item.epoch)
        with self.lock:
            self.futures.pop((*key, item.index), None)
            target = self.targets[item.target]
            target.outstanding -= 1
            target.throughput.add(1)
            claim = self.claims.get(key)
            if claim is None or claim.items.pop(item.index, None) is None:
                return False
            if not claim.items:
                del self.claims[key]
        return True

    def remove(self, group, epochs):
        """Remove claims; return their items that have not ended."""
        removed = []
        with self.lock:
            for epoch in epochs:
                claim = self.claims.pop((group, epoch), None)
                if claim is not None:
                    removed.extend(claim.items.values())
        return removed

    def remove_job(self, job_id):
        """Remove the claims of a job; return their items."""
        removed = []
        with self.lock:
            for key, claim in list(self.claims.items()):
                if claim.job_id == job_id:
                    removed.extend(claim.items.values())
                    del self.claims[key]
        return removed

    def list_epochs(self, group):
        """Return the epochs of the claims of a group."""
        with self.lock:
            return tuple(
                epoch for owner, epoch in self.claims if owner == group
            )

    def extend(self, group, epochs, deadline):
        """Set the deadline of renewed claims."""
        with self.lock:
            for epoch in epochs:
                claim = self.claims.get((group, epoch))
                if claim is not None:
                    claim.deadline = deadline

    def remove_expired(self, now):
        """Remove claims past their deadline; return their items."""
        with self.lock:
            expired = [
                key
                for key, claim in self.claims.items()
                if claim.deadline <= now
            ]
        removed = []
        for group, epoch in expired:
            removed.extend(self.remove(group, (epoch,)))
        return removed

    def list_items(self):
        """Return all items that have not ended."""
        with self.lock:
            return [
                item
                for claim in self.claims.values()
                for item in claim.items.values()
            ]

    def count_items(self):
        """Return the number of items in flight in the executor."""
        with self.lock:
            return sum(target.outstanding for target in self.targets.values())

    def mark_refused(self, name, until):
        """Mark a target as refused on this host until a monotonic time."""
        with self.lock:
            self.targets[name].refused_until = until

    def measure_targets(self, now):
        """Return the window of each target by name.

        Parameters
        ----------
        now : float
            Monotonic seconds.

        Returns
        -------
        dict of str to Window
            Windows with `waiting` None and `requested` 0.
        """
        with self.lock:
            return {
                name: window.Window(
                    target.outstanding,
                    None,
                    0,
                    target.throughput.update(now),
                    target.refused_until > now,
                )
                for name, target in self.targets.items()
            }
