"""Load balancing of one entry host over the known endpoints.

The load balancing is designed for load peaks in which all slots are in use for
seconds while endpoints crash or stop responding.

A request is sent to the endpoint with the lowest load for its slots. If all
slots are in use, the endpoint with the fewest online requests is chosen, as
batch items are preempted immediately. A few requests may queue at an endpoint,
as long as they start within the latency objective. Further requests are
refused immediately, with a retry time after which the load peak is probably
over. A retried request may wait in a longer queue, so that it is not
refused twice.
"""

import collections
import dataclasses
import random
import threading

from rhubarbreach import clock
from rhubarbreach import codes
from rhubarbreach.fleet import health
from rhubarbreach.fleet import registry
from rhubarbreach.fleet import saturation
from rhubarbreach.fleet import zone_loads

__all__ = ['Endpoint', 'View', 'choose_endpoint']

# Requests that may wait at an endpoint beyond its slots, until the run time of
# requests is known.
MAX_QUEUED = 2
# The same for a request that was refused before, unless the overload outlasts
# a load peak, and for one that was already sent to an endpoint. Such a request
# is late already, but it would be lost otherwise.
MAX_QUEUED_RETRIES = 8
# Time that a request may wait in the queue of an endpoint, relative to its
# latency objective: a new one, and one that is late already.
MAX_WAIT_OBJECTIVES = 0.75
MAX_RETRY_WAIT_OBJECTIVES = 2.5
# Weight of the newest request in the moving average of run times.
RUN_TIME_WEIGHT = 0.05
# From this utilization on, requests of other hosts may fill an endpoint within
# one exchange interval. A host then requests the current loads before it
# chooses an endpoint, and reports its choice immediately.
HIGH_UTILIZATION_FRACTION = 0.5
# Endpoints below this utilization count as equally loaded. Otherwise all hosts
# would send the requests of a load peak to the few endpoints that were idle,
# where some would queue.
LOW_UTILIZATION_FRACTION = 0.625
# Additional load, in slots, of an endpoint in another availability zone, so
# that traffic stays inside the zone while loads are equal.
MIN_ZONE_PENALTY = 0.3
# The load from other zones is known late. An endpoint there counts as loaded
# with this multiple of the requests that it can complete in the meantime, as
# other hosts have sent it new ones.
STALE_LOAD_FACTOR = 2.0
# Upper limit of the penalty as a fraction of the slots. Beyond it, requests
# would queue in one zone while slots are free in another.
MAX_ZONE_PENALTY_FRACTION = 0.25


@dataclasses.dataclass(frozen=True, slots=True)
class Endpoint:
    """An endpoint that runs requests of a service."""

    endpoint_id: str
    service: str
    address: str
    availability_zone: str
    slots: int
    is_draining: bool = False


def compute_zone_penalty(slots, run_seconds, age):
    """Return the additional load, in slots, of an endpoint of another zone.

    Parameters
    ----------
    slots : int
        Slots of the endpoint.
    run_seconds : float or None
        Mean run time of a request, if it is known.
    age : float
        Age in seconds of the load that is known for the endpoint.
    """
    if not run_seconds:
        return MIN_ZONE_PENALTY
    unknown = STALE_LOAD_FACTOR * age * slots / run_seconds
    limit = MAX_ZONE_PENALTY_FRACTION * slots
    return max(MIN_ZONE_PENALTY, min(unknown, limit))


def compute_queue_limit(slots, run_seconds, max_wait):
    """Return the requests that may wait at an endpoint beyond its slots.

    With `slots` streams a slot becomes free every `run_seconds / slots`. A
    request that is behind others then starts within `max_wait` seconds.
    """
    return max(1, int(max_wait * slots / run_seconds))


