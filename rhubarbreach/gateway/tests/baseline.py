"""Overload policy of b218eb7, the baseline of replays.

The length of load peaks is learned. A request that is refused in a peak should
return when the peak is over, and a retried request may wait in a longer queue
inside engines unless the overload lasts much longer than a peak.
"""

import math

__all__ = ['Saturation']

# Time constant of the moving average of the state. All slots may be in use
# for a moment outside of an overload, and one be free within it.
TIME_CONSTANT_SECONDS = 0.3
# Levels of that average at which an overload begins and ends.
BEGIN_LEVEL = 0.5
END_LEVEL = 0.3
# Without requests, the last state is assumed to last no longer than this.
MAX_GAP_SECONDS = 0.5
# Length of a load peak until one has been observed, and the longest one that
# callers may be asked to wait for.
INITIAL_PEAK_SECONDS = 1.6
MAX_PEAK_SECONDS = 2.5
# Weight of the newest peak in the average of their lengths.
PEAK_WEIGHT = 0.3
# An overload is sustained from this multiple of the usual peak on.
SUSTAINED_FACTOR = 2.0
# Shortest time after which a refused caller may return.
MIN_RETRY_SECONDS = 0.3
# Refused callers return at random up to this multiple of the remaining time,
# so that they do not return together.
RETRY_SPREAD = 1.5


class Saturation:
    """State of one service: whether it is overloaded, and for how long.

    `level` is the moving average of the fraction of time without a free slot,
    `updated_at` the time of its last update, `begun_at` the time at which the
    current overload began, None if there is none, both in seconds of the
    monotonic clock. `peak_seconds` is the mean length of load peaks.
    """

    def __init__(self):
        self.level = 0.0
        self.updated_at = float('-inf')
        self.begun_at = None
        self.peak_seconds = INITIAL_PEAK_SECONDS

    def update(self, is_full, now):
        """Update the state.

        Parameters
        ----------
        is_full : bool
            Whether no slot is free now.
        now : float
            Seconds of the monotonic clock.
        """
        gap = min(MAX_GAP_SECONDS, now - self.updated_at)
        weight = 1 - math.exp(-gap / TIME_CONSTANT_SECONDS)
        self.level += (is_full - self.level) * weight
        self.updated_at = now
        if self.begun_at is None:
            if self.level > BEGIN_LEVEL:
                self.begun_at = now
        elif self.level < END_LEVEL:
            length = min(MAX_PEAK_SECONDS, now - self.begun_at)
            self.peak_seconds += (length - self.peak_seconds) * PEAK_WEIGHT
            self.begun_at = None

    def is_sustained(self):
        """Return whether the overload lasts longer than a load peak."""
        return (
            self.begun_at is not None
            and self.updated_at - self.begun_at
            > SUSTAINED_FACTOR * self.peak_seconds
        )

    def predict_remaining(self, now):
        """Return the seconds until the overload is probably over.

        An overload that has lasted longer than a usual peak is expected to
        last for the length of another one.
        """
        if self.begun_at is None:
            return self.peak_seconds / 2
        remaining = self.peak_seconds - (now - self.begun_at)
        return remaining if remaining > 0 else self.peak_seconds

    def draw_retry_after(self, now, draw):
        """Return the time in seconds after which a refused caller may return.

        Parameters
        ----------
        now : float
            Seconds of the monotonic clock.
        draw : callable
            Returns a random number between two bounds.
        """
        remaining = max(MIN_RETRY_SECONDS, self.predict_remaining(now))
        return remaining * draw(1.0, RETRY_SPREAD)
