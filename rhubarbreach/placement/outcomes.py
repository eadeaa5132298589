"""Effects of a finished placement on accounts and endpoints."""

from rhubarbreach.scheduling import work

__all__ = ['record_outcome', 'report_loss']

FAILURES = (
    work.OutcomeStatus.FAILED,
    work.OutcomeStatus.NOT_RUN,
    work.OutcomeStatus.ENDPOINT_LOST,
)


def report_loss(core, placement, now):
    """Mark all requests that ran on a lost endpoint as crash suspects."""
    endpoint = placement.endpoint
    digests = {
        active.work.digest
        for active in core.by_endpoint[endpoint.endpoint_id].values()
    }
    core.reports += core.suspects.report_loss(
        endpoint, sorted(digests), placement.alone, now
    )


def record_outcome(core, placement, outcome, now):
    """Charge the account and record the latency or the failure."""
    item, endpoint = placement.work, placement.endpoint
    cost = float(outcome.tokens)
    if outcome.status == work.OutcomeStatus.COMPLETED and not cost:
        # Tokens are only counted in streamed responses.
        cost = item.cost
    core.queue.charge(item.account_id, cost - item.cost, item.lane)
    failed = outcome.status in FAILURES
    if failed or outcome.inter_token is not None:
        core.ejector.observe(
            endpoint.endpoint_id, failed, outcome.inter_token, now
        )
    if outcome.inter_token is not None:
        core.slots.observe(
            endpoint.endpoint_id,
            outcome.first_token,
            outcome.inter_token,
            now,
        )
    if outcome.status in (
        work.OutcomeStatus.ENDPOINT_LOST,
        work.OutcomeStatus.NOT_RUN,
    ):
        core.registry.mark_lost(endpoint.endpoint_id, now)
