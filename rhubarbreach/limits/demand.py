"""Requests of one account that wait for tokens on one host."""

import concurrent.futures
import dataclasses

__all__ = ['DEMAND_WINDOW', 'Demand', 'Waiter']

# Seconds over which the demand of an account is measured.
DEMAND_WINDOW = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class Waiter:
    """A request that waits for tokens."""

    cost: float
    future: concurrent.futures.Future


@dataclasses.dataclass(slots=True)
class Demand:
    """Requests of one account on this host.

    Parameters
    ----------
    waiting : list of Waiter
        Requests that wait for the next grant.
    asked : list of Waiter
        Requests that wait for the grant that was asked for.
    asking : bool
        Whether the owner is being asked.
    window_end : float
        Monotonic seconds at which `cost` is turned into `rate`.
    cost, rate : float
        Tokens in this window, and tokens per second in the last one.
    """

    waiting: list = dataclasses.field(default_factory=list)
    asked: list = dataclasses.field(default_factory=list)
    asking: bool = False
    window_end: float = 0.0
    cost: float = 0.0
    rate: float = 0.0

    def record(self, cost, now):
        """Count tokens that a request needs."""
        if now >= self.window_end:
            idle = now - self.window_end > DEMAND_WINDOW
            self.rate = 0.0 if idle else self.cost / DEMAND_WINDOW
            self.cost = 0.0
            self.window_end = now + DEMAND_WINDOW
        self.cost += cost
