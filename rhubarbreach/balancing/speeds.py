"""Slowness of endpoints: how long work takes there, 1 being as usual.

Designed for endpoints whose speed changes several times a second, and for
those that are slowed down for many seconds. A figure is weighted by its age,
and how fast it ages is learned. All hosts of a zone tell each other theirs.
"""

import math

from rhubarbreach.balancing import averages

__all__ = ['PERCENT', 'Slowness']

PERCENT = 100
# Time in which a figure loses most of its weight: shortest and longest, and
# until changes were observed.
MIN_MEMORY_SECONDS = 0.2
MAX_MEMORY_SECONDS = 4.0
INITIAL_MEMORY_SECONDS = 0.4
# Weight of the newest figure in the mean time between two changes.
MEMORY_WEIGHT = 0.02
# A slowness beyond this is none of usual load, and one that differs by this
# part has changed.
SLOW = 1.5
CHANGE_FRACTION = 0.25
# A figure outside of these bounds is wrong.
MIN_SLOWNESS = 0.2
MAX_SLOWNESS = 20.0
# Weight of the newest figure in the mean of a service.
MEAN_WEIGHT = 0.02
MAX_SERVICES = 64
# Reports of usual speed that are assumed of a service at first. A mean of few
# reports would take one slow endpoint for all.
PRIOR_REPORTS = 20
# The usual time between two events of a service is the quantile of the
# observed ones, found in relative steps. Some endpoints may be slow.
USUAL_QUANTILE = 0.4
USUAL_STEP = 0.02
# Events that have to be known before the time between two events is used.
MIN_GAPS = 40


class UsualGap:
    """Usual time in seconds between two events of a service."""

    __slots__ = ('count', 'seconds')

    def __init__(self):
        self.count = 0
        self.seconds = 0.0

    def add(self, seconds):
        """Add an observed time."""
        self.count += 1
        if self.count == 1:
            self.seconds = seconds
        elif seconds > self.seconds:
            self.seconds *= 1 + USUAL_STEP * USUAL_QUANTILE
        else:
            self.seconds *= 1 - USUAL_STEP * (1 - USUAL_QUANTILE)


class Slowness:
    """Newest figure of each endpoint, and the usual slowness of services.

    `exposure` is the time for which figures of slow endpoints were observed,
    `changes` how often they have changed meanwhile; both fade.
    """

    def __init__(self):
        # Slowness and the time at which it was observed, by endpoint.
        self.figures = {}
        # Slowness that this host has learned since its last report.
        self.news = {}
        self.means = averages.AverageTable(MAX_SERVICES, MEAN_WEIGHT)
        self.usual_gaps = {}
        self.exposure = INITIAL_MEMORY_SECONDS
        self.changes = 1.0

    @property
    def memory_seconds(self):
        """Time in which a figure loses most of its weight."""
        seconds = self.exposure / self.changes
        return min(MAX_MEMORY_SECONDS, max(MIN_MEMORY_SECONDS, seconds))

    def get(self, endpoint_id, service, now):
        """Return the expected slowness of an endpoint.

        An old figure gives way to the mean of the service.
        """
        mean, memory_seconds = self.get_mean(service), self.memory_seconds
        return self.weigh(endpoint_id, mean, memory_seconds, now)

    def get_mean(self, service):
        """Return the mean slowness that endpoints of a service report."""
        average = self.means.get(service)
        return 1.0 if average is None else average.mean

    def weigh(self, endpoint_id, mean, memory_seconds, now):
        """Return the expected slowness between its figure and the mean."""
        figure = self.figures.get(endpoint_id)
        if figure is None:
            return mean
        age = now - figure[1]
        if age <= 0:
            return figure[0]
        return mean + (figure[0] - mean) * math.exp(-age / memory_seconds)

    def has_figures(self, service):
        """Return whether endpoints of a service report their speed."""
        return self.means.get(service) is not None

    def record_report(self, endpoint_id, service, percent, now):
        """Store what an endpoint reports about itself."""
        slowness = clamp(percent / PERCENT)
        if not self.has_figures(service):
            for _ in range(PRIOR_REPORTS):
                self.means.add(service, 1.0)
        self.means.add(service, slowness)
        self.store(endpoint_id, slowness, now)

    def record_gap(self, endpoint_id, service, gap, now):
        """Derive the slowness from the time between two events.

        Where endpoints report their speed, this would tell nothing more.

        Parameters
        ----------
        endpoint_id, service : str
            Endpoint that has sent the events, and its service.
        gap : float
            Seconds between the events.
        now : float
            Seconds of the monotonic clock.
        """
        if self.has_figures(service):
            return
        usual = self.usual_gaps.get(service)
        if usual is None:
            usual = self.usual_gaps[service] = UsualGap()
        usual.add(gap)
        if usual.count < MIN_GAPS or usual.seconds <= 0:
            return
        slowness = clamp(gap / usual.seconds)
        # The time varies with the batch as well.
        slowness = slowness if slowness > SLOW else 1.0
        known = self.figures.get(endpoint_id)
        if known is None or is_changed(known[0], slowness):
            self.store(endpoint_id, slowness, now)
        else:
            # Only its age is news, which the zone need not be told of.
            self.observe(endpoint_id, known[0], now)

    def store(self, endpoint_id, slowness, now):
        """Store a figure of this host, to be reported to its zone."""
        self.observe(endpoint_id, slowness, now)
        self.news[endpoint_id] = round(slowness * PERCENT)

    def observe(self, endpoint_id, slowness, now):
        """Store a figure, and learn how fast figures change."""
        known = self.figures.get(endpoint_id)
        self.figures[endpoint_id] = (slowness, now)
        if known is not None and known[0] > SLOW:
            age = min(MAX_MEMORY_SECONDS, max(0.0, now - known[1]))
            changed = is_changed(known[0], slowness)
            self.exposure += age - self.exposure * MEMORY_WEIGHT
            self.changes += changed - self.changes * MEMORY_WEIGHT

    def pop_news(self):
        """Return the figures in percent since the last call."""
        news, self.news = self.news, {}
        return news

    def merge(self, news, now):
        """Store the figures that another host of the zone has reported."""
        for endpoint_id, percent in news.items():
            self.observe(endpoint_id, clamp(percent / PERCENT), now)

    def list_slow(self, now):
        """Return the endpoints with a recent figure of a slow one."""
        since = now - self.memory_seconds
        return sorted(
            endpoint_id
            for endpoint_id, (slowness, seen_at) in self.figures.items()
            if slowness > SLOW and seen_at > since
        )

    def keep(self, endpoint_ids):
        """Remove the figures of all other endpoints."""
        for table in (self.figures, self.news):
            for endpoint_id in list(table):
                if endpoint_id not in endpoint_ids:
                    del table[endpoint_id]


def is_changed(known, slowness):
    """Return whether two figures of an endpoint differ."""
    return abs(slowness - known) > CHANGE_FRACTION * known


def clamp(slowness):
    """Return a slowness within its bounds."""
    return min(MAX_SLOWNESS, max(MIN_SLOWNESS, slowness))
