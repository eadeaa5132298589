"""Monotonic deadlines and the hybrid logical clock of the time line."""

import threading
import time

__all__ = [
    'COUNTER_BITS',
    'HybridClock',
    'MAX_DRIFT',
    'monotonic',
    'remaining',
    'stamp_to_seconds',
]

# Fraction by which the monotonic clocks of two hosts may differ. Leases are
# shortened by it where they are held and lengthened where they are granted.
MAX_DRIFT = 0.01

COUNTER_BITS = 16
MILLISECONDS_PER_SECOND = 1000


def monotonic():
    """Return seconds of a clock that also counts suspended time.

    A host that sleeps through the withdrawal of a key must not wake with
    leases that still seem valid.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def remaining(deadline, now):
    """Return the seconds left until a deadline, never below zero.

    Parameters
    ----------
    deadline : float
        Seconds of the monotonic clock.
    now : float
        Seconds of the monotonic clock.

    Returns
    -------
    float
        Seconds.
    """
    return max(0.0, deadline - now)


def stamp_to_seconds(stamp):
    """Return the wall clock seconds of a hybrid clock stamp.

    Parameters
    ----------
    stamp : int
        Stamp of `HybridClock`.

    Returns
    -------
    float
        Seconds since the epoch, rounded down to a millisecond.
    """
    return (stamp >> COUNTER_BITS) / MILLISECONDS_PER_SECOND


class HybridClock:
    """Clock whose stamps respect cause and effect across hosts.

    A stamp is an int of 48 bits of wall clock milliseconds and 16 bits of
    counter. A stamp issued after `observe(s)` is greater than s even when
    the wall clock of this host is behind.

    Parameters
    ----------
    wall : callable, optional
        Returns seconds since the epoch.
    """

    def __init__(self, wall=time.time):
        self.wall = wall
        self.last = 0
        self.lock = threading.Lock()

    def now(self):
        """Return a stamp greater than each stamp issued or observed."""
        milliseconds = int(self.wall() * MILLISECONDS_PER_SECOND)
        physical = milliseconds << COUNTER_BITS
        with self.lock:
            self.last = max(self.last + 1, physical)
            return self.last

    def observe(self, stamp):
        """Take a stamp received from another host into account.

        Parameters
        ----------
        stamp : int
            Stamp of the other host's clock.
        """
        with self.lock:
            self.last = max(self.last, stamp)
