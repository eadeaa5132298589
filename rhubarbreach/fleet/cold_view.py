"""Cold endpoints and permits as one entry host knows them."""

import collections
import random

from rhubarbreach.fleet import cold_permits

__all__ = ['ColdView']

# Time for which failures are reported to the leader. A leader that takes over
# in this time knows the failures that the previous one knew.
REPORT_SECONDS = 3.0
# Time for which failures are reported to the hosts of the zone, which get a
# report at least every 0.8 s.
NEWS_SECONDS = 1.0
# Reports of one failure by several messages differ by the delay of links.
SAME_FAILURE_SECONDS = 0.1
# Fraction of the slots of all warm endpoints from which on cold ones are used.
LOADED_FRACTION = 0.5


class ColdView:
    """Cold endpoints and permits of one host.

    What the leader has said last holds until it says otherwise, and failures
    that this host or another one in its zone has seen are added. Callers have
    to hold a lock.
    """

    def __init__(self):
        # Services whose cold endpoints need permits.
        self.services = frozenset()
        self.stamp = ''
        # Times until which endpoints are cold by the leader's list.
        self.cold_until = {}
        # Failures that the leader's list may not include yet.
        self.failed_at = {}
        # Failures to report, of this host and of others in its zone.
        self.own_failures = {}
        self.reported_failures = {}
        # Start of the process of each endpoint, and the endpoints whose
        # process is new since the leader's last statement.
        self.processes = {}
        self.new_ids = set()
        # Times until which permits may be used, by endpoint.
        self.permits = {}
        self.wanted = collections.Counter()

    def update_endpoints(self, endpoints):
        """Count endpoints with a new process as cold until a statement.

        Parameters
        ----------
        endpoints : dict of str to Endpoint
            All known endpoints.
        """
        processes = {e: known.born for e, known in endpoints.items()}
        self.new_ids &= processes.keys()
        self.new_ids.update(
            endpoint_id
            for endpoint_id, born in processes.items()
            if self.processes.get(endpoint_id) != born
        )
        self.processes = processes

    def is_cold(self, endpoint, now):
        """Return whether a request to an endpoint needs a permit."""
        endpoint_id = endpoint.endpoint_id
        return endpoint.service in self.services and (
            now < self.cold_until.get(endpoint_id, 0.0)
            or endpoint_id in self.failed_at
            or endpoint_id in self.new_ids
        )

    def treat_as_cold(self, endpoint, now):
        """Count an endpoint as cold until the leader answers about it."""
        if endpoint.service in self.services:
            self.failed_at[endpoint.endpoint_id] = now

    def record_failure(self, endpoint, now):
        """Count an endpoint that has failed here as cold.

        Returns
        -------
        bool
            Whether its service limits the requests of cold endpoints.
        """
        if endpoint is None or endpoint.service not in self.services:
            return False
        endpoint_id = endpoint.endpoint_id
        self.failed_at[endpoint_id] = now
        self.own_failures[endpoint_id] = now
        self.reported_failures[endpoint_id] = now
        return True

    def record_news(self, ages, now):
        """Count endpoints as cold that have failed at a host of the zone.

        Parameters
        ----------
        ages : dict of str to float
            Seconds since the failures.
        now : float
            Seconds of the monotonic clock.
        """
        for endpoint_id, age in ages.items():
            failed_at = now - age
            known = self.reported_failures.get(endpoint_id, float('-inf'))
            if endpoint_id in self.processes and (
                failed_at > known + SAME_FAILURE_SECONDS
            ):
                self.failed_at[endpoint_id] = failed_at
                self.reported_failures[endpoint_id] = failed_at

    def list_news(self, now):
        """Return the seconds since the last failures seen by this host."""
        for endpoint_id, failed_at in list(self.own_failures.items()):
            if now - failed_at > NEWS_SECONDS:
                del self.own_failures[endpoint_id]
        return {e: now - at for e, at in self.own_failures.items()}

    def list_failures(self, now):
        """Return the seconds since the failures that the leader has to know.

        A failure is reported in each exchange for some time, and until one
        was answered.
        """
        return {e: now - at for e, at in self.reported_failures.items()}

    def apply_statement(self, stamp, remaining, known_ids, sent, now):
        """Apply what the leader says about cold endpoints.

        Parameters
        ----------
        stamp : str
            Identifies the leader's list; empty if it says nothing yet.
        remaining : dict of str to float or None
            Seconds for which the endpoints of the list are cold, negative if
            unknown; None if the list with this stamp is known.
        known_ids : collection of str
            Endpoints that the leader knows.
        sent : float
            When the exchange began, in seconds of the monotonic clock.
        now : float
            Seconds of the monotonic clock.
        """
        if not stamp:
            return
        if remaining is not None:
            self.cold_until = {
                endpoint_id: float('inf') if seconds < 0 else now + seconds
                for endpoint_id, seconds in remaining.items()
            }
        self.stamp = stamp
        self.new_ids = set()
        if self.services:
            self.new_ids.update(self.processes.keys() - known_ids)
        for endpoint_id, failed_at in list(self.failed_at.items()):
            if failed_at < sent:
                del self.failed_at[endpoint_id]
        for endpoint_id, failed_at in list(self.reported_failures.items()):
            if failed_at < sent and now - failed_at > REPORT_SECONDS:
                del self.reported_failures[endpoint_id]

    def want_permit(self, service):
        """Request a permit for a request with the next exchange."""
        self.wanted[service] += 1

    def want_permits(self, service, count):
        """Request permits for all requests that wait, however often."""
        self.wanted[service] = max(self.wanted[service], count)

    def pop_wanted(self, services, zone, is_ejected, now):
        """Return the permits to request by endpoint.

        Endpoints in the zone of this host come first, those that have just
        failed last.

        Parameters
        ----------
        services : dict of str to list of Endpoint
            Endpoints that take new requests by their service.
        zone : str
            Availability zone of this host.
        is_ejected : callable
            Returns whether the endpoint with an id is ejected.
        now : float
            Seconds of the monotonic clock.
        """
        wanted = collections.Counter()
        for service, count in self.wanted.items():
            cold = [
                e for e in services.get(service, ()) if self.is_cold(e, now)
            ]
            sound = [e for e in cold if not is_ejected(e.endpoint_id)]
            near = [e for e in sound if e.availability_zone == zone]
            choices = near or sound or cold
            if choices:
                for endpoint in random.choices(choices, k=count):
                    wanted[endpoint.endpoint_id] += 1
        self.wanted.clear()
        return dict(wanted)

    def add_permits(self, granted, sent):
        """Add permits by endpoint, from an exchange that began at `sent`."""
        until = sent + cold_permits.PERMIT_SECONDS
        for endpoint_id, count in granted.items():
            self.permits.setdefault(endpoint_id, []).extend([until] * count)

    def has_permit(self, endpoint_id, now):
        """Return whether a request may be sent to a cold endpoint."""
        permits = self.permits.get(endpoint_id)
        if not permits:
            return False
        valid = [until for until in permits if now < until]
        if valid:
            self.permits[endpoint_id] = valid
        else:
            del self.permits[endpoint_id]
        return bool(valid)

    def take_permit(self, endpoint_id, now):
        """Use a permit; return until when, or None without one."""
        if not self.has_permit(endpoint_id, now):
            return None
        return self.permits[endpoint_id].pop(0)

    def select(self, endpoints, is_usable, get_utilization, now):
        """Return the endpoints to which a request may be sent now.

        Cold ones are used, with a permit, while the warm ones are loaded.

        Parameters
        ----------
        endpoints : sequence of Endpoint
            Endpoints of a service.
        is_usable : callable
            Returns whether the request may be sent to an endpoint at all.
        get_utilization : callable
            Returns the fraction of the slots of an endpoint that is in use.
        now : float
            Seconds of the monotonic clock.
        """
        warm, cold = self.split(endpoints, now)
        if not cold or not self.permits:
            return warm
        permitted = [e for e in cold if self.has_permit(e.endpoint_id, now)]
        if permitted and is_loaded(warm, is_usable, get_utilization):
            return warm + permitted
        return warm

    def needs_permit(self, endpoints, is_usable, get_utilization, now):
        """Return whether a request should get a permit first.

        The parameters are those of `select`.
        """
        if not endpoints or endpoints[0].service not in self.services:
            return False
        warm, cold = self.split(endpoints, now)
        cold = [e for e in cold if is_usable(e)]
        return (
            bool(cold)
            and is_loaded(warm, is_usable, get_utilization)
            and not any(self.has_permit(e.endpoint_id, now) for e in cold)
        )

    def split(self, endpoints, now):
        """Return the warm and the cold endpoints of a limited service."""
        cold_ids = {e for e, until in self.cold_until.items() if now < until}
        cold_ids.update(self.failed_at, self.new_ids)
        if not cold_ids:
            return endpoints, []
        warm = [e for e in endpoints if e.endpoint_id not in cold_ids]
        return warm, [e for e in endpoints if e.endpoint_id in cold_ids]


def is_loaded(warm, is_usable, get_utilization):
    """Return whether all warm endpoints are loaded that a request may use."""
    return all(
        get_utilization(endpoint) >= LOADED_FRACTION
        for endpoint in warm
        if is_usable(endpoint)
    )
