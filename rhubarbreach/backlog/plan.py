"""Scheduling and preemption of batch items.

Online requests arrive in load peaks of a few seconds that fill all slots, with
quiet periods between them. Batch items run for many seconds and are due much
later; at times there are more of them than can be completed in time. They use
the slots that online requests leave free, yield them when a load peak begins,
and resume later where they stopped. Items that can still be completed in time
take precedence over those that cannot, since work on late items would make
all the others late as well. Started items take precedence over new ones, so
that each load peak does not leave more items incomplete.
"""

import dataclasses
import math

__all__ = [
    'EndpointSlots',
    'RunTimeEstimator',
    'RunningItem',
    'WaitingItem',
    'plan_displacements',
    'plan_starts',
    'plan_yields',
]

# Slots of an endpoint that batch items leave free, so that the next online
# request does not wait for a slot.
SPARE_SLOTS = 1
# While online requests hold less than this fraction of an endpoint's slots,
# waiting items may use all of its slots: an item yields within milliseconds,
# and few items have to.
LOW_ONLINE_FRACTION = 0.5
# Events of an item and seconds between two events, until items have completed.
INITIAL_EVENTS = 190.0
INITIAL_INTERVAL_SECONDS = 0.026
# Weight of the newest item in the moving averages.
SAMPLE_WEIGHT = 0.1
# Seconds from the last event of an item until its result can be read.
RESULT_DELAY_SECONDS = 0.3
# Fraction of slots free of online requests from which on started items run
# without interruption.
FULL_AVAILABILITY_FRACTION = 0.5
# Decay time of the availability average, longer than a load peak and the quiet
# period after it, 5.8 s.
AVAILABILITY_DECAY_SECONDS = 8.0
# Without a lower bound, all items would count as late in a long load peak.
MIN_AVAILABILITY = 0.2
# A new leader starts with this value. Leaders are often lost under load, when
# online requests leave few slots to items.
INITIAL_AVAILABILITY = 0.6


@dataclasses.dataclass(slots=True)
class RunTimeEstimator:
    """Moving averages that predict the run time of items.

    `events` is the mean number of events of an item, `interval` the mean time
    between two events in seconds, and `availability` the fraction of time in
    which online requests let items run. `updated_at` is the time of the last
    update of `availability`, in seconds of the monotonic clock.
    """

    events: float = INITIAL_EVENTS
    interval: float = INITIAL_INTERVAL_SECONDS
    availability: float = INITIAL_AVAILABILITY
    updated_at: float | None = None

    def add_item(self, events, run_events, seconds):
        """Add a completed item to the averages.

        Parameters
        ----------
        events : int
            Number of events of the item.
        run_events : int
            Number of events of its last run.
        seconds : float
            Duration of its last run.
        """
        self.events += (events - self.events) * SAMPLE_WEIGHT
        if run_events:
            interval = seconds / run_events
            self.interval += (interval - self.interval) * SAMPLE_WEIGHT

    def update_availability(self, slots, now):
        """Add the slots that online requests leave to the average.

        Parameters
        ----------
        slots : iterable of EndpointSlots
            Use of the slots by endpoint.
        now : float
            Seconds of the monotonic clock.
        """
        total = sum(endpoint.total for endpoint in slots)
        elapsed = 0.0 if self.updated_at is None else now - self.updated_at
        self.updated_at = now
        if not total:
            return
        available = sum(
            max(0, endpoint.total - endpoint.online) for endpoint in slots
        )
        fraction = min(1.0, available / (total * FULL_AVAILABILITY_FRACTION))
        weight = 1.0 - math.exp(-elapsed / AVAILABILITY_DECAY_SECONDS)
        self.availability += (fraction - self.availability) * weight
        self.availability = max(MIN_AVAILABILITY, self.availability)

    def predict(self, event_count):
        """Return the seconds until the result of an item can be read.

        The estimate includes the time that online requests take. Otherwise
        an item that is in time only without another load peak would be
        started, and displaced halfway by the next such item.
        """
        seconds = max(0.0, self.events - event_count) * self.interval
        return seconds / self.availability + RESULT_DELAY_SECONDS


