"""Load and failures of endpoints, as reported by entry and store hosts."""

import threading

from rhubarbreach import eventlog
from rhubarbreach.fleet import fair_share
from rhubarbreach.fleet import loads
from rhubarbreach.fleet import relay_pool
from rhubarbreach.fleet import suspicion

__all__ = ['Usage']

LOG = eventlog.Logger('usage')

# Interval at which the suspect endpoints are computed again. Entry hosts ask
# for them every 0.15 s.
SUSPECTS_INTERVAL_SECONDS = 0.1


class Usage:
    """Load and failures of endpoints, aggregated by the leader.

    Parameters
    ----------
    list_endpoints : callable
        Returns the endpoints as a dict by id.
    """

    def __init__(self, list_endpoints):
        self.list_endpoints = list_endpoints
        self.lock = threading.Lock()
        self.loads = loads.LoadsByZone()
        self.suspicion = suspicion.Suspicion()
        self.relay_pool = relay_pool.RelayPool()
        self.queues = fair_share.FleetQueues()
        self.suspects = frozenset()
        self.next_update = 0.0

    def report(self, host_id, message, now):
        """Record the report of an entry host.

        Parameters
        ----------
        host_id : str
            Entry host that reports.
        message : Exchange
            Requests of the host on each endpoint, and their outcomes.
        now : float
            Monotonic time in seconds.

        Returns
        -------
        bool, int
            Whether the host has more requests in flight than before, and the
            number of entry hosts.
        """
        with self.lock:
            has_grown = self.loads.report(
                host_id, message.availability_zone, message.running, now
            )
            self.relay_pool.report(host_id, message.is_doubtful, now)
            if message.is_cut_off:
                # Its failures are those of its own links.
                self.suspicion.forget_failures(host_id)
            else:
                for endpoint_id, outcomes in message.outcomes.items():
                    self.suspicion.add(endpoint_id, host_id, *outcomes, now)
            self.queues.report(host_id, message.queues, now)
            return has_grown, self.count_hosts()

    def count_hosts(self):
        """Return the number of entry hosts, at least 1."""
        return max(1, len(self.loads.zone_by_host))

    def list_zones(self):
        """Return the availability zones of the entry hosts that report."""
        with self.lock:
            return set(self.loads.zone_by_host.values())

    def list_relays(self, host_id, message, now):
        """Return relays for a reporting host, or None if it wants none."""
        if not message.wants_relays:
            return None
        with self.lock:
            return self.relay_pool.choose(
                host_id, self.loads.zone_by_host, now
            )

    def list_online(self, zone, endpoint_ids):
        """Return the online requests on endpoints, in the given order.

        Returns
        -------
        tuple of int, tuple of int
            Requests of the hosts in other zones, and in this one.
        """
        with self.lock:
            totals = self.loads.fleet.totals
            zone_totals = self.loads.get_zone_totals(zone)
            nearby = tuple(zone_totals.get(e, 0) for e in endpoint_ids)
            elsewhere = tuple(
                max(0, totals.get(endpoint_id, 0) - count)
                for endpoint_id, count in zip(
                    endpoint_ids, nearby, strict=True
                )
            )
            return elsewhere, nearby

    def list_queues(self, now):
        """Return the `QueueState` of each service whose requests wait."""
        endpoints = self.list_endpoints().values()
        with self.lock:
            self.queues.update(endpoints, self.loads.fleet.totals, now)
            return self.queues.list_states()

    def list_peers(self, message):
        """Return the hosts in the zone of a reporting host, and a revision.

        Returns
        -------
        int, tuple of str or None
            Revision of the list, and the list if the host needs it.
        """
        with self.lock:
            revision = self.loads.revision
            if revision == message.peers_revision:
                return revision, None
            return revision, self.loads.list_hosts(message.availability_zone)

    def record_outcome(self, endpoint_id, host_id, failures, successes, now):
        """Record the outcomes that a store has seen on an endpoint."""
        with self.lock:
            self.suspicion.add(endpoint_id, host_id, failures, successes, now)

    def sum_online(self, now):
        """Return the number of online requests on each endpoint."""
        with self.lock:
            self.loads.expire(now)
            return dict(self.loads.fleet.totals)

    def list_suspects(self, now):
        """Return the ids of endpoints that fail for several hosts."""
        if now < self.next_update:
            return self.suspects
        self.next_update = now + SUSPECTS_INTERVAL_SECONDS
        services = {}
        for endpoint_id, endpoint in self.list_endpoints().items():
            services.setdefault(endpoint.service, []).append(endpoint_id)
        with self.lock:
            suspects = self.suspicion.list_suspects(services, now)
        if suspects != self.suspects:
            LOG.info('event=endpoints_suspect endpoints={}', sorted(suspects))
        self.suspects = frozenset(suspects)
        return self.suspects
