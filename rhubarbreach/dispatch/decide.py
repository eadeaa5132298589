"""Decisions after an attempt: finish, run again, resume."""

import dataclasses

from rhubarbreach import codes
from rhubarbreach.dispatch import attempt
from rhubarbreach.dispatch import errors
from rhubarbreach.scheduling import work

__all__ = [
    'Again',
    'Finish',
    'Progress',
    'decide_next',
    'is_whole',
    'judge_outcome',
]

AttemptEnd = attempt.AttemptEnd
MAX_ATTEMPTS = 6
MAX_RESUMES = 4
SERVER_ERROR = 500
RETRY_AFTER_SECONDS = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class Progress:
    """What is known about a call when an attempt has ended.

    Parameters
    ----------
    idempotent : bool
        Whether the call may be repeated.
    attempts, resumes : int
        Attempts and resumes so far, without preempted ones.
    tokens : int
        Tokens delivered.
    begun : bool
        Whether the caller got bytes of the stream.
    cancelled, preempted : bool
        Why this host cancelled the attempt.
    engine : bool
        Whether the endpoint is an engine.
    ran : codes.Ran
        Whether an earlier attempt ran.
    deadline : float
        Monotonic deadline.
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
    """The call is over; without a refusal the answer is passed on."""

    reason: str
    refusal: codes.Refusal | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Again:
    """The call is placed again.

    Parameters
    ----------
    reason : str
        For the timeline.
    exclude : bool
        Whether the endpoint is left out from now on.
    """

    reason: str
    exclude: bool


def decide_next(progress, result, budget, now):
    """Return what to do after an attempt.

    Parameters
    ----------
    progress : Progress
        State of the call.
    result : attempt.AttemptResult
        How the attempt ended.
    budget : budget.RetryBudget
        Asked before a retry that an endpoint may have run already.
    now : float
        Monotonic seconds.

    Returns
    -------
    Finish or Again
        Next step.
    """
    answered = result.end is AttemptEnd.ANSWERED
    if progress.cancelled and not (answered and is_whole(result)):
        return finish(progress, result, 'CANCELLED', 'the call was cancelled')
    match result.end:
        case AttemptEnd.ANSWERED:
            return decide_answered(progress, result, budget, now)
        case AttemptEnd.NOT_SENT:
            return place_elsewhere(progress, result, 'connection failed', now)
        case AttemptEnd.CANCELLED if progress.preempted:
            return decide_preempted(progress, result, now)
        case AttemptEnd.CANCELLED:
            return finish(progress, result, 'CANCELLED', 'cancelled')
        case AttemptEnd.CALLER_GONE | AttemptEnd.CALLER_SLOW:
            return finish(progress, result, 'CANCELLED', 'the caller is gone')
        case AttemptEnd.EXPIRED:
            return finish_expired(progress, result)
    return decide_failed(progress, result, budget, now)


def finish(progress, result, name, reason):
    """Return the end of a call with a truthful statement on its run."""
    ran = judge_ran(progress, result)
    return Finish(reason, errors.make_refusal(name, reason, ran))


def judge_ran(progress, result):
    """Return whether the call ran, given its attempts."""
    if progress.tokens:
        return codes.Ran.YES
    if result.sent and not result.not_run:
        return codes.Ran.UNKNOWN
    return progress.ran


def finish_expired(progress, result):
    """Return the end of a call at its deadline."""
    reason = 'no complete answer before the deadline'
    return finish(progress, result, 'DEADLINE_EXCEEDED', reason)


def is_whole(result):
    """Return whether an answer is what the caller asked for."""
    return result.status < SERVER_ERROR and not result.not_run


def decide_answered(progress, result, budget, now):
    """Return what to do with a whole answer."""
    if result.not_run:
        return place_elsewhere(progress, result, 'endpoint did not run', now)
    if is_whole(result):
        return Finish('answered')
    if progress.idempotent and may_retry(progress, budget, now):
        return Again(f'endpoint answered {result.status}', exclude=True)
    if progress.engine:
        reason = f'the endpoint answered with status {result.status}'
        return finish(progress, result, 'ENDPOINT_FAILED', reason)
    return Finish('answered with an error')


def place_elsewhere(progress, result, reason, now):
    """Return what to do when the endpoint certainly did not run the call."""
    if now >= progress.deadline:
        return finish_expired(progress, result)
    if progress.attempts < MAX_ATTEMPTS:
        return Again(reason, exclude=True)
    refusal = errors.make_refusal(
        'NO_ENDPOINT',
        'no endpoint took the request',
        judge_ran(progress, result),
        RETRY_AFTER_SECONDS,
    )
    return Finish(reason, refusal)


def decide_preempted(progress, result, now):
    """Return what to do when online work took the slot back."""
    if not progress.idempotent and result.sent:
        return finish(progress, result, 'OUTCOME_UNKNOWN', 'preempted')
    if now >= progress.deadline:
        return finish_expired(progress, result)
    return Again('preempted', exclude=False)


def decide_failed(progress, result, budget, now):
    """Return what to do when an endpoint may have run the call in part."""
    if now >= progress.deadline:
        return finish_expired(progress, result)
    reason = f'{result.end}: {result.detail}'
    if not progress.idempotent:
        text = 'the endpoint failed while it ran the request'
        return finish(progress, result, 'OUTCOME_UNKNOWN', text)
    if progress.tokens:
        if progress.resumes < MAX_RESUMES:
            return Again(f'resume after {reason}', exclude=True)
    elif may_retry(progress, budget, now):
        return Again(f'retry after {reason}', exclude=True)
    if progress.begun:
        text = 'the stream broke and could not be resumed'
        return finish(progress, result, 'STREAM_BROKEN', text)
    text = 'the endpoint failed while it ran the request'
    return finish(progress, result, 'ENDPOINT_FAILED', text)


def may_retry(progress, budget, now):
    """Return whether a retry is within deadline, number and budget."""
    return (
        now < progress.deadline
        and progress.attempts < MAX_ATTEMPTS
        and budget.take(now)
    )


def judge_outcome(result):
    """Return how an attempt counts for its endpoint.

    Parameters
    ----------
    result : attempt.AttemptResult
        How the attempt ended.

    Returns
    -------
    work.OutcomeStatus
        For `Scheduler.release`.
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