@dataclasses.dataclass(frozen=True, slots=True)
class EndpointSlots:
    """Use of an endpoint's slots."""

    endpoint_id: str
    service: str
    total: int
    online: int
    batch: int
    software_version: str = ''

    @property
    def free(self):
        """Slots that batch items may use at any time."""
        return self.total - SPARE_SLOTS - self.online - self.batch

    @property
    def spare(self):
        """Reserved slots that waiting items may use in quiet periods."""
        is_low = self.online < self.total * LOW_ONLINE_FRACTION
        return SPARE_SLOTS if is_low else 0

    @property
    def excess(self):
        """Number of batch items on slots that online requests need."""
        return min(self.batch, self.online + self.batch - self.total)


@dataclasses.dataclass(frozen=True, slots=True)
class WaitingItem:
    """Item that waits for a slot.

    `due` is a Unix time in seconds, `slack` the predicted time in seconds
    between the completion and `due` if the item ran now, and `event_count`
    the number of its events so far. An item with events resumes only at an
    endpoint with its `software_version`.
    """

    key: tuple[str, str]
    service: str
    due: float
    slack: float
    event_count: int = 0
    software_version: str | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class RunningItem:
    """Running item, with the fields of `WaitingItem` and its endpoint."""

    key: tuple[str, str]
    endpoint_id: str
    service: str
    due: float
    slack: float
    event_count: int


def get_rank(item):
    """Return the sort key of an item.

    Items in time come first, then those with more events, then those due
    earlier.
    """
    return (item.slack < 0, -item.event_count, item.due, item.key)


def plan_starts(waiting, slots, max_starts=None):
    """Return pairs of waiting item and endpoint id in order of rank.

    Parameters
    ----------
    waiting : iterable of WaitingItem
        Items that may start.
    slots : iterable of EndpointSlots
        Use of the slots by endpoint.
    max_starts : dict of str to int, optional
        Items that may start on each cold endpoint.
    """
    max_starts = max_starts or {}
    free = {
        endpoint.endpoint_id: min(
            endpoint.free,
            max_starts.get(endpoint.endpoint_id, endpoint.free),
        )
        for endpoint in slots
    }
    services = {}
    for endpoint in slots:
        for version in (None, endpoint.software_version):
            services.setdefault((endpoint.service, version), []).append(
                endpoint.endpoint_id
            )
    starts = []
    ranked = sorted(waiting, key=get_rank)
    unplaced = place_items(ranked, services, free, starts)
    for endpoint in slots:
        if endpoint.endpoint_id not in max_starts:
            free[endpoint.endpoint_id] += endpoint.spare
    place_items(unplaced, services, free, starts)
    return starts


def place_items(ranked, services, free, starts):
    """Add starts while slots are free; return the unplaced items."""
    unplaced = []
    for item in ranked:
        candidates = services.get((item.service, item.software_version), ())
        best = max(candidates, key=lambda e: (free[e], e), default=None)
        if best is None or free[best] <= 0:
            unplaced.append(item)
            continue
        free[best] -= 1
        starts.append((item, best))
    return unplaced


def plan_yields(running, slots):
    """Return the keys of the items that yield their slots.

    Items of the lowest rank yield first: they have the fewest events, which
    the engine has to process again.
    """
    yields = []
    for endpoint in slots:
        if endpoint.excess <= 0:
            continue
        on_endpoint = [
            r for r in running if r.endpoint_id == endpoint.endpoint_id
        ]
        on_endpoint.sort(key=get_rank, reverse=True)
        yields.extend(r.key for r in on_endpoint[: endpoint.excess])
    return yields


def plan_displacements(running, unplaced):
    """Return the keys of late items to cancel for items in time.

    Parameters
    ----------
    running : iterable of RunningItem
        Running items.
    unplaced : iterable of WaitingItem
        Waiting items without a slot.
    """
    wanted = {}
    for item in unplaced:
        if item.slack >= 0:
            wanted[item.service] = wanted.get(item.service, 0) + 1
    displaced = []
    for run in sorted(running, key=get_rank, reverse=True):
        if run.slack < 0 and wanted.get(run.service, 0) > 0:
            wanted[run.service] -= 1
            displaced.append(run.key)
    return displaced
