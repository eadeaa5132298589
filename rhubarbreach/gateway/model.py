"""Data classes of requests and of what became of them."""

import dataclasses

__all__ = [
    'Broken',
    'CallInfo',
    'CallerGone',
    'Delivered',
    'JobBodyCall',
    'JobEndCall',
    'JobResultsCall',
    'NotRun',
    'TimedOut',
]


@dataclasses.dataclass(frozen=True, slots=True)
class CallInfo:
    """What the headers of a request say.

    `allowed` is how long the caller waits, in seconds, None if not told;
    `last_event_id` is the event after which a stream is to go on, if any.
    """

    request_id: str
    host: str
    key: str | None
    allowed: float | None
    last_event_id: int | None


@dataclasses.dataclass(frozen=True, slots=True)
class JobResultsCall:
    """Ask for the results of a batch job from a position on."""

    job_id: str
    after: int


@dataclasses.dataclass(frozen=True, slots=True)
class JobBodyCall:
    """Ask for the body of an item."""

    job_id: str
    item_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class JobEndCall:
    """End a batch job."""

    job_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class Delivered:
    """The caller got a whole answer."""

    status: int


@dataclasses.dataclass(frozen=True, slots=True)
class NotRun:
    """The request is known not to have run on the endpoint."""

    reason: str
    endpoint_failed: bool = True


@dataclasses.dataclass(frozen=True, slots=True)
class Broken:
    """The endpoint failed after the request was sent."""

    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class TimedOut:
    """The time of the request is over."""


@dataclasses.dataclass(frozen=True, slots=True)
class CallerGone:
    """The caller has left."""