def choose_endpoint(
    candidates,
    online,
    batch,
    zone,
    excluded=(),
    queue_limit=MAX_QUEUED,
    zone_penalty=MIN_ZONE_PENALTY,
):
    """Return the endpoint with the lowest load relative to its slots.

    Loads below `LOW_UTILIZATION_FRACTION` count as equal, and one of the
    equal endpoints is drawn at random. The loads are about 0.15 s old: if
    each host chose the lowest one, all hosts would send the requests of that
    interval to the few endpoints that were idle.

    Parameters
    ----------
    candidates : iterable of Endpoint
        Endpoints of the service.
    online, batch : dict of str to int
        Running online requests and batch items of each endpoint.
    zone : str
        Availability zone of this host.
    excluded : collection of str
        Endpoints that have already been tried.
    queue_limit : int
        Requests that may wait at an endpoint.
    zone_penalty : float
        Additional load, in slots, of endpoints in other zones.

    Returns
    -------
    Endpoint or Refusal
        NO_ENDPOINT if no endpoint is left, QUEUE_FULL if all are full.
    """
    lowest = float('inf')
    best = []
    for endpoint in candidates:
        if endpoint.endpoint_id in excluded:
            continue
        running = online.get(endpoint.endpoint_id, 0)
        total = running + batch.get(endpoint.endpoint_id, 0)
        if total >= endpoint.slots:
            total = endpoint.slots + running
        total = max(total, endpoint.slots * LOW_UTILIZATION_FRACTION)
        if endpoint.availability_zone != zone:
            total += zone_penalty
        load = total / max(1, endpoint.slots)
        if load < lowest:
            lowest = load
            best = []
        if load == lowest:
            best.append(endpoint)
    if not best:
        return codes.Refusal(
            codes.ResultCode.NO_ENDPOINT,
            'no endpoint accepts requests',
        )
    endpoint = random.choice(best)
    running = online.get(endpoint.endpoint_id, 0)
    if running >= endpoint.slots + queue_limit:
        return codes.Refusal(
            codes.ResultCode.QUEUE_FULL,
            f'all endpoints are full: {endpoint.endpoint_id} has {running} '
            f'online requests for {endpoint.slots} slots',
        )
    return endpoint


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
        # Called with an endpoint's utilization when its number of requests of
        # this host has changed.
        self.on_change = None
        self.lock = threading.Lock()
        self.services = {}
        self.endpoints = {}
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
        self.health = health.HealthTable()
        self.saturation = collections.defaultdict(saturation.Saturation)

    def update_endpoints(self, rows, complete):
        """Replace the endpoints, or only update them if not complete."""
        with self.lock:
            endpoints = {} if complete else dict(self.endpoints)
            for row in rows:
                endpoints[row.endpoint_id] = Endpoint(
                    row.endpoint_id,
                    row.service,
                    row.address,
                    row.availability_zone,
                    row.slots,
                    row.state != registry.EndpointState.READY,
                )
            services = {}
            for endpoint in endpoints.values():
                if not endpoint.is_draining:
                    services.setdefault(endpoint.service, []).append(endpoint)
            self.endpoints = endpoints
            self.services = services
            self.health.keep(endpoints)

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

    def report_peer(self, host_id, running, now):
        """Store the running requests of another host of the zone."""
        with self.lock:
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
        queue_limit=MAX_QUEUED,
        can_retry=False,
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

        Returns
        -------
        Endpoint or Refusal
            See `choose_endpoint`.
        """
        with self.lock:
            candidates = self.services.get(service, ())
            available = [
                endpoint
                for endpoint in candidates
                if not self.health.is_ejected(endpoint.endpoint_id, now)
            ]
            healthy = [
                endpoint
                for endpoint in available
                if endpoint.endpoint_id not in self.suspects
            ]
            online = {
                endpoint.endpoint_id: self.count_online(endpoint.endpoint_id)
                for endpoint in candidates
            }
            slots = max((e.slots for e in candidates), default=1)
            zone_penalty = compute_zone_penalty(
                slots, self.run_seconds.get(service), self.load_age
            )
            self.saturation[service].update(
                all(
                    online[endpoint.endpoint_id] >= endpoint.slots
                    for endpoint in available
                ),
                now,
            )
            # If all endpoints have failed, any of them may have recovered.
            chosen = choose_endpoint(
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
                    chosen = choose_endpoint(
                        available,
                        online,
                        self.batch,
                        self.zone,
                        excluded,
                        queue_limit,
                        zone_penalty,
                    )
            if isinstance(chosen, Endpoint):
                endpoint_id = chosen.endpoint_id
                self.running[endpoint_id] = (
                    self.running.get(endpoint_id, 0) + 1
                )
            else:
                chosen = dataclasses.replace(
                    chosen,
                    retry_after=self.saturation[service].draw_retry_after(
                        now, random.uniform
                    ),
                )
        is_high = (
            not isinstance(chosen, Endpoint)
            or self.get_utilization(chosen) >= HIGH_UTILIZATION_FRACTION
        )
        if is_high and self.on_high_utilization is not None:
            self.on_high_utilization()
        if self.on_change is not None and isinstance(chosen, Endpoint):
            self.on_change(is_high)
        return chosen

    def choose_queue_limit(self, service, objective, is_late):
        """Return the queue limit for a request.

        Parameters
        ----------
        service : str
            Service of the request.
        objective : float
            Latency objective in seconds.
        is_late : bool
            Whether the request was refused or sent before.
        """
        with self.lock:
            run_seconds = self.run_seconds.get(service)
            endpoints = self.services.get(service, ())
            slots = min((e.slots for e in endpoints), default=0)
        if not (run_seconds and slots):
            return MAX_QUEUED_RETRIES if is_late else MAX_QUEUED
        objectives = (
            MAX_RETRY_WAIT_OBJECTIVES if is_late else MAX_WAIT_OBJECTIVES
        )
        return compute_queue_limit(slots, run_seconds, objectives * objective)

    def record_run(self, service, seconds):
        """Add the run time of a completed request to its average."""
        with self.lock:
            average = self.run_seconds.get(service, seconds)
            average += (seconds - average) * RUN_TIME_WEIGHT
            self.run_seconds[service] = average

    def is_overload_sustained(self, service):
        """Return whether an overload lasts longer than a load peak.

        The longer queue of retried requests is closed then, as they would
        occupy all of it.
        """
        with self.lock:
            return self.saturation[service].is_sustained()

    def get_utilization(self, endpoint):
        """Return the fraction of an endpoint's slots that is in use."""
        endpoint_id = endpoint.endpoint_id
        used = self.count_online(endpoint_id) + self.batch.get(endpoint_id, 0)
        return used / max(1, endpoint.slots)

    def has_high_utilization(self, service):
        """Return whether all endpoints of a service are highly utilized."""
        with self.lock:
            candidates = self.services.get(service, ())
            return all(
                self.get_utilization(endpoint) >= HIGH_UTILIZATION_FRACTION
                for endpoint in candidates
            )

    def release(self, endpoint_id):
        """Remove a completed request from the load of an endpoint."""
        with self.lock:
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
