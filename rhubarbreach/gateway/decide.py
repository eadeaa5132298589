"""Retry decisions after an attempt at an endpoint.

A request that is not repeatable is sent again only if it is known not to have
run. A repeatable one is retried at another endpoint, and a stream resumes
there after the last event that the caller received.
"""

import dataclasses

from rhubarbreach import codes
from rhubarbreach.gateway import model

__all__ = [
    'MAX_DECLINED',
    'Abort',
    'Refuse',
    'Retry',
    'Stop',
    'decide_next',
    'get_stall_seconds',
    'is_final',
]

# Endpoints that may decline a request before it is refused. Each attempt costs
# a connection, and if more endpoints decline, the whole fleet is full. A
# stream that has begun would be cut, so it asks on, with pauses.
MAX_DECLINED = 3
# With less time left than this, no endpoint can answer before the deadline.
MIN_REMAINING_SECONDS = 0.05
# For a stream that can resume, another endpoint is sought after this multiple
# of the route's latency objective or longest pause without an event.
EVENT_TIMEOUT_FACTOR = 3.0
# The same for a route that states neither.
DEFAULT_EVENT_TIMEOUT_SECONDS = 1.2


@dataclasses.dataclass(frozen=True, slots=True)
class Retry:
    """Decision to send the request to another endpoint."""


@dataclasses.dataclass(frozen=True, slots=True)
class Refuse:
    """Decision to refuse, as no part of a response was sent."""

    refusal: codes.Refusal


@dataclasses.dataclass(frozen=True, slots=True)
class Abort:
    """Decision to close the connection after a part of a response.

    The caller can then see that the response is incomplete.
    """

    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class Stop:
    """Decision to end the request without further action."""


def get_stall_seconds(route):
    """Return the silence after which a stream of a route has stalled."""
    seconds = EVENT_TIMEOUT_FACTOR * max(route.objective, route.longest_pause)
    return seconds or DEFAULT_EVENT_TIMEOUT_SECONDS


def is_final(outcome):
    """Return whether an outcome ends the request whatever else runs."""
    return isinstance(
        outcome, model.Delivered | model.CallerGone | model.TimedOut
    )


def decide_next(
    outcome,
    route,
    sent,
    declined,
    response_started,
    remaining,
    may_ask_again=False,
):
    """Return the decision after an attempt.

    Parameters
    ----------
    outcome : object
        Outcome of the attempt; one of those in `model`.
    route : Route
        Route of the request.
    sent : int
        Number of endpoints on which the request may have run, including this
        one.
    declined : int
        Number of endpoints that have declined it while no other one was at
        work on it, including this one.
    response_started : bool
        Whether a part of a response was sent to the caller.
    remaining : float
        Seconds until the deadline.
    may_ask_again : bool
        Whether an endpoint on which the request may have run, and which has
        not failed, may be asked again.
    """
    in_time = remaining > MIN_REMAINING_SECONDS
    match outcome:
        case model.Delivered() | model.CallerGone():
            return Stop()
        case model.NotRun(reason=reason):
            may_retry = declined <= MAX_DECLINED or response_started
            if may_retry and in_time:
                return Retry()
        case model.Broken(reason=reason) | model.Unproven(reason=reason):
            has_endpoint = sent < route.max_attempts or may_ask_again
            if route.is_repeatable and has_endpoint and in_time:
                return Retry()
        case model.Unconfirmed():
            reason = 'software version may be outdated'
            if in_time:
                return Retry()
        case model.TimedOut():
            reason = 'deadline of the request exceeded'
    if response_started:
        return Abort(reason)
    return Refuse(make_refusal(outcome, sent, reason))


def make_refusal(outcome, sent, reason):
    """Return the refusal of a request that got no response."""
    if isinstance(outcome, model.TimedOut):
        ran = codes.Ran.UNKNOWN if sent else codes.Ran.NO
        return codes.Refusal(codes.ResultCode.DEADLINE_EXCEEDED, reason, ran)
    if sent:
        return codes.Refusal(
            codes.ResultCode.ENDPOINT_FAILED, reason, codes.Ran.UNKNOWN
        )
    return codes.Refusal(codes.ResultCode.NO_ENDPOINT, reason)
