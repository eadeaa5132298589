"""Task of the leader that grants permits for requests to cold endpoints."""

import threading

from rhubarbreach import eventlog
from rhubarbreach.fleet import cold_permits
from rhubarbreach.fleet import exchange_schedule

__all__ = ['ColdManager']

LOG = eventlog.Logger('cold')

# A leader says and grants nothing unless a majority has confirmed it within
# this time. Heartbeats are sent every 0.1 s.
CONFIRMED_SECONDS = 0.25
# A new leader waits until the permits of the previous one have been used.
TAKEOVER_SECONDS = (
    CONFIRMED_SECONDS
    + cold_permits.PERMIT_SECONDS
    + cold_permits.ARRIVAL_SECONDS
)
# A new leader names the cold endpoints when the hosts have found it and have
# reported the failures that the previous leader knew.
DISCOVERY_SECONDS = 0.5
# Longest time for which the list of cold endpoints is reused.
UPDATE_INTERVAL_SECONDS = 0.05
# Time beyond the interval of exchanges after which all hosts know of a cold
# endpoint.
LEARN_SECONDS = 0.1
# A list is sent again if the end of a cold time has moved by more than this.
TOLERATED_SHIFT_SECONDS = 0.1
UNKNOWN_ON_WIRE = -1.0


class ColdManager:
    """Cold endpoints and their permits, on a store that may lead.

    Parameters
    ----------
    host_id : str
        Id of this store.
    endpoints : Endpoints
        Endpoints known to this store.
    find_index : callable
        Returns the `Index` of the configuration, or None.
    overage, slack : float
        A cold endpoint may get its target rate times `overage` plus `slack`
        requests in any second.
    """

    def __init__(self, host_id, endpoints, find_index, overage, slack):
        self.host_id = host_id
        self.endpoints = endpoints
        self.find_index = find_index
        self.overage = overage
        self.slack = slack
        self.lock = threading.Lock()
        self.allocator = cold_permits.PermitAllocator()
        self.limits = {}
        self.cold_starts = {}
        self.index = None
        self.listed_at = self.ready_at = float('inf')
        # Service of each cold endpoint, and the time until which it is cold.
        self.services = {}
        self.cold_until = {}
        self.change_count = 0
        self.next_update = float('-inf')
        self.registry_revision = None

    def reset(self, now):
        """Begin to lead; nothing is granted for some time."""
        with self.lock:
            self.allocator.reset()
            self.services = {}
            self.cold_until = {}
            self.change_count += 1
            self.listed_at = now + DISCOVERY_SECONDS
            self.ready_at = now + TAKEOVER_SECONDS
            self.next_update = float('-inf')

    def is_enabled(self):
        """Return whether the configuration limits any service."""
        index = self.find_index()
        if index is not self.index:
            self.index = index
            services = () if index is None else index.catalog.services
            limited = [s for s in services if s.cold_rate > 0]
            with self.lock:
                self.limits = {
                    service.name: cold_permits.compute_limit(
                        service.cold_rate, self.overage, self.slack
                    )
                    for service in limited
                }
                self.cold_starts = {s.name: s.cold_start for s in limited}
                self.next_update = float('-inf')
        return bool(self.limits)

    def answer(
        self,
        message,
        entry_host_count,
        confirmed_at,
        now,
        excluded=frozenset(),
    ):
        """Return permits and cold endpoints for an entry host.

        Parameters
        ----------
        message : Exchange
            Message of the host.
        entry_host_count : int
            Number of entry hosts.
        confirmed_at : float
            Send time of the latest messages that a majority has answered, in
            seconds of the monotonic clock.
        now : float
            Seconds of the monotonic clock.
        excluded : collection of str
            Endpoints for which no permits are granted, as nothing is sent
            there.

        Returns
        -------
        tuple
            Fields `cold_granted`, `cold` and `cold_stamp` of the reply.
        """
        if not self.is_enabled():
            return {}, None, ''
        if message.cold_failures:
            self.record_failures(message.cold_failures, now)
        if not self.is_confirmed(self.listed_at, confirmed_at, now):
            return {}, None, ''
        granted = {}
        with self.lock:
            self.update(entry_host_count, now)
            if self.is_confirmed(self.ready_at, confirmed_at, now):
                granted = self.allocator.grant(
                    message.cold_wanted, now, excluded
                )
            stamp = f'{self.host_id}:{self.ready_at}:{self.change_count}'
            cold = None
            if stamp != message.cold_stamp:
                cold = {
                    endpoint_id: (
                        UNKNOWN_ON_WIRE
                        if until == float('inf')
                        else max(0.0, until - now)
                    )
                    for endpoint_id, until in self.cold_until.items()
                }
        return granted, cold, stamp

    def is_confirmed(self, since, confirmed_at, now):
        """Return whether this store leads since a time and does so still."""
        return now >= since and now - confirmed_at <= CONFIRMED_SECONDS

    def record_failures(self, ages, now):
        """Count endpoints as cold that have failed at a host or a store.

        Parameters
        ----------
        ages : dict of str to float
            Seconds since the last failure of each endpoint.
        now : float
            Seconds of the monotonic clock.
        """
        if self.is_enabled() and self.endpoints.record_failures(ages, now):
            with self.lock:
                self.next_update = float('-inf')

    def update(self, entry_host_count, now):
        """Read the cold endpoints again, if it is time; needs the lock."""
        revision = self.endpoints.registry.revision
        if now < self.next_update and revision == self.registry_revision:
            return
        self.next_update = now + UPDATE_INTERVAL_SECONDS
        self.registry_revision = revision
        cold = self.endpoints.list_cold(self.cold_starts, now)
        cold_until = {e: now + row[1] for e, row in cold.items()}
        services = {e: row[0] for e, row in cold.items()}
        if self.is_changed(cold_until):
            self.log_changes(cold_until, now)
            self.change_count += 1
            self.cold_until = cold_until
        self.services = services
        learn_seconds = (
            exchange_schedule.compute_interval(entry_host_count)
            + LEARN_SECONDS
        )
        self.allocator.update(services, self.limits, now + learn_seconds)

    def is_changed(self, cold_until):
        """Return whether hosts have to get the list again."""
        if cold_until.keys() != self.cold_until.keys():
            return True
        return any(
            until != self.cold_until[endpoint_id]
            and not abs(until - self.cold_until[endpoint_id])
            <= TOLERATED_SHIFT_SECONDS
            for endpoint_id, until in cold_until.items()
        )

    def log_changes(self, cold_until, now):
        """Log the endpoints that have become cold or warm."""
        for endpoint_id, until in cold_until.items():
            if endpoint_id not in self.cold_until:
                LOG.info(
                    'event=endpoint_cold endpoint={} remaining={:.3f}',
                    endpoint_id,
                    until - now,
                )
        for endpoint_id in self.cold_until:
            if endpoint_id not in cold_until:
                LOG.info('event=endpoint_warm endpoint={}', endpoint_id)

    def count_item_starts(self, entry_host_count, confirmed_at, now):
        """Return how many items may start on each cold endpoint.

        Returns
        -------
        dict of str to int
            Numbers by endpoint; there is no limit for the others.
        """
        if not self.is_enabled():
            return {}
        may_grant = self.is_confirmed(self.ready_at, confirmed_at, now)
        with self.lock:
            self.update(entry_host_count, now)
            starts = self.allocator.count_item_starts(now)
        return starts if may_grant else dict.fromkeys(starts, 0)

    def take_item_start(self, endpoint_id, confirmed_at, now):
        """Take a permit for an item; return until when it may start.

        Returns
        -------
        float or None
            Seconds of the monotonic clock, infinite if the endpoint is warm;
            None without a permit.
        """
        if not self.is_enabled():
            return float('inf')
        with self.lock:
            if endpoint_id not in self.services:
                return float('inf')
            may_grant = self.is_confirmed(self.ready_at, confirmed_at, now)
            if may_grant and self.allocator.take(endpoint_id, 1, now):
                return now + cold_permits.PERMIT_SECONDS
        return None

    def set_gauges(self, metrics):
        """Set the number of cold endpoints and of permits since the start."""
        with self.lock:
            metrics.set_gauge('cold_endpoints', len(self.services))
            metrics.set_gauge(
                'cold_permits_granted', self.allocator.granted_count
            )
            metrics.set_gauge(
                'cold_permits_denied', self.allocator.denied_count
            )
