"""Requests of one client account that wait for tokens on one host."""

import concurrent.futures
import dataclasses

__all__ = ['DEMAND_WINDOW_SECONDS', 'Demand', 'Waiter']

# Length in seconds of the window over which the demand is measured.
DEMAND_WINDOW_SECONDS = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class Waiter:
    """Request that waits for tokens.

    `future` completes with None on admission and with a `Refusal` otherwise.
    """

    cost: float
    future: concurrent.futures.Future


@dataclasses.dataclass(slots=True)
class Demand:
    """Demand of one client account on this host.

    Parameters
    ----------
    waiting : list of Waiter
        Requests whose tokens have not been requested from the owner yet.
    requested : list of Waiter
        Requests whose tokens were requested by the call in flight.
    request_in_flight : bool
        Whether a call to the owner is in flight.
    window_end : float
        Monotonic time in seconds at which the window ends and `rate` is
        computed from `cost`.
    cost, rate : float
        Tokens needed in the current window, and tokens per second needed
        in the last one.
    """

    waiting: list = dataclasses.field(default_factory=list)
    requested: list = dataclasses.field(default_factory=list)
    request_in_flight: bool = False
    window_end: float = 0.0
    cost: float = 0.0
    rate: float = 0.0

    def record(self, cost, now):
        """Add the cost of a request, in tokens, to the demand."""
        if now >= self.window_end:
            idle = now - self.window_end > DEMAND_WINDOW_SECONDS
            self.rate = 0.0 if idle else self.cost / DEMAND_WINDOW_SECONDS
            self.cost = 0.0
            self.window_end = now + DEMAND_WINDOW_SECONDS
        self.cost += cost
