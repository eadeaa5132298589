"""Choice of the endpoint for a request."""

import dataclasses
import typing

from rhubarbreach import codes

__all__ = ['Choice', 'View', 'choose_endpoint']

# Endpoints of the own zone that are compared for a request.
SAMPLES = 2
# Load, in fractions of the slots of an endpoint, that another zone has to
# be better by: a hop costs about 1.5 ms, which is little against a wait.
ZONE_PENALTY = 0.25
# Load by which a fully cached prompt may be worse, since it saves the
# processing of the prompt.
PREFIX_BENEFIT = 0.5
# Slots assumed for endpoints that do not report them.
DEFAULT_SLOTS = 16


@dataclasses.dataclass(frozen=True, slots=True)
class View:
    """What this host knows about the candidates.

    Parameters
    ----------
    zone : str
        Zone of this host.
    get_load : callable
        `get_load(endpoint)`: estimated requests there.
    get_match : callable
        `get_match(endpoint_id, prefix)`: cached fraction of the prompt.
    get_weight : callable
        `get_weight(endpoint_id)`: 1 normally, less during slow start.
    """

    zone: str
    get_load: typing.Callable
    get_match: typing.Callable
    get_weight: typing.Callable


@dataclasses.dataclass(frozen=True, slots=True)
class Choice:
    """Chosen endpoint and the reason, for the timeline."""

    endpoint: object
    reason: str


def choose_endpoint(request, candidates, view, now, random):
    """Choose an endpoint for a request.

    The best cache match, two random endpoints of the own zone and one of
    another zone are compared. Sampling keeps hosts with the same lagging
    view from all choosing the same endpoint.

    Parameters
    ----------
    request : Work
        Request to place.
    candidates : iterable of EndpointInfo
        Endpoints with a free slot.
    view : View
        What is known about them.
    now : float
        Monotonic seconds.
    random : random.Random
        Source of the samples.

    Returns
    -------
    Choice or Refusal
        NO_ENDPOINT when there is no candidate.
    """
    open_endpoints = [
        endpoint
        for endpoint in candidates
        if now < endpoint.expires_at
        and random.random() < view.get_weight(endpoint.endpoint_id)
    ]
    if not open_endpoints:
        return codes.Refusal(
            codes.ResultCode.NO_ENDPOINT,
            f'no endpoint for {request.model_id} has a free slot',
        )
    matches = {
        endpoint.endpoint_id: view.get_match(
            endpoint.endpoint_id, request.prefix
        )
        for endpoint in open_endpoints
        if request.prefix
    }
    sampled = take_samples(open_endpoints, matches, view.zone, random)
    best = min(
        sampled,
        key=lambda endpoint: get_score(endpoint, matches, view),
    )
    return Choice(best, make_reason(best, matches, view))


def take_samples(endpoints, matches, zone, random):
    """Return the endpoints to compare."""
    own = [endpoint for endpoint in endpoints if endpoint.zone == zone]
    others = [endpoint for endpoint in endpoints if endpoint.zone != zone]
    sampled = random.sample(own, min(SAMPLES, len(own)))
    count = 1 if sampled else SAMPLES
    sampled += random.sample(others, min(count, len(others)))
    if matches:
        best = max(endpoints, key=lambda e: matches[e.endpoint_id])
        if matches[best.endpoint_id] > 0 and best not in sampled:
            sampled.append(best)
    return sampled


def get_score(endpoint, matches, view):
    """Return the cost of an endpoint in fractions of its slots."""
    slots = endpoint.load.slots or DEFAULT_SLOTS
    score = view.get_load(endpoint) / slots
    if endpoint.zone != view.zone:
        score += ZONE_PENALTY
    return score - PREFIX_BENEFIT * matches.get(endpoint.endpoint_id, 0.0)


def make_reason(endpoint, matches, view):
    """Return why an endpoint was chosen."""
    if matches.get(endpoint.endpoint_id, 0.0) > 0:
        return 'prefix cached'
    if endpoint.zone != view.zone:
        return 'other zone less loaded'
    return 'least loaded of the samples'
