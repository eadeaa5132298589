"""Decisions after an attempt: finish the call, retry it or resume it."""

import dataclasses

from rhubarbreach import codes
from rhubarbreach.dispatch import attempt
from rhubarbreach.dispatch import errors
from rhubarbreach.scheduling import work

__all__ = [
    'Finish',
    'Progress',
    'Retry',
    'classify_outcome',
    'decide_next',
    'is_refused',
    'is_successful',
]

AttemptEnd = attempt.AttemptEnd
MAX_ATTEMPTS = 6
MAX_RESUMES = 4
SERVER_ERROR = 500
RETRY_AFTER_SECONDS = 1.0
# Seconds between two attempts to go on with a stream whose endpoints refuse.
REFUSED_PAUSE_SECONDS = 0.2


@dataclasses.dataclass(frozen=True, slots=True)
class Progress:
    """State of a call when an attempt has ended.

    Parameters
    ----------
    idempotent : bool
        Whether the call may be repeated.
    attempts, resumes : int
        Attempts and resumes so far, not counting preempted ones.
    tokens : int
        Number of tokens delivered.
    begun : bool
        Whether bytes of the stream were delivered to the caller.
    cancelled, preempted : bool
        Whether this host cancelled the call, or preempted the attempt.
    engine : bool
        Whether the endpoint is an inference engine.
    ran : codes.Ran
        Whether an earlier attempt ran.
    deadline : float
        Monotonic deadline of the call.
    """

    idempotent: bool
    attempts: int
    resumes: int
    tokens: int
    begun: bool
    cancelled: bool
    preempted: bool
    engine: bool
    ran: codes.Ran
    deadline: float


@dataclasses.dataclass(frozen=True, slots=True)
class Finish:
    """End of the call; without a refusal the response is passed on."""

    reason: str
    refusal: codes.Refusal | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Retry:
    """Another placement and attempt of the call.

    Parameters
    ----------
    reason : str
        Reason for the timeline.
    exclude : bool
        Whether later attempts exclude the endpoint.
    retry_at : float
        Monotonic time before which there is no attempt.
    """

    reason: str
    exclude: bool
    retry_at: float = 0.0


def decide_next(progress, result, budget, now):
    """Return the next step after an attempt.

    Parameters
    ----------
    progress : Progress
        State of the call.
    result : attempt.AttemptResult
        Result of the attempt.
    budget : budget.RetryBudget
        Consulted before a retry of a call that an endpoint may have run.
    now : float
        Monotonic seconds.

    Returns
    -------
    Finish or Retry
        Next step.
    """
    answered = result.end is AttemptEnd.ANSWERED
    if progress.cancelled and not (answered and is_successful(result)):
        return finish(progress, result, 'CANCELLED', 'the call was cancelled')
    match result.end:
        case AttemptEnd.ANSWERED:
            return decide_answered(progress, result, budget, now)
        case AttemptEnd.NOT_SENT:
            return retry_elsewhere(progress, result, 'connection failed', now)
        case AttemptEnd.CANCELLED if progress.preempted:
            return decide_preempted(progress, result, now)
        case AttemptEnd.CANCELLED:
            return finish(
                progress, result, 'CANCELLED', 'the attempt was cancelled'
            )
        case AttemptEnd.CALLER_GONE | AttemptEnd.CALLER_SLOW:
            return finish(progress, result, 'CANCELLED', 'the caller is gone')
        case AttemptEnd.EXPIRED:
            return finish_expired(progress, result)
    return decide_failed(progress, result, budget, now)


def is_refused(result):
    """Return whether an endpoint has certainly not run the request."""
    return result.not_run or result.end is AttemptEnd.NOT_SENT


def finish(progress, result, name, reason):
    """Return the end of a call with a refusal that states whether it ran."""
    ran = determine_ran(progress, result)
    return Finish(reason, errors.make_refusal(name, reason, ran))


def determine_ran(progress, result):
    """Return whether any attempt of the call ran."""
    if progress.tokens:
        return codes.Ran.YES
    if result.sent and not result.not_run:
        return codes.Ran.UNKNOWN
    return progress.ran


def finish_expired(progress, result):
    """Return the end of a call whose deadline has passed."""
    reason = 'no complete response before the deadline'
    return finish(progress, result, 'DEADLINE_EXCEEDED', reason)


