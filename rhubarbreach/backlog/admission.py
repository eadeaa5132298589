"""Admission of batch jobs by the memory that they take at the stores.

Accepted items are owed for minutes, at every store, so that the leader refuses
a job that all stores together could not keep. Load pattern: many jobs within
the limits of their accounts in a short time, or large ones for a long time.
"""

import threading

from rhubarbreach.backlog import commands
from rhubarbreach.backlog import jobs
from rhubarbreach import clock
from rhubarbreach import codes
from rhubarbreach import eventlog
from rhubarbreach import exceptions

__all__ = ['JobAdmission']

LOG = eventlog.Logger('backlog')

# Results leave the ledger some minutes after their job, and items take some
# seconds.
RETRY_AFTER_SECONDS = 1.0
LOG_SECONDS = 1.0


class JobAdmission:
    """Decision of a leader whether the stores can keep a job.

    Parameters
    ----------
    ledger : Ledger
        Replicated state.
    max_bytes : float
        Memory of all jobs.
    metrics : Metrics, optional
        Counts the refused jobs.
    """

    def __init__(self, ledger, max_bytes, metrics=None):
        self.ledger = ledger
        self.max_bytes = max_bytes
        self.metrics = metrics
        self.lock = threading.Lock()
        # Memory of the jobs that are proposed and not applied yet.
        self.pending_bytes = 0
        self.log_due = 0.0

    def admit(self, command, future):
        """Return a refusal for a job that does not fit, else None.

        Parameters
        ----------
        command : bytes
            Encoded command.
        future : concurrent.futures.Future
            Completes once the command is applied or has failed.
        """
        try:
            if commands.FAMILY.read_name(command) != commands.AddJob.__name__:
                return None
            job = commands.FAMILY.decode(command)
        except exceptions.MessageError:
            # The state machine refuses it.
            return None
        size = sum(map(jobs.measure_item, job.items))
        with self.lock:
            needed = self.ledger.job_bytes + self.pending_bytes + size
            if needed > self.max_bytes and job.job_id not in self.ledger.jobs:
                return self.refuse(job, needed)
            self.pending_bytes += size
        future.add_done_callback(lambda _: self.release(size))
        return None

    def release(self, size):
        """Count a job that is applied or has failed no longer as pending."""
        with self.lock:
            self.pending_bytes -= size

    def refuse(self, job, needed):
        """Return the refusal of a job; log it at a bounded rate."""
        if self.metrics is not None:
            self.metrics.count('jobs_refused_for_memory_total')
        now = clock.monotonic()
        if now >= self.log_due:
            self.log_due = now + LOG_SECONDS
            LOG.warning(
                'event=job_refused_for_memory job={} needed_bytes={} '
                'max_bytes={:.0f}',
                job.job_id,
                needed,
                self.max_bytes,
            )
        return codes.Refusal(
            codes.ResultCode.QUEUE_FULL,
            f'jobs need {needed} bytes, the stores have {self.max_bytes:.0f}',
            retry_after=RETRY_AFTER_SECONDS,
        )
