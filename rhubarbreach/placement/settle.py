"""What the end of a placement means for accounts and endpoints."""

from rhubarbreach.scheduling import work

__all__ = ['report_death', 'settle']

FAILURES = (
    work.OutcomeStatus.FAILED,
    work.OutcomeStatus.NOT_RUN,
    work.OutcomeStatus.ENDPOINT_LOST,
)


def report_death(core, placement, now):
    """Make all that ran on a lost endpoint suspects."""
    endpoint = placement.endpoint
    digests = {
        other.work.digest
        for other in core.by_endpoint[endpoint.endpoint_id].values()
    }
    core.reports += core.suspects.report_loss(
        endpoint, sorted(digests), placement.alone, now
    )


def settle(core, placement, outcome, now):
    """Charge the account and record latency and errors."""
    item, endpoint = placement.work, placement.endpoint
    served = float(outcome.tokens)
    if outcome.status == work.OutcomeStatus.COMPLETED and not served:
        # The answer was not a stream, so its tokens were not counted.
        served = item.cost
    core.queue.charge(item.account_id, served - item.cost, item.lane)
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
