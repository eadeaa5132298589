"""Measurement of the rate at which queued work is served."""

import collections
import dataclasses

__all__ = ['ServiceMeter']

# Sliding window over which the rate is measured.
WINDOW_SECONDS = 5.0
# The rate is unknown until the queue has been backlogged for this long.
MIN_BACKLOG_SECONDS = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class Served:
    """Cost in tokens that left the queue at a monotonic time in seconds."""

    left_at: float
    cost: float


class ServiceMeter:
    """Service rate of a queue, measured while the queue is never empty."""

    def __init__(self):
        self.served = collections.deque()
        self.total = 0.0
        self.backlog_since = None

    def start(self, now):
        """Record that the queue is no longer empty."""
        if self.backlog_since is None:
            self.backlog_since = now

    def stop(self):
        """Discard the measurement; an empty queue shows no service rate."""
        self.backlog_since = None
        self.served.clear()
        self.total = 0.0

    def record(self, cost, now):
        """Record that work has left the queue."""
        self.served.append(Served(now, cost))
        self.total += cost
        while self.served and self.served[0].left_at < now - WINDOW_SECONDS:
            self.total -= self.served.popleft().cost

    def get_rate(self, now):
        """Return the rate in tokens per second, or None if unknown."""
        if self.backlog_since is None:
            return None
        elapsed = min(WINDOW_SECONDS, now - self.backlog_since)
        if elapsed < MIN_BACKLOG_SECONDS or not self.served:
            return None
        return self.total / elapsed
