"""Exchange of a host with one job group."""

from rhubarbreach.batch import outbox
from rhubarbreach import clock
from rhubarbreach import codes
from rhubarbreach.state import jobcommands

__all__ = ['EXCHANGE_TIMEOUT', 'GroupLane', 'REPORT_DELAY', 'RETRY_DELAY']

# Seconds that a result waits for others before it is reported.
REPORT_DELAY = 0.05
# Seconds after which a failed exchange with a group is repeated.
RETRY_DELAY = 0.2
EXCHANGE_TIMEOUT = 5.0


class GroupLane:
    """What the runner has under way with one job group.

    Parameters
    ----------
    group : int
        Number of the group.
    """

    def __init__(self, group):
        self.group = group
        self.outbox = outbox.Outbox()
        self.sequence = 1
        self.pending_claim = None
        self.claim_at = 0.0
        self.backoff = 0.0
        self.renew_at = 0.0
        self.report_at = 0.0
        self.claiming = False
        self.renewing = False
        self.reporting = False
        self.requested = 0

    def is_idle(self):
        """Return whether nothing is exchanged or waits to be."""
        return not (self.claiming or self.reporting or len(self.outbox))

    def is_report_due(self, now, delay):
        """Return whether ends should be reported now.

        Parameters
        ----------
        now : float
            Monotonic seconds.
        delay : float
            Seconds that an end may wait for others.
        """
        return now >= self.report_at and self.outbox.is_due(now, delay)

    def report_batch(self, store, metrics):
        """Report one batch; return False when the group did not take it.

        A report may be repeated: an end that was taken before is no longer
        under its claim and is dropped.
        """
        batch = self.outbox.take(clock.monotonic())
        complete = False
        try:
            complete = all(
                self.report_command(store, metrics, command)
                for command in outbox.make_commands(batch)
            )
        finally:
            if not complete:
                now = clock.monotonic()
                self.outbox.put_back(batch, now)
                self.report_at = now + RETRY_DELAY
        return complete

    def report_command(self, store, metrics, command):
        """Send one report; return whether it was committed."""
        deadline = clock.monotonic() + EXCHANGE_TIMEOUT
        reply = store.propose(self.group, command, deadline)
        if isinstance(reply, codes.Refusal):
            return False
        if isinstance(reply, jobcommands.ReportReply):
            metrics.count('batch_results_taken_total', sum(reply.taken))
        return True
