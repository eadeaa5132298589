"""Slowness of endpoints: how long work takes there, 1 being as usual.

Designed for endpoints whose speed changes several times a second. A figure is
therefore weighted by its age, and all hosts of a zone tell each other theirs.
"""

import math

from rhubarbreach.balancing import averages

__all__ = ['PERCENT', 'Slowness']

PERCENT = 100
# Age at which a figure has lost most of its weight.
MEMORY_SECONDS = 0.4
# A figure outside of these bounds is wrong.
MIN_SLOWNESS = 0.2
MAX_SLOWNESS = 20.0
# Weight of the newest event in the usual time between two events.
GAP_WEIGHT = 0.02
# Events that have to be known before the time between two events is used.
MIN_GAPS = 20
# The time between two events varies with the batch. A figure from it is used
# only beyond this distance from 1.
GAP_TOLERANCE = 0.5
MAX_SERVICES = 64


class Slowness:
    """Newest figure of each endpoint, and the usual slowness of services."""

    def __init__(self):
        # Slowness and the time at which it was observed, by endpoint.
        self.figures = {}
        # Slowness that this host has learned since its last report.
        self.news = {}
        self.usual = averages.AverageTable(MAX_SERVICES, GAP_WEIGHT)
        self.usual_gaps = averages.AverageTable(MAX_SERVICES, GAP_WEIGHT)

    def get(self, endpoint_id, service, now):
        """Return the expected slowness of an endpoint.

        An old figure gives way to the mean of the service.
        """
        usual = self.usual.get(service)
        mean = 1.0 if usual is None else usual.mean
        figure = self.figures.get(endpoint_id)
        if figure is None:
            return mean
        weight = math.exp((figure[1] - now) / MEMORY_SECONDS)
        return mean + (figure[0] - mean) * min(1.0, weight)

    def has_figures(self, service):
        """Return whether endpoints of a service report their speed."""
        return self.usual.get(service) is not None

    def record_report(self, endpoint_id, service, percent, now):
        """Store what an endpoint reports about itself."""
        slowness = clamp(percent / PERCENT)
        self.usual.add(service, slowness)
        self.store(endpoint_id, slowness, now)

    def record_gap(self, endpoint_id, service, gap, percent, now):
        """Derive the slowness from the time between two events.

        Parameters
        ----------
        endpoint_id, service : str
            Endpoint that has sent the events, and its service.
        gap : float
            Seconds between the events.
        percent : int or None
            What the endpoint has reported with the event before, if it has.
        now : float
            Seconds of the monotonic clock.
        """
        usual = self.usual_gaps.get(service)
        if percent is not None:
            # Only then the usual time is known.
            self.usual_gaps.add(service, gap / clamp(percent / PERCENT))
            return
        if usual is None or usual.count < MIN_GAPS or usual.mean <= 0:
            return
        slowness = clamp(gap / usual.mean)
        if abs(slowness - 1) <= GAP_TOLERANCE:
            slowness = 1.0
        known = self.figures.get(endpoint_id)
        if known is None or abs(known[0] - slowness) > GAP_TOLERANCE:
            self.store(endpoint_id, slowness, now)
        else:
            self.figures[endpoint_id] = (known[0], now)

    def store(self, endpoint_id, slowness, now):
        """Store a figure of this host, to be reported to its zone."""
        self.figures[endpoint_id] = (slowness, now)
        self.news[endpoint_id] = round(slowness * PERCENT)

    def pop_news(self):
        """Return the figures in percent since the last call."""
        news, self.news = self.news, {}
        return news

    def merge(self, news, now):
        """Store the figures that another host of the zone has reported."""
        for endpoint_id, percent in news.items():
            self.figures[endpoint_id] = (clamp(percent / PERCENT), now)

    def keep(self, endpoint_ids):
        """Remove the figures of all other endpoints."""
        for table in (self.figures, self.news):
            for endpoint_id in list(table):
                if endpoint_id not in endpoint_ids:
                    del table[endpoint_id]


def clamp(slowness):
    """Return a slowness within its bounds."""
    return min(MAX_SLOWNESS, max(MIN_SLOWNESS, slowness))
