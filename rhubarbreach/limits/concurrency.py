"""Concurrency limit of an endpoint, learned from its latency."""

import dataclasses

__all__ = ['ConcurrencyLimit', 'LimitSettings']


@dataclasses.dataclass(frozen=True, slots=True)
class LimitSettings:
    """Bounds and targets of the learned limit.

    Parameters
    ----------
    start, least, most : int
        First, lowest and highest limit of an endpoint that does not report
        its slots.
    inter_token : float
        Seconds between tokens above which the limit falls.
    first_token_ratio : float
        Median first-token latency relative to the lowest median of a
        window above which the limit falls, because requests then wait
        inside the engine.
    window : float
        Seconds between two changes.
    decrease : float
        Factor of a decrease.
    """

    start: int = 8
    least: int = 1
    most: int = 256
    inter_token: float = 0.055
    first_token_ratio: float = 4.0
    window: float = 0.5
    decrease: float = 0.9


DEFAULT = LimitSettings()
# Growth per window of the lowest median first-token latency, so that it is
# measured again when the mix of requests changes.
FLOOR_GROWTH = 1.002
# Fraction of the limit in use below which the limit does not grow, because
# the latency then says nothing about a higher concurrency.
BUSY_FRACTION = 0.8


class ConcurrencyLimit:
    """Limit of one endpoint: additive increase, multiplicative decrease.

    Parameters
    ----------
    settings : LimitSettings
        Bounds and targets.
    now : float
        Monotonic seconds.
    """

    def __init__(self, settings=DEFAULT, now=0.0):
        self.settings = settings
        self.value = float(settings.start)
        self.reported = 0
        self.floor = None
        self.first_tokens = []
        self.inter_tokens = []
        self.window_end = now + settings.window

    def set_reported(self, slots):
        """Take the slots that the endpoint reports as an upper bound.

        Parameters
        ----------
        slots : int
            Requests that the engine batches at most, 0 if unknown.
        """
        if slots == self.reported:
            return
        self.reported = slots
        if slots > 0:
            self.value = float(slots)

    def get(self):
        """Return the limit in requests."""
        return max(self.settings.least, int(self.value))

    def observe(self, first_token, inter_token):
        """Record the latencies of a request.

        Parameters
        ----------
        first_token, inter_token : float or None
            Seconds; None or 0 where nothing was measured.
        """
        if first_token:
            self.first_tokens.append(first_token)
        if inter_token:
            self.inter_tokens.append(inter_token)

    def update(self, running, now):
        """Change the limit once a window.

        Parameters
        ----------
        running : int
            Requests in use at the endpoint.
        now : float
            Monotonic seconds.
        """
        if now < self.window_end:
            return
        self.window_end = now + self.settings.window
        if not self.first_tokens and not self.inter_tokens:
            return
        if self.is_overloaded():
            self.value *= self.settings.decrease
        elif running >= BUSY_FRACTION * self.get():
            self.value += 1.0
        most = self.reported or self.settings.most
        self.value = min(max(self.value, self.settings.least), most)
        self.first_tokens.clear()
        self.inter_tokens.clear()

    def is_overloaded(self):
        """Return whether the window's latencies are above the targets."""
        if self.inter_tokens:
            mean = sum(self.inter_tokens) / len(self.inter_tokens)
            if mean > self.settings.inter_token:
                return True
        if not self.first_tokens:
            return False
        ordered = sorted(self.first_tokens)
        median = ordered[len(ordered) // 2]
        if self.floor is None:
            self.floor = median
        self.floor = min(median, self.floor * FLOOR_GROWTH)
        return median > self.floor * self.settings.first_token_ratio
