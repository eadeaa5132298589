"""Detection of a sustained overload of a service.

In a load peak of 2.4 s, a retried request may wait in a longer queue than a
new one, as both are served once the peak is over. When there are more requests
than slots for many seconds, for instance after most endpoints of a service are
lost, retried requests would fill the longer queue: all requests would be late,
and new ones would be refused.
"""

import math

__all__ = ['Saturation']

# Time constant of the moving average, and the level from which on an overload
# counts as sustained. With all slots in use this level is reached after 3.2 s,
# longer than a load peak of 2.4 s.
TIME_CONSTANT_SECONDS = 2.0
SUSTAINED_LEVEL = 0.8
# Without requests, the last state is assumed to last no longer than this.
MAX_GAP_SECONDS = 0.5


class Saturation:
    """Moving average of the fraction of time without a free slot.

    `level` is that fraction and `updated_at` the time of the last update, in
    seconds of the monotonic clock.
    """

    def __init__(self):
        self.level = 0.0
        self.updated_at = float('-inf')

    def update(self, is_full, now):
        """Update the average with the current state.

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

    def is_sustained(self):
        """Return whether the overload lasts longer than a load peak."""
        return self.level >= SUSTAINED_LEVEL
