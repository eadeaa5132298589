"""Monotonic clock for deadlines, and the hybrid logical clock of timelines."""

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

# Fraction by which the rates of two hosts' monotonic clocks may differ. The
# holder of a lease shortens it by this fraction, and the grantor lengthens it.
MAX_DRIFT = 0.01

COUNTER_BITS = 16
MILLISECONDS_PER_SECOND = 1000


def monotonic():
    """Return the seconds of a clock that also counts suspended time.

    Otherwise, a host that is suspended while a key is revoked could resume
    with leases that still seem valid.
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
    """Return the wall clock time of a hybrid clock stamp.

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
    """Hybrid logical clock, whose stamps preserve causality across hosts.

    A stamp is an int of 48 bits of wall clock milliseconds and 16 bits of
    counter. A stamp issued after `observe(s)` is greater than `s` even if
    the wall clock of this host is behind.

    Parameters
    ----------
    wall : callable, optional
        Wall clock, which returns seconds since the epoch.
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
        """Advance the clock to a stamp received from another host.

        Parameters
        ----------
        stamp : int
            Stamp from the other host's clock.
        """
        with self.lock:
            self.last = max(self.last, stamp)
