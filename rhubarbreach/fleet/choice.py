"""Choice of an endpoint for a request, and refusal if all are full.

The decisions are designed for load peaks in which all slots are in use for
seconds while endpoints crash or stop responding.

A request is sent to the endpoint with the lowest load for its slots. If all
slots are in use, the endpoint with the fewest online requests is chosen, as
batch items are preempted immediately. A few requests may queue at an endpoint,
as long as they start within the latency objective. Further requests are
refused. Loads from other zones are known late, so an endpoint there has to be
less loaded by what it may have received since.
"""

import dataclasses
import random

from rhubarbreach import codes

__all__ = [
    'Endpoint',
    'choose_endpoint',
    'choose_queue_limit',
    'compute_queue_limit',
    'compute_zone_penalty',
]

# Requests that may wait at an endpoint beyond its slots, until the run time of
# requests is known.
MAX_QUEUED = 2
# Most requests that may wait for each slot, however short they are. Endpoints
# decline requests beyond a queue of their own.
MAX_QUEUED_PER_SLOT = 4
# The same for a request that was refused before, unless the overload outlasts
# a load peak, and for one that was already sent to an endpoint. Such a request
# is late already, but it would be lost otherwise.
MAX_QUEUED_RETRIES = 8
# Time that a request may wait in the queue of an endpoint, relative to its
# latency objective: a new one, one that is late already, and one that goes on
# with a stream. Callers abandon a silent stream after four times the objective
# or more. Endpoints admit in order of arrival, so that a stream can only go on
# in time if the queue before it is shorter than that.
MAX_WAIT_OBJECTIVES = 0.75
MAX_RETRY_WAIT_OBJECTIVES = 2.5
MAX_BEGUN_WAIT_OBJECTIVES = 4.0
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
    """An endpoint that runs requests of a service.

    `born` is the start of its process, in Unix milliseconds. A request has to
    begin before `start_before`, in seconds of the monotonic clock, when the
    permit for a cold endpoint ends.
    """

    endpoint_id: str
    service: str
    address: str
    availability_zone: str
    slots: int
    is_draining: bool = False
    software_version: str = ''
    born: int = 0
    start_before: float = dataclasses.field(
        default=float('inf'), compare=False
    )


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
    limit = int(min(max_wait / run_seconds, MAX_QUEUED_PER_SLOT) * slots)
    return max(1, limit)


def choose_queue_limit(slots, run_seconds, objective, is_late, has_begun):
    """Return the queue limit for a request.

    Parameters
    ----------
    slots : int
        Fewest slots of an endpoint of the service; 0 if it has none.
    run_seconds : float or None
        Mean run time of a request, if it is known.
    objective : float
        Latency objective in seconds.
    is_late : bool
        Whether the request was refused or sent before.
    has_begun : bool
        Whether the request goes on with a stream.
    """
    if not (run_seconds and slots):
        has_priority = is_late or has_begun
        return MAX_QUEUED_RETRIES if has_priority else MAX_QUEUED
    objectives = MAX_WAIT_OBJECTIVES
    if has_begun:
        objectives = MAX_BEGUN_WAIT_OBJECTIVES
    elif is_late:
        objectives = MAX_RETRY_WAIT_OBJECTIVES
    return compute_queue_limit(slots, run_seconds, objectives * objective)


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