def is_successful(result):
    """Return whether the endpoint ran the request without a 5xx status.

    A response with a 4xx status is also passed on to the caller.
    """
    return result.status < SERVER_ERROR and not result.not_run


def decide_answered(progress, result, budget, now):
    """Return the next step after a complete response."""
    if result.not_run:
        return retry_elsewhere(
            progress, result, 'endpoint did not run the request', now
        )
    if progress.begun and not result.relayed:
        return decide_failed(progress, result, budget, now)
    if is_successful(result):
        return Finish('answered')
    if progress.idempotent and may_retry(progress, budget, now):
        return Retry(
            f'endpoint answered with status {result.status}', exclude=True
        )
    if progress.engine:
        reason = f'the endpoint answered with status {result.status}'
        return finish(progress, result, 'ENDPOINT_FAILED', reason)
    return Finish('answered with an error')


def retry_elsewhere(progress, result, reason, now):
    """Return the next step when the endpoint did not run the call."""
    if now >= progress.deadline:
        return finish_expired(progress, result)
    if progress.attempts < MAX_ATTEMPTS:
        return Retry(reason, exclude=True)
    if progress.begun:
        # A refusal tells nothing about the stream that the caller has.
        return Retry(reason, True, now + REFUSED_PAUSE_SECONDS)
    refusal = errors.make_refusal(
        'NO_ENDPOINT',
        f'{progress.attempts} attempts failed, and the last was not accepted '
        'by its endpoint',
        determine_ran(progress, result),
        RETRY_AFTER_SECONDS,
    )
    return Finish(reason, refusal)


def decide_preempted(progress, result, now):
    """Return the next step when online work preempted the attempt."""
    if not progress.idempotent and result.sent:
        return finish(
            progress, result, 'OUTCOME_UNKNOWN', 'the attempt was preempted'
        )
    if now >= progress.deadline:
        return finish_expired(progress, result)
    return Retry('preempted', exclude=False)


def decide_failed(progress, result, budget, now):
    """Return the next step when the endpoint may have run the call."""
    if now >= progress.deadline:
        return finish_expired(progress, result)
    reason = f'{result.end}: {result.detail}'
    if not progress.idempotent:
        text = 'the endpoint failed while it ran the request'
        return finish(progress, result, 'OUTCOME_UNKNOWN', text)
    if progress.tokens:
        if progress.resumes < MAX_RESUMES:
            return Retry(f'resume after {reason}', exclude=True)
    elif may_retry(progress, budget, now):
        return Retry(f'retry after {reason}', exclude=True)
    if progress.begun:
        text = 'the stream broke and could not be resumed'
        return finish(progress, result, 'STREAM_BROKEN', text)
    if result.end is AttemptEnd.BROKEN:
        text = 'the connection ended while the endpoint ran the request'
        return finish(progress, result, 'ENDPOINT_LOST', text)
    text = 'the endpoint failed while it ran the request'
    return finish(progress, result, 'ENDPOINT_FAILED', text)


def may_retry(progress, budget, now):
    """Return whether a retry is allowed, and take it from the budget."""
    return (
        now < progress.deadline
        and progress.attempts < MAX_ATTEMPTS
        and budget.take(now)
    )


def classify_outcome(result):
    """Return the outcome that an attempt has for its endpoint.

    Parameters
    ----------
    result : attempt.AttemptResult
        Result of the attempt.

    Returns
    -------
    work.OutcomeStatus
        Status to pass to `Scheduler.release`.
    """
    status = work.OutcomeStatus
    match result.end:
        case AttemptEnd.ANSWERED if result.not_run:
            return status.NOT_RUN
        case AttemptEnd.ANSWERED:
            failed = result.status >= SERVER_ERROR
            return status.FAILED if failed else status.COMPLETED
        case AttemptEnd.NOT_SENT:
            return status.NOT_RUN
        case AttemptEnd.BROKEN:
            return status.ENDPOINT_LOST
        case AttemptEnd.EXPIRED if result.first_byte is None:
            return status.FAILED
        case AttemptEnd.INCOMPLETE | AttemptEnd.CROSSED | AttemptEnd.STALLED:
            return status.FAILED
    return status.CANCELLED
