"""Data classes of requests and of the outcomes of attempts."""

import dataclasses

from rhubarbreach.balancing import costs

__all__ = [
    'Broken',
    'CallInfo',
    'CallerGone',
    'Delivered',
    'JobBodyCall',
    'JobEndCall',
    'JobResultsCall',
    'NotRun',
    'Superseded',
    'TimedOut',
    'Unproven',
    'Unread',
]


@dataclasses.dataclass(frozen=True, slots=True)
class CallInfo:
    """Properties of a request taken from its headers.

    `timeout` is the time in seconds that the caller waits, None if not given.
    `last_event_id` is the event after which a stream is to resume, if any,
    and `resumed_request_id` the request that began the stream.
    `prompt` holds the ids of the parts of the prompt. Requests may share all
    of them but the last. `statement` is what the caller states about the size
    of the request, None if nothing.
    """

    request_id: str
    host: str
    key: str | None
    timeout: float | None
    last_event_id: int | None
    prompt: tuple[str, ...] = ()
    resumed_request_id: str = ''
    statement: costs.Statement | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class JobResultsCall:
    """Call that reads the results of a batch job from a position on."""

    job_id: str
    after: int


@dataclasses.dataclass(frozen=True, slots=True)
class JobBodyCall:
    """Call that reads the body of an item."""

    job_id: str
    item_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class JobEndCall:
    """Call that ends a batch job."""

    job_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class Delivered:
    """Outcome: the caller received a complete response."""

    status: int


@dataclasses.dataclass(frozen=True, slots=True)
class NotRun:
    """Outcome: the request is known not to have run on the endpoint."""

    reason: str
    endpoint_failed: bool = True


@dataclasses.dataclass(frozen=True, slots=True)
class Broken:
    """Outcome: the endpoint failed after the request was sent."""

    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class Unproven:
    """Outcome: the stream may be whole, or may have been broken off."""

    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class Unconfirmed:
    """Outcome: the endpoint may have restarted with another version."""


@dataclasses.dataclass(frozen=True, slots=True)
class Superseded:
    """Outcome: another endpoint goes on with the response."""


@dataclasses.dataclass(frozen=True, slots=True)
class Unread:
    """Outcome: the endpoint read too slowly while others may go on."""


@dataclasses.dataclass(frozen=True, slots=True)
class TimedOut:
    """Outcome: the deadline of the request has passed."""


@dataclasses.dataclass(frozen=True, slots=True)
class CallerGone:
    """Outcome: the caller has disconnected."""
