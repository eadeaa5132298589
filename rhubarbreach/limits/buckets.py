"""Token bucket whose rate and capacity may change."""

__all__ = ['TOLERANCE', 'TokenBucket']

# Tokens by which a level may fall short, for rounding of floats.
TOLERANCE = 1e-9


class TokenBucket:
    """Tokens that refill at a rate up to a capacity; starts empty.

    Parameters
    ----------
    now : float
        Monotonic seconds from which it refills.
    """

    def __init__(self, now):
        self.level = 0.0
        self.updated_at = now

    def refill(self, tokens, capacity, now):
        """Add tokens up to a capacity.

        Parameters
        ----------
        tokens : float
            Earned since the last call.
        capacity : float
            Tokens that may be kept; a lower one drops the rest.
        now : float
            Monotonic seconds.
        """
        self.updated_at = max(self.updated_at, now)
        self.level = max(0.0, min(capacity, self.level + tokens))

    def take(self, cost):
        """Take tokens if there are enough; return whether there were."""
        if cost > self.level + TOLERANCE:
            return False
        self.level = max(0.0, self.level - cost)
        return True

    def empty(self, now):
        """Drop all tokens and refill from now on."""
        self.level = 0.0
        self.updated_at = now
