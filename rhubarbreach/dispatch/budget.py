"""Budget that keeps retries a small part of all requests."""

import threading

__all__ = ['RetryBudget']

# Retries per request in the long run.
RETRY_FRACTION = 0.1

# Retries allowed per second even when there are few requests, and retries
# that may be saved up.
MINIMUM_PER_SECOND = 1.0
MAX_SAVED = 50.0
INITIAL = 10.0


class RetryBudget:
    """Counts requests and the retries that they allow.

    Parameters
    ----------
    now : float
        Monotonic seconds.
    """

    def __init__(self, now):
        self.lock = threading.Lock()
        self.saved = INITIAL
        self.refilled_at = now

    def add_request(self):
        """Count a request."""
        with self.lock:
            self.saved = min(MAX_SAVED, self.saved + RETRY_FRACTION)

    def take(self, now):
        """Return whether a retry is allowed, and count it.

        Parameters
        ----------
        now : float
            Monotonic seconds.
        """
        with self.lock:
            if self.saved < INITIAL:
                refill = (now - self.refilled_at) * MINIMUM_PER_SECOND
                self.saved = min(INITIAL, self.saved + refill)
            self.refilled_at = now
            if self.saved < 1:
                return False
            self.saved -= 1
            return True
