"""Starts and yields of items as planned in commit b218eb7."""

from rhubarbreach.backlog import plan

__all__ = ['BaselinePolicy']


class BaselinePolicy:
    """Items fill nearly all slots and yield once online requests wait."""

    def step(self, waiting, running, slots, estimator, now):
        """Return the starts, and the reasons of yields by item key."""
        reasons = {}
        for endpoint in slots:
            on_endpoint = [
                r for r in running if r.endpoint_id == endpoint.endpoint_id
            ]
            on_endpoint.sort(key=plan.get_rank, reverse=True)
            for run in on_endpoint[: max(0, endpoint.excess)]:
                reasons[run.key] = 'online'
        free = {e.endpoint_id: e.free for e in slots}
        starts = []
        ranked = sorted(waiting, key=plan.get_rank)
        unplaced = place(ranked, free, starts)
        for endpoint in slots:
            if endpoint.online < endpoint.total * plan.LOW_ONLINE_FRACTION:
                free[endpoint.endpoint_id] += plan.SPARE_SLOTS
        unplaced = place(unplaced, free, starts)
        for key in plan.plan_displacements(running, unplaced):
            reasons.setdefault(key, 'displaced')
        return starts, reasons

    def add_item(self, event_count):
        """Ignore the length of a completed item."""


def place(ranked, free, starts):
    """Add starts at the emptiest endpoints; return the unplaced items."""
    unplaced = []
    for item in ranked:
        best = max(free, key=lambda e: (free[e], e))
        if free[best] <= 0:
            unplaced.append(item)
            continue
        free[best] -= 1
        starts.append((item, best))
    return unplaced
