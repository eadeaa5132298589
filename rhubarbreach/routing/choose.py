"""Selection of the endpoint for a request."""

import dataclasses
import typing

from rhubarbreach import codes

__all__ = ['Choice', 'View', 'choose_endpoint']

# Endpoints of the same zone that are compared for a request.
LOCAL_SAMPLES = 2
# Cost of an endpoint in another zone, in fractions of its slots. A hop between
# zones takes about 1.5 ms, which is short compared with queueing.
ZONE_PENALTY = 0.25
# Cost that a fully cached prompt saves, in fractions of the slots, since the
# prompt need not be processed again.
PREFIX_BENEFIT = 0.5
# Slots assumed for endpoints that do not report them.
DEFAULT_SLOTS = 16


@dataclasses.dataclass(frozen=True, slots=True)
class View:
    """State of the candidates as known to this host.

    Parameters
    ----------
    zone : str
        Zone of this host.
    get_load : callable
        `get_load(endpoint)`: estimated requests on the endpoint.
    get_match : callable
        `get_match(endpoint_id, prefix)`: cached fraction of the prompt.
    get_weight : callable
        `get_weight(endpoint_id)`: 1, or less during slow start.
    """

    zone: str
    get_load: typing.Callable
    get_match: typing.Callable
    get_weight: typing.Callable


@dataclasses.dataclass(frozen=True, slots=True)
class Choice:
    """Chosen endpoint and the reason shown in the timeline."""

    endpoint: object
    reason: str


def choose_endpoint(request, candidates, view, now, random):
    """Choose an endpoint for a request.

    The endpoint with the best cache match is compared with two random
    endpoints of the same zone and one of another zone. Random samples prevent
    hosts that share the same outdated view from all choosing the same
    endpoint.

    Parameters
    ----------
    request : Work
        Request to place.
    candidates : iterable of EndpointInfo
        Endpoints with a free slot.
    view : View
        State of the candidates.
    now : float
        Monotonic time in seconds.
    random : random.Random
        Random number generator for the samples.

    Returns
    -------
    Choice or Refusal
        NO_ENDPOINT when there is no candidate.
    """
    eligible = [
        endpoint
        for endpoint in candidates
        if now < endpoint.expires_at
        and random.random() < view.get_weight(endpoint.endpoint_id)
    ]
    if not eligible:
        return codes.Refusal(
            codes.ResultCode.NO_ENDPOINT,
            f'no endpoint for {request.model_id} has a free slot',
        )
    matches = {
        endpoint.endpoint_id: view.get_match(
            endpoint.endpoint_id, request.prefix
        )
        for endpoint in eligible
        if request.prefix
    }
    samples = sample_endpoints(eligible, matches, view.zone, random)
    best = min(
        samples,
        key=lambda endpoint: compute_cost(endpoint, matches, view),
    )
    return Choice(best, describe_choice(best, matches, view))


def sample_endpoints(endpoints, matches, zone, random):
    """Return the endpoints to compare."""
    local = [endpoint for endpoint in endpoints if endpoint.zone == zone]
    remote = [endpoint for endpoint in endpoints if endpoint.zone != zone]
    samples = random.sample(local, min(LOCAL_SAMPLES, len(local)))
    remote_samples = 1 if samples else LOCAL_SAMPLES
    samples += random.sample(remote, min(remote_samples, len(remote)))
    if matches:
        best = max(
            endpoints, key=lambda candidate: matches[candidate.endpoint_id]
        )
        if matches[best.endpoint_id] > 0 and best not in samples:
            samples.append(best)
    return samples


def compute_cost(endpoint, matches, view):
    """Return the cost of an endpoint, in fractions of its slots."""
    slots = endpoint.load.slots or DEFAULT_SLOTS
    cost = view.get_load(endpoint) / slots
    if endpoint.zone != view.zone:
        cost += ZONE_PENALTY
    return cost - PREFIX_BENEFIT * matches.get(endpoint.endpoint_id, 0.0)


def describe_choice(endpoint, matches, view):
    """Return the reason for the choice of an endpoint."""
    if matches.get(endpoint.endpoint_id, 0.0) > 0:
        return 'prefix cached'
    if endpoint.zone != view.zone:
        return 'other zone less loaded'
    return 'least loaded of the samples'
