"""Endpoints as one entry host sees them, and the choice among them.

The load this answers: all slots busy for seconds, while endpoints crash or
fall silent. A request goes where most slots are free, or, where none is, to
the endpoint with the fewest online requests, as batch items yield at once. A
few may queue at an endpoint, as long as their turn comes within the latency
objective; beyond that a request is refused at once, with a time to come back
at which the wave has passed for most. One that comes back may queue longer,
so that it is not turned away twice.
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

# Requests that may wait at an endpoint beyond its slots. A slot is freed each
# 90 ms when eight streams of 0.7 s run, and the objective is 300 ms.
QUEUE_ALLOWED = 2
# The same for a request that was turned away before, while the overload is no
# longer than a wave, or that has begun to be answered; it is late by now, but
# it would be lost.
QUEUE_RETURNING = 8
# Seconds until a full fleet is worth another try, drawn so that callers do
# not come back together. Waves last 2.4 s; clients wait a third of their
# remaining time at most, 1.6 s of 5 s.
MIN_RETRY_AFTER_SECONDS = 0.8
MAX_RETRY_AFTER_SECONDS = 1.6
# From this part of its slots in use on, an endpoint may be full by requests
# of other hosts within one interval of exchanges: waves bring six requests
# or more in 150 ms. A host then asks for the loads before it chooses and
# tells at once what it has chosen.
PRESSURE_FRACTION = 0.5
# Below this part of their slots in use endpoints count as equal. Of a wave on
# 23 hosts and 45 endpoints that needs two thirds of the slots, 15 of 100
# requests queued without it, 2 with a half and 1 with this part, and on 5
# hosts and 6 endpoints none of them makes a difference (test_waves.py).
IDLE_FRACTION = 0.625
# Load that counts for an endpoint in another availability zone, so that
# traffic stays inside the zone while loads are equal.
OTHER_ZONE_LOAD = 0.3


@dataclasses.dataclass(frozen=True, slots=True)
class Endpoint:
    """An endpoint that takes requests."""

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
    queue=QUEUE_ALLOWED,
):
    """Return the endpoint with the lowest load for its slots.

    Loads below `IDLE_FRACTION` count as equal, and one of the equal ones
    is drawn. The loads are some 0.15 s old: if each host took the lowest one,
    all hosts would send the requests of that time to the few endpoints that
    were idle.

    Parameters
    ----------
    candidates : iterable of Endpoint
        Endpoints of the service.
    online, batch : dict of str to int
        Online requests and batch items on each endpoint.
    zone : str
        Availability zone of this host.
    excluded : collection of str
        Endpoints that have been tried.
    queue : int
        Requests that may wait at an endpoint.

    Returns
    -------
    Endpoint or Refusal
        NO_ENDPOINT when there is none, QUEUE_FULL when all are full.
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
        total = max(total, endpoint.slots * IDLE_FRACTION)
        distance = OTHER_ZONE_LOAD if endpoint.availability_zone != zone else 0
        load = (total + distance) / max(1, endpoint.slots)
        if load < lowest:
            lowest = load
            best = []
        if load == lowest:
            best.append(endpoint)
    if not best:
        return codes.Refusal(
            codes.ResultCode.NO_ENDPOINT,
            'no endpoint takes requests',
            retry_after=draw_retry_after(),
        )
    endpoint = random.choice(best)
    running = online.get(endpoint.endpoint_id, 0)
    if running >= endpoint.slots + queue:
        return codes.Refusal(
            codes.ResultCode.QUEUE_FULL,
            f'all endpoints are full, {endpoint.endpoint_id} runs {running} '
            f'of {endpoint.slots}',
            retry_after=draw_retry_after(),
        )
    return endpoint


def draw_retry_after():
    """Return after how many seconds a caller is to come back."""
    return random.uniform(MIN_RETRY_AFTER_SECONDS, MAX_RETRY_AFTER_SECONDS)


