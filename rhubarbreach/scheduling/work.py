"""Frozen data classes of work that waits for an endpoint."""

import dataclasses
import enum

from rhubarbreach.membership import model

__all__ = ['Lane', 'Outcome', 'OutcomeStatus', 'Placement', 'Work']


class Lane(enum.StrEnum):
    """Whether a caller waits for the answer."""

    ONLINE = 'online'
    BATCH = 'batch'


class OutcomeStatus(enum.StrEnum):
    """How an attempt on an endpoint ended."""

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
        Unique for each call to `Scheduler.submit`.
    account_id : str
        Client account; empty on open routes.
    model_id : str
        Model, or target of a service route.
    lane : Lane
        Online or batch.
    cost : float
        Estimated cost in tokens.
    deadline : float
        Monotonic deadline.
    digest : bytes
        Digest of route and body.
    prefix : tuple of bytes
        Digests of growing prefixes of the prompt, shortest first.
    excluded : frozenset of str
        Endpoints that failed this work before.
    weight : float
        Weight of the client account.
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


@dataclasses.dataclass(frozen=True, slots=True)
class Placement:
    """A slot on an endpoint held by one piece of work.

    Parameters
    ----------
    work : Work
        Holder of the slot.
    endpoint : EndpointInfo
        Where it runs.
    alone : bool
        Whether nothing else of this fleet runs on the endpoint meanwhile.
    reason : str
        Why this endpoint was chosen, for the timeline.
    """

    work: Work
    endpoint: model.EndpointInfo
    alone: bool = False
    reason: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class Outcome:
    """How a placement ended; times in seconds.

    Parameters
    ----------
    status : OutcomeStatus
        How the attempt ended.
    tokens : int
        Tokens received.
    first_token : float or None
        Time until the first token.
    inter_token : float or None
        Mean time between tokens.
    """

    status: OutcomeStatus
    tokens: int = 0
    first_token: float | None = None
    inter_token: float | None = None
