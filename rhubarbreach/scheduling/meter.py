"""Measured rate at which queued work is served."""

import collections
import dataclasses

__all__ = ['ServiceMeter']

# Seconds over which the rate is measured.
WINDOW = 5.0
# Seconds of backlog below which the rate is not known.
MIN_BACKLOG = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class Served:
    """Cost that left the queue at a time, in tokens and seconds."""

    at: float
    cost: float


class ServiceMeter:
    """Cost per second that leaves a queue while it is never empty."""

    def __init__(self):
        self.served = collections.deque()
        self.total = 0.0
        self.backlog_since = None

    def start(self, now):
        """Note that the queue is no longer empty."""
        if self.backlog_since is None:
            self.backlog_since = now

    def stop(self):
        """Note that the queue is empty; earlier figures say nothing."""
        self.backlog_since = None
        self.served.clear()
        self.total = 0.0

    def record(self, cost, now):
        """Note that work left the queue."""
        self.served.append(Served(now, cost))
        self.total += cost
        while self.served and self.served[0].at < now - WINDOW:
            self.total -= self.served.popleft().cost

    def get_rate(self, now):
        """Return tokens per second, or None when it is not known."""
        if self.backlog_since is None:
            return None
        elapsed = min(WINDOW, now - self.backlog_since)
        if elapsed < MIN_BACKLOG or not self.served:
            return None
        return self.total / elapsed
