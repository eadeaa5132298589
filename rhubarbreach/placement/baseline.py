"""Baseline policy: first-in first-out, round robin and no preemption."""

from rhubarbreach.placement import decisions
from rhubarbreach.placement import versions
from rhubarbreach.routing import choose
from rhubarbreach.scheduling import work

__all__ = ['place_in_order']


def place_in_order(core, now):
    """Place work of both lanes in order of arrival, by round robin.

    Parameters
    ----------
    core : Core
        Scheduler core whose queue and slots are used.
    now : float
        Monotonic seconds.

    Returns
    -------
    list of Placed or Refused
        Decisions made in this step.
    """
    result = []
    while True:
        models = {
            model_id
            for lane in work.Lane
            for model_id in list_placeable(core, lane, now)
        }
        entry = pop_oldest(core, models, now)
        if entry is None:
            return result
        candidates = core.list_candidates(entry.work, now)
        if not candidates:
            refusal = versions.refuse(entry.work)
            result.append(decisions.Refused(entry.work, refusal))
            continue
        free = core.filter_free(candidates, entry.work.lane, now)
        core.round_robin_index += 1
        options = free or candidates
        endpoint = options[core.round_robin_index % len(options)]
        choice = choose.Choice(endpoint, 'round robin')
        result.append(core.start(entry.work, choice, now))


def list_placeable(core, lane, now):
    """Return the models of a lane that have a free slot."""
    return {
        model_id
        for model_id, count in core.queue.lanes[lane].models.items()
        if count > 0
        and core.filter_free(core.registry.usable(model_id, now), lane, now)
    }


def pop_oldest(core, models, now):
    """Remove and return the oldest entry of both lanes, or None."""
    heads = [
        (entry.queued_at, lane)
        for lane in work.Lane
        for entry in core.queue.lanes[lane].peek(models)
    ]
    if not heads:
        return None
    _, lane = min(heads)
    return core.queue.lanes[lane].pop(now, models)
