"""Running of calls: placement, attempts, retries, resume, cancellation."""

import concurrent.futures
import dataclasses
import os
import threading

import logbook

from rhubarbreach import clock
from rhubarbreach import codes
from rhubarbreach.dispatch import attempt as attempt_module
from rhubarbreach.dispatch import budget
from rhubarbreach.dispatch import call as call_module
from rhubarbreach.dispatch import decide
from rhubarbreach.dispatch import errors
from rhubarbreach.dispatch import events
from rhubarbreach.dispatch import prompt
from rhubarbreach.scheduling import work as work_module

__all__ = ['Executor', 'Policy']

LOG = logbook.Logger('dispatch')
AttemptEnd = attempt_module.AttemptEnd
MAX_SUBMITTED_THREADS = 1024
ATTEMPT_ID_BYTES = 8
MILLISECONDS = 1000

# Time beyond its deadline after which an attempt that was not settled by
# the event loop counts as a fault of this process.
LOOP_GRACE_SECONDS = 5.0


@dataclasses.dataclass(frozen=True, slots=True)
class Policy:
    """Bounds of the executor.

    Parameters
    ----------
    first_byte_fraction : float
        Part of the remaining time within which an idempotent call needs
        its first byte, so that time is left for a retry.
    hedge_after : float or None
        Seconds after which an idempotent call without a stream is also
        sent to a second endpoint; None for never.
    """

    first_byte_fraction: float = 0.5
    hedge_after: float | None = None


class Run:
    """State of one call while it runs."""

    def __init__(self, call, sink, now):
        self.call = call
        self.started_at = now
        self.relay = events.EventRelay(sink) if call.stream else None
        self.digest = prompt.digest_call(call.path, call.body)
        self.prefix = prompt.list_prefixes(call.body) if call.body else ()
        self.excluded = frozenset()
        self.attempts = 0
        self.resumes = 0
        self.ran = codes.Ran.NO
        self.cancelled = concurrent.futures.Future()
        self.preempted = False
        self.attempt_ids = set()

    @property
    def tokens(self):
        """Tokens delivered so far."""
        return self.relay.next_index if self.relay else 0

    @property
    def begun(self):
        """Whether bytes of a stream were delivered."""
        return bool(self.relay and self.relay.delivered)


