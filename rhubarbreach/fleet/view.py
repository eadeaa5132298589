"""Load balancing of one entry host over the known endpoints.

The load balancing is designed for load peaks in which all slots are in use for
seconds while endpoints crash or stop responding.

A request is sent to the endpoint with the lowest load for its slots. If all
slots are in use, the endpoint with the fewest online requests is chosen, as
batch items are preempted immediately. A few requests may queue at an endpoint,
as long as they start within the latency objective. Further requests are
refused immediately, with a retry time after which the load peak is over for
most callers. A retried request may wait in a longer queue, so that it is not
refused twice.
"""

import collections
import dataclasses
import random
import threading

from rhubarbreach import codes
from rhubarbreach.fleet import health
from rhubarbreach.fleet import registry
from rhubarbreach.fleet import saturation

__all__ = ['Endpoint', 'View', 'choose_endpoint']

# Requests that may wait at an endpoint beyond its slots. With eight streams of
# 0.7 s a slot becomes free every 90 ms, and the latency objective is 300 ms.
MAX_QUEUED = 2
# The same for a request that was refused before, unless the overload outlasts
# a load peak, and for one that was already sent to an endpoint. Such a request
# is late already, but it would be lost otherwise.
MAX_QUEUED_RETRIES = 8
# Range of the retry time when all endpoints are full. It is drawn at random so
# that callers do not retry together. Load peaks last 2.4 s, and clients wait
# at most a third of their remaining time, 1.6 s of 5 s.
MIN_RETRY_AFTER_SECONDS = 0.8
MAX_RETRY_AFTER_SECONDS = 1.6
# From this utilization on, requests of other hosts may fill an endpoint within
# one exchange interval, as load peaks bring six requests or more in 150 ms. A
# host then requests the current loads before it chooses an endpoint, and
# reports its choice immediately.
HIGH_UTILIZATION_FRACTION = 0.5
# Endpoints below this utilization count as equally loaded. Otherwise all hosts
# would send the requests of a load peak to the few endpoints that were idle,
# where some would queue.
LOW_UTILIZATION_FRACTION = 0.625
# Additional load, in slots, of an endpoint in another availability zone, so
# that traffic stays inside the zone while loads are equal.
CROSS_ZONE_PENALTY = 0.3


@dataclasses.dataclass(frozen=True, slots=True)
class Endpoint:
    """An endpoint that runs requests of a service."""

    endpoint_id: str
    service: str
    address: str
    availability_zone: str
    slots: int
    is_draining: bool = False


def choose_endpoint(
    candidates,
    online,
    batch,
    zone,
    excluded=(),
    queue_limit=MAX_QUEUED,
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
        zone_penalty = (
            CROSS_ZONE_PENALTY if endpoint.availability_zone != zone else 0
        )
        load = (total + zone_penalty) / max(1, endpoint.slots)
        if load < lowest:
            lowest = load
            best = []
        if load == lowest:
            best.append(endpoint)
    if not best:
        return codes.Refusal(
            codes.ResultCode.NO_ENDPOINT,
            'no endpoint accepts requests',
            retry_after=draw_retry_after(),
        )
    endpoint = random.choice(best)
    running = online.get(endpoint.endpoint_id, 0)
    if running >= endpoint.slots + queue_limit:
        return codes.Refusal(
            codes.ResultCode.QUEUE_FULL,
            f'all endpoints are full: {endpoint.endpoint_id} has {running} '
            f'online requests for {endpoint.slots} slots',
            retry_after=draw_retry_after(),
        )
    return endpoint


def draw_retry_after():
    """Return a random time in seconds after which a caller may retry."""
    return random.uniform(MIN_RETRY_AFTER_SECONDS, MAX_RETRY_AFTER_SECONDS)


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
        self.lock = threading.Lock()
        self.services = {}
        self.endpoints = {}
        self.running = {}
        self.remote_running = {}
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

    def update_loads(self, running, batch, suspects=()):
        """Replace the loads caused by other hosts, and the suspects."""
        with self.lock:
            self.remote_running = running
            self.batch = batch
            self.suspects = frozenset(suspects)

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
                endpoint.endpoint_id: self.running.get(endpoint.endpoint_id, 0)
                + self.remote_running.get(endpoint.endpoint_id, 0)
                for endpoint in candidates
            }
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
                    )
            if isinstance(chosen, Endpoint):
                endpoint_id = chosen.endpoint_id
                self.running[endpoint_id] = (
                    self.running.get(endpoint_id, 0) + 1
                )
        if self.on_high_utilization is not None and (
            not isinstance(chosen, Endpoint)
            or self.get_utilization(chosen) >= HIGH_UTILIZATION_FRACTION
        ):
            self.on_high_utilization()
        return chosen

    def get_queue_limit(self, service):
        """Return the queue limit for a retried request.

        The longer queue is closed in a sustained overload, as retried requests
        would occupy all of it.
        """
        with self.lock:
            is_sustained = self.saturation[service].is_sustained()
        return MAX_QUEUED if is_sustained else MAX_QUEUED_RETRIES

    def get_utilization(self, endpoint):
        """Return the fraction of an endpoint's slots that is in use."""
        endpoint_id = endpoint.endpoint_id
        counts = (self.running, self.remote_running, self.batch)
        used = sum(count.get(endpoint_id, 0) for count in counts)
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

    def format_load(self, endpoint_id):
        """Return the known load of an endpoint as text for the log.

        Returns
        -------
        str
            Requests of this host, of other hosts, and batch items, joined by
            plus signs.
        """
        with self.lock:
            local, remote, batch = (
                counts.get(endpoint_id, 0)
                for counts in (self.running, self.remote_running, self.batch)
            )
        return f'{local}+{remote}+{batch}'

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
