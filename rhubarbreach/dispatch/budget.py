"""Retry budget, which limits retries to a fraction of the requests."""

import threading

__all__ = ['RetryBudget']

# Retries that each request adds to the balance.
RETRY_FRACTION = 0.1

# Requests fill the balance up to MAX_BALANCE. Time fills it up to
# INITIAL_BALANCE only, so that some retries are allowed even when there are
# few requests.
MIN_RETRIES_PER_SECOND = 1.0
MAX_BALANCE = 50.0
INITIAL_BALANCE = 10.0


class RetryBudget:
    """Token bucket of retries, filled by requests and over time.

    Parameters
    ----------
    now : float
        Monotonic seconds.
    """

    def __init__(self, now):
        self.lock = threading.Lock()
        self.balance = INITIAL_BALANCE
        self.refilled_at = now

    def add_request(self):
        """Add the fraction of a retry that a request allows."""
        with self.lock:
            self.balance = min(MAX_BALANCE, self.balance + RETRY_FRACTION)

    def take(self, now):
        """Take a retry from the budget and return whether one was left.

        Parameters
        ----------
        now : float
            Monotonic seconds.
        """
        with self.lock:
            if self.balance < INITIAL_BALANCE:
                refill = (now - self.refilled_at) * MIN_RETRIES_PER_SECOND
                self.balance = min(INITIAL_BALANCE, self.balance + refill)
            self.refilled_at = now
            if self.balance < 1:
                return False
            self.balance -= 1
            return True
