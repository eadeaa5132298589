"""State of a running call and the objects derived from it."""

import concurrent.futures
import dataclasses

from rhubarbreach import clock
from rhubarbreach import codes
from rhubarbreach.dispatch import attempt as attempt_module
from rhubarbreach.dispatch import decide
from rhubarbreach.dispatch import events
from rhubarbreach.dispatch import prompt
from rhubarbreach.scheduling import work as work_module

__all__ = [
    'Policy',
    'Run',
    'count_dropped_events',
    'make_attempt',
    'make_outcome',
    'make_progress',
    'make_work',
]

ENGINE = 'engine'
MILLISECONDS_PER_SECOND = 1000


@dataclasses.dataclass(frozen=True, slots=True)
class Policy:
    """Time limits of attempts.

    Parameters
    ----------
    first_byte_fraction : float
        Fraction of the remaining time after which an endpoint without a first
        byte counts as silent, so that time is left for another endpoint.
    hedge_after : float or None
        Seconds after which an idempotent call without a stream is hedged
        on a second endpoint; None disables hedging.
    """

    first_byte_fraction: float = 0.5
    hedge_after: float | None = None


class Run:
    """State of a running call."""

    def __init__(self, call, sink, now):
        self.call = call
        self.started_at = now
        self.relay = events.EventRelay(sink) if call.stream else None
        self.digest = prompt.digest_call(call.path, call.body)
        self.prefix = prompt.list_prefixes(call.body) if call.body else ()
        self.excluded = frozenset()
        # Version of the endpoint that began the stream.
        self.software_version = None
        self.attempts = 0
        self.resumes = 0
        self.ran = codes.Ran.NO
        self.cancelled = concurrent.futures.Future()
        self.preempted = False
        self.attempt_ids = set()

    @property
    def tokens(self):
        """Number of tokens delivered so far."""
        return self.relay.next_index if self.relay else 0

    @property
    def begun(self):
        """Whether bytes of the stream were delivered."""
        return bool(self.relay and self.relay.delivered)


def make_attempt(run, placement, policy, now, relay):
    """Return the attempt for a placement.

    Parameters
    ----------
    run : Run
        The call and its state.
    placement : work.Placement
        Endpoint of the attempt; the id of its work is the attempt id.
    policy : Policy
        Time limits.
    now : float
        Monotonic seconds.
    relay : events.EventRelay or None
        Processes the events of a stream.
    """
    call = run.call
    remaining_seconds = clock.remaining(call.deadline, now)
    silent_at = call.deadline
    if call.idempotent:
        silent_at = now + remaining_seconds * policy.first_byte_fraction
    attempt_id = placement.work.work_id
    headers = (
        f'X-Request-Id: {call.request_id}',
        f'X-Attempt-Id: {attempt_id}',
        f'X-Deadline-Ms: {int(remaining_seconds * MILLISECONDS_PER_SECOND)}',
        *(f'{name}: {value}' for name, value in call.headers),
    )
    body = call.body
    if relay is not None:
        relay.begin(attempt_id)
        if relay.next_index:
            body = prompt.add_resume(body, relay.next_index)
    return attempt_module.Attempt(
        attempt_id=attempt_id,
        address=placement.endpoint.address,
        method=call.method,
        path=call.path,
        headers=headers,
        body=body,
        deadline=call.deadline,
        silent_at=silent_at,
        reuse=call.idempotent,
        echo=placement.endpoint.kind == ENGINE,
        relay=relay,
    )


def make_progress(run, placement):
    """Return the state of a call for the decision after an attempt."""
    return decide.Progress(
        idempotent=run.call.idempotent,
        attempts=run.attempts,
        resumes=run.resumes,
        tokens=run.tokens,
        begun=run.begun,
        cancelled=run.cancelled.done(),
        preempted=run.preempted,
        engine=placement.endpoint.kind == ENGINE,
        ran=run.ran,
        deadline=run.call.deadline,
    )


def count_dropped_events(run, metrics):
    """Add the dropped events of a call to the metrics.

    Parameters
    ----------
    run : Run
        Call that has ended.
    metrics : observe.metrics.Metrics
        Counters.
    """
    relay = run.relay
    if relay is None:
        return
    if relay.dropped_mismatched:
        metrics.count(
            'dispatch_events_crossed_total', relay.dropped_mismatched
        )
    if relay.dropped_duplicate:
        metrics.count(
            'dispatch_events_duplicate_total', relay.dropped_duplicate
        )


def make_work(run, work_id, in_use=frozenset()):
    """Return the work for the next attempt of a call.

    Parameters
    ----------
    run : Run
        The call and its state.
    work_id : str
        New id, which is also the attempt id.
    in_use : frozenset of str
        Endpoints on which the call still runs.
    """
    call = run.call
    return work_module.Work(
        work_id=work_id,
        account_id=call.account_id,
        model_id=call.model_id,
        lane=call.lane,
        cost=call.cost,
        deadline=call.deadline,
        digest=run.digest,
        prefix=run.prefix,
        excluded=run.excluded | in_use,
        weight=call.weight,
        software_version=run.software_version,
        in_use=in_use,
    )


def make_outcome(attempt, result):
    """Return the outcome of an attempt for the scheduler."""
    relay = attempt.relay
    tokens = 0
    first_token = result.first_byte
    inter_token = None
    if relay is not None:
        tokens = relay.next_index - relay.attempt_index
        if tokens > 1:
            elapsed = relay.last_token_at - relay.attempt_first_token_at
            inter_token = elapsed / (tokens - 1)
    return work_module.Outcome(
        status=decide.classify_outcome(result),
        tokens=tokens,
        first_token=first_token,
        inter_token=inter_token,
    )
