"""Yields of items in one step of the planner.

Designed for load peaks of online requests between which items fill the slots:
items yield for requests that wait, and ahead of those that are expected.
"""

from rhubarbreach.backlog import reserve
from rhubarbreach.backlog import yields

__all__ = ['YieldPolicy']


class YieldPolicy:
    """Reserve and yields, with what is learned of requests and items."""

    def __init__(self):
        self.planner = reserve.ReservePlanner()
        self.lengths = yields.CompletedLengths()

    def forget_requests(self):
        """Start with the initial forecast, as a new leader does."""
        self.planner = reserve.ReservePlanner()

    def add_item(self, event_count):
        """Add the length of a completed item."""
        self.lengths.add(event_count)

    def plan(self, waiting, running, slots, estimator, now):
        """Return the slots to keep free, and the items that yield.

        Parameters
        ----------
        waiting : sequence of WaitingItem
            Items that may start.
        running : sequence of RunningItem
            Running items.
        slots : sequence of EndpointSlots
            Use of the slots by endpoint.
        estimator : RunTimeEstimator
            Predicted run time of items.
        now : float
            Seconds of the monotonic clock.

        Returns
        -------
        Reserve, dict of tuple to str
            Slots to keep free, and the reasons of yields by item key.
        """
        wanted = reserve.measure_wanted([*waiting, *running], estimator)
        kept = self.planner.plan(slots, wanted, now)
        reasons = yields.plan_yields(
            running, slots, kept, estimator, self.lengths
        )
        self.planner.record_yields(
            [item.endpoint_id for item in running if item.key in reasons], now
        )
        return kept, reasons
