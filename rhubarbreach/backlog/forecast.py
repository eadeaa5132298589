"""Forecast of the slots that online requests need until an item has yielded.

Designed for online requests that arrive in load peaks of a few seconds. A
yield takes up to 0.3 s, and in that time a peak takes a quarter of all slots.
Under steady load the number of requests only fluctuates, and none is expected.
"""

import collections
import dataclasses
import math

__all__ = ['Forecast', 'ServiceDemand']

# Seconds until an item has yielded: 0.15 s until a host reports, 0.1 s until
# the next planning step, and the message to the store.
YIELD_SECONDS = 0.3
# Seconds for each of which the largest growth and mean level are kept, and how
# many of these periods are: less than from one peak to the next, and about
# five peaks.
PERIOD_SECONDS = 2.0
MAX_PERIODS = 16
# Fraction of the periods, those with the largest values, that the forecast
# averages. A peak every 5.8 s begins in a third of them.
PEAK_FRACTION = 1 / 3
# Shortest time between two samples. More frequent steps replace the last one,
# which bounds the samples.
SAMPLE_SECONDS = 0.02
# Growth that counts as a fluctuation: this many, and this multiple of the root
# of the number of requests. The number of independent requests varies by its
# root.
MIN_GROWTH = 2.0
FLUCTUATION_FACTOR = 2.5
# Growth as a fraction of that of the last peaks from which on a peak begins.
SURGE_FRACTION = 1 / 3
# A new leader expects the growth of one slot at each endpoint.
INITIAL_GROWTH = 1.0


@dataclasses.dataclass(slots=True)
class Period:
    """Largest growth and mean number of online requests in a period."""

    started_at: float
    growth: float
    level: float
    count: int = 0


class ServiceDemand:
    """Online requests of one service in the last seconds and peaks.

    Parameters
    ----------
    endpoint_count, slot_count : int
        Endpoints of the service, and all their slots.
    now : float
        Seconds of the monotonic clock.
    """

    def __init__(self, endpoint_count, slot_count, now):
        self.samples = collections.deque()
        self.periods = collections.deque(
            (Period(now, INITIAL_GROWTH * endpoint_count, slot_count),),
            MAX_PERIODS,
        )
        self.initial = self.periods[0]
        self.online = 0
        self.growth = 0
        self.peak_growth = self.initial.growth
        self.peak_level = self.initial.level

    def update(self, online, now):
        """Add the number of online requests at a time."""
        samples = self.samples
        while samples and samples[0][0] < now - YIELD_SECONDS:
            samples.popleft()
        self.online = online
        lowest = min((count for _, count in samples), default=online)
        growth = online - lowest
        fluctuation = MIN_GROWTH + FLUCTUATION_FACTOR * math.sqrt(lowest)
        self.growth = growth if growth > fluctuation else 0
        if samples and now - samples[-1][0] < SAMPLE_SECONDS:
            time, count = samples[-1]
            samples[-1] = (time, min(count, online))
        else:
            samples.append((now, online))
        period = self.periods[-1]
        if period is self.initial or now - period.started_at >= PERIOD_SECONDS:
            period = Period(now, 0, 0)
            self.periods.append(period)
        period.growth = max(period.growth, self.growth)
        period.count += 1
        period.level += (online - period.level) / period.count
        self.peak_growth = average_largest([p.growth for p in self.periods])
        self.peak_level = average_largest([p.level for p in self.periods])

    def is_outdated(self, now):
        """Return whether all of the periods kept are over.

        The planner makes no steps while there are no items.
        """
        lifetime = PERIOD_SECONDS * MAX_PERIODS
        return now - self.periods[-1].started_at > lifetime

    @property
    def need(self):
        """Slots that online requests are expected to need until a yield."""
        below_peak = max(0.0, self.peak_level - self.online)
        return round(min(self.peak_growth, below_peak))

    @property
    def is_surging(self):
        """Whether online requests grow as at the start of a peak."""
        return self.need > 0 and self.growth > (
            self.peak_growth * SURGE_FRACTION
        )


def average_largest(values):
    """Return the mean of the largest values."""
    count = max(1, round(len(values) * PEAK_FRACTION))
    return sum(sorted(values)[-count:]) / count


class Forecast:
    """Demand of all services that have endpoints."""

    def __init__(self):
        self.services = {}

    def update(self, slots, now):
        """Add the use of the slots at a time.

        Parameters
        ----------
        slots : iterable of EndpointSlots
            Use of the slots by endpoint.
        now : float
            Seconds of the monotonic clock.
        """
        groups = {}
        for endpoint in slots:
            groups.setdefault(endpoint.service, []).append(endpoint)
        for service in list(self.services):
            if service not in groups:
                del self.services[service]
        for service, endpoints in groups.items():
            demand = self.services.get(service)
            if demand is None or demand.is_outdated(now):
                self.services[service] = ServiceDemand(
                    len(endpoints), sum(e.total for e in endpoints), now
                )
            self.services[service].update(
                sum(e.online for e in endpoints), now
            )
