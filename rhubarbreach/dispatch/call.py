"""Data classes of calls to endpoints and of their results."""

import dataclasses

from rhubarbreach import codes
from rhubarbreach.scheduling import work

__all__ = ['Call', 'CallResult']


@dataclasses.dataclass(frozen=True, slots=True)
class Call:
    """Request or batch item to run on an endpoint.

    Parameters
    ----------
    request_id : str
        Sent as X-Request-Id, the same for all attempts.
    account_id : str
        Client account; empty on open routes.
    lane : work.Lane
        Online or batch.
    model_id : str
        Model, or target of a service route.
    method, path : str
        HTTP method and path on the endpoint.
    body : bytes
        Body as sent to the endpoint.
    stream : bool
        Whether the response is a stream of server-sent events.
    idempotent : bool
        Whether the call may be repeated.
    deadline : float
        Monotonic deadline.
    cost : float
        Estimated cost in tokens.
    weight : float
        Weight of the client account.
    job_id : str
        Job of a batch item.
    item : int
        Index of a batch item.
    headers : tuple of (str, str)
        Headers of the caller to forward, such as Content-Type.
    """

    request_id: str
    account_id: str
    lane: work.Lane
    model_id: str
    method: str
    path: str
    body: bytes
    stream: bool
    idempotent: bool
    deadline: float
    cost: float = 1.0
    weight: float = 1.0
    job_id: str = ''
    item: int = -1
    headers: tuple[tuple[str, str], ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class CallResult:
    """Complete response to a call.

    Parameters
    ----------
    status : int
        HTTP status from the endpoint.
    content_type : str
        Content type of the body.
    body : bytes
        Complete body. For a stream, the bytes that were delivered.
    endpoint_id : str
        Endpoint that completed the call.
    attempts : int
        Number of attempts.
    tokens : int
        Number of tokens delivered.
    first_token : float or None
        Seconds until the first token.
    refusal : codes.Refusal or None
        Set if a stream ended with an error event after its first bytes.
    """

    status: int
    content_type: str
    body: bytes
    endpoint_id: str
    attempts: int
    tokens: int = 0
    first_token: float | None = None
    refusal: codes.Refusal | None = None
