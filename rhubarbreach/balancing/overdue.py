"""Endpoints whose first events are overdue, and which are avoided for a while.

Designed for endpoints that stand still for 0.2 to 0.8 s while their slots look
free, so that the requests of a whole zone gather there. One host that finds
out tells its zone. Overload is no stall: if many endpoints are overdue, none
is avoided.
"""

import collections

__all__ = ['OverdueTable', 'may_be_overdue']

# Time for which an endpoint without an event is avoided, doubled by each
# further time without one in between: the longest stall that was seen, and the
# longest ejection of an endpoint that has failed.
BASE_SECONDS = 0.8
MAX_SECONDS = 4.0
MAX_DOUBLINGS = 8
# Part of the endpoints of a service that is avoided at most, as for suspects.
MAX_FRACTION = 0.34
# Time for which a report of the zone counts, which is repeated after 0.8 s.
REPORT_SECONDS = 1.0


def may_be_overdue(found_slot, is_busy):
    """Return whether a request without an event tells of a stall.

    One that was sent to a full endpoint waits for its slot, and if the service
    is highly utilized the counts of requests may be wrong.
    """
    return found_slot and not is_busy


class OverdueTable:
    """Overdue endpoints, as one host and its zone have found them.

    Times are in seconds of the monotonic clock. Not safe for threads: callers
    hold a lock. `note_event` alone may be called without it.
    """

    def __init__(self):
        # When each endpoint was found overdue, and until when it counts so.
        self.own = {}
        # Consecutive times without an event in between.
        self.counts = collections.Counter()
        # When each endpoint has sent its last event to this host.
        self.event_at = {}
        # Until when the report of a host counts, and when it found each of
        # its endpoints overdue.
        self.reports = {}

    @property
    def is_empty(self):
        """Whether no endpoint is overdue."""
        return not (self.own or self.reports)

    def mark(self, endpoint_id, sent_at, now):
        """Count an endpoint as overdue; return whether that is new.

        Parameters
        ----------
        endpoint_id : str
            Endpoint.
        sent_at : float
            When the request was sent that has no event. An event of another
            request since then shows that the endpoint does not stand still.
        now : float
            Time.
        """
        if self.event_at.get(endpoint_id, float('-inf')) > sent_at:
            return False
        _, until = self.own.get(endpoint_id, (now, now))
        if now < until:
            return False
        doublings = min(self.counts[endpoint_id], MAX_DOUBLINGS)
        seconds = min(MAX_SECONDS, BASE_SECONDS * 2**doublings)
        self.counts[endpoint_id] += 1
        self.own[endpoint_id] = (now, now + seconds)
        return True

    def note_event(self, endpoint_id, now):
        """Record an event; return whether its endpoint was overdue here."""
        self.event_at[endpoint_id] = now
        self.counts.pop(endpoint_id, None)
        return self.own.pop(endpoint_id, None) is not None

    def report(self, host_id, ages, now):
        """Replace what another host of the zone has found.

        Parameters
        ----------
        host_id : str
            Host that reports.
        ages : dict of str to int
            Milliseconds since each endpoint was found overdue.
        now : float
            Time.
        """
        if ages:
            found = {e: now - age / 1000 for e, age in ages.items()}
            self.reports[host_id] = (now + REPORT_SECONDS, found)
        else:
            self.reports.pop(host_id, None)

    def list_news(self, now):
        """Return the ages of what this host has found; see `report`."""
        self.expire(now)
        return {
            endpoint_id: round((now - found_at) * 1000)
            for endpoint_id, (found_at, _) in list(self.own.items())
        }

    def expire(self, now):
        """Remove what counts no more."""
        for endpoint_id, (_, until) in list(self.own.items()):
            if now >= until:
                self.own.pop(endpoint_id, None)
        for host_id, (until, _) in list(self.reports.items()):
            if now >= until:
                del self.reports[host_id]

    def list_avoided(self, endpoints, services, now):
        """Return the ids of the endpoints to avoid.

        Parameters
        ----------
        endpoints : dict of str to Endpoint
            All endpoints by id.
        services : dict of str to collection of Endpoint
            Endpoints that take requests, by service.
        now : float
            Time.

        Returns
        -------
        frozenset of str
        """
        self.expire(now)
        overdue = set(self.own)
        for _, found in self.reports.values():
            overdue.update(
                endpoint_id
                for endpoint_id, found_at in found.items()
                if found_at > self.event_at.get(endpoint_id, float('-inf'))
            )
        by_service = collections.defaultdict(set)
        for endpoint_id in overdue & endpoints.keys():
            service = endpoints[endpoint_id].service
            by_service[service].add(endpoint_id)
        avoided = set()
        for service, endpoint_ids in by_service.items():
            count = len(services.get(service, ()))
            # Of two endpoints one may be avoided, a single one is not.
            if len(endpoint_ids) <= max(count > 1, int(count * MAX_FRACTION)):
                avoided |= endpoint_ids
        return frozenset(avoided)

    def keep(self, endpoint_ids):
        """Forget all other endpoints."""
        for table in (self.own, self.counts, self.event_at):
            for endpoint_id in list(table):
                if endpoint_id not in endpoint_ids:
                    table.pop(endpoint_id, None)
