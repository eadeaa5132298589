"""Endpoints of an entry host by service, and which take new requests."""

from rhubarbreach import clock
from rhubarbreach.fleet import choice
from rhubarbreach.fleet import departures
from rhubarbreach.fleet import registry

__all__ = ['Directory', 'filter_version', 'make_filter']


class Directory:
    """Endpoints that one host knows, and those of them that it may choose.

    The lock of the view protects all attributes. `update`, `list_ready`,
    `group_by_service`, `is_leaving` and `is_in_service` have to be called with
    it. All other methods acquire it, except for `is_endpoint_in_service`,
    which only looks up one endpoint.

    Parameters
    ----------
    lock : threading.Lock
        Lock of the view.
    chooser : balancing.selection.Chooser
        Chooser that is told the endpoints of each service.
    """

    def __init__(self, lock, chooser):
        self.lock = lock
        self.chooser = chooser
        self.endpoints = {}
        # Endpoints that take new requests by their service.
        self.services = {}
        self.evacuated_zones = frozenset()
        self.departures = departures.Departures()

    def update(self, rows, complete, departures):
        """Replace the endpoints, or only update them if not complete.

        Parameters
        ----------
        rows : iterable of EndpointNotice
            Last notice of each endpoint that the leader knows.
        complete : bool
            Whether the others are gone.
        departures : dict of str to int
            Starts of processes that have left, by endpoint, of those that the
            leader does not know.

        Returns
        -------
        list of str
            Endpoints that took new requests before and take none any more.
        """
        ready = self.list_ready()
        endpoints = {} if complete else dict(self.endpoints)
        for row in rows:
            endpoints[row.endpoint_id] = choice.Endpoint(
                row.endpoint_id,
                row.service,
                row.address,
                row.availability_zone,
                row.slots,
                row.state != registry.EndpointState.READY,
                row.software_version,
                row.born,
            )
        now = clock.monotonic()
        for endpoint_id, born in departures.items():
            if endpoint_id in endpoints:
                self.departures.record(endpoint_id, born, now)
        self.endpoints = endpoints
        self.group_by_service()
        return sorted(ready - self.list_ready())

    def list_ready(self):
        """Return the ids of the endpoints that take new requests."""
        return {
            endpoint.endpoint_id
            for endpoints in self.services.values()
            for endpoint in endpoints
        }

    def group_by_service(self):
        """Group the endpoints that take new requests by their service.

        Those of evacuated zones take none.
        """
        services = {}
        for endpoint in self.endpoints.values():
            is_evacuated = endpoint.availability_zone in self.evacuated_zones
            if not (is_evacuated or self.is_leaving(endpoint)):
                services.setdefault(endpoint.service, []).append(endpoint)
        self.services = services
        self.chooser.set_services(services)

    def is_leaving(self, endpoint):
        """Return whether an endpoint drains, or has said that it leaves."""
        return endpoint.is_draining or self.departures.is_leaving(
            endpoint.endpoint_id, endpoint.born
        )

    def is_in_service(self, endpoint):
        """Return whether the process of an endpoint takes new requests."""
        return endpoint in self.services.get(endpoint.service, ())

    def set_evacuated_zones(self, zones):
        """Replace the zones to whose endpoints nothing is sent."""
        with self.lock:
            self.evacuated_zones = frozenset(zones)
            self.group_by_service()

    def record_departure(self, endpoint):
        """Choose an endpoint no more, as it has said that it is leaving.

        Returns
        -------
        bool
            Whether it had not said so before.
        """
        with self.lock:
            is_new = self.departures.record(
                endpoint.endpoint_id, endpoint.born, clock.monotonic()
            )
            if is_new:
                self.group_by_service()
        return is_new

    def copy_departures(self):
        """Return the starts of the leaving processes by endpoint."""
        with self.lock:
            return self.departures.list_processes()

    def find_in_service(self, endpoint_id):
        """Return an endpoint that takes new requests, None if it does not."""
        with self.lock:
            endpoint = self.endpoints.get(endpoint_id)
            if endpoint is not None and self.is_in_service(endpoint):
                return endpoint
        return None

    def is_endpoint_in_service(self, endpoint):
        """Return whether an endpoint is not leaving, restarted or not.

        A process may have sent a response before its start was known here.
        The endpoints of an evacuated zone go on with what they run.
        """
        known = self.endpoints.get(endpoint.endpoint_id)
        return (
            known is not None
            and known.service == endpoint.service
            and not self.is_leaving(known)
        )

    def has_left(self, endpoint):
        """Return whether the process of an endpoint has said that it leaves.

        Parameters
        ----------
        endpoint : Endpoint
            Endpoint that has served a request.
        """
        with self.lock:
            current = self.endpoints.get(endpoint.endpoint_id)
            return self.departures.is_leaving(
                endpoint.endpoint_id, endpoint.born
            ) or (
                current is not None
                and current.born == endpoint.born
                and current.is_draining
            )

    def list_endpoint_ids(self, service, software_version):
        """Return the endpoints that take requests, of a version if given."""
        with self.lock:
            endpoints = self.services.get(service, ())
            return {
                endpoint.endpoint_id
                for endpoint in filter_version(endpoints, software_version)
            }

    def has_version(self, service, software_version):
        """Return whether an endpoint with a software version is ready."""
        with self.lock:
            return any(
                endpoint.software_version == software_version
                for endpoint in self.services.get(service, ())
            )


def make_filter(excluded, software_version, choices=None):
    """Return a function that tells whether a request may use an endpoint."""

    def is_usable(endpoint):
        return (
            endpoint.endpoint_id not in excluded
            and software_version in (None, endpoint.software_version)
            and (choices is None or endpoint.endpoint_id in choices)
        )

    return is_usable


def filter_version(endpoints, software_version):
    """Return the endpoints of a software version, or all if it is None."""
    if software_version is None:
        return endpoints
    return [
        endpoint
        for endpoint in endpoints
        if endpoint.software_version == software_version
    ]
