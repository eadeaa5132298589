"""What the planner of batch items uses of the leading store."""

from rhubarbreach.backlog import assignments
from rhubarbreach.catalog import index as indexes
from rhubarbreach.catalog import model
from rhubarbreach import clock
from rhubarbreach.fleet import evacuations

__all__ = ['ItemResources']


class ItemResources:
    """Destinations, slots and permits for batch items.

    It has no state of its own; the parts that it reads have locks.

    Parameters
    ----------
    group : Group
        Replica of the group on this store.
    find_index : callable
        Returns the `Index` of the configuration, or None.
    endpoints : Endpoints
        Endpoints known to this store.
    usage : Usage
        Load and failures of endpoints.
    cold_manager : ColdManager
        Cold endpoints and their permits.
    read_evacuations : callable
        Returns the `Evacuations` in force; takes the time.
    """

    def __init__(
        self,
        group,
        find_index,
        endpoints,
        usage,
        cold_manager,
        read_evacuations,
    ):
        self.group = group
        self.find_index = find_index
        self.endpoints = endpoints
        self.usage = usage
        self.cold_manager = cold_manager
        self.read_evacuations = read_evacuations

    def find_destination(self, job):
        """Return the `Destination` of the items of a job, or None.

        Another route under the same host and prefix is not for items, unless
        it is for batch jobs.
        """
        index = self.find_index()
        if index is None:
            return None
        route = index.find_route(job.host, job.path_prefix)
        if route is None or route.path_prefix != job.path_prefix:
            return None
        if route.kind is not model.RouteKind.BATCH:
            return None
        return assignments.Destination(indexes.choose_target(route), job.host)

    def list_slots(self):
        """Return endpoints by id, their online requests, and the suspects.

        Endpoints in evacuated zones count as draining.
        """
        now = clock.monotonic()
        zones = self.read_evacuations(now).zones
        return (
            evacuations.exclude_zones(self.endpoints.list_by_id(), zones),
            self.usage.sum_online(now),
            self.usage.list_suspects(now),
        )

    def record_outcome(self, endpoint_id, worker_id, failures, successes):
        """Record the outcomes that a store has seen on an endpoint."""
        self.usage.record_outcome(
            endpoint_id, worker_id, failures, successes, clock.monotonic()
        )
        if failures:
            self.cold_manager.record_failures(
                {endpoint_id: 0.0}, clock.monotonic()
            )

    def count_item_starts(self, now):
        """Return the items that may start by cold endpoint."""
        return self.cold_manager.count_item_starts(
            self.usage.count_hosts(), self.group.quorum_contact, now
        )

    def take_item_start(self, endpoint_id, now):
        """Return until when an item may start, or None without a permit."""
        return self.cold_manager.take_item_start(
            endpoint_id, self.group.quorum_contact, now
        )
