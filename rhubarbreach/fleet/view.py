"""Endpoints, their loads and their health, as one entry host knows them.

See `choice` for the decisions. Requests that find all endpoints full wait in
`gateway.admission`, which is told when a slot may have become free.
"""

import random
import threading

from rhubarbreach.balancing import endpoints as endpoint_tables
from rhubarbreach.balancing import hedging
from rhubarbreach.balancing import selection
from rhubarbreach import clock
from rhubarbreach import eventlog
from rhubarbreach.fleet import choice
from rhubarbreach.fleet import cold_access
from rhubarbreach.fleet import directory as directories
from rhubarbreach.fleet import endpoint_choice
from rhubarbreach.fleet import health as healths
from rhubarbreach.fleet import paths
from rhubarbreach.fleet import performance as performances
from rhubarbreach.fleet import request_counts

__all__ = ['View']

LOG = eventlog.Logger('view')

# From this utilization on, requests of other hosts may fill an endpoint within
# one exchange interval. A host then requests the current loads before it
# chooses an endpoint, and reports its choice immediately.
HIGH_UTILIZATION_FRACTION = 0.5


class View:
    """Endpoints, their loads and their health, as one host knows them.

    All threads of the host share the view. It consists of parts with one
    subject each, and has the operations on several of them itself:

    - `directory`: endpoints by service, and which take new requests;
    - `counts`: requests on endpoints, by their sources;
    - `health`: endpoints that have failed;
    - `paths`: endpoints that this host does not reach by itself, with a lock
      of its own;
    - `cold`: cold endpoints and permits for them;
    - `performance`: run times, speeds and costs that the host has learned;
    - `choice`: the choice of an endpoint by all of these.

    One lock, `lock`, protects the state of all parts, so that a choice sees
    one state of them and is counted before the next one. The methods of the
    view acquire it, and must be called without it; the docstring of each part
    says which of its methods have to be called with it. The callbacks are
    called without it.

    Parameters
    ----------
    zone : str
        Availability zone of this host.
    """

    def __init__(self, zone):
        self.zone = zone
        # Called by `acquire` if the chosen endpoint is highly utilized or no
        # endpoint is available.
        self.on_high_utilization = None
        # Called when the number of requests of this host on an endpoint has
        # changed, with whether the endpoint is highly utilized.
        self.on_change = None
        # Called when a slot may have become free: with the endpoint at which a
        # request of this host has ended, or with None if the leader has sent
        # loads or endpoints.
        self.on_free = None
        # Whether a reply of the leader is applied in part, so that slots that
        # it frees must not be used yet.
        self.is_updating = False
        self.lock = threading.Lock()
        table = endpoint_tables.EndpointTable()
        chooser = selection.Chooser(zone, table)
        self.directory = directories.Directory(self.lock, chooser)
        self.counts = request_counts.RequestCounts(self.lock)
        self.health = healths.EndpointHealth(self.lock)
        self.paths = paths.Paths()
        self.cold = cold_access.ColdAccess(
            self.lock, zone, self.directory, self.counts, self.health
        )
        self.performance = performances.Performance(
            self.lock, self.directory, table
        )
        self.choice = endpoint_choice.EndpointChoice(
            chooser,
            self.directory,
            self.counts,
            self.health,
            self.performance,
        )

    def update_endpoints(self, rows, complete, departures=None):
        """Replace the endpoints, or only update them if not complete.

        See `Directory.update` for the parameters.
        """
        with self.lock:
            withdrawn = self.directory.update(rows, complete, departures or {})
            endpoints = self.directory.endpoints
            self.cold.state.update_endpoints(endpoints)
            self.health.keep(endpoints)
            self.performance.table.keep(endpoints)
        if withdrawn:
            LOG.info('event=endpoints_withdrawn endpoints={}', withdrawn)
        self.notify_free()

    def notify_free(self, endpoint_id=None):
        """Report that a slot may be free, of this host at an endpoint."""
        is_deferred = endpoint_id is None and self.is_updating
        if self.on_free is None or is_deferred:
            return
        try:
            self.on_free(endpoint_id)
        except Exception:
            LOG.exception('event=hand_over_failed endpoint={}', endpoint_id)

    def update_loads(
        self, elsewhere, batch, suspects=(), nearby=None, age=0.0
    ):
        """Replace the loads and suspects that the leader has sent.

        Parameters
        ----------
        elsewhere, batch, nearby, age
            See `RequestCounts.update`.
        suspects : iterable of str
            Endpoints that fail for several hosts.
        """
        now = clock.monotonic()
        with self.lock:
            self.counts.update(elsewhere, batch, nearby, age, now)
            self.health.leader_suspects = frozenset(suspects)
            self.health.update_suspects(self.directory, now)
        self.notify_free()

    def drop_leader_loads(self):
        """Forget the loads that the leader has sent, as they are outdated."""
        self.update_loads({}, {}, self.health.leader_suspects)

    def report_peer(
        self, host_id, running, now, slowness=None, overdue_ages=None
    ):
        """Store the running requests of another host of the zone.

        Parameters
        ----------
        host_id : str
            Host that reports.
        running : dict of str to int
            Its requests by endpoint.
        now : float
            Seconds of the monotonic clock.
        slowness : dict of str to int, optional
            Slowness of endpoints in percent that it has learned.
        overdue_ages : dict of str to int, optional
            Endpoints that it has found overdue; see `OverdueTable.report`.
        """
        with self.lock:
            if self.counts.is_peer(host_id):
                self.health.overdue.report(host_id, overdue_ages, now)
            if slowness and self.counts.is_peer(host_id):
                self.performance.table.slowness.merge(slowness, now)
            self.counts.report_peer(host_id, running, now)

    def acquire(
        self,
        service,
        excluded,
        now,
        queue_limit=choice.MAX_QUEUED,
        can_retry=False,
        software_version=None,
        choices=None,
        cost=None,
    ):
        """Choose an endpoint and count a request on it until `release`.

        Parameters
        ----------
        service : str
            Service of the request.
        excluded : collection of str
            Endpoints that have already been tried.
        now : float
            Seconds of the monotonic clock.
        queue_limit : int
            Requests that may wait at an endpoint.
        can_retry : bool
            Whether the request can be retried. A free slot at a suspect is
            then preferred to waiting in a queue.
        software_version : str, optional
            Version of the endpoints at which a stream may be resumed.
        choices : collection of str, optional
            Endpoints to choose from; all if not given.
        cost : Cost, optional
            Predicted cost of the request. If its tokens are stated, or the
            endpoints report their speed, it decides.

        Returns
        -------
        Endpoint or Refusal
            See `choice.choose_endpoint` and `balancing.selection`.
        """
        with self.lock:
            self.health.update_suspects(self.directory, now)
            is_restricted = choices is not None
            if self.cold.has_limit(service):
                choices = self.cold.select_permitted(
                    service, excluded, software_version, choices, now
                )
            chosen = self.choice.choose(
                endpoint_choice.Criteria(
                    service,
                    excluded,
                    queue_limit,
                    can_retry,
                    software_version,
                    choices,
                    cost,
                    is_restricted,
                ),
                now,
            )
            if isinstance(chosen, choice.Endpoint):
                chosen = self.cold.take_permit(chosen, now)
                self.begin(chosen, cost, now)
        is_high = (
            not isinstance(chosen, choice.Endpoint)
            or self.counts.get_utilization(chosen) >= HIGH_UTILIZATION_FRACTION
        )
        if is_high and self.on_high_utilization is not None:
            self.on_high_utilization()
        if self.on_change is not None and isinstance(chosen, choice.Endpoint):
            self.on_change(is_high)
        return chosen

    def acquire_again(self, endpoint):
        """Count a further request on an endpoint until `release`.

        Parameters
        ----------
        endpoint : Endpoint
            Endpoint that has just served the request.

        Returns
        -------
        Endpoint or None
            None if it takes no new requests, or is cold and there is no
            permit.
        """
        now = clock.monotonic()
        with self.lock:
            if not self.directory.is_in_service(endpoint):
                return None
            endpoint = self.cold.take_permit(endpoint, now)
            if endpoint is None:
                return None
            self.begin(endpoint, None, now)
        self.notify_change(endpoint)
        return endpoint

    def acquire_spare(self, service, excluded, software_version, cost, now):
        """Count a hedge at a sound endpoint with a free slot until `release`.

        A hedge uses no permit. The parameters are those of `acquire`.

        Returns
        -------
        Endpoint or None
            None if there is none.
        """
        is_fit = directories.make_filter(excluded, software_version)
        slowness = self.performance.table.slowness
        with self.lock:
            self.health.update_suspects(self.directory, now)
            endpoint = hedging.choose_spare(
                self.directory.services.get(service, ()),
                self.zone,
                self.counts.make_counter(),
                lambda e: (
                    is_fit(e)
                    and self.health.is_sound(e.endpoint_id, now)
                    and not self.cold.state.is_cold(e, now)
                ),
                lambda e: slowness.get(e.endpoint_id, service, now),
                random.random,
            )
            if endpoint is None:
                return None
            self.begin(endpoint, cost, now)
        self.notify_change(endpoint)
        return endpoint

    def begin(self, endpoint, cost, now):
        """Count a request on an endpoint; the lock is held."""
        self.counts.add(endpoint.endpoint_id)
        self.performance.table.begin(endpoint.endpoint_id, cost, now)

    def release(self, endpoint_id, cost=None, has_begun=False):
        """Remove a completed request from the load of an endpoint.

        Parameters
        ----------
        endpoint_id : str
            Endpoint of the request.
        cost : Cost, optional
            Its cost, as passed to `acquire`.
        has_begun : bool
            Whether `note_first_event` was called for it.
        """
        with self.lock:
            self.performance.table.end(endpoint_id, cost, has_begun)
            self.counts.remove(endpoint_id)
            endpoint = self.directory.endpoints.get(endpoint_id)
        self.notify_change(endpoint)

    def notify_change(self, endpoint):
        """Report a change of this host's requests on an endpoint, if known."""
        if self.on_change is not None:
            self.on_change(
                endpoint is not None
                and self.counts.get_utilization(endpoint)
                >= HIGH_UTILIZATION_FRACTION
            )

    def choose_queue_limit(self, service, objective, is_late, has_begun):
        """Return the queue limit for a request.

        Parameters
        ----------
        service : str
            Service of the request.
        objective, is_late, has_begun
            See `choice.choose_queue_limit`.
        """
        with self.lock:
            run_seconds = self.performance.run_seconds.get(service)
            endpoints = self.directory.services.get(service, ())
            slots = min((e.slots for e in endpoints), default=0)
        return choice.choose_queue_limit(
            slots, run_seconds, objective, is_late, has_begun
        )

    def is_sound(self, endpoint_id, now):
        """Return whether an endpoint takes requests and has not failed."""
        with self.lock:
            self.health.update_suspects(self.directory, now)
            endpoint = self.directory.endpoints.get(endpoint_id)
            return (
                endpoint is not None
                and self.directory.is_in_service(endpoint)
                and self.health.is_sound(endpoint_id, now)
            )

    def count_own(self, service):
        """Return the requests of this host that run on a service."""
        with self.lock:
            return sum(
                self.counts.running.get(endpoint.endpoint_id, 0)
                for endpoint in self.directory.services.get(service, ())
            )

    def describe_service(self, service):
        """Return what is known of a service.

        Returns
        -------
        int, int, float or None, float
            Slots of all endpoints, those of them that are free, mean run time
            in seconds if it is known, and age of the loads in seconds. A cold
            endpoint without a permit has no free slots.
        """
        now = clock.monotonic()
        with self.lock:
            endpoints = self.directory.services.get(service, ())
            slots = sum(endpoint.slots for endpoint in endpoints)
            if self.cold.has_limit(service):
                endpoints = [e for e in endpoints if self.cold.may_use(e, now)]
            free = self.counts.count_free_slots(endpoints)
            run_seconds = self.performance.run_seconds.get(service)
            return slots, free, run_seconds, self.counts.load_age

    def has_high_utilization(self, service):
        """Return whether all endpoints of a service are highly utilized."""
        with self.lock:
            candidates = self.directory.services.get(service, ())
            if self.cold.has_limit(service):
                now = clock.monotonic()
                candidates = [
                    e for e in candidates if self.cold.may_use(e, now)
                ]
            return all(
                self.counts.get_utilization(endpoint)
                >= HIGH_UTILIZATION_FRACTION
                for endpoint in candidates
            )

    def is_busy(self, service):
        """Return whether a service has no room for hedges."""
        with self.lock:
            return self.counts.is_busy(
                self.directory.services.get(service, ())
            )

    def mark_overdue(self, endpoint_id, sent_at, now):
        """Avoid an endpoint without a first event; return whether it is new.

        See `OverdueTable.mark` for the parameters. The endpoint has not
        failed.
        """
        with self.lock:
            is_new = self.health.overdue.mark(endpoint_id, sent_at, now)
        if is_new and self.on_change is not None:
            self.on_change(True)
        return is_new

    def note_event(self, endpoint_id, now):
        """Record an event, after which its endpoint is not overdue."""
        if not self.health.overdue.note_event(endpoint_id, now):
            return
        if self.on_change is not None:
            self.on_change(False)
        self.notify_free()

    def record_failure(self, endpoint_id, now):
        """Count a failure and eject the endpoint for some time."""
        with self.lock:
            self.health.record_failure(endpoint_id, now)
        self.record_cold(endpoint_id, now)

    def record_recovery(self, endpoint_id):
        """Choose an endpoint again that was silent and goes on."""
        with self.lock:
            self.health.table.record_success(endpoint_id)
        self.notify_free()

    def record_cold(self, endpoint_id, now):
        """Count an endpoint as cold that has failed, or says that it is.

        The other hosts have to know it before they send many requests there.
        """
        with self.lock:
            endpoint = self.directory.endpoints.get(endpoint_id)
            is_limited = self.cold.state.record_failure(endpoint, now)
        if is_limited and self.on_high_utilization is not None:
            self.on_high_utilization()
        if is_limited and self.on_change is not None:
            self.on_change(True)

    def apply_cold(self, reply, known_ids, sent, now):
        """Apply permits and cold endpoints of a reply of the leader.

        Parameters
        ----------
        reply : ExchangeReply
            Reply of the leader.
        known_ids : collection of str
            Endpoints that the leader knows.
        sent : float
            When the exchange began, in seconds of the monotonic clock.
        now : float
            Seconds of the monotonic clock.
        """
        with self.lock:
            self.cold.apply_reply(reply, known_ids, sent, now)
        if reply.cold_granted:
            self.notify_free()
