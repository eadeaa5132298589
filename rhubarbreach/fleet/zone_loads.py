"""Loads that the entry hosts of an availability zone report to each other.

The leader adds up the requests of all hosts, but each host asks it only
several times a second. In a load peak on all hosts at once, each of them then
sends requests to endpoints that others have just filled, and requests queue
while slots are free elsewhere. Hosts of one zone therefore also report their
requests to each other within milliseconds. This does not depend on a leader.
"""

from rhubarbreach.fleet import loads

__all__ = ['NewsBudget', 'ZoneLoads', 'compute_news_interval']

# Shortest time between two reports of a host, and the time without a change
# after which it repeats its report.
MIN_NEWS_INTERVAL_SECONDS = 0.005
MAX_NEWS_INTERVAL_SECONDS = 0.8
# Interval of reports while slots are free, as choices then depend little on
# the loads.
IDLE_NEWS_INTERVAL_SECONDS = 0.1
# Reports that a host sends per second, to all hosts of its zone together.
MAX_NEWS_PER_SECOND = 400.0
# Reports that a host may send at the shortest interval after a pause. A change
# in a load peak then reaches the zone at once, at the same rate on average.
MAX_BURST_REPORTS = 4.0


def compute_news_interval(peer_count):
    """Return the shortest time in seconds between two reports of a host."""
    return max(MIN_NEWS_INTERVAL_SECONDS, peer_count / MAX_NEWS_PER_SECOND)


class NewsBudget:
    """Budget of the reports of a host, which may be sent in short bursts."""

    def __init__(self):
        self.credit = MAX_BURST_REPORTS
        self.updated_at = float('-inf')

    def spend(self, peer_count, now):
        """Count a report; return the seconds until the next one may follow.

        Parameters
        ----------
        peer_count : int
            Hosts that the report is sent to.
        now : float
            Seconds of the monotonic clock.
        """
        interval = compute_news_interval(peer_count)
        earned = (now - self.updated_at) / interval
        self.credit = min(MAX_BURST_REPORTS, self.credit + earned) - 1
        self.updated_at = now
        missing = max(0.0, 1 - self.credit) * interval
        return max(MIN_NEWS_INTERVAL_SECONDS, missing)


class ZoneLoads:
    """Running requests of the other entry hosts of a zone.

    Callers have to hold a lock.
    """

    def __init__(self):
        self.peers = frozenset()
        self.loads = loads.Loads()

    def set_peers(self, peers):
        """Replace the hosts whose reports count."""
        self.peers = frozenset(peers)
        for host_id in list(self.loads.reports):
            if host_id not in self.peers:
                self.loads.remove(host_id)

    def report(self, host_id, running, now):
        """Store the report of a host; ignore one that is not a peer."""
        if host_id in self.peers:
            self.loads.report(host_id, running, now)

    def get_totals(self, now):
        """Return the running requests of the peers by endpoint.

        Returns
        -------
        dict of str to int or None
            None while a peer has not reported recently.
        """
        if self.loads.count_hosts(now) < len(self.peers):
            return None
        return self.loads.totals
