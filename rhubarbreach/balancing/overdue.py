"""Endpoints whose first events are overdue, and which are avoided for a while.

Designed for endpoints that stand still for 0.2 to 0.8 s while their slots look
free, so that the requests of a whole zone gather there. One host that finds
out tells its zone. Overload is no stall: if many endpoints are overdue, none
is avoided.
"""

import collections

__all__ = ['OverdueTable', 'may_be_overdue']

# Time for which an endpoint without an event is avoided: what is usually left
# of a stall when it is found out. With 0.8 s, the hosts of a fleet of 300 met
# at the endpoint afterwards, as it was empty.
BASE_SECONDS = 0.4
# It is doubled if the endpoint is found overdue again soon after that.
AGAIN_SECONDS = 1.0
MAX_SECONDS = 3.2
# Part of the endpoints of a service that is avoided at most, as for suspects.
MAX_FRACTION = 0.34


def may_be_overdue(found_slot, is_busy):
    """Return whether a request without an event tells of a stall.

    One that was sent to a full endpoint waits for its slot, and if the service
    is busy the counts of requests may be wrong.
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
        # The same for the last time without an event since.
        self.previous = {}
        # When each endpoint has sent its last event to this host.
        self.event_at = {}
        # When each host of the zone has found its endpoints overdue.
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
        found_at, until = self.previous.get(endpoint_id, (0.0, float('-inf')))
        if now < until:
            return False
        seconds = BASE_SECONDS
        if now < until + AGAIN_SECONDS:
            seconds = min(MAX_SECONDS, 2 * (until - found_at))
        times = (now, now + seconds)
        self.own[endpoint_id] = self.previous[endpoint_id] = times
        return True

    def note_event(self, endpoint_id, now):
        """Record an event; return whether its endpoint was overdue here."""
        self.event_at[endpoint_id] = now
        self.previous.pop(endpoint_id, None)
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
            self.reports[host_id] = {
                endpoint_id: now - age / 1000
                for endpoint_id, age in ages.items()
            }
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
        for host_id, found in list(self.reports.items()):
            if now >= max(found.values()) + BASE_SECONDS:
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
        for found in self.reports.values():
            overdue.update(
                endpoint_id
                for endpoint_id, found_at in found.items()
                if found_at
                > max(
                    now - BASE_SECONDS,
                    self.event_at.get(endpoint_id, float('-inf')),
                )
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
        for table in (self.own, self.previous, self.event_at):
            for endpoint_id in list(table):
                if endpoint_id not in endpoint_ids:
                    table.pop(endpoint_id, None)
