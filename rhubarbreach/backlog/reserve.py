"""Slots that items leave free for online requests that are about to come.

Designed for load peaks of online requests that grow faster than items yield.
Without a reserve, nearly every request of a quiet period and the first ones of
a peak wait for an item.
"""

import dataclasses
import math

from rhubarbreach.backlog import forecast

__all__ = [
    'EMPTY',
    'Reserve',
    'ReservePlanner',
    'divide_need',
    'measure_wanted',
]

# Slots that each endpoint keeps free of starts beyond those that yields keep
# free while online requests do not grow, so that fluctuations cut no items.
HYSTERESIS = 1
# Part of the slots of a service that starts leave free for a need even if
# items would be late otherwise.
MIN_FRACTION = 1 / 16
# The same for yields while online requests grow.
MIN_SURGE_FRACTION = 1 / 8
# Seconds for which no item starts at an endpoint after one has yielded there,
# some events. A shorter run would only read its prompt.
PAUSE_SECONDS = 0.15
# Slots that items get in relation to those that they need to be in time: items
# are cut by peaks, and more of them come.
DEMAND_MARGIN = 3.0


@dataclasses.dataclass(frozen=True, slots=True)
class Reserve:
    """Slots to keep free, by endpoint id.

    Items start only beyond `starts`, and yield to keep `yields` free. None
    starts at the endpoints in `closed`, and at most as many items of a service
    as `max_starts`.
    """

    starts: dict = dataclasses.field(default_factory=dict)
    yields: dict = dataclasses.field(default_factory=dict)
    closed: frozenset = frozenset()
    max_starts: dict = dataclasses.field(default_factory=dict)

    @property
    def total(self):
        """Number of slots that stay free of starts."""
        return sum(self.starts.values())


EMPTY = Reserve()


class ReservePlanner:
    """Planner of the reserve, with what it has learned of online requests."""

    def __init__(self):
        self.forecast = forecast.Forecast()
        self.paused_until = {}

    def record_yields(self, endpoint_ids, now):
        """Start no item for a while where one has yielded."""
        for endpoint_id in endpoint_ids:
            self.paused_until[endpoint_id] = now + PAUSE_SECONDS

    def plan(self, slots, wanted, now):
        """Return the `Reserve` for the use of the slots at a time.

        Parameters
        ----------
        slots : iterable of EndpointSlots
            Use of the slots by endpoint.
        wanted : dict of str to float
            Slots that items need to be in time, by service.
        now : float
            Seconds of the monotonic clock.
        """
        self.forecast.update(slots, now)
        self.paused_until = {
            endpoint_id: until
            for endpoint_id, until in self.paused_until.items()
            if until > now
        }
        starts = {}
        yields = {}
        closed = set(self.paused_until)
        max_starts = {}
        services = {}
        for endpoint in slots:
            services.setdefault(endpoint.service, []).append(endpoint)
        for service, endpoints in services.items():
            demand = self.forecast.services[service]
            items = math.ceil(wanted.get(service, 0.0) * DEMAND_MARGIN)
            count = len(endpoints)
            need = limit_need(demand.need, items, endpoints, MIN_FRACTION)
            if need:
                max_starts[service] = count_starts(demand, items, endpoints)
            starts.update(divide_need(need, endpoints))
            if demand.is_surging:
                closed.update(e.endpoint_id for e in endpoints)
                need = limit_need(
                    demand.need, items, endpoints, MIN_SURGE_FRACTION
                )
                need = int(need / count + 0.5) * count
            else:
                need = (need // count - HYSTERESIS) * count
            yields.update(divide_need(need, endpoints))
        return Reserve(starts, yields, frozenset(closed), max_starts)


def measure_wanted(items, estimator):
    """Return the slots that items need to be in time, by service.

    It is the largest ratio of the run time of the items that are due by a time
    to the time until then. Late items want one slot each.

    Parameters
    ----------
    items : iterable of WaitingItem or RunningItem
        Items that run or may start.
    estimator : RunTimeEstimator
        Predicted run time of items.
    """
    services = {}
    for item in items:
        seconds = estimator.predict(item.event_count)
        services.setdefault(item.service, []).append(
            (seconds + max(0.0, item.slack), seconds)
        )
    wanted = {}
    for service, pairs in services.items():
        pairs.sort()
        run_seconds = 0.0
        most = 0.0
        for remaining, seconds in pairs:
            run_seconds += seconds
            most = max(most, run_seconds / remaining)
        wanted[service] = most
    return wanted


def limit_need(need, items, endpoints, min_fraction):
    """Return the part of a need that leaves items the slots they need.

    Parameters
    ----------
    need : int
        Slots that online requests are expected to need.
    items : int
        Slots that items need to be in time.
    endpoints : sequence of EndpointSlots
        Endpoints of the service.
    min_fraction : float
        Part of the slots up to which online requests come before items.
    """
    total = sum(e.total for e in endpoints)
    online = sum(e.online for e in endpoints)
    least = round(total * min_fraction)
    return min(need, max(least, total - online - items))


def count_starts(demand, items, endpoints):
    """Return how many items of a service may start.

    Items may use the slots that a peak leaves free at any time, and others
    only as far as they want them: a run on these is cut by the next peak.
    """
    total = sum(e.total for e in endpoints)
    steady = total - round(demand.peak_level)
    running = sum(e.batch for e in endpoints)
    return max(0, max(items, steady) - running)


def divide_need(need, endpoints):
    """Return the slots that each endpoint of a service keeps free.

    Zones get parts in proportion to their slots, as hosts prefer endpoints of
    their zone, and so do the endpoints of a zone. What online requests leave
    no room for goes to the others.

    Parameters
    ----------
    need : int
        Slots to keep free in all.
    endpoints : sequence of EndpointSlots
        Endpoints of the service.

    Returns
    -------
    dict of str to int
        Slots by endpoint id, without those that keep none free.
    """
    zones = {}
    for endpoint in endpoints:
        zones.setdefault(endpoint.availability_zone, []).append(endpoint)
    kept = {}
    total = sum(endpoint.total for endpoint in endpoints)
    remaining = need
    for zone_endpoints in zones.values():
        zone_total = sum(endpoint.total for endpoint in zone_endpoints)
        part = min(remaining, need * zone_total // max(1, total))
        remaining -= part - keep_free(part, zone_endpoints, kept)
    keep_free(remaining, endpoints, kept)
    return kept


def keep_free(count, endpoints, kept):
    """Divide slots among endpoints, one at a time; return those left over.

    Endpoints with the fewest online requests come first. Hosts send requests
    where slots are free; if these stayed at the same endpoints, requests would
    gather there and push all items away.
    """
    ranked = sorted(endpoints, key=lambda e: (e.online, e.endpoint_id))
    while count > 0:
        open_endpoints = [
            e
            for e in ranked
            if kept.get(e.endpoint_id, 0) < e.total - e.online
        ]
        if not open_endpoints:
            break
        # The emptiest level first, so that the slots are spread evenly.
        lowest = min(kept.get(e.endpoint_id, 0) for e in open_endpoints)
        for endpoint in open_endpoints:
            if count and kept.get(endpoint.endpoint_id, 0) == lowest:
                kept[endpoint.endpoint_id] = lowest + 1
                count -= 1
    return count
