"""Number of items that a host claims in advance."""

import dataclasses

__all__ = [
    'Throughput',
    'Window',
    'choose_backoff',
    'compute_claim_size',
    'plan_claims',
]

# Work that is claimed in advance. It covers the commit of a claim with ample
# reserve, and limits the items that the loss of a host delays to these and the
# running ones.
PREFETCH_SECONDS = 2.0
MIN_PREFETCH = 16
# Each waiting item occupies a thread of the executor.
MAX_PREFETCH = 512
# Limit of the items in flight when the number of waiting ones is unknown.
DEFAULT_OUTSTANDING = 256
# Fraction of the window that has to be free before items are claimed.
CLAIM_FRACTION = 0.25
# Time between claims from a group that has no pending items.
MIN_BACKOFF_SECONDS = 0.02
MAX_BACKOFF_SECONDS = 0.5
BACKOFF_FACTOR = 2.0
# Averaging time of the throughput.
AVERAGING_SECONDS = 2.0


@dataclasses.dataclass(frozen=True, slots=True)
class Window:
    """State of one target from which the size of a claim is computed.

    Parameters
    ----------
    outstanding : int
        Items in flight in the executor.
    waiting : int or None
        Those of them that wait for an endpoint, None if unknown.
    requested : int
        Items requested by claims in flight.
    rate : float
        Recent rate of ended items, per second.
    refused : bool
        Whether this host currently cannot execute items of the target.
    """

    outstanding: int
    waiting: int | None
    requested: int
    rate: float
    refused: bool = False


def compute_claim_size(window):
    """Return the number of items to claim for a target.

    Parameters
    ----------
    window : Window
        State of the target.

    Returns
    -------
    int
        Number of items, 0 unless the fraction `CLAIM_FRACTION` of the window
        is free. Otherwise each item could cause a claim with its own commit.
    """
    if window.refused:
        return 0
    if window.waiting is None:
        prefetch = DEFAULT_OUTSTANDING
        used = window.outstanding
    else:
        prefetch = int(window.rate * PREFETCH_SECONDS)
        prefetch = min(MAX_PREFETCH, max(MIN_PREFETCH, prefetch))
        used = window.waiting
    free = prefetch - used - window.requested
    return free if free >= prefetch * CLAIM_FRACTION else 0


def plan_claims(windows, requested):
    """Return the number of items to claim and the targets to exclude.

    Parameters
    ----------
    windows : dict of str to Window
        State of each known target.
    requested : int
        Items requested by claims in flight.

    Returns
    -------
    tuple of int and tuple of str
        Number of items, and the targets to exclude. While fewer than
        `MAX_PREFETCH` items wait or are requested, at least `MIN_PREFETCH`
        are requested in total, so that items of new targets are claimed as
        well.
    """
    claim_size = 0
    used = requested
    excluded = []
    for name, state in windows.items():
        waiting = state.waiting
        used += state.outstanding if waiting is None else waiting
        target_size = compute_claim_size(state)
        claim_size = max(claim_size, target_size)
        if not target_size:
            excluded.append(name)
    if used < MAX_PREFETCH:
        claim_size = max(claim_size, MIN_PREFETCH - requested)
    return claim_size, tuple(excluded)


def choose_backoff(previous):
    """Return the seconds until the next claim after an empty one."""
    return min(
        MAX_BACKOFF_SECONDS,
        max(MIN_BACKOFF_SECONDS, previous * BACKOFF_FACTOR),
    )


class Throughput:
    """Moving average of the number of items that end per second."""

    def __init__(self):
        self.rate = 0.0
        self.count = 0
        self.updated_at = None

    def add(self, count):
        """Count items that ended."""
        self.count += count

    def update(self, now):
        """Update and return the rate in items per second.

        Parameters
        ----------
        now : float
            Monotonic seconds.
        """
        if self.updated_at is None:
            self.updated_at = now
            return self.rate
        elapsed = now - self.updated_at
        if elapsed < AVERAGING_SECONDS / 8:
            return self.rate
        share = min(1.0, elapsed / AVERAGING_SECONDS)
        self.rate += share * (self.count / elapsed - self.rate)
        self.count = 0
        self.updated_at = now
        return self.rate
