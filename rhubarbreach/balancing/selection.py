"""Choice of the endpoint at which a request probably begins soonest.

Designed for load peaks on many hosts whose counts of each other's requests are
5 to 150 ms old, with endpoints of uneven speed. Each decision considers a few
endpoints from a list that the host has shuffled, so that hosts with the same
counts do not send a peak to the same endpoints, and so that its time does not
depend on the size of the fleet.
"""

import dataclasses
import itertools
import math

__all__ = ['Chooser', 'Situation', 'estimate_wait']

# Endpoints that a decision considers in the own zone, and in other zones if
# none of the former has a free slot. With all 11 of a zone, more requests of
# different hosts met at the same one.
SAMPLE_SIZE = 6
# The same before a request is refused. An estimate takes about 5 us, and a
# decision may take 50 us in a fleet of 100 endpoints.
REFUSAL_SAMPLE_SIZE = 2
# Endpoints that are compared first in a search before a refusal; if too few of
# them have room, all others are compared.
FIRST_BATCH_SIZE = 16
# Standard deviation, in requests, of the count of an endpoint of the own zone.
NEAR_SPREAD = 0.6
# The count of one in another zone is uncertain by this multiple of the
# requests that it completes within the age of the count, up to a part of its
# slots.
FAR_SPREAD_FACTOR = 1.0
MAX_FAR_SPREAD_FRACTION = 0.25
# Cost of another zone in seconds: the delay both ways, and the bytes.
ZONE_SECONDS = 0.01
# Part of the objective within which a request is safe to begin in time.
SAFE_OBJECTIVES = 0.4
# Endpoints of other zones are considered when the best one of the own zone
# costs more than this, that is from about its last but one free slot on.
FAR_SECONDS = 0.01
# Time until a batch item has yielded its slot.
YIELD_SECONDS = 0.03
# Run time of a request until one is known.
INITIAL_RUN_SECONDS = 0.7
# Difference, in requests that wait, below which endpoints count as equal.
JITTER = 0.01
# Part of the memory of an endpoint that requests may use, as the requests of
# other hosts are only counted.
MEMORY_FRACTION = 0.9
# Limit of the exponential function.
MAX_EXPONENT = 30.0


@dataclasses.dataclass(frozen=True, slots=True)
class Situation:
    """What a decision is based on besides the endpoints.

    `count_online` and `count_items` return the requests of all hosts and the
    batch items on an endpoint, `count_own` those of this host. `run_seconds`
    is the mean run time of a request, `age` the age in seconds of the counts
    of other zones. `objective` is the time in seconds until the first event is
    due. `draw` returns a random number below 1, and
    `shuffle` shuffles a list.
    """

    count_online: object
    count_items: object
    count_own: object
    run_seconds: float
    age: float
    objective: float
    now: float
    draw: object
    shuffle: object


@dataclasses.dataclass(frozen=True, slots=True)
class Pool:
    """Endpoints of a service in the own zone, and in other zones.

    The rows hold each endpoint with its id and slots, so that a search of all
    of them does not look these up.
    """

    near: tuple
    far: tuple
    near_rows: tuple
    far_rows: tuple


