"""How long all slots of a service have been in use.

The load this answers: more requests than slots for many seconds, as when most
endpoints of a service are taken away. In a wave of 2.4 s a caller that comes
back may queue longer than a new one, as both are served once the wave is
over. While the overload lasts, callers that come back would fill the longer
queue: all requests would be late, and new ones would be refused.
"""

import math

__all__ = ['Saturation']

# Time in which the past loses its weight, in seconds, and the level from
# which on an overload counts as lasting. With all slots in use it is reached
# after 3.2 s, longer than a wave of 2.4 s.
MEMORY_SECONDS = 2.0
LASTING_LEVEL = 0.8
# Without requests the last state is not known to have gone on for longer, in
# seconds.
MAX_GAP_SECONDS = 0.5


class Saturation:
    """Part of the recent time in which no slot was free.

    `level` is that part and `noted` when it was last noted, in seconds of
    the monotonic clock.
    """

    def __init__(self):
        self.level = 0.0
        self.noted = float('-inf')

    def note(self, is_full, now):
        """Note whether all slots are in use.

        Parameters
        ----------
        is_full : bool
            Whether no slot is free now.
        now : float
            Seconds of the monotonic clock.
        """
        gap = min(MAX_GAP_SECONDS, now - self.noted)
        weight = 1 - math.exp(-gap / MEMORY_SECONDS)
        self.level += (is_full - self.level) * weight
        self.noted = now

    def is_lasting(self):
        """Return whether the overload lasts longer than a wave."""
        return self.level >= LASTING_LEVEL
