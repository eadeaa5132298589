"""Refusal of work that has waited too long."""

from rhubarbreach import codes
from rhubarbreach.placement import decisions
from rhubarbreach.scheduling import work

__all__ = ['refuse_expired']

# Seconds an online request waits while no endpoint serves its model.
NO_ENDPOINT_WAIT = 2.0


def refuse_expired(core, now):
    """Refuse entries past their deadline or without any endpoint.

    Parameters
    ----------
    core : Core
        Scheduler core.
    now : float
        Monotonic seconds.

    Returns
    -------
    list of Refused
        Decisions.
    """
    result = []
    expired = core.alone.take_expired(now, core.slots)
    for lane in core.queue.lanes.values():
        expired += lane.take_expired(now)
    for entry in expired:
        refusal = codes.Refusal(
            codes.ResultCode.DEADLINE_TOO_SHORT,
            'the deadline passed while the request waited',
        )
        result.append(decisions.Refused(entry.work, refusal))
    online = core.queue.lanes[work.Lane.ONLINE]
    waited = [
        entry
        for entry in online.entries_by_id.values()
        if now - entry.queued_at > NO_ENDPOINT_WAIT
        and not core.registry.usable(entry.work.model_id, now)
    ]
    for entry in waited:
        online.remove(entry)
        refusal = codes.Refusal(
            codes.ResultCode.NO_ENDPOINT,
            f'no endpoint serves {entry.work.model_id}',
            retry_after=NO_ENDPOINT_WAIT,
        )
        result.append(decisions.Refused(entry.work, refusal))
    return result
