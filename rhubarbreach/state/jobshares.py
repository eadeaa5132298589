"""Fair choice among client accounts of the job to claim from."""

import msgspec

__all__ = ['JobShares', 'ShareImage', 'SLICE_ITEMS']

# Maximum items claimed from a job before the next account is considered.
SLICE_ITEMS = 16
MIN_WEIGHT = 1e-6


class ShareImage(msgspec.Struct, frozen=True, array_like=True):
    """State of a `JobShares` as stored in a snapshot."""

    virtual_time: float
    served: dict[str, float]


class JobShares:
    """Start-time fair queueing over accounts with claimable jobs.

    `served` holds the virtual time up to which each account was served, and
    `ready` the claimable jobs by account and sequence. The account with the
    smallest virtual time is next. An account that had nothing to claim
    resumes at the current virtual time and does not catch up.
    """

    def __init__(self):
        self.virtual_time = 0.0
        self.served = {}
        self.ready = {}

    def add(self, job):
        """Add a job that has pending items."""
        account_id = job.begin.account_id
        jobs = self.ready.get(account_id)
        if jobs is None:
            jobs = self.ready[account_id] = {}
            self.served[account_id] = max(
                self.served.get(account_id, 0.0), self.virtual_time
            )
        jobs[job.sequence] = job

    def remove(self, job):
        """Remove a job that has no pending items."""
        account_id = job.begin.account_id
        jobs = self.ready.get(account_id, {})
        jobs.pop(job.sequence, None)
        if account_id in self.ready and not jobs:
            del self.ready[account_id]

    def choose_job(self, excluded):
        """Return the next job to claim from.

        Parameters
        ----------
        excluded : frozenset of str
            Targets of which no items are wanted.

        Returns
        -------
        Job or None
            Oldest claimable job with a wanted target, of the least served
            account that has one. None if no account has such a job.
        """
        account_ids = sorted(
            self.ready,
            key=lambda account_id: (self.served[account_id], account_id),
        )
        for account_id in account_ids:
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
            Job from which the items were claimed.
        cost : int
            Estimated tokens; negative for items that were returned.
        """
        account_id = job.begin.account_id
        if account_id in self.served:
            weight = max(job.begin.weight, MIN_WEIGHT)
            self.served[account_id] += cost / weight

    def remove_idle_accounts(self):
        """Remove idle accounts that would resume at the virtual time."""
        for account_id in list(self.served):
            if (
                account_id not in self.ready
                and self.served[account_id] <= self.virtual_time
            ):
                del self.served[account_id]

    def make_image(self):
        """Return the snapshot form of the shares."""
        return ShareImage(self.virtual_time, dict(self.served))

    def load_image(self, image):
        """Replace the shares of the added jobs by those of a snapshot."""
        self.virtual_time = image.virtual_time
        self.served = dict(image.served)
