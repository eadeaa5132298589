"""What happens after an attempt at an endpoint.

A request that may not be repeated is sent again only when it is known not to
have run. What may be repeated goes on elsewhere, a stream from the event
after the last one that the caller got.
"""

import dataclasses

from rhubarbreach import codes
from rhubarbreach.gateway import model

__all__ = ['Cut', 'Refuse', 'Retry', 'Stop', 'decide_next']

# Endpoints that may decline one request before it is refused. Each costs a
# connection; a fleet that declines more often is full.
MAX_DECLINED = 3
# With less time than this left, in seconds, no endpoint can answer.
MIN_REMAINING_SECONDS = 0.05


@dataclasses.dataclass(frozen=True, slots=True)
class Retry:
    """Send the request to another endpoint."""


@dataclasses.dataclass(frozen=True, slots=True)
class Refuse:
    """Answer with a refusal; nothing of an answer was sent."""

    refusal: codes.Refusal


@dataclasses.dataclass(frozen=True, slots=True)
class Cut:
    """End the connection, so that the answer does not look whole."""

    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class Stop:
    """Nothing is left to do."""


def decide_next(outcome, route, sent, declined, started, remaining):
    """Return what to do after an attempt.

    Parameters
    ----------
    outcome : Delivered, NotRun, Broken, TimedOut or CallerGone
        What became of the attempt.
    route : Route
        Route of the request.
    sent : int
        Endpoints on which the request may have run, this one included.
    declined : int
        Endpoints on which it has not run, this one included.
    started : bool
        Whether the caller has got a part of an answer.
    remaining : float
        Seconds left.
    """
    in_time = remaining > MIN_REMAINING_SECONDS
    match outcome:
        case model.Delivered() | model.CallerGone():
            return Stop()
        case model.NotRun(reason=reason):
            if declined <= MAX_DECLINED and in_time:
                return Retry()
        case model.Broken(reason=reason):
            if route.is_repeatable and sent < route.max_attempts and in_time:
                return Retry()
        case model.TimedOut():
            reason = 'time of the request is over'
    if started:
        return Cut(reason)
    return Refuse(make_refusal(outcome, sent, reason))


def make_refusal(outcome, sent, reason):
    """Return the refusal of a request that no endpoint has answered."""
    if isinstance(outcome, model.TimedOut):
        ran = codes.Ran.UNKNOWN if sent else codes.Ran.NO
        return codes.Refusal(codes.ResultCode.DEADLINE_EXCEEDED, reason, ran)
    if sent:
        return codes.Refusal(
            codes.ResultCode.ENDPOINT_FAILED, reason, codes.Ran.UNKNOWN
        )
    return codes.Refusal(codes.ResultCode.NO_ENDPOINT, reason)
