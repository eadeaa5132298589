"""Fair choice of the job to claim from, over client accounts."""

import msgspec

__all__ = ['JobShares', 'ShareImage', 'SLICE_ITEMS']

# Items taken from a job before the next account is considered.
SLICE_ITEMS = 16
MIN_WEIGHT = 1e-6


class ShareImage(msgspec.Struct, frozen=True, array_like=True):
    """Shares as stored in a snapshot."""

    virtual_time: float
    served: dict[str, float]


class JobShares:
    """Start-time fair queueing over accounts with claimable jobs.

    Each account has the virtual time up to which it was served. The account
    with the smallest one is next; an account that had nothing to claim
    resumes at the current virtual time and does not catch up.
    """

    def __init__(self):
        self.virtual_time = 0.0
        self.served = {}
        self.ready = {}

    def add(self, job):
        """Note that a job has pending items."""
        account_id = job.begin.account_id
        jobs = self.ready.get(account_id)
        if jobs is None:
            jobs = self.ready[account_id] = {}
            self.served[account_id] = max(
                self.served.get(account_id, 0.0), self.virtual_time
            )
        jobs[job.sequence] = job

    def remove(self, job):
        """Note that a job has no pending items."""
        account_id = job.begin.account_id
        jobs = self.ready.get(account_id, {})
        jobs.pop(job.sequence, None)
        if account_id in self.ready and not jobs:
            del self.ready[account_id]

    def choose(self, excluded):
        """Return the next job to claim from or None.

        Parameters
        ----------
        excluded : frozenset of str
            Targets of which no items are wanted.

        Returns
        -------
        Job or None
            The first ready job of the least served account.
        """
        order = sorted(self.ready, key=lambda name: (self.served[name], name))
        for account_id in order:
            jobs = self.ready[account_id]
            for sequence in sorted(jobs):
                job = jobs[sequence]
                if job.begin.target in excluded:
                    continue
                self.virtual_time = max(
                    self.virtual_time, self.served[account_id]
                )
                return job
        return None

    def charge(self, job, cost):
        """Charge the account of a job for claimed items.

        Parameters
        ----------
        job : Job
            Job that was claimed from.
        cost : int
            Estimated tokens; negative for items that were handed back.
        """
        account_id = job.begin.account_id
        if account_id in self.served:
            weight = max(job.begin.weight, MIN_WEIGHT)
            self.served[account_id] += cost / weight

    def trim(self):
        """Forget accounts that resume at the virtual time anyway."""
        for account_id in list(self.served):
            if (
                account_id not in self.ready
                and self.served[account_id] <= self.virtual_time
            ):
                del self.served[account_id]

    def make_image(self):
        """Return the shares for a snapshot."""
        return ShareImage(self.virtual_time, dict(self.served))

    def load_image(self, image):
        """Take over the shares of a snapshot for the jobs added here."""
        self.virtual_time = image.virtual_time
        self.served = dict(image.served)
