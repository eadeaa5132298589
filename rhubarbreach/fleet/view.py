"""Endpoints, their loads and their health, as one entry host knows them.

See `choice` for the decisions. Requests that find all endpoints full wait in
`gateway.admission`, which is told when a slot may have become free.
"""

import dataclasses
import random
import threading

from rhubarbreach.balancing import costs
from rhubarbreach.balancing import endpoints as endpoint_tables
from rhubarbreach.balancing import selection
from rhubarbreach import clock
from rhubarbreach import codes
from rhubarbreach import eventlog
from rhubarbreach.fleet import choice
from rhubarbreach.fleet import cold_view
from rhubarbreach.fleet import departures
from rhubarbreach.fleet import health
from rhubarbreach.fleet import registry
from rhubarbreach.fleet import zone_loads

__all__ = ['View']

LOG = eventlog.Logger('view')

# Weight of the newest request in the moving average of run times.
RUN_TIME_WEIGHT = 0.05
# From this utilization on, requests of other hosts may fill an endpoint within
# one exchange interval. A host then requests the current loads before it
# chooses an endpoint, and reports its choice immediately.
HIGH_UTILIZATION_FRACTION = 0.5


class View:
    """Endpoints, their loads and their health, as one host knows them.

    All threads of the host share the view.

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
        self.lock = threading.Lock()
        self.services = {}
        self.endpoints = {}
        self.evacuated_zones = frozenset()
        self.running = {}
        # Requests of hosts in other zones, and of the others in this zone.
        self.elsewhere = {}
        self.nearby = {}
        self.load_age = 0.0
        self.zone_loads = zone_loads.ZoneLoads()
        self.run_seconds = {}
        self.batch = {}
        self.suspects = frozenset()
        self.outcomes = {}
        self.departures = departures.Departures()
        self.health = health.HealthTable()
        # Work and speed of the endpoints, and what requests cost.
        self.table = endpoint_tables.EndpointTable()
        self.chooser = selection.Chooser(zone, self.table)
        self.costs = costs.CostModel()
        # Memory of an endpoint of each service in tokens, 0 if unknown.
        self.capacity_tokens = {}
        self.cold = cold_view.ColdView()
        # Whether a reply of the leader is applied in part, so that slots that
        # it frees must not be used yet.
        self.is_updating = False

    def update_endpoints(self, rows, complete):
        """Replace the endpoints, or only update them if not complete."""
        with self.lock:
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
            self.endpoints = endpoints
            self.cold.update_endpoints(endpoints)
            self.group_by_service()
            self.health.keep(endpoints)
            self.table.keep(endpoints)
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

    def update_loads(
        self, elsewhere, batch, suspects=(), nearby=None, age=0.0
    ):
        """Replace the loads and suspects that the leader has sent.

        Parameters
        ----------
        elsewhere, batch : dict of str to int
            Requests of hosts in other zones, and batch items, by endpoint.
        suspects : iterable of str
            Endpoints that fail for several hosts.
        nearby : dict of str to int, optional
            Requests of the other hosts in this zone. They are used while not
            all of these hosts report to this one.
        age : float
            Longest age of the loads in seconds.
        """
        now = clock.monotonic()
        with self.lock:
            self.elsewhere = elsewhere
            self.batch = batch
            self.suspects = frozenset(suspects)
            self.load_age = age
            totals = self.zone_loads.get_totals(now)
            self.nearby = (nearby or {}) if totals is None else totals
        self.notify_free()

    def drop_leader_loads(self):
        """Forget the loads that the leader has sent, as they are outdated."""
        self.update_loads({}, {}, self.suspects)

    def update_peers(self, peers):
        """Replace the other hosts of the zone."""
        with self.lock:
            self.zone_loads.set_peers(peers)

    def list_peers(self):
        """Return the other hosts of the zone."""
        with self.lock:
            return tuple(self.zone_loads.peers)

    def report_peer(self, host_id, running, now, slowness=None):
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
        """
        with self.lock:
            if slowness and host_id in self.zone_loads.peers:
                self.table.slowness.merge(slowness, now)
            self.zone_loads.report(host_id, running, now)
            totals = self.zone_loads.get_totals(now)
            if totals is not None:
                self.nearby = totals

    def count_online(self, endpoint_id):
        """Return the requests of all hosts on an endpoint."""
        return (
            self.running.get(endpoint_id, 0)
            + self.elsewhere.get(endpoint_id, 0)
            + self.nearby.get(endpoint_id, 0)
        )

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
            is_restricted = choices is not None
            if service in self.cold.services:
                choices = self.select_permitted(
                    service, excluded, software_version, choices, now
                )
            is_weighed = (
                cost is not None and cost.is_stated
            ) or self.table.slowness.has_figures(service)
            choose = (
                self.choose_by_cost if is_weighed else self.choose_by_count
            )
            chosen = choose(
                service,
                excluded,
                now,
                queue_limit,
                can_retry,
                software_version,
                choices,
                cost,
                is_restricted,
            )
            if isinstance(chosen, choice.Endpoint):
                chosen = self.take_permit(chosen, now)
                endpoint_id = chosen.endpoint_id
                self.running[endpoint_id] = (
                    self.running.get(endpoint_id, 0) + 1
                )
                self.table.begin(endpoint_id, cost, now)
        is_high = (
            not isinstance(chosen, choice.Endpoint)
            or self.get_utilization(chosen) >= HIGH_UTILIZATION_FRACTION
        )
        if is_high and self.on_high_utilization is not None:
            self.on_high_utilization()
        if self.on_change is not None and isinstance(chosen, choice.Endpoint):
            self.on_change(is_high)
        return chosen

    def select_permitted(
        self, service, excluded, software_version, choices, now
    ):
        """Return the ids of the endpoints that are warm or have a permit.

        The parameters are those of `acquire`.
        """
        known = self.services.get(service, ())
        endpoints = self.cold.select(
            known,
            make_filter(excluded, software_version, choices),
            self.get_utilization,
            now,
        )
        if len(endpoints) == len(known):
            return choices
        endpoint_ids = {endpoint.endpoint_id for endpoint in endpoints}
        return endpoint_ids if choices is None else endpoint_ids & choices

    def choose_by_cost(
        self,
        service,
        excluded,
        now,
        queue_limit,
        can_retry,
        software_version,
        choices,
        cost,
        is_restricted,
    ):
        """Return the endpoint where a request probably begins soonest.

        The parameters are those of `acquire`; `is_restricted` is whether its
        caller has named the endpoints to choose from.
        """

        def is_healthy(endpoint):
            return is_available(endpoint) and (
                endpoint.endpoint_id not in self.suspects
            )

        def is_available(endpoint):
            return not self.health.is_ejected(
                endpoint.endpoint_id, now
            ) and is_candidate(endpoint)

        def is_candidate(endpoint):
            return (
                software_version is None
                or endpoint.software_version == software_version
            ) and (choices is None or endpoint.endpoint_id in choices)

        situation = selection.Situation(
            self.count_online,
            lambda endpoint_id: self.batch.get(endpoint_id, 0),
            lambda endpoint_id: self.running.get(endpoint_id, 0),
            self.run_seconds.get(service) or selection.INITIAL_RUN_SECONDS,
            self.load_age,
            costs.DEFAULT_OBJECTIVE_SECONDS
            if cost is None
            else cost.objective,
            now,
            random.random,
            random.shuffle,
        )

        def list_open(rows):
            return self.list_open(rows, queue_limit, barred)

        def choose(is_usable, is_last=False):
            return self.chooser.choose(
                service,
                cost,
                situation,
                lambda endpoint: (
                    endpoint.endpoint_id not in excluded
                    and is_usable(endpoint)
                ),
                list_open if is_last else None,
            )

        is_usable = is_healthy
        has_limits = software_version is not None or choices is not None
        if has_limits or excluded or self.suspects or self.health.entries:
            chosen = choose(is_usable)
        else:
            # All may be chosen, which most often is the case.
            chosen = self.chooser.choose(service, cost, situation, None)
        if chosen is None:
            # If all endpoints have failed, any of them may have recovered.
            known = self.services.get(service, ())
            if not any(map(is_healthy, known)):
                is_usable = is_candidate
                if any(map(is_available, known)):
                    is_usable = is_available
                chosen = choose(is_usable)
        barred = set(excluded)
        if chosen is not None and self.is_queue_full(chosen, queue_limit):
            if is_usable is is_healthy:
                barred |= self.suspects
            if is_usable is not is_candidate:
                barred |= self.health.list_ejected(now)
            chosen = choose(is_usable, True) or chosen
        if (
            can_retry
            and self.suspects
            and (chosen is None or not self.has_free_slot(chosen))
        ):
            chosen = choose(is_available) or chosen
        if (
            not is_restricted
            and (chosen is None or self.is_queue_full(chosen, queue_limit))
            and self.is_half_idle(service)
        ):
            # Endpoints that have failed for others are better than a refusal
            # while most slots are free.
            barred = set(excluded)
            chosen = choose(is_candidate, True) or chosen
        if chosen is None:
            return codes.Refusal(
                codes.ResultCode.NO_ENDPOINT, 'no endpoint accepts requests'
            )
        if self.is_queue_full(chosen, queue_limit):
            online = self.count_online(chosen.endpoint_id)
            return codes.Refusal(
                codes.ResultCode.QUEUE_FULL,
                f'all endpoints are full: {chosen.endpoint_id} has {online} '
                f'online requests for {chosen.slots} slots',
            )
        return chosen

    def is_half_idle(self, service):
        """Return whether under half of the slots of a service are in use."""
        endpoints = self.services.get(service, ())
        online = sum(self.count_online(e.endpoint_id) for e in endpoints)
        return online * 2 < sum(endpoint.slots for endpoint in endpoints)

    def has_free_slot(self, endpoint):
        """Return whether an online request begins there at once."""
        return self.count_online(endpoint.endpoint_id) < endpoint.slots

    def is_queue_full(self, endpoint, queue_limit):
        """Return whether no further request may wait at an endpoint."""
        online = self.count_online(endpoint.endpoint_id)
        return online >= endpoint.slots + queue_limit

    def list_open(self, rows, queue_limit, barred):
        """Return those of some endpoints at which a request may wait.

        A decision compares up to all endpoints of a service, so that no
        function of this class is called for each of them.

        Parameters
        ----------
        rows : iterable of tuple
            Endpoints, each with its id and slots.
        queue_limit : int
            Requests that may wait at an endpoint.
        barred : set of str
            Endpoints that the request may not use.
        """
        running, nearby = self.running.get, self.nearby.get
        elsewhere = self.elsewhere.get
        # The own requests are few, and are only looked up if they decide.
        return [
            endpoint
            for endpoint, name, slots in rows
            if (others := elsewhere(name, 0) + nearby(name, 0))
            < slots + queue_limit
            and name not in barred
            and others + running(name, 0) < slots + queue_limit
        ]

    def choose_by_count(
        self,
        service,
        excluded,
        now,
        queue_limit,
        can_retry,
        software_version,
        choices,
        cost,
        is_restricted,
    ):
        """Return the endpoint with the fewest requests for its slots.

        The parameters are those of `choose_by_cost`; the cost is not used.
        """
        endpoints = self.services.get(service, ())
        available = [
            endpoint
            for endpoint in endpoints
            if not self.health.is_ejected(endpoint.endpoint_id, now)
        ]
        online = {
            endpoint.endpoint_id: self.count_online(endpoint.endpoint_id)
            for endpoint in endpoints
        }
        slots = max((e.slots for e in endpoints), default=1)
        zone_penalty = choice.compute_zone_penalty(
            slots, self.run_seconds.get(service), self.load_age
        )
        candidates = filter_version(endpoints, software_version)
        available = filter_version(available, software_version)
        if choices is not None:
            candidates = [e for e in candidates if e.endpoint_id in choices]
            available = [e for e in available if e.endpoint_id in choices]
        healthy = [
            endpoint
            for endpoint in available
            if endpoint.endpoint_id not in self.suspects
        ]
        # If all endpoints have failed, any of them may have recovered.
        chosen = choice.choose_endpoint(
            healthy or available or candidates,
            online,
            self.batch,
            self.zone,
            excluded,
            queue_limit,
            zone_penalty,
        )
        if can_retry and len(healthy) < len(available):
            must_wait = isinstance(chosen, codes.Refusal) or (
                online[chosen.endpoint_id] >= chosen.slots
            )
            if must_wait:
                chosen = choice.choose_endpoint(
                    available,
                    online,
                    self.batch,
                    self.zone,
                    excluded,
                    queue_limit,
                    zone_penalty,
                )
        if (
            isinstance(chosen, codes.Refusal)
            and not is_restricted
            and self.is_half_idle(service)
        ):
            # Endpoints that have failed for others are better than a refusal
            # while most slots are free.
            chosen = choice.choose_endpoint(
                candidates,
                online,
                self.batch,
                self.zone,
                excluded,
                queue_limit,
                zone_penalty,
            )
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
            if not self.is_in_service(endpoint):
                return None
            endpoint = self.take_permit(endpoint, now)
            if endpoint is None:
                return None
            self.running[endpoint.endpoint_id] = (
                self.running.get(endpoint.endpoint_id, 0) + 1
            )
            self.table.begin(endpoint.endpoint_id, None, clock.monotonic())
        if self.on_change is not None:
            self.on_change(
                self.get_utilization(endpoint) >= HIGH_UTILIZATION_FRACTION
            )
        return endpoint

    def take_permit(self, endpoint, now):
        """Return an endpoint to send to; None if it needs a permit first."""
        if not self.cold.is_cold(endpoint, now):
            if endpoint.start_before < float('inf'):
                # It was cold when it served an earlier request.
                return dataclasses.replace(endpoint, start_before=float('inf'))
            return endpoint
        until = self.cold.take_permit(endpoint.endpoint_id, now)
        if until is None:
            return None
        return dataclasses.replace(endpoint, start_before=until)

    def limit_cold_services(self, services):
        """Replace the services whose cold endpoints need permits."""
        with self.lock:
            self.cold.services = frozenset(services)

    def is_cold(self, endpoint, now):
        """Return whether requests to an endpoint need a permit."""
        with self.lock:
            return self.cold.is_cold(endpoint, now)

    def has_cold_limit(self, service):
        """Return whether requests to cold endpoints are limited."""
        return service in self.cold.services

    def needs_permit(self, service, excluded, software_version, now):
        """Return whether a request should get a permit before `acquire`.

        It should if the endpoints that are not cold are loaded. The parameters
        are those of `acquire`.
        """
        with self.lock:
            return self.cold.needs_permit(
                self.services.get(service, ()),
                make_filter(excluded, software_version),
                self.get_utilization,
                now,
            )

    def is_full(self, service, now):
        """Return whether no endpoint that is not cold has a free slot."""
        with self.lock:
            return all(
                self.get_utilization(endpoint) >= 1
                for endpoint in self.services.get(service, ())
                if not self.cold.is_cold(endpoint, now)
            )

    def want_permit(self, service):
        """Request a permit with the next exchange."""
        with self.lock:
            self.cold.want_permit(service)

    def want_permits(self, service, count):
        """Request permits for all requests that wait."""
        with self.lock:
            self.cold.want_permits(service, count)

    def make_cold_report(self, now):
        """Return the fields of `Exchange` about cold endpoints.

        Returns
        -------
        dict, dict, str
            `cold_wanted`, `cold_failures` and `cold_stamp`.
        """
        with self.lock:
            wanted = self.cold.pop_wanted(
                self.services,
                self.zone,
                lambda endpoint_id: self.health.is_ejected(endpoint_id, now),
                now,
            )
            return wanted, self.cold.list_failures(now), self.cold.stamp

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
            self.cold.apply_statement(
                reply.cold_stamp, reply.cold, known_ids, sent, now
            )
            self.cold.add_permits(reply.cold_granted, sent)
        if reply.cold_granted:
            self.notify_free()

    def treat_zones_as_cold(self, zones, now):
        """Count the endpoints of zones as cold until the leader names them.

        A new leader names none at first.
        """
        with self.lock:
            for endpoint in self.endpoints.values():
                if endpoint.availability_zone in zones:
                    self.cold.treat_as_cold(endpoint, now)

    def record_cold_news(self, ages, now):
        """Count endpoints as cold that have failed at a host of the zone."""
        with self.lock:
            self.cold.record_news(ages, now)

    def list_cold_news(self, now):
        """Return the seconds since the failures that this host has seen."""
        with self.lock:
            return self.cold.list_news(now)

    def record_cold(self, endpoint_id, now):
        """Count an endpoint as cold that has failed, or says that it is.

        The other hosts have to know it before they send many requests there.
        """
        with self.lock:
            endpoint = self.endpoints.get(endpoint_id)
            is_limited = self.cold.record_failure(endpoint, now)
        if is_limited and self.on_high_utilization is not None:
            self.on_high_utilization()
        if is_limited and self.on_change is not None:
            self.on_change(True)

    def is_in_service(self, endpoint):
        """Return whether the process of an endpoint takes new requests."""
        return endpoint in self.services.get(endpoint.service, ())

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

    def choose_queue_limit(self, service, objective, is_late, has_begun):
        """Return the queue limit for a request.

        Parameters
        ----------
        service : str
            Service of the request.
        objective : float
            Latency objective in seconds.
        is_late : bool
            Whether the request was refused or sent before.
        has_begun : bool
            Whether the request goes on with a stream.
        """
        with self.lock:
            run_seconds = self.run_seconds.get(service)
            endpoints = self.services.get(service, ())
            slots = min((e.slots for e in endpoints), default=0)
        if not (run_seconds and slots):
            has_priority = is_late or has_begun
            return (
                choice.MAX_QUEUED_RETRIES
                if has_priority
                else choice.MAX_QUEUED
            )
        objectives = choice.MAX_WAIT_OBJECTIVES
        if has_begun:
            objectives = choice.MAX_BEGUN_WAIT_OBJECTIVES
        elif is_late:
            objectives = choice.MAX_RETRY_WAIT_OBJECTIVES
        return choice.compute_queue_limit(
            slots, run_seconds, objectives * objective
        )

    def is_sound(self, endpoint_id, now):
        """Return whether an endpoint takes requests and has not failed."""
        with self.lock:
            endpoint = self.endpoints.get(endpoint_id)
            return (
                endpoint is not None
                and self.is_in_service(endpoint)
                and endpoint_id not in self.suspects
                and not self.health.is_ejected(endpoint_id, now)
            )

    def count_own(self, service):
        """Return the requests of this host that run on a service."""
        with self.lock:
            return sum(
                self.running.get(endpoint.endpoint_id, 0)
                for endpoint in self.services.get(service, ())
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
            endpoints = self.services.get(service, ())
            is_limited = service in self.cold.services
            running, elsewhere = self.running, self.elsewhere
            nearby = self.nearby
            slots = free = 0
            for endpoint in endpoints:
                name = endpoint.endpoint_id
                slots += endpoint.slots
                if is_limited and not self.may_use(endpoint, now):
                    continue
                # As `count_online`, which takes three times as long.
                idle = endpoint.slots - running.get(name, 0)
                idle -= elsewhere.get(name, 0) + nearby.get(name, 0)
                if idle > 0:
                    free += idle
            run_seconds = self.run_seconds.get(service)
            return slots, free, run_seconds, self.load_age

    def may_use(self, endpoint, now):
        """Return whether an endpoint is warm, or there is a permit for it."""
        return not self.cold.is_cold(endpoint, now) or self.cold.has_permit(
            endpoint.endpoint_id, now
        )

    def record_run(self, service, seconds):
        """Add the run time of a completed request to its average."""
        with self.lock:
            average = self.run_seconds.get(service, seconds)
            average += (seconds - average) * RUN_TIME_WEIGHT
            self.run_seconds[service] = average

    def set_services(self, services):
        """Take the properties of services from a configuration.

        Parameters
        ----------
        services : iterable of catalog.model.Service
            Services of the configuration in force.
        """
        self.capacity_tokens = {
            service.name: service.capacity_tokens for service in services
        }

    def predict_cost(self, service, route, account, statement, objective=0.0):
        """Return the `Cost` of a request; see `CostModel.predict`."""
        capacity_tokens = self.capacity_tokens.get(service, 0)
        with self.lock:
            return self.costs.predict(
                route, account, statement, objective, capacity_tokens
            )

    def record_answer(self, cost, events):
        """Learn from a whole answer; see `CostModel.learn`."""
        with self.lock:
            self.costs.learn(cost, events)

    def record_load(self, endpoint_id, load, now):
        """Store the load that an endpoint has reported in a response.

        Parameters
        ----------
        endpoint_id : str
            Endpoint that has responded.
        load : ServerLoad
            Load that it reports.
        now : float
            Seconds of the monotonic clock.
        """
        with self.lock:
            endpoint = self.endpoints.get(endpoint_id)
            if endpoint is not None:
                self.table.record_load(
                    endpoint_id, endpoint.service, load, now
                )

    def note_first_event(self, endpoint_id, cost, now):
        """Record that an endpoint has begun a request of this host."""
        with self.lock:
            endpoint = self.endpoints.get(endpoint_id)
            if endpoint is not None:
                self.table.note_first_event(
                    endpoint_id, endpoint.service, cost, now
                )

    def record_gap(self, endpoint, gap, now):
        """Record the time between two events; see `Slowness.record_gap`."""
        with self.lock:
            self.table.slowness.record_gap(
                endpoint.endpoint_id, endpoint.service, gap, now
            )

    def list_slow(self, now):
        """Return the endpoints that are slow now, in order."""
        with self.lock:
            return self.table.slowness.list_slow(now)

    def pop_slowness(self):
        """Return what this host has learned of speeds since the last call."""
        with self.lock:
            return self.table.slowness.pop_news()

    def get_utilization(self, endpoint):
        """Return the fraction of an endpoint's slots that is in use."""
        endpoint_id = endpoint.endpoint_id
        used = self.count_online(endpoint_id) + self.batch.get(endpoint_id, 0)
        return used / max(1, endpoint.slots)

    def has_high_utilization(self, service):
        """Return whether all endpoints of a service are highly utilized."""
        with self.lock:
            candidates = self.services.get(service, ())
            if service in self.cold.services:
                now = clock.monotonic()
                candidates = [e for e in candidates if self.may_use(e, now)]
            return all(
                self.get_utilization(endpoint) >= HIGH_UTILIZATION_FRACTION
                for endpoint in candidates
            )

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
            self.table.end(endpoint_id, cost, has_begun)
            count = self.running.get(endpoint_id, 0) - 1
            if count > 0:
                self.running[endpoint_id] = count
            else:
                self.running.pop(endpoint_id, None)
            endpoint = self.endpoints.get(endpoint_id)
        if self.on_change is not None:
            self.on_change(
                endpoint is not None
                and self.get_utilization(endpoint) >= HIGH_UTILIZATION_FRACTION
            )

    def format_load(self, endpoint_id):
        """Return the known load of an endpoint as text for the log.

        Returns
        -------
        str
            Requests of this host, of the others in its zone, of those in
            other zones, and batch items, joined by plus signs.
        """
        with self.lock:
            counts = (self.running, self.nearby, self.elsewhere, self.batch)
            return '+'.join(str(c.get(endpoint_id, 0)) for c in counts)

    def record_failure(self, endpoint_id, now):
        """Count a failure and eject the endpoint for some time."""
        with self.lock:
            self.health.record_failure(endpoint_id, now)
            self.count_outcome(endpoint_id, 1, 0)
        self.record_cold(endpoint_id, now)

    def record_stall(self, endpoint_id, now):
        """Avoid a silent endpoint for some time; it has not failed yet."""
        with self.lock:
            self.health.record_failure(endpoint_id, now)

    def record_recovery(self, endpoint_id):
        """Choose an endpoint again that was silent and goes on."""
        with self.lock:
            self.health.record_success(endpoint_id)
        self.notify_free()

    def record_success(self, endpoint_id):
        """Count a success of an endpoint."""
        with self.lock:
            self.health.record_success(endpoint_id)
            self.count_outcome(endpoint_id, 0, 1)

    def count_outcome(self, endpoint_id, failures, successes):
        """Add to the outcomes that are reported to the leader."""
        previous = self.outcomes.get(endpoint_id, (0, 0))
        self.outcomes[endpoint_id] = (
            previous[0] + failures,
            previous[1] + successes,
        )

    def pop_outcomes(self):
        """Return the failures and successes since the last call."""
        with self.lock:
            outcomes, self.outcomes = self.outcomes, {}
        return outcomes

    def copy_running(self):
        """Return the running requests of this host by endpoint."""
        with self.lock:
            return dict(self.running)


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
