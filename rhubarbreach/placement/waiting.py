"""What waits on a host, for its reports to the home hosts."""

from rhubarbreach.scheduling import work

__all__ = ['update_demand']


def update_demand(core, now):
    """Tell the slot table what waits, before it reports to the homes.

    Parameters
    ----------
    core : Core
        Scheduler core.
    now : float
        Monotonic seconds.
    """
    online = core.queue.lanes[work.Lane.ONLINE].models
    batch = core.queue.lanes[work.Lane.BATCH].models
    waiting = {endpoint: [0, 0] for endpoint in core.slots.uses}
    for model_id in {*online, *batch}:
        endpoints = core.registry.usable(model_id, now)
        for endpoint in endpoints:
            counts = waiting.setdefault(endpoint.endpoint_id, [0, 0])
            # Waiting online work needs one slot anywhere, not on each
            # endpoint; rounding up keeps a single request visible.
            counts[0] += -(-online[model_id] // len(endpoints))
            counts[1] += batch[model_id]
    for endpoint_id, counts in waiting.items():
        core.slots.set_waiting(endpoint_id, *counts)
    backlogged = core.queue.lanes[work.Lane.BATCH].backlogged
    weight = sum(flow.weight for flow in backlogged.values())
    core.slots.batch_weight = max(weight, 1e-3)
