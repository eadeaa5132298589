"""Logical time of a replicated group.

Replicas cannot read their own clocks while they apply commands. The leader
commits `Tick` commands instead, and the machine's time advances only by
these. Each tick says when its leader began to measure, so that a delayed or
repeated tick of an earlier leader advances nothing twice.
"""

import dataclasses

__all__ = ['MAX_STEP', 'Tick', 'advance']

# Milliseconds by which one tick advances time at most. A leader that was
# stopped for a while, or a new one, thus never ends a claim early; claims
# are lengthened by it because time may lag by one tick when they are given.
MAX_STEP = 1000


@dataclasses.dataclass(frozen=True, slots=True)
class Tick:
    """Advance logical time to `base` + `elapsed` milliseconds.

    Parameters
    ----------
    base : int
        Logical time of the leader's machine when it began to measure.
    elapsed : int
        Milliseconds of the leader's monotonic clock since then.
    """

    base: int
    elapsed: int


def advance(time, tick):
    """Return the logical time after a tick.

    Parameters
    ----------
    time : int
        Logical time in milliseconds.
    tick : Tick
        Committed tick.

    Returns
    -------
    int
        Logical time in milliseconds, never below `time`.
    """
    return max(time, min(tick.base + tick.elapsed, time + MAX_STEP))