class Chooser:
    """Chooser among the endpoints of one host.

    Parameters
    ----------
    zone : str
        Availability zone of this host.
    table : EndpointTable
        Work and speed of endpoints.
    """

    def __init__(self, zone, table):
        self.zone = zone
        self.table = table
        self.services = {}
        self.pools = {}

    def set_services(self, services):
        """Replace the endpoints by service."""
        self.services = services
        self.pools = {}

    def get_pool(self, service, shuffle):
        """Return the endpoints of a service, in an order of this host's own.

        Returns
        -------
        Pool or None
            None if the service has no endpoints.
        """
        pool = self.pools.get(service)
        endpoints = self.services.get(service)
        if pool is None and endpoints:
            near, far = [], []
            for endpoint in endpoints:
                is_near = endpoint.availability_zone == self.zone
                (near if is_near else far).append(endpoint)
            shuffle(near)
            shuffle(far)
            pool = self.pools[service] = Pool(
                tuple(near), tuple(far), make_rows(near), make_rows(far)
            )
        return pool

    def choose(self, service, cost, situation, is_allowed, list_open=None):
        """Return the endpoint at which a request probably begins soonest.

        Parameters
        ----------
        service : str
            Service of the request.
        cost : Cost or None
            Predicted cost of the request.
        situation : Situation
            Loads and the time.
        is_allowed : callable or None
            Returns whether an endpoint may be chosen; None if all may.
        list_open : callable, optional
            Takes rows of a `Pool` and returns the endpoints that have room for
            a request. If it is given, the request is refused otherwise, and
            each of them is considered until enough are allowed.

        Returns
        -------
        object or None
            None if no endpoint is allowed.
        """
        pool = self.get_pool(service, situation.shuffle)
        if pool is None:
            return None
        slowness = self.table.slowness
        reading = self.table.read_times[service].fit()
        speed = slowness.get_mean(service), slowness.memory_seconds
        best = None
        lowest = float('inf')
        for endpoints, is_near in ((pool.near, True), (pool.far, False)):
            if not endpoints:
                continue
            run_seconds = situation.run_seconds
            jitter = JITTER * run_seconds / max(1, endpoints[0].slots)
            spread = compute_spread(endpoints, is_near, situation)
            distance = 0.0 if is_near else ZONE_SECONDS
            if list_open is None:
                drawn = draw_some(endpoints, is_allowed, situation.draw)
            else:
                rows = pool.near_rows if is_near else pool.far_rows
                drawn = draw_open(rows, list_open, is_allowed, situation.draw)
            for endpoint in drawn:
                seconds = distance + jitter * situation.draw()
                seconds += self.estimate(
                    endpoint, cost, situation, spread, reading, speed
                )
                if seconds < lowest:
                    lowest = seconds
                    best = endpoint
            if lowest <= FAR_SECONDS:
                break
        return best

    def estimate(self, endpoint, cost, situation, spread, reading, speed):
        """Return the expected cost of an endpoint in seconds.

        Parameters
        ----------
        endpoint : object
            Endpoint with its id and slots.
        cost : Cost or None
            Predicted cost of the request.
        situation : Situation
            Loads and the time.
        spread : float
            Uncertainty of the count of requests.
        reading : tuple of float
            Usual seconds until the first event without reading, and for each
            token that is read.
        speed : tuple of float
            Mean slowness of the service, and the time in seconds in which a
            figure loses its weight.
        """
        endpoint_id = endpoint.endpoint_id
        slots = endpoint.slots
        table = self.table
        now = situation.now
        slowness = table.slowness.weigh(endpoint_id, *speed, now)
        first, token_seconds = reading
        if token_seconds and cost is not None:
            first += token_seconds * table.count_unread(endpoint_id, cost)
        first *= slowness
        online = situation.count_online(endpoint_id)
        if endpoint_id in table.waiting:
            stuck = table.count_stuck(endpoint_id, first, now)
            if stuck:
                online = max(online, slots + stuck)
        wait = estimate_wait(online, slots, situation.run_seconds, spread)
        # Below this time a request is safe, and endpoints count as equally
        # fast. To keep the fast ones busier would only cause queues there.
        safe = SAFE_OBJECTIVES * situation.objective
        seconds = wait + max(0.0, first + slowness * wait - safe)
        if online < slots <= online + situation.count_items(endpoint_id):
            seconds += YIELD_SECONDS
        if cost is not None and cost.capacity_tokens:
            seconds += self.estimate_memory_wait(
                endpoint_id, cost, online, situation
            )
        return seconds

    def estimate_memory_wait(self, endpoint_id, cost, online, situation):
        """Return the seconds until an endpoint has memory for a request.

        Others hosts' requests are assumed to hold as much as this one.
        """
        others = max(0, online - situation.count_own(endpoint_id))
        held = (
            self.table.held_tokens[endpoint_id]
            + (others + 1) * cost.held_tokens
        )
        if held <= MEMORY_FRACTION * cost.capacity_tokens:
            return 0.0
        return situation.run_seconds * held / cost.capacity_tokens


def compute_spread(endpoints, is_near, situation):
    """Return the uncertainty of the counts of endpoints, in requests."""
    if is_near or not endpoints:
        return NEAR_SPREAD
    slots = endpoints[0].slots
    unknown = FAR_SPREAD_FACTOR * situation.age * slots / situation.run_seconds
    return NEAR_SPREAD + min(unknown, MAX_FAR_SPREAD_FRACTION * slots)


def estimate_wait(online, slots, run_seconds, spread):
    """Return the expected seconds until a further request gets a slot.

    A slot becomes free every `run_seconds / slots`. The number of requests
    before this one is uncertain by `spread`, so that an endpoint with its last
    slot free already has an expected wait.
    """
    excess = (online - slots + 1) / spread
    if excess < MAX_EXPONENT:
        excess = math.log1p(math.exp(excess))
    return excess * spread * run_seconds / slots


def draw_some(endpoints, is_allowed, draw):
    """Return some neighbours in a list that are allowed.

    If none of them is, the whole list is searched.
    """
    count = len(endpoints)
    drawn = endpoints
    if count > SAMPLE_SIZE:
        start = int(draw() * count)
        drawn = endpoints[start : start + SAMPLE_SIZE]
        if len(drawn) < SAMPLE_SIZE:
            drawn += endpoints[: SAMPLE_SIZE - len(drawn)]
    if is_allowed is None:
        return drawn
    allowed = [e for e in drawn if is_allowed(e)]
    if allowed or len(drawn) == count:
        return allowed
    return [e for e in endpoints if is_allowed(e)][:SAMPLE_SIZE]


def make_rows(endpoints):
    """Return rows of endpoints with their ids and slots."""
    return tuple((e, e.endpoint_id, e.slots) for e in endpoints)


def draw_open(rows, list_open, is_allowed, draw):
    """Return a few allowed endpoints with room, none only if there is none.

    The rows are searched from any position until enough are found.
    """
    start = int(draw() * len(rows))
    ordered = rows[start:] + rows[:start]
    batches = ordered[:FIRST_BATCH_SIZE], ordered[FIRST_BATCH_SIZE:]
    has_room = itertools.chain.from_iterable(map(list_open, batches))
    allowed = filter(is_allowed, has_room)
    return list(itertools.islice(allowed, REFUSAL_SAMPLE_SIZE))