class View:
    """Endpoints, their loads and their health, for all tasks of a host.

    Parameters
    ----------
    zone : str
        Availability zone of this host.
    """

    def __init__(self, zone):
        self.zone = zone
        # Called when an endpoint runs out of slots.
        self.on_pressure = None
        self.lock = threading.Lock()
        self.services = {}
        self.endpoints = {}
        self.running = {}
        self.others = {}
        self.batch = {}
        self.suspects = frozenset()
        self.outcomes = {}
        self.health = health.HealthTable()
        self.saturation = collections.defaultdict(saturation.Saturation)

    def update_endpoints(self, rows, complete):
        """Replace the endpoints, or only add to them if not complete."""
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

    def update_others(self, running, batch, suspects=()):
        """Replace what runs for other hosts, the items and the suspects."""
        with self.lock:
            self.others = running
            self.batch = batch
            self.suspects = frozenset(suspects)

    def take(
        self,
        service,
        excluded,
        now,
        queue=QUEUE_ALLOWED,
        may_fail=False,
    ):
        """Choose an endpoint and count a request on it.

        Parameters
        ----------
        service : str
            Service of the request.
        excluded : collection of str
            Endpoints that have been tried.
        now : float
            Seconds of the monotonic clock.
        queue : int
            Requests that may wait at an endpoint.
        may_fail : bool
            Whether the request can be repeated, so that a slot at a suspect
            is better than a place in a queue.

        Returns
        -------
        Endpoint or Refusal
            See `choose_endpoint`.
        """
        with self.lock:
            candidates = self.services.get(service, ())
            usable = [
                one
                for one in candidates
                if not self.health.is_ejected(one.endpoint_id, now)
            ]
            sound = [
                one for one in usable if one.endpoint_id not in self.suspects
            ]
            online = {
                one.endpoint_id: self.running.get(one.endpoint_id, 0)
                + self.others.get(one.endpoint_id, 0)
                for one in candidates
            }
            self.saturation[service].note(
                all(online[one.endpoint_id] >= one.slots for one in usable),
                now,
            )
            # When all have failed, any may be back.
            chosen = choose_endpoint(
                sound or usable or candidates,
                online,
                self.batch,
                self.zone,
                excluded,
                queue,
            )
            if may_fail and len(sound) < len(usable):
                waits = isinstance(chosen, codes.Refusal) or (
                    online[chosen.endpoint_id] >= chosen.slots
                )
                if waits:
                    chosen = choose_endpoint(
                        usable, online, self.batch, self.zone, excluded, queue
                    )
            if isinstance(chosen, Endpoint):
                endpoint_id = chosen.endpoint_id
                self.running[endpoint_id] = (
                    self.running.get(endpoint_id, 0) + 1
                )
        if self.on_pressure is not None and (
            not isinstance(chosen, Endpoint)
            or self.measure_use(chosen) >= PRESSURE_FRACTION
        ):
            self.on_pressure()
        return chosen

    def choose_queue(self, service):
        """Return how many may wait where a returning request is sent.

        Those that come back would hold all places for as long as an overload
        lasts.
        """
        with self.lock:
            is_lasting = self.saturation[service].is_lasting()
        return QUEUE_ALLOWED if is_lasting else QUEUE_RETURNING

    def measure_use(self, endpoint):
        """Return the part of an endpoint's slots in use."""
        endpoint_id = endpoint.endpoint_id
        counts = (self.running, self.others, self.batch)
        used = sum(count.get(endpoint_id, 0) for count in counts)
        return used / max(1, endpoint.slots)

    def is_pressed(self, service):
        """Return whether no endpoint of a service has slots to spare."""
        with self.lock:
            candidates = self.services.get(service, ())
            return all(
                self.measure_use(one) >= PRESSURE_FRACTION
                for one in candidates
            )

    def release(self, endpoint_id):
        """Count a request on an endpoint as ended."""
        with self.lock:
            count = self.running.get(endpoint_id, 0) - 1
            if count > 0:
                self.running[endpoint_id] = count
            else:
                self.running.pop(endpoint_id, None)

    def get_load(self, endpoint_id):
        """Return what is known to run on an endpoint, for the log.

        Returns
        -------
        str
            Requests of this host, of other hosts, and batch items.
        """
        with self.lock:
            own, others, batch = (
                counts.get(endpoint_id, 0)
                for counts in (self.running, self.others, self.batch)
            )
        return f'{own}+{others}+{batch}'

    def note_failure(self, endpoint_id, now):
        """Leave an endpoint out for a while."""
        with self.lock:
            self.health.note_failure(endpoint_id, now)
            self.count_outcome(endpoint_id, 1, 0)

    def note_success(self, endpoint_id):
        """Note that an endpoint answers."""
        with self.lock:
            self.health.note_success(endpoint_id)
            self.count_outcome(endpoint_id, 0, 1)

    def count_outcome(self, endpoint_id, failures, successes):
        """Count what other hosts should know of an endpoint."""
        known = self.outcomes.get(endpoint_id, (0, 0))
        self.outcomes[endpoint_id] = (
            known[0] + failures,
            known[1] + successes,
        )

    def take_outcomes(self):
        """Return the failures and successes since the last call."""
        with self.lock:
            outcomes, self.outcomes = self.outcomes, {}
        return outcomes

    def copy_running(self):
        """Return the requests of this host on each endpoint."""
        with self.lock:
            return dict(self.running)
