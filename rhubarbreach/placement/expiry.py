"""Refusal of work that cannot be placed in time."""

from rhubarbreach import codes
from rhubarbreach.placement import decisions
from rhubarbreach.scheduling import work

__all__ = ['refuse_expired']

# An online request waits this long while no endpoint serves its model.
NO_ENDPOINT_WAIT_SECONDS = 2.0


def refuse_expired(core, now):
    """Refuse entries past their deadline or without an endpoint.

    Parameters
    ----------
    core : Core
        Scheduler core.
    now : float
        Monotonic seconds.

    Returns
    -------
    list of Refused
        Decisions made in this step.
    """
    result = []
    expired = core.isolation.pop_expired(now, core.slots)
    for lane in core.queue.lanes.values():
        expired += lane.pop_expired(now)
    for entry in expired:
        refusal = codes.Refusal(
            codes.ResultCode.DEADLINE_TOO_SHORT,
            'the deadline passed while the request was waiting',
        )
        result.append(decisions.Refused(entry.work, refusal))
    online = core.queue.lanes[work.Lane.ONLINE]
    unserved = [
        entry
        for entry in online.entries_by_id.values()
        if not core.registry.usable(entry.work.model_id, now)
        and (
            now - entry.queued_at > NO_ENDPOINT_WAIT_SECONDS
            # An endpoint may come soon, but not in an evacuated zone.
            or core.registry.is_evacuated(entry.work.model_id, now)
        )
    ]
    for entry in unserved:
        online.remove(entry)
        refusal = codes.Refusal(
            codes.ResultCode.NO_ENDPOINT,
            f'no endpoint serves {entry.work.model_id}',
            retry_after=NO_ENDPOINT_WAIT_SECONDS,
        )
        result.append(decisions.Refused(entry.work, refusal))
    return result
