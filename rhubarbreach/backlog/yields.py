"""Choice of the items that yield their slots to online requests.

Designed for load peaks of online requests that come several times during the
run of an item: a cut costs little in itself, but items that are cut again and
again, or shortly before their end, complete too late.
"""

import bisect
import collections

__all__ = ['CompletedLengths', 'compute_cut_cost', 'plan_yields']

# Seconds until a yield frees a slot whose request waits. An item that
# completes as soon is not cut.
CUT_SECONDS = 0.1
# Seconds before its end in which an item does not yield ahead of demand.
NEAR_END_SECONDS = 0.5
# Chance from which an item counts as one that completes in that time.
NEAR_END_CHANCE = 0.5
# Completed items whose lengths are remembered.
MAX_LENGTHS = 64
# Seconds to read a prompt of some hundred tokens again, and an event.
READ_PROMPT_SECONDS = 0.007
READ_EVENT_SECONDS = 0.0002
# Part of the run time so far that is lost on average: an item that has yielded
# is late more often.
LOSS_FRACTION = 0.1
# Seconds from a yield to the next start, the length of a peak.
RESUME_SECONDS = 2.4


class CompletedLengths:
    """Numbers of events of the items that completed last."""

    def __init__(self):
        self.recent = collections.deque(maxlen=MAX_LENGTHS)
        self.ordered = []

    def add(self, event_count):
        """Add the length of a completed item."""
        self.recent.append(event_count)
        self.ordered = sorted(self.recent)

    def get_chance(self, event_count, next_events):
        """Return the chance that an item completes within its next events.

        It is 0 if no item has completed that was longer than this one is now.
        """
        # The list is replaced when an item completes.
        ordered = self.ordered
        start = bisect.bisect_right(ordered, event_count)
        longer = len(ordered) - start
        if not longer:
            return 0.0
        end = bisect.bisect_right(ordered, event_count + next_events)
        return (end - start) / longer


def compute_cut_cost(item, estimator):
    """Return what the cut of a run costs, in seconds of slot time.

    Parameters
    ----------
    item : RunningItem
        Item that would yield.
    estimator : RunTimeEstimator
        Predicted run time of items.
    """
    cost = READ_PROMPT_SECONDS + item.event_count * READ_EVENT_SECONDS
    if item.slack < 0:
        return cost
    cost += LOSS_FRACTION * item.event_count * estimator.interval
    if item.slack < RESUME_SECONDS:
        # In time only without the cut.
        cost += estimator.events * estimator.interval
    return cost


def plan_yields(running, slots, kept, estimator, lengths):
    """Return the reasons of yields by item key.

    The reason is `online` if online requests wait for the slot already, and
    `ahead` if they are expected to need it.

    Parameters
    ----------
    running : iterable of RunningItem
        Running items.
    slots : iterable of EndpointSlots
        Use of the slots by endpoint.
    kept : Reserve
        Slots that are to be free of items.
    estimator : RunTimeEstimator
        Predicted run time of items.
    lengths : CompletedLengths
        Lengths of completed items.
    """
    by_endpoint = {}
    for item in running:
        by_endpoint.setdefault(item.endpoint_id, []).append(item)
    cut_events = CUT_SECONDS / estimator.interval
    near_events = NEAR_END_SECONDS / estimator.interval
    reasons = {}
    for endpoint in slots:
        excess = max(0, endpoint.excess)
        ahead = kept.yields.get(endpoint.endpoint_id, 0) - (
            endpoint.total - endpoint.online - endpoint.batch
        )
        if excess <= 0 and ahead <= 0:
            continue
        ranked = []
        for item in by_endpoint.get(endpoint.endpoint_id, ()):
            chance = lengths.get_chance(item.event_count, cut_events)
            if chance >= NEAR_END_CHANCE:
                continue
            chance = lengths.get_chance(item.event_count, near_events)
            is_near_end = chance >= NEAR_END_CHANCE
            cost = compute_cut_cost(item, estimator)
            ranked.append((is_near_end, cost, -item.due, item.key))
        ranked.sort()
        for number, (is_near_end, _, _, key) in enumerate(ranked):
            if number < excess:
                reasons[key] = 'online'
            elif number < ahead and not is_near_end:
                reasons[key] = 'ahead'
    return reasons
