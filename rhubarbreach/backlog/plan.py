"""Which batch items run and which give their slots up.

The load this answers: online requests come in waves of some seconds that
fill all slots, with quiet times between them, while batch items run for many
seconds and are due much later; and now and then more items come than can be
done in time. Batch items use what online requests leave, yield when a wave
begins, and go on from where they were. An item that can still be done in
time goes before one that cannot: work on late items would make all the
others late as well. What has been begun goes before what has not, so that
each wave does not leave more items half done.
"""

import dataclasses
import math

__all__ = [
    'Pace',
    'Running',
    'Slots',
    'Waiting',
    'plan_displacements',
    'plan_starts',
    'plan_yields',
]

# Slots of an endpoint that batch items leave free for the next online
# request, so that it does not wait for a slot.
SPARE_SLOTS = 1
# While online requests hold less than this part of an endpoint's slots, it
# spares none for a backlog: an item yields within milliseconds, and few of
# them have to.
QUIET_FRACTION = 0.5
# Events and interval of events, in seconds, until items have been measured.
TYPICAL_EVENTS = 190.0
TYPICAL_INTERVAL_SECONDS = 0.026
# Weight of the newest item in the measured pace.
PACE_WEIGHT = 0.1
# Time from the last event of an item until its result can be read.
LISTING_SECONDS = 0.3
# Part of the slots that are free of online requests from which on items that
# have begun go on without a pause.
ROOM_FRACTION = 0.5
# Time in which the past loses its weight, in seconds, for the part of the time
# in which items go on: longer than a wave and the quiet time after it, 5.8 s.
# Replays of eleven loads listed 1,731 items in time without this, 1,851 with
# 4 s, 1,931 with 8 s and 1,927 with 16 s (test_plan.py has some of them).
ROOM_MEMORY_SECONDS = 8.0
# Without this floor a long wave would make all items late.
MIN_ROOM = 0.2
# The room until it has been noted for a while. Leaders are lost under load:
# with 1.0 the replays list 1,968 items in time when one is lost in the middle,
# with this 2,001, and 2,002 and 1,992 when none is.
TYPICAL_ROOM = 0.6


@dataclasses.dataclass(slots=True)
class Pace:
    """How long items take.

    `events` is their mean number of events, `interval` the time from one to
    the next in seconds, and `room` the part of the time in which online
    requests let them go on, as noted at the time `noted` of the monotonic
    clock, in seconds.
    """

    events: float = TYPICAL_EVENTS
    interval: float = TYPICAL_INTERVAL_SECONDS
    room: float = TYPICAL_ROOM
    noted: float | None = None

    def add(self, events, made, seconds):
        """Take a completed item into account.

        Parameters
        ----------
        events : int
            Events of the item.
        made, seconds : int, float
            Events of its last run, and its time.
        """
        self.events += (events - self.events) * PACE_WEIGHT
        if made:
            interval = seconds / made
            self.interval += (interval - self.interval) * PACE_WEIGHT

    def note_room(self, slots, now):
        """Take into account what online requests leave.

        Parameters
        ----------
        slots : iterable of Slots
            Use of the endpoints.
        now : float
            Seconds of the monotonic clock.
        """
        total = sum(one.total for one in slots)
        passed = 0.0 if self.noted is None else now - self.noted
        self.noted = now
        if not total:
            return
        left = sum(max(0, one.total - one.online) for one in slots)
        share = min(1.0, left / (total * ROOM_FRACTION))
        weight = 1.0 - math.exp(-passed / ROOM_MEMORY_SECONDS)
        self.room += (share - self.room) * weight
        self.room = max(MIN_ROOM, self.room)

    def predict(self, made):
        """Return the seconds until the result of an item is listed.

        An item that ends in time only if no wave comes would be begun, and
        given up for the next such item in the middle.
        """
        left = max(0.0, self.events - made) * self.interval
        return left / self.room + LISTING_SECONDS


@dataclasses.dataclass(frozen=True, slots=True)
class Slots:
    """Use of an endpoint's slots."""

    endpoint_id: str
    service: str
    total: int
    online: int
    batch: int

    @property
    def free(self):
        """Slots that any batch item may use."""
        return self.total - SPARE_SLOTS - self.online - self.batch

    @property
    def spare(self):
        """Slots that are kept free, but for a backlog in quiet times."""
        quiet = self.online < self.total * QUIET_FRACTION
        return SPARE_SLOTS if quiet else 0

    @property
    def excess(self):
        """Batch items that hold slots which online requests need."""
        return min(self.batch, self.online + self.batch - self.total)


@dataclasses.dataclass(frozen=True, slots=True)
class Waiting:
    """An item that waits.

    `due` is a Unix time in seconds, `slack` the time by which it would be
    early if it ran now, and `made` counts its events so far.
    """

    key: tuple[str, str]
    service: str
    due: float
    slack: float
    made: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Running:
    """An item that runs, with the same fields as one that waits."""

    key: tuple[str, str]
    endpoint_id: str
    service: str
    due: float
    slack: float
    made: int


def get_rank(item):
    """Return the rank of an item: in time, then begun, then due first."""
    return (item.slack < 0, -item.made, item.due, item.key)


def plan_starts(waiting, slots):
    """Return pairs of waiting item and endpoint id, by rank.

    Parameters
    ----------
    waiting : iterable of Waiting
        Items that may start.
    slots : iterable of Slots
        Use of the endpoints.
    """
    free = {one.endpoint_id: one.free for one in slots}
    services = {}
    for one in slots:
        services.setdefault(one.service, []).append(one.endpoint_id)
    starts = []
    ranked = sorted(waiting, key=get_rank)
    left = place_items(ranked, services, free, starts)
    for one in slots:
        free[one.endpoint_id] += one.spare
    place_items(left, services, free, starts)
    return starts


def place_items(ranked, services, free, starts):
    """Add starts while slots are free; return the items that are left."""
    left = []
    for item in ranked:
        candidates = services.get(item.service, ())
        best = max(candidates, key=lambda e: (free[e], e), default=None)
        if best is None or free[best] <= 0:
            left.append(item)
            continue
        free[best] -= 1
        starts.append((item, best))
    return left


def plan_yields(running, slots):
    """Return the keys of the items that give up their slots.

    Those that rank last go first: they have the least made, which has to
    be read again.
    """
    yields = []
    for one in slots:
        if one.excess <= 0:
            continue
        here = [r for r in running if r.endpoint_id == one.endpoint_id]
        here.sort(key=get_rank, reverse=True)
        yields.extend(r.key for r in here[: one.excess])
    return yields


def plan_displacements(running, unplaced):
    """Return the keys of late items that make room for others.

    Parameters
    ----------
    running : iterable of Running
        Items that run.
    unplaced : iterable of Waiting
        Items for which there is no slot.
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
