"""Memory that the batch jobs of a store take, also after they have left."""

from rhubarbreach.web import allocator
from rhubarbreach.web import bounds

__all__ = ['JobMemory']

# Freed bytes for which the allocator is asked to return its pages.
RELEASE_BYTES = 4_000_000


class JobMemory:
    """Share of its limits that a store can use beside its jobs.

    Load pattern: a crowd that stays while many accepted jobs are owed, until
    they leave. Pages of the jobs are returned before others may use more.

    Parameters
    ----------
    settings : RoleSettings
        Settings of the store.
    ledger : Ledger
        Gives the memory of the jobs.
    """

    def __init__(self, settings, ledger):
        self.settings = settings
        self.ledger = ledger
        # Largest memory of the jobs since pages were returned.
        self.peak_bytes = 0

    def find_share(self):
        """Return the share of the limits on others, from 0 to 1."""
        self.peak_bytes = max(self.peak_bytes, self.ledger.job_bytes)
        return bounds.find_share(self.settings, self.peak_bytes)

    def release(self):
        """Return the pages of jobs that have left."""
        job_bytes = self.ledger.job_bytes
        if self.peak_bytes - job_bytes >= RELEASE_BYTES:
            allocator.release_pages()
            self.peak_bytes = job_bytes
