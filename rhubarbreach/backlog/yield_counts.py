"""Counts of runs cut short and of requests that wait for them to end."""

import collections

__all__ = ['YieldCounts']


class YieldCounts:
    """Counts for the metrics and the summary in the log.

    Parameters
    ----------
    metrics : Metrics or None
        Registry that receives the counts.
    """

    def __init__(self, metrics):
        self.metrics = metrics
        self.blocked = {}
        self.kept_free = 0

    def record_cut(self, reason):
        """Count a run that was cut short."""
        if self.metrics is not None:
            self.metrics.count('item_runs_cut_total', reason=reason)

    def record_slots(self, slots, kept):
        """Count the requests that have begun to wait for an item to end.

        Parameters
        ----------
        slots : iterable of EndpointSlots
            Use of the slots by endpoint.
        kept : Reserve
            Slots that are kept free.
        """
        blocked = {e.endpoint_id: e.blocked for e in slots if e.blocked}
        begun = collections.Counter(blocked)
        begun.subtract(self.blocked)
        count = sum(number for number in begun.values() if number > 0)
        self.blocked = blocked
        self.kept_free = kept.total
        if self.metrics is None:
            return
        if count:
            self.metrics.count('requests_behind_items_total', count)
        self.metrics.set_gauge('slots_kept_free', self.kept_free)
