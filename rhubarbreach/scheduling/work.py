"""Data classes of work that waits for or runs on an endpoint."""

import dataclasses
import enum

from rhubarbreach.membership import model

__all__ = ['Lane', 'Outcome', 'OutcomeStatus', 'Placement', 'Work']


class Lane(enum.StrEnum):
    """Queue of a piece of work: online if a caller waits for the result."""

    ONLINE = 'online'
    BATCH = 'batch'


class OutcomeStatus(enum.StrEnum):
    """Result of an attempt on an endpoint."""

    COMPLETED = 'completed'
    FAILED = 'failed'
    NOT_RUN = 'not_run'
    CANCELLED = 'cancelled'
    ENDPOINT_LOST = 'endpoint_lost'


@dataclasses.dataclass(frozen=True, slots=True)
class Work:
    """One request or batch item that waits for an endpoint.

    Parameters
    ----------
    work_id : str
        Id that is unique for each call to `Scheduler.submit`.
    account_id : str
        Client account; empty on open routes.
    model_id : str
        Model, or the target of a service route.
    lane : Lane
        Online or batch.
    cost : float
        Estimated cost in tokens.
    deadline : float
        Deadline in monotonic seconds.
    digest : bytes
        Digest of the route and the body.
    prefix : tuple of bytes
        Digests of the prefixes of the prompt, shortest first.
    excluded : frozenset of str
        Endpoints on which this work has already failed.
    weight : float
        Weight of the client account.
    software_version : str or None
        Software version that began the stream that this work resumes.
    in_use : frozenset of str
        Endpoints on which the same call still runs. Unlike an excluded
        endpoint, none of them is used if there is no other.
    """

    work_id: str
    account_id: str
    model_id: str
    lane: Lane
    cost: float
    deadline: float
    digest: bytes = b''
    prefix: tuple[bytes, ...] = ()
    excluded: frozenset[str] = frozenset()
    weight: float = 1.0
    software_version: str | None = None
    in_use: frozenset[str] = frozenset()


@dataclasses.dataclass(frozen=True, slots=True)
class Placement:
    """A slot on an endpoint held by one piece of work.

    Parameters
    ----------
    work : Work
        Holder of the slot.
    endpoint : EndpointInfo
        Endpoint on which the work runs.
    alone : bool
        Whether no other work of this fleet runs on the endpoint meanwhile.
    reason : str
        Reason for the choice of the endpoint, shown in the timeline.
    """

    work: Work
    endpoint: model.EndpointInfo
    alone: bool = False
    reason: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class Outcome:
    """Outcome of a placement; times in seconds.

    Parameters
    ----------
    status : OutcomeStatus
        Result of the attempt.
    tokens : int
        Number of tokens received.
    first_token : float or None
        Time until the first token.
    inter_token : float or None
        Mean time between tokens.
    """

    status: OutcomeStatus
    tokens: int = 0
    first_token: float | None = None
    inter_token: float | None = None
