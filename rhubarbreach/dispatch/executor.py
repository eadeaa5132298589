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
from rhubarbreach.dispatch import hedge
from rhubarbreach.dispatch import run as run_module
from rhubarbreach.scheduling import work as work_module

__all__ = ['Executor']

LOG = logbook.Logger('dispatch')
AttemptEnd = attempt_module.AttemptEnd
MAX_SUBMITTED_THREADS = 1024
ATTEMPT_ID_BYTES = 8

# Time beyond its deadline after which an attempt that was not settled by
# the event loop counts as a fault of this process.
LOOP_GRACE_SECONDS = 5.0


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
    policy : run.Policy
        Bounds.
    """

    def __init__(self, scheduler, loop, recorder, metrics, policy=None):
        self.scheduler = scheduler
        self.loop = loop
        self.recorder = recorder
        self.metrics = metrics
        self.policy = policy or run_module.Policy()
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
        run = run_module.Run(call, sink, clock.monotonic())
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
            placement, result = hedge.run_attempt(self, run, placement)
            progress = run_module.describe(run, placement)
            now = clock.monotonic()
            step = decide.decide_next(progress, result, self.budget, now)
            match step:
                case decide.Finish(refusal=None):
                    return self.make_result(run, placement, result)
                case decide.Finish(refusal=refusal):
                    return self.refuse(run, refusal, result)
            self.prepare_again(run, placement, result, step)

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

    def place(self, run):
        """Wait for a placement.

        Returns
        -------
        work.Placement or codes.Refusal
            The refusal says truthfully whether an earlier attempt ran.
        """
        work, future = self.submit_work(run)
        placement = self.await_placement(run, work, future)
        if isinstance(placement, codes.Refusal):
            with self.lock:
                self.placed.pop(work.work_id, None)
        return placement

    def submit_work(self, run, excluded=frozenset()):
        """Submit the work of a call; return it and the future."""
        work_id = os.urandom(ATTEMPT_ID_BYTES).hex()
        work = run_module.make_work(run, work_id, excluded)
        # Before the scheduler knows the work, since it may place and
        # preempt it at once.
        with self.lock:
            self.placed[work_id] = run
        return work, self.scheduler.submit(work)

    def withdraw_work(self, work, future):
        """Withdraw work; a placement that comes too late is released."""
        with self.lock:
            self.placed.pop(work.work_id, None)
        self.scheduler.withdraw(work.work_id)
        future.add_done_callback(self.release_unused)

    def await_placement(self, run, work, future):
        """Return what the scheduler says, unless cancelled or too late."""
        call = run.call
        if not future.done():
            concurrent.futures.wait(
                (future, run.cancelled),
                clock.remaining(call.deadline, clock.monotonic()),
                concurrent.futures.FIRST_COMPLETED,
            )
        if run.cancelled.done() or not future.done():
            self.withdraw_work(work, future)
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
        future = self.start(run, placement)
        result = self.await_result(run, placement, future)
        self.end_attempt(run, placement, result)
        return result

    def await_result(self, run, placement, future):
        """Return the result of an attempt that the loop settles."""
        left = clock.remaining(run.call.deadline, clock.monotonic())
        try:
            return future.result(left + LOOP_GRACE_SECONDS)
        except concurrent.futures.TimeoutError:
            attempt_id = placement.work.work_id
            LOG.error('event=attempt_not_settled attempt={}', attempt_id)
            self.loop.cancel(attempt_id)
            return attempt_module.AttemptResult(AttemptEnd.STALLED, sent=True)

    def start(self, run, placement):
        """Start an attempt so that it can be cancelled and preempted."""
        now = clock.monotonic()
        attempt = run_module.make_attempt(run, placement, self.policy, now)
        attempt_id = attempt.attempt_id
        run.attempts += 1
        with self.lock:
            run.attempt_ids.add(attempt_id)
        self.record(run, 'attempt_started', placement.reason, placement)
        future = self.loop.start(attempt)
        if run.cancelled.done() or run.preempted:
            self.loop.cancel(attempt_id)
        return future

    def end_attempt(self, run, placement, result):
        """Release a placement and report how its attempt ended."""
        with self.lock:
            run.attempt_ids.discard(placement.work.work_id)
            self.placed.pop(placement.work.work_id, None)
        self.scheduler.release(placement, run_module.make_outcome(run, result))
        reason = f'{result.end} {result.status} {result.detail}'.strip()
        self.record(run, 'attempt_ended', reason, placement)

    def make_result(self, run, placement, result):
        """Return the result of a call that was answered."""
        run_module.count_dropped(run, self.metrics)
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
        run_module.count_dropped(run, self.metrics)
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
