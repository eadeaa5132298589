"""Data classes of an attempt, which is one request to one endpoint."""

import concurrent.futures
import dataclasses
import enum

from rhubarbreach.dispatch import events

__all__ = [
    'Attempt',
    'AttemptEnd',
    'AttemptResult',
    'CANCEL_PATH',
    'RunningAttempt',
    'Silence',
    'make_cancel',
]

CANCEL_PATH = '/cancel'
CANCEL_TIMEOUT_SECONDS = 2.0


class AttemptEnd(enum.StrEnum):
    """End of an attempt, as seen on this host.

    `CROSSED` means that the response belongs to another attempt or lacks the
    required attempt id, and `STALLED` that the endpoint was silent until
    another one had begun. `INCOMPLETE` stands for a stream that ended early or
    had a fault, and `BROKEN` for other failures after bytes of the request
    were sent.
    `CALLER_SLOW` stands for a caller that does not read its stream.
    """

    ANSWERED = 'answered'
    NOT_SENT = 'not_sent'
    BROKEN = 'broken'
    INCOMPLETE = 'incomplete'
    CROSSED = 'crossed'
    STALLED = 'stalled'
    EXPIRED = 'expired'
    CANCELLED = 'cancelled'
    CALLER_GONE = 'caller_gone'
    CALLER_SLOW = 'caller_slow'


class Silence:
    """Silence of the endpoint of an attempt, which may end at any time.

    Attributes
    ----------
    began : concurrent.futures.Future
        Completes when the endpoint is silent; its result is a future that
        completes when the endpoint goes on. Replaced then.
    """

    def __init__(self):
        self.began = concurrent.futures.Future()
        self.ended = None

    def begin(self):
        """Mark the endpoint as silent."""
        if self.ended is None:
            self.ended = concurrent.futures.Future()
            self.began.set_result(self.ended)

    def end(self):
        """Mark the endpoint as going on."""
        if self.ended is not None:
            ended, self.ended = self.ended, None
            self.began = concurrent.futures.Future()
            ended.set_result(True)


@dataclasses.dataclass(frozen=True, slots=True)
class Attempt:
    """One request to one endpoint.

    Parameters
    ----------
    attempt_id : str
        Sent as X-Attempt-Id. Each event of the response must carry it.
    address : str
        `IP:port` of the endpoint.
    method, path : str
        HTTP method and path.
    headers : tuple of str
        Header lines.
    body : bytes
        Body of the request.
    deadline : float
        Monotonic deadline of the call.
    silent_at : float
        Monotonic time from which the endpoint counts as silent if the first
        byte of the response body has not arrived.
    reuse : bool
        Whether a pooled connection may be used. libcurl resends a request
        on its own when a pooled connection breaks before the first byte of
        the response, so calls that are not idempotent use new connections.
    echo : bool
        Whether a response with status 200 must carry the attempt id.
    relay : events.EventRelay or None
        Processes the events of a stream.
    silence : Silence
        Tells whether the endpoint is silent.
    """

    attempt_id: str
    address: str
    method: str
    path: str
    headers: tuple[str, ...]
    body: bytes
    deadline: float
    silent_at: float
    reuse: bool = True
    echo: bool = False
    relay: events.EventRelay | None = None
    silence: Silence = dataclasses.field(default_factory=Silence)


@dataclasses.dataclass(frozen=True, slots=True)
class AttemptResult:
    """Result of an attempt.

    Parameters
    ----------
    end : AttemptEnd
        How the attempt ended.
    status : int
        HTTP status, 0 without a response.
    content_type : str
        Content type of the response.
    body : bytes
        Body of the response, empty for a relayed stream.
    sent : bool
        Whether any byte of the request may have reached the endpoint.
    not_run : bool
        Whether the endpoint reported that it did not run the request.
    detail : str
        Error text for the timeline.
    first_byte : float or None
        Seconds from the start of the attempt to the first byte of the body.
    relayed : bool
        Whether the response was a stream whose events were relayed.
    is_delimited : bool
        Whether the response does not end with its connection.
    """

    end: AttemptEnd
    status: int = 0
    content_type: str = ''
    body: bytes = b''
    sent: bool = False
    not_run: bool = False
    detail: str = ''
    first_byte: float | None = None
    relayed: bool = False
    is_delimited: bool = True


@dataclasses.dataclass(frozen=True, slots=True, eq=False)
class RunningAttempt:
    """Attempt that was started.

    Parameters
    ----------
    placement : work.Placement
        Endpoint of the attempt.
    attempt : Attempt
        The attempt.
    future : concurrent.futures.Future
        Completes with its `AttemptResult`.
    """

    placement: object
    attempt: Attempt
    future: concurrent.futures.Future

    @property
    def is_silent(self):
        """Whether the endpoint is silent."""
        return self.attempt.silence.began.done()


def make_cancel(attempt, now):
    """Return the request that asks an endpoint to stop an attempt.

    Parameters
    ----------
    attempt : Attempt
        Attempt to stop.
    now : float
        Monotonic seconds.
    """
    return Attempt(
        attempt_id=f'cancel-{attempt.attempt_id}',
        address=attempt.address,
        method='POST',
        path=CANCEL_PATH,
        headers=('Content-Type: application/json',),
        body=b'{"attempt_id":"%b"}' % attempt.attempt_id.encode(),
        deadline=now + CANCEL_TIMEOUT_SECONDS,
        silent_at=now + CANCEL_TIMEOUT_SECONDS,
    )
