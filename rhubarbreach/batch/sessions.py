"""Session of the batch runner with one job group."""

from rhubarbreach.batch import outbox
from rhubarbreach import clock
from rhubarbreach import codes
from rhubarbreach.state import jobcommands

__all__ = [
    'EXCHANGE_TIMEOUT_SECONDS',
    'GroupSession',
    'REPORT_DELAY_SECONDS',
    'RETRY_DELAY_SECONDS',
]

# Results are collected for this long so that one report carries several.
REPORT_DELAY_SECONDS = 0.05
# Delay before a failed exchange with a group is retried.
RETRY_DELAY_SECONDS = 0.2
EXCHANGE_TIMEOUT_SECONDS = 5.0


class GroupSession:
    """State of the exchanges of the runner with one job group.

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
        self.previous_claims_ended = False
        self.claim_at = 0.0
        self.backoff = 0.0
        self.renew_at = 0.0
        self.report_at = 0.0
        self.claiming = False
        self.renewing = False
        self.reporting = False
        self.requested = 0

    def is_idle(self):
        """Return whether no claim or report is in flight or queued."""
        return not (self.claiming or self.reporting or len(self.outbox))

    def end_previous_claims(self, store, holder_id):
        """End the claims that earlier processes of this host still hold.

        The command is sent until the group accepts it for the first time.

        Returns
        -------
        bool
            Whether the group has accepted the command. No items may be
            claimed before.
        """
        if not self.previous_claims_ended:
            host_id = holder_id.partition('#')[0]
            command = jobcommands.LoseClaims(host_id, holder_id)
            deadline = clock.monotonic() + EXCHANGE_TIMEOUT_SECONDS
            reply = store.propose(self.group, command, deadline)
            self.previous_claims_ended = not isinstance(reply, codes.Refusal)
            self.claim_at = clock.monotonic() + RETRY_DELAY_SECONDS
        return self.previous_claims_ended

    def is_report_due(self, now, delay):
        """Return whether a report is due.

        Parameters
        ----------
        now : float
            Monotonic seconds.
        delay : float
            Longest wait of an end for others, in seconds.
        """
        return now >= self.report_at and self.outbox.is_due(now, delay)

    def report_batch(self, store, metrics):
        """Report one batch; return whether the group accepted it.

        A report can be repeated safely: the group drops the end of an item
        that is no longer under its claim.
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
                self.report_at = now + RETRY_DELAY_SECONDS
        return complete

    def report_command(self, store, metrics, command):
        """Send one report; return whether it was committed."""
        deadline = clock.monotonic() + EXCHANGE_TIMEOUT_SECONDS
        reply = store.propose(self.group, command, deadline)
        if isinstance(reply, codes.Refusal):
            return False
        if isinstance(reply, jobcommands.ReportReply):
            metrics.count('batch_results_taken_total', sum(reply.taken))
        return True
