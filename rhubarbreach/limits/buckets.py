"""Token bucket whose rate and capacity may change."""

__all__ = ['TOLERANCE', 'TokenBucket']

# Shortfall in tokens that is ignored as a float rounding error.
TOLERANCE = 1e-9


class TokenBucket:
    """Token bucket that starts empty; the caller computes the refill.

    Parameters
    ----------
    now : float
        Monotonic time in seconds at which refilling starts.
    """

    def __init__(self, now):
        self.level = 0.0
        self.updated_at = now

    def refill(self, tokens, capacity, now):
        """Add tokens up to a capacity.

        Parameters
        ----------
        tokens : float
            Tokens earned since the last call.
        capacity : float
            Maximum number of tokens kept; tokens above it are dropped.
        now : float
            Monotonic time in seconds.
        """
        self.updated_at = max(self.updated_at, now)
        self.level = max(0.0, min(capacity, self.level + tokens))

    def take(self, cost):
        """Take tokens if there are enough; return whether they were taken."""
        if cost > self.level + TOLERANCE:
            return False
        self.level = max(0.0, self.level - cost)
        return True

    def empty(self, now):
        """Drop all tokens and restart the refill at `now`."""
        self.level = 0.0
        self.updated_at = now
