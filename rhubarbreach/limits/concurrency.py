"""Adaptive concurrency limit of an endpoint, based on its latency."""

import dataclasses

__all__ = ['ConcurrencyLimit', 'LimitSettings']


@dataclasses.dataclass(frozen=True, slots=True)
class LimitSettings:
    """Bounds and latency targets of the adaptive limit.

    Parameters
    ----------
    start, least, most : int
        Initial, lowest and highest limit of an endpoint that does not report
        its slots.
    inter_token : float
        Mean inter-token latency in seconds above which the limit is
        decreased.
    first_token_ratio : float
        The limit is decreased when the median first-token latency of a
        window exceeds the lowest such median by this factor, because
        requests are then queued inside the engine.
    window : float
        Seconds between two updates of the limit.
    decrease : float
        Factor by which the limit is multiplied on a decrease.
    """

    start: int = 8
    least: int = 1
    most: int = 256
    inter_token: float = 0.055
    first_token_ratio: float = 4.0
    window: float = 0.5
    decrease: float = 0.9


DEFAULT = LimitSettings()
# Factor by which the lowest median first-token latency grows per window, so
# that it adapts when the mix of requests changes.
LOWEST_MEDIAN_GROWTH = 1.002
# The limit grows only while at least this fraction of it is in use. At lower
# use the latency is no evidence for a higher concurrency.
BUSY_FRACTION = 0.8


class ConcurrencyLimit:
    """AIMD concurrency limit of one endpoint.

    The limit increases additively and decreases multiplicatively.

    Parameters
    ----------
    settings : LimitSettings
        Bounds and latency targets.
    now : float
        Monotonic time in seconds.
    """

    def __init__(self, settings=DEFAULT, now=0.0):
        self.settings = settings
        self.value = float(settings.start)
        self.reported = 0
        self.lowest_median = None
        self.first_tokens = []
        self.inter_tokens = []
        self.window_end = now + settings.window

    def set_reported_slots(self, slots):
        """Use the slots that the endpoint reports as an upper bound.

        Parameters
        ----------
        slots : int
            Maximum batch size of the engine in requests, 0 if unknown.
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
            Latencies in seconds; None or 0 if not measured.
        """
        if first_token:
            self.first_tokens.append(first_token)
        if inter_token:
            self.inter_tokens.append(inter_token)

    def update(self, running, now):
        """Update the limit once per window.

        Parameters
        ----------
        running : int
            Requests in flight at the endpoint.
        now : float
            Monotonic time in seconds.
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
        upper_bound = self.reported or self.settings.most
        self.value = min(max(self.value, self.settings.least), upper_bound)
        self.first_tokens.clear()
        self.inter_tokens.clear()

    def is_overloaded(self):
        """Return whether a latency of the window exceeds its target."""
        if self.inter_tokens:
            mean = sum(self.inter_tokens) / len(self.inter_tokens)
            if mean > self.settings.inter_token:
                return True
        if not self.first_tokens:
            return False
        ordered = sorted(self.first_tokens)
        median = ordered[len(ordered) // 2]
        if self.lowest_median is None:
            self.lowest_median = median
        self.lowest_median = min(
            median, self.lowest_median * LOWEST_MEDIAN_GROWTH
        )
        return median > self.lowest_median * self.settings.first_token_ratio
