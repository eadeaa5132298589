"""Use of cold endpoints by the requests of one entry host."""

import dataclasses

from rhubarbreach.fleet import cold_view
from rhubarbreach.fleet import directory as directories

__all__ = ['ColdAccess']


class ColdAccess:
    """Which cold endpoints the requests of a host may use, and its permits.

    The lock of the view protects the state. `select_permitted`, `take_permit`,
    `may_use` and `apply_reply` have to be called with it, and `has_limit` may
    be called without it, as it only looks up a service in a set that is
    replaced as a whole. All other methods acquire it.

    Parameters
    ----------
    lock : threading.Lock
        Lock of the view.
    zone : str
        Availability zone of this host.
    directory : Directory
        Endpoints by service.
    counts : RequestCounts
        Requests on endpoints.
    health : EndpointHealth
        Endpoints that have failed.
    """

    def __init__(self, lock, zone, directory, counts, health):
        self.lock = lock
        self.zone = zone
        self.directory = directory
        self.counts = counts
        self.health = health
        self.state = cold_view.ColdView()

    def has_limit(self, service):
        """Return whether requests to cold endpoints are limited."""
        return service in self.state.services

    def select_permitted(
        self, service, excluded, software_version, choices, now
    ):
        """Return the ids of the endpoints that are warm or have a permit.

        The parameters are those of `View.acquire`.
        """
        known = self.directory.services.get(service, ())
        endpoints = self.state.select(
            known,
            directories.make_filter(excluded, software_version, choices),
            self.counts.get_utilization,
            now,
        )
        if len(endpoints) == len(known):
            return choices
        endpoint_ids = {endpoint.endpoint_id for endpoint in endpoints}
        return endpoint_ids if choices is None else endpoint_ids & choices

    def take_permit(self, endpoint, now):
        """Return an endpoint to send to; None if it needs a permit first."""
        if not self.state.is_cold(endpoint, now):
            if endpoint.start_before < float('inf'):
                # It was cold when it served an earlier request.
                return dataclasses.replace(endpoint, start_before=float('inf'))
            return endpoint
        until = self.state.take_permit(endpoint.endpoint_id, now)
        if until is None:
            return None
        return dataclasses.replace(endpoint, start_before=until)

    def may_use(self, endpoint, now):
        """Return whether an endpoint is warm, or there is a permit for it."""
        return not self.state.is_cold(endpoint, now) or self.state.has_permit(
            endpoint.endpoint_id, now
        )

    def apply_reply(self, reply, known_ids, sent, now):
        """Apply a reply of the leader; see `View.apply_cold`."""
        self.state.apply_statement(
            reply.cold_stamp, reply.cold, known_ids, sent, now
        )
        self.state.add_permits(reply.cold_granted, sent)

    def limit_services(self, services):
        """Replace the services whose cold endpoints need permits."""
        with self.lock:
            self.state.services = frozenset(services)

    def is_cold(self, endpoint, now):
        """Return whether requests to an endpoint need a permit."""
        with self.lock:
            return self.state.is_cold(endpoint, now)

    def needs_permit(self, service, excluded, software_version, now):
        """Return whether a request should get a permit before `acquire`.

        It should if the endpoints that are not cold are loaded. The parameters
        are those of `View.acquire`.
        """
        with self.lock:
            return self.state.needs_permit(
                self.directory.services.get(service, ()),
                directories.make_filter(excluded, software_version),
                self.counts.get_utilization,
                now,
            )

    def are_warm_full(self, service, now):
        """Return whether no endpoint that is not cold has a free slot."""
        with self.lock:
            return all(
                self.counts.get_utilization(endpoint) >= 1
                for endpoint in self.directory.services.get(service, ())
                if not self.state.is_cold(endpoint, now)
            )

    def want_permit(self, service):
        """Request a permit with the next exchange."""
        with self.lock:
            self.state.want_permit(service)

    def want_permits(self, service, count):
        """Request permits for all requests that wait."""
        with self.lock:
            self.state.want_permits(service, count)

    def make_report(self, now):
        """Return the fields of `Exchange` about cold endpoints.

        Returns
        -------
        dict, dict, str
            `cold_wanted`, `cold_failures` and `cold_stamp`.
        """
        with self.lock:
            wanted = self.state.pop_wanted(
                self.directory.services,
                self.zone,
                lambda endpoint_id: self.health.table.is_ejected(
                    endpoint_id, now
                ),
                now,
            )
            return wanted, self.state.list_failures(now), self.state.stamp

    def treat_zones_as_cold(self, zones, now):
        """Count the endpoints of zones as cold until the leader names them.

        A new leader names none at first.
        """
        with self.lock:
            for endpoint in self.directory.endpoints.values():
                if endpoint.availability_zone in zones:
                    self.state.treat_as_cold(endpoint, now)

    def record_news(self, ages, now):
        """Count endpoints as cold that have failed at a host of the zone."""
        with self.lock:
            self.state.record_news(ages, now)

    def list_news(self, now):
        """Return the seconds since the failures that this host has seen."""
        with self.lock:
            return self.state.list_news(now)
