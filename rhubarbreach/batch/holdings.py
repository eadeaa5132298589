"""Items and claims that this host holds."""

import threading

from rhubarbreach.batch import window

__all__ = ['Holdings']


class HeldClaim:
    """A claim of this host with its items that have not ended."""

    __slots__ = ('group', 'job_id', 'deadline', 'items')

    def __init__(self, group, job_id, deadline, items):
        self.group = group
        self.job_id = job_id
        self.deadline = deadline
        self.items = items


class Target:
    """Items of one target that were handed to the executor."""

    __slots__ = ('outstanding', 'throughput', 'refused_until')

    def __init__(self):
        self.outstanding = 0
        self.refused_until = 0.0
        self.throughput = window.Throughput()


class Holdings:
    """Claims by epoch and outstanding items by target; thread-safe.

    Notes
    -----
    An epoch belongs to one group only, so that group and epoch together name
    a claim.
    """

    def __init__(self):
        self.lock = threading.Lock()
        self.claims = {}
        self.targets = {}
        self.futures = {}

    def add(self, group, claimed, held, deadline):
        """Add a claim with its items.

        Parameters
        ----------
        group : int
            Number of the job group.
        claimed : Claimed
            Claim as given by the group.
        held : list of Held
            Items of the claim that will run.
        deadline : float
            Monotonic deadline of the claim.
        """
        items = {one.item: one for one in held}
        claim = HeldClaim(group, claimed.job_id, deadline, items)
        with self.lock:
            self.claims[group, claimed.epoch] = claim
            target = self.targets.setdefault(claimed.target, Target())
            target.outstanding += len(held)

    def attach(self, held, future):
        """Remember the future of an item's call until the item ends."""
        with self.lock:
            self.futures[held.group, held.epoch, held.item] = future

    def get_future(self, held):
        """Return the future of an item's call, None when it has ended."""
        with self.lock:
            return self.futures.get((held.group, held.epoch, held.item))

    def end(self, held):
        """Remove an item; return False when its claim is gone."""
        key = (held.group, held.epoch)
        with self.lock:
            self.futures.pop((*key, held.item), None)
            target = self.targets[held.target]
            target.outstanding -= 1
            target.throughput.add(1)
            claim = self.claims.get(key)
            if claim is None or claim.items.pop(held.item, None) is None:
                return False
            if not claim.items:
                del self.claims[key]
        return True

    def remove(self, group, epochs):
        """Remove claims and return their items that have not ended."""
        found = []
        with self.lock:
            for epoch in epochs:
                claim = self.claims.pop((group, epoch), None)
                if claim is not None:
                    found.extend(claim.items.values())
        return found

    def remove_job(self, job_id):
        """Remove the claims of a job and return their items."""
        found = []
        with self.lock:
            for key, claim in list(self.claims.items()):
                if claim.job_id == job_id:
                    found.extend(claim.items.values())
                    del self.claims[key]
        return found

    def list_epochs(self, group):
        """Return the epochs of the claims of a group."""
        with self.lock:
            return tuple(epoch for at, epoch in self.claims if at == group)

    def extend(self, group, epochs, deadline):
        """Set the deadline of claims that were renewed."""
        with self.lock:
            for epoch in epochs:
                claim = self.claims.get((group, epoch))
                if claim is not None:
                    claim.deadline = deadline

    def remove_expired(self, now):
        """Remove claims past their deadline and return their items."""
        with self.lock:
            expired = [
                key
                for key, claim in self.claims.items()
                if claim.deadline <= now
            ]
        found = []
        for group, epoch in expired:
            found.extend(self.remove(group, (epoch,)))
        return found

    def list_items(self):
        """Return all items that have not ended."""
        with self.lock:
            return [
                held
                for claim in self.claims.values()
                for held in claim.items.values()
            ]

    def count_items(self):
        """Return the number of items handed to the executor."""
        with self.lock:
            return sum(target.outstanding for target in self.targets.values())

    def refuse(self, name, until):
        """Note that items of a target cannot run here until a time."""
        with self.lock:
            self.targets[name].refused_until = until

    def measure_targets(self, now):
        """Return the state of each target by name.

        Parameters
        ----------
        now : float
            Monotonic seconds.

        Returns
        -------
        dict of str to Window
            Without what waits and what is requested.
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
