"""Ages of batch jobs by the monotonic clock of a store."""

__all__ = ['JobAges']


class JobAges:
    """Times since which a store knows batch jobs.

    A job is at least as old as that. The time of day is not enough to tell:
    it may jump, and it differs between the host that accepted a job and the
    leader. After a restart of the store the ages start from zero.
    """

    def __init__(self):
        self.known_since = {}

    def update(self, job_ids, now):
        """Add the jobs that are new, and remove the others.

        Parameters
        ----------
        job_ids : iterable of str
            All jobs of the store.
        now : float
            Seconds of the monotonic clock.
        """
        self.known_since = {
            job_id: self.known_since.get(job_id, now) for job_id in job_ids
        }

    def add(self, job_id, now):
        """Add a job."""
        self.known_since[job_id] = now

    def remove(self, job_id):
        """Remove a job."""
        self.known_since.pop(job_id, None)

    def get(self, job_id, now):
        """Return the seconds since which a job is known, at least."""
        return now - self.known_since.get(job_id, now)
