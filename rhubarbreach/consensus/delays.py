"""Mean delay with which a majority answers a leader."""

__all__ = ['QuorumDelay']

# Time constant of the mean, so that a single pause does not count.
MEAN_SECONDS = 0.6
# Greater ages count as this one, for the same reason.
MAX_AGE_SECONDS = 0.6
# Longest time that one observation stands for, also after a suspension.
MAX_STEP_SECONDS = 0.25


class QuorumDelay:
    """Mean age of the messages of a leader that a majority has answered.

    `seconds` is the mean.
    """

    def __init__(self):
        self.seconds = 0.0
        self.observed_at = float('-inf')

    def observe(self, age, now):
        """Add the current age to the mean.

        Parameters
        ----------
        age : float
            Seconds since the latest messages that a majority has answered.
        now : float
            Seconds of the monotonic clock.
        """
        step = min(MAX_STEP_SECONDS, max(0.0, now - self.observed_at))
        self.observed_at = now
        weight = step / MEAN_SECONDS
        self.seconds += weight * (min(age, MAX_AGE_SECONDS) - self.seconds)