class Executor:
    """Runs calls on endpoints that a scheduler chooses.

    Parameters
    ----------
    scheduler : placement.scheduler.Scheduler
        Gives placements.
    loop : loop.Loop
        Moves the bytes.
    recorder : observe.timeline.Recorder
        Takes each decision with its reason.
    metrics : observe.metrics.Metrics
        Counters and latencies.
    policy : Policy
        Bounds.
    """

    def __init__(self, scheduler, loop, recorder, metrics, policy=None):
        self.scheduler = scheduler
        self.loop = loop
        self.recorder = recorder
        self.metrics = metrics
        self.policy = policy or Policy()
        self.budget = budget.RetryBudget(clock.monotonic())
        self.lock = threading.Lock()
        self.runs = {}
        self.placed = {}
        self.pool = concurrent.futures.ThreadPoolExecutor(
            MAX_SUBMITTED_THREADS, thread_name_prefix='dispatch-call'
        )
        scheduler.set_preempt(self.preempt)

    def execute(self, call, sink=None):
        """Run a call and wait for its end.

        Parameters
        ----------
        call : call.Call
            What to run.
        sink : object or None
            Takes the bytes of a stream on the event loop thread.

        Returns
        -------
        call.CallResult or codes.Refusal
            Whole answer, or why there is none. A stream that had begun
            ends with an error event and a result with its refusal.
        """
        run = Run(call, sink, clock.monotonic())
        with self.lock:
            self.runs.setdefault(call.request_id, set()).add(run)
        self.budget.add_request()
        try:
            return self.drive(run)
        finally:
            self.forget(run)

    def submit(self, call, sink=None):
        """Run a call on a thread of the executor; return a future."""
        return self.pool.submit(self.execute, call, sink)

    def cancel(self, request_id):
        """Cancel a call; return whether it was running."""
        with self.lock:
            runs = tuple(self.runs.get(request_id, ()))
        for run in runs:
            self.cancel_run(run)
        return bool(runs)

    def cancel_job(self, job_id):
        """Cancel all calls of a job; return their number."""
        with self.lock:
            found = [
                run
                for runs in self.runs.values()
                for run in runs
                if run.call.job_id == job_id
            ]
        for run in found:
            self.cancel_run(run)
        return len(found)

    def close(self):
        """Wait for submitted calls and end their threads."""
        self.pool.shutdown()

    def cancel_run(self, run):
        """Cancel one run wherever it is."""
        with self.lock:
            if run.cancelled.done():
                return
            run.cancelled.set_result(True)
            attempt_ids = tuple(run.attempt_ids)
        for attempt_id in attempt_ids:
            self.loop.cancel(attempt_id)

    def forget(self, run):
        """Remove a run that is over."""
        with self.lock:
            runs = self.runs[run.call.request_id]
            runs.discard(run)
            if not runs:
                del self.runs[run.call.request_id]

    def preempt(self, placement):
        """Take the slot of a batch placement back."""
        work_id = placement.work.work_id
        with self.lock:
            run = self.placed.get(work_id)
            if run is None or not run.call.idempotent:
                return
            run.preempted = True
        self.loop.cancel(work_id)

    def drive(self, run):
        """Place and attempt until the call is over."""
        while True:
            placement = self.place(run)
            if isinstance(placement, codes.Refusal):
                return self.refuse(run, placement)
            result = self.attempt(run, placement)
            progress = self.describe(run, placement)
            now = clock.monotonic()
            step = decide.decide_next(progress, result, self.budget, now)
            match step:
                case decide.Finish(refusal=None):
                    return self.make_result(run, placement, result)
                case decide.Finish(refusal=refusal):
                    return self.refuse(run, refusal, result)
            self.prepare_again(run, placement, result, step)

    def describe(self, run, placement):
        """Return the state of a call for the decision."""
        return decide.Progress(
            idempotent=run.call.idempotent,
            attempts=run.attempts,
            resumes=run.resumes,
            tokens=run.tokens,
            begun=run.begun,
            cancelled=run.cancelled.done(),
            preempted=run.preempted,
            engine=placement.endpoint.kind == 'engine',
            ran=run.ran,
            deadline=run.call.deadline,
        )

    def prepare_again(self, run, placement, result, step):
        """Take over what the next attempt has to know."""
        if result.sent and not result.not_run:
            run.ran = codes.Ran.UNKNOWN
        if run.preempted:
            run.attempts -= 1
        elif run.tokens:
            run.resumes += 1
        run.preempted = False
        if step.exclude:
            run.excluded |= {placement.endpoint.endpoint_id}
        name = 'call_resumed' if run.tokens else 'call_repeated'
        self.metrics.count(f'dispatch_{name}_total')
        self.record(run, name, step.reason, placement)

    def place(self, run, excluded=frozenset()):
        """Wait for a placement.

        Returns
        -------
        work.Placement or codes.Refusal
            The refusal says truthfully whether an earlier attempt ran.
        """
        call = run.call
        work = work_module.Work(
            work_id=os.urandom(ATTEMPT_ID_BYTES).hex(),
            account_id=call.account_id,
            model_id=call.model_id,
            lane=call.lane,
            cost=call.cost,
            deadline=call.deadline,
            digest=run.digest,
            prefix=run.prefix,
            excluded=run.excluded | excluded,
            weight=call.weight,
        )
        with self.lock:
            self.placed[work.work_id] = run
        future = self.scheduler.submit(work)
        placement = self.await_placement(run, work, future)
        if isinstance(placement, codes.Refusal):
            with self.lock:
                self.placed.pop(work.work_id, None)
        return placement

    def await_placement(self, run, work, future):
        """Return what the scheduler says, unless cancelled or too late."""
        call = run.call
        concurrent.futures.wait(
            (future, run.cancelled),
            clock.remaining(call.deadline, clock.monotonic()),
            concurrent.futures.FIRST_COMPLETED,
        )
        if run.cancelled.done() or not future.done():
            self.scheduler.withdraw(work.work_id)
            future.add_done_callback(self.release_unused)
            if run.cancelled.done():
                return errors.make_refusal('CANCELLED', 'cancelled')
            return errors.make_refusal(
                'DEADLINE_EXCEEDED', 'no slot before the deadline'
            )
        return future.result()

    def release_unused(self, future):
        """Give a placement back that came too late."""
        if future.cancelled() or future.exception() is not None:
            return
        placement = future.result()
        if isinstance(placement, work_module.Placement):
            outcome = work_module.Outcome(work_module.OutcomeStatus.NOT_RUN)
            self.scheduler.release(placement, outcome)

    def attempt(self, run, placement):
        """Run one attempt and release its placement."""
        attempt = self.make_attempt(run, placement)
        run.attempts += 1
        result = attempt_module.AttemptResult(AttemptEnd.STALLED, sent=True)
        try:
            future = self.start(run, placement, attempt)
            left = clock.remaining(run.call.deadline, clock.monotonic())
            result = future.result(left + LOOP_GRACE_SECONDS)
        except concurrent.futures.TimeoutError:
            LOG.error('event=attempt_not_settled attempt={}', attempt)
            self.loop.cancel(attempt.attempt_id)
        finally:
            self.end_attempt(run, placement, attempt, result)
        return result

    def start(self, run, placement, attempt):
        """Start an attempt so that it can be cancelled and preempted."""
        attempt_id = attempt.attempt_id
        with self.lock:
            run.attempt_ids.add(attempt_id)
        self.record(run, 'attempt_started', placement.reason, placement)
        future = self.loop.start(attempt)
        if run.cancelled.done() or run.preempted:
            self.loop.cancel(attempt_id)
        return future

    def make_attempt(self, run, placement):
        """Return the attempt for a placement."""
        call = run.call
        now = clock.monotonic()
        left = clock.remaining(call.deadline, now)
        first_byte = call.deadline
        if call.idempotent:
            first_byte = now + left * self.policy.first_byte_fraction
        attempt_id = placement.work.work_id
        headers = (
            f'X-Request-Id: {call.request_id}',
            f'X-Attempt-Id: {attempt_id}',
            f'X-Deadline-Ms: {int(left * MILLISECONDS)}',
            *(f'{name}: {value}' for name, value in call.headers),
        )
        body = call.body
        if run.relay is not None:
            run.relay.begin(attempt_id)
            if run.tokens:
                body = prompt.add_resume(body, run.tokens)
        return attempt_module.Attempt(
            attempt_id=attempt_id,
            address=placement.endpoint.address,
            method=call.method,
            path=call.path,
            headers=headers,
            body=body,
            deadline=call.deadline,
            first_byte_deadline=first_byte,
            reuse=call.idempotent,
            echo=placement.endpoint.kind == 'engine',
            relay=run.relay,
        )

    def end_attempt(self, run, placement, attempt, result):
        """Release a placement and report how its attempt ended."""
        with self.lock:
            run.attempt_ids.discard(attempt.attempt_id)
            self.placed.pop(attempt.attempt_id, None)
        self.scheduler.release(placement, make_outcome(run, result))
        reason = f'{result.end} {result.status} {result.detail}'.strip()
        self.record(run, 'attempt_ended', reason, placement)

    def make_result(self, run, placement, result):
        """Return the result of a call that was answered."""
        self.count_dropped(run)
        relay = run.relay
        body = result.body
        first_token = None
        if relay is not None and relay.done:
            body = b''.join(relay.delivered)
            first_token = relay.first_token_at
        if first_token is not None:
            first_token -= run.started_at
            self.metrics.observe(
                'call_first_token_seconds', first_token, lane=run.call.lane
            )
        return call_module.CallResult(
            status=result.status,
            content_type=result.content_type,
            body=body,
            endpoint_id=placement.endpoint.endpoint_id,
            attempts=run.attempts,
            tokens=run.tokens,
            first_token=first_token,
        )

    def refuse(self, run, refusal, result=None):
        """Return a refusal, or end a stream that had begun with an event."""
        self.count_dropped(run)
        if run.ran is not codes.Ran.NO and refusal.ran is codes.Ran.NO:
            refusal = dataclasses.replace(refusal, ran=run.ran)
        name = refusal.code.name
        self.metrics.count('dispatch_calls_refused_total', code=name)
        self.record(run, 'call_refused', f'{name}: {refusal.reason}')
        if not run.begun:
            return refusal
        refusal = dataclasses.replace(refusal, ran=codes.Ran.YES)
        error = errors.make_error(refusal, run.call.request_id)
        done = concurrent.futures.Future()
        self.loop.call_soon(write_error, run.relay, error, done)
        done.result(LOOP_GRACE_SECONDS)
        return call_module.CallResult(
            status=200,
            content_type='text/event-stream',
            body=b''.join(run.relay.delivered),
            endpoint_id='',
            attempts=run.attempts,
            tokens=run.tokens,
            refusal=refusal,
        )

    def count_dropped(self, run):
        """Count the events that were dropped."""
        relay = run.relay
        if relay is None:
            return
        if relay.dropped_crossed:
            self.metrics.count(
                'dispatch_events_crossed_total', relay.dropped_crossed
            )
        if relay.dropped_duplicate:
            self.metrics.count(
                'dispatch_events_duplicate_total', relay.dropped_duplicate
            )

    def record(self, run, name, reason, placement=None):
        """Record one decision on the timeline."""
        call = run.call
        self.recorder.record(
            name,
            reason,
            request_id=call.request_id,
            job_id=call.job_id,
            item=call.item,
            account_id=call.account_id,
            endpoint_id=placement.endpoint.endpoint_id if placement else '',
            detail=f'attempt={placement.work.work_id}' if placement else '',
        )


def write_error(relay, error, done):
    """Deliver an error event; runs on the event loop thread."""
    relay.deliver(events.make_error_event(error))
    done.set_result(None)


def make_outcome(run, result):
    """Return the outcome of an attempt for the scheduler."""
    relay = run.relay
    tokens = 0
    first_token = result.first_byte
    inter_token = None
    if relay is not None:
        tokens = relay.next_index - relay.attempt_index
        if tokens > 1:
            spent = relay.last_token_at - relay.attempt_first_at
            inter_token = spent / (tokens - 1)
    return work_module.Outcome(
        status=decide.judge_outcome(result),
        tokens=tokens,
        first_token=first_token,
        inter_token=inter_token,
    )
