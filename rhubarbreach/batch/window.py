"""How many items a host claims ahead of the endpoints."""

import dataclasses

__all__ = [
    'Throughput',
    'Window',
    'choose_backoff',
    'choose_wanted',
    'plan_claims',
]

# Seconds of work kept claimed ahead. It covers one commit of a claim with
# ample reserve; a lost host delays no more items than these and those that
# were running.
AHEAD_SECONDS = 2.0
MIN_AHEAD = 16
# Each item that waits occupies a thread of the executor.
MAX_AHEAD = 512
# Items that may be outstanding when the scheduler does not tell how many of
# them wait.
DEFAULT_OUTSTANDING = 256
# Free part of the window from which on items are claimed.
CLAIM_FRACTION = 0.25
# Seconds between claims of a group that has nothing to claim.
MIN_BACKOFF = 0.02
MAX_BACKOFF = 0.5
BACKOFF_FACTOR = 2.0
# Seconds over which the throughput is averaged.
AVERAGING_TIME = 2.0


@dataclasses.dataclass(frozen=True, slots=True)
class Window:
    """What is known when items are to be claimed.

    Parameters
    ----------
    outstanding : int
        Items handed to the executor and not yet ended.
    waiting : int or None
        Those of them that have no endpoint yet; None when not known.
    requested : int
        Items asked for in claims that have not been answered.
    rate : float
        Items per second that ended lately.
    refused : bool
        Whether such items cannot run here at present.
    """

    outstanding: int
    waiting: int | None
    requested: int
    rate: float
    refused: bool = False


def choose_wanted(window):
    """Return how many items to claim now.

    Parameters
    ----------
    window : Window
        Present state.

    Returns
    -------
    int
        Items; 0 unless a worthwhile part of the window is free, so that
        claims do not become one commit for each item.
    """
    if window.refused:
        return 0
    if window.waiting is None:
        ahead = DEFAULT_OUTSTANDING
        used = window.outstanding
    else:
        ahead = int(window.rate * AHEAD_SECONDS)
        ahead = min(MAX_AHEAD, max(MIN_AHEAD, ahead))
        used = window.waiting
    free = ahead - used - window.requested
    return free if free >= ahead * CLAIM_FRACTION else 0


def plan_claims(windows, requested):
    """Return how many items to claim, and of which targets none.

    Parameters
    ----------
    windows : dict of str to Window
        State of each known target.
    requested : int
        Items asked for in claims that have not been answered.

    Returns
    -------
    tuple of int and tuple of str
        Items, and the targets that have enough. While there is room, some
        items of targets not seen before are wanted.
    """
    wanted = 0
    used = requested
    excluded = []
    for name, state in windows.items():
        waiting = state.waiting
        used += state.outstanding if waiting is None else waiting
        more = choose_wanted(state)
        wanted = max(wanted, more)
        if not more:
            excluded.append(name)
    if used < MAX_AHEAD:
        wanted = max(wanted, MIN_AHEAD - requested)
    return wanted, tuple(excluded)


def choose_backoff(previous):
    """Return the seconds until the next claim after one without items."""
    return min(MAX_BACKOFF, max(MIN_BACKOFF, previous * BACKOFF_FACTOR))


class Throughput:
    """Average number of items that end per second."""

    def __init__(self):
        self.rate = 0.0
        self.count = 0
        self.since = None

    def add(self, count):
        """Note items that ended."""
        self.count += count

    def update(self, now):
        """Return the rate in items per second.

        Parameters
        ----------
        now : float
            Monotonic seconds.
        """
        if self.since is None:
            self.since = now
            return self.rate
        elapsed = now - self.since
        if elapsed < AVERAGING_TIME / 8:
            return self.rate
        share = min(1.0, elapsed / AVERAGING_TIME)
        self.rate += share * (self.count / elapsed - self.rate)
        self.count = 0
        self.since = now
        return self.rate
