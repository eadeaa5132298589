"""Demand of waiting work, for the reports to the home hosts."""

from rhubarbreach.scheduling import work

__all__ = ['update_demand']


def update_demand(core, now):
    """Update the demand in the slot table before the next report.

    Parameters
    ----------
    core : Core
        Scheduler core.
    now : float
        Monotonic seconds.
    """
    online = core.queue.lanes[work.Lane.ONLINE].models
    batch = core.queue.lanes[work.Lane.BATCH].models
    waiting_counts = {endpoint: [0, 0] for endpoint in core.slots.uses}
    for model_id in {*online, *batch}:
        endpoints = core.registry.usable(model_id, now)
        for endpoint in endpoints:
            counts = waiting_counts.setdefault(endpoint.endpoint_id, [0, 0])
            # An online request needs a slot on any endpoint, so the demand is
            # divided among them. It is rounded up so that a single request
            # counts.
            counts[0] += -(-online[model_id] // len(endpoints))
            counts[1] += batch[model_id]
    for endpoint_id, counts in waiting_counts.items():
        core.slots.set_waiting(endpoint_id, *counts)
    backlogged = core.queue.lanes[work.Lane.BATCH].backlogged
    weight = sum(flow.weight for flow in backlogged.values())
    core.slots.batch_weight = max(weight, 1e-3)
