"""Logical time of a replicated group.

Replicas must not read their own clocks while they apply commands. Instead,
the leader commits `Tick` commands, and only these advance the time of the
state machine. Each tick holds the logical time at which its leader began to
measure, so that a delayed or repeated tick of an earlier leader does not
count the same time twice.
"""

import dataclasses

__all__ = ['MAX_STEP_MS', 'Tick', 'advance']

# Maximum advance of time by one tick, so that a leader that was paused, or a
# new leader, never ends a claim early. Claims last longer by this value,
# since the logical time may lag by one tick when they are granted.
MAX_STEP_MS = 1000


@dataclasses.dataclass(frozen=True, slots=True)
class Tick:
    """Command that advances logical time to `base` + `elapsed` milliseconds.

    Parameters
    ----------
    base : int
        Logical time of the leader's state machine when it began to measure.
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
    return max(time, min(tick.base + tick.elapsed, time + MAX_STEP_MS))
