"""Execution of calls: placement, attempts, retries and cancellation."""

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
from rhubarbreach.web import sockets

__all__ = ['Executor']

LOG = logbook.Logger('dispatch')
AttemptEnd = attempt_module.AttemptEnd
MAX_SUBMITTED_THREADS = 1024
ATTEMPT_ID_BYTES = 8
# Time for an endpoint to accept a connection that checks whether it listens.
CHECK_TIMEOUT_SECONDS = 0.3

# An attempt that the event loop has not settled this long after the deadline
# of its call indicates a fault of this process.
LOOP_GRACE_SECONDS = 5.0


class Executor:
    """Executor of calls on the endpoints that a scheduler chooses.

    Parameters
    ----------
    scheduler : placement.scheduler.Scheduler
        Assigns calls to endpoints.
    loop : loop.Loop
        Sends requests and receives responses.
    recorder : observe.timeline.Recorder
        Records each decision with its reason.
    metrics : observe.metrics.Metrics
        Counters and latencies.
    policy : run.Policy
        Time limits of attempts.
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
        self.runs_by_work_id = {}
        self.pool = concurrent.futures.ThreadPoolExecutor(
            MAX_SUBMITTED_THREADS, thread_name_prefix='dispatch-call'
        )
        scheduler.set_preempt(self.preempt)

    def execute(self, call, sink=None):
        """Run a call and wait until it has ended.

        Parameters
        ----------
        call : call.Call
            Call to run.
        sink : object or None
            Receives the bytes of a stream on the event loop thread.

        Returns
        -------
        call.CallResult or codes.Refusal
            Complete response, or the reason why there is none. If a stream
            fails after its first bytes were delivered, it ends with an error
            event, and the result carries the refusal.
        """
        run = run_module.Run(call, sink, clock.monotonic())
        with self.lock:
            self.runs.setdefault(call.request_id, set()).add(run)
        self.budget.add_request()
        try:
            return self.run_call(run)
        finally:
            self.remove_run(run)

    def submit(self, call, sink=None):
        """Run a call on a thread of the executor and return its future.

        Without a thread, the future completes with a refusal.
        """
        future = concurrent.futures.Future()
        try:
            self.pool.submit(self.run_submitted, future, call, sink)
        except RuntimeError as error:
            LOG.error('event=call_not_started reason={!r}', str(error))
            # The pool may have queued the call before the error.
            if future.cancel():
                future = concurrent.futures.Future()
                future.set_result(
                    errors.make_refusal('QUEUE_FULL', 'no thread is free')
                )
        return future

    def run_submitted(self, future, call, sink):
        """Run a call and complete its future."""
        if not future.set_running_or_notify_cancel():
            return
        try:
            result = self.execute(call, sink)
        except BaseException as error:
            future.set_exception(error)
        else:
            future.set_result(result)

    def cancel(self, request_id):
        """Cancel a call and return whether it was running."""
        with self.lock:
            runs = tuple(self.runs.get(request_id, ()))
        for run in runs:
            self.cancel_run(run)
        return bool(runs)

    def cancel_job(self, job_id):
        """Cancel all calls of a job and return their number."""
        with self.lock:
            job_runs = [
                run
                for runs in self.runs.values()
                for run in runs
                if run.call.job_id == job_id
            ]
        for run in job_runs:
            self.cancel_run(run)
        return len(job_runs)

    def close(self):
        """Wait for submitted calls and stop their threads."""
        self.pool.shutdown()

    def cancel_run(self, run):
        """Cancel a run that waits for a placement or has attempts."""
        with self.lock:
            if run.cancelled.done():
                return
            run.cancelled.set_result(True)
            attempt_ids = tuple(run.attempt_ids)
        for attempt_id in attempt_ids:
            self.loop.cancel(attempt_id)

    def remove_run(self, run):
        """Remove a run that has ended."""
        with self.lock:
            runs = self.runs[run.call.request_id]
            runs.discard(run)
            if not runs:
                del self.runs[run.call.request_id]

    def preempt(self, placement):
        """Cancel the attempt of a batch placement to free its slot."""
        work_id = placement.work.work_id
        with self.lock:
            run = self.runs_by_work_id.get(work_id)
            if run is None or not run.call.idempotent:
                return
            run.preempted = True
        self.loop.cancel(work_id)

    def run_call(self, run):
        """Place and attempt a call until it has ended."""
        while True:
            placement = self.place(run)
            if isinstance(placement, codes.Refusal):
                return self.refuse(run, placement)
            placement, result = hedge.run_attempt(self, run, placement)
            if self.has_crashed(placement, result):
                result = dataclasses.replace(
                    result,
                    end=AttemptEnd.BROKEN,
                    detail='endpoint is gone after its response',
                )
            progress = run_module.make_progress(run, placement)
            now = clock.monotonic()
            decision = decide.decide_next(progress, result, self.budget, now)
            match decision:
                case decide.Finish(refusal=None):
                    return self.make_result(run, placement, result)
                case decide.Finish(refusal=refusal):
                    return self.refuse(run, refusal, result)
            self.prepare_retry(run, placement, result, decision)
            concurrent.futures.wait(
                (run.cancelled,), clock.remaining(decision.retry_at, now)
            )

    def has_crashed(self, placement, result):
        """Return whether an endpoint is gone after a response without length.

        The kernel closes the connections and the port of a process that
        crashes, so that its response looks like a whole one.
        """
        if (
            result.end is not AttemptEnd.ANSWERED
            or result.relayed
            or result.is_delimited
            or not self.scheduler.is_in_service(placement.endpoint)
        ):
            return False
        deadline = clock.monotonic() + CHECK_TIMEOUT_SECONDS
        return sockets.is_port_closed(placement.endpoint.address, deadline)

    def prepare_retry(self, run, placement, result, decision):
        """Update the state of a call for its next attempt."""
        if result.sent and not result.not_run:
            run.ran = codes.Ran.UNKNOWN
        if run.preempted:
            run.attempts -= 1
        elif run.tokens and not decide.is_refused(result):
            run.resumes += 1
        if run.begun and run.software_version is None:
            run.software_version = placement.endpoint.software_version
        run.preempted = False
        if decision.exclude:
            run.excluded |= {placement.endpoint.endpoint_id}
        name = 'call_resumed' if run.tokens else 'call_repeated'
        self.metrics.count(f'dispatch_{name}_total')
        self.record(run, name, decision.reason, placement)

    def place(self, run):
        """Wait for a placement.

        Returns
        -------
        work.Placement or codes.Refusal
            Placement, or the reason why there is none.
        """
        work, future = self.submit_work(run)
        placement = self.await_placement(run, work, future)
        if isinstance(placement, codes.Refusal):
            with self.lock:
                self.runs_by_work_id.pop(work.work_id, None)
        return placement

    def submit_work(self, run, in_use=frozenset()):
        """Submit the work of a call and return it with its future."""
        work_id = os.urandom(ATTEMPT_ID_BYTES).hex()
        work = run_module.make_work(run, work_id, in_use)
        # The run is registered first, since the scheduler may place and
        # preempt the work before `submit` returns.
        with self.lock:
            self.runs_by_work_id[work_id] = run
        return work, self.scheduler.submit(work)

    def withdraw_work(self, work, future):
        """Withdraw work and release a placement that arrives later."""
        with self.lock:
            self.runs_by_work_id.pop(work.work_id, None)
        self.scheduler.withdraw(work.work_id)
        future.add_done_callback(self.release_unused)

    def await_placement(self, run, work, future):
        """Return the placement, or a refusal on cancellation or deadline."""
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
                return errors.make_refusal(
                    'CANCELLED', 'the call was cancelled'
                )
            return errors.make_refusal(
                'DEADLINE_EXCEEDED', 'no slot was free before the deadline'
            )
        return future.result()

    def release_unused(self, future):
        """Release the placement of work that was withdrawn.

        Its endpoint has refused nothing, so it does not count as not run.
        """
        if future.cancelled() or future.exception() is not None:
            return
        placement = future.result()
        if isinstance(placement, work_module.Placement):
            outcome = work_module.Outcome(work_module.OutcomeStatus.CANCELLED)
            self.scheduler.release(placement, outcome)

    def attempt(self, run, placement):
        """Run an attempt and release its placement."""
        running = self.start(run, placement, run.relay)
        result = self.await_result(run, running)
        self.end_attempt(run, running, result)
        return result

    def await_result(self, run, running):
        """Wait for the event loop to settle an attempt; return the result."""
        remaining_seconds = clock.remaining(
            run.call.deadline, clock.monotonic()
        )
        try:
            return running.future.result(
                remaining_seconds + LOOP_GRACE_SECONDS
            )
        except concurrent.futures.TimeoutError:
            attempt_id = running.attempt.attempt_id
            LOG.error('event=attempt_not_settled attempt={}', attempt_id)
            self.loop.cancel(attempt_id)
            return attempt_module.AttemptResult(AttemptEnd.STALLED, sent=True)

    def start(self, run, placement, relay):
        """Start an attempt that can be cancelled and preempted."""
        now = clock.monotonic()
        attempt = run_module.make_attempt(
            run, placement, self.policy, now, relay
        )
        attempt_id = attempt.attempt_id
        run.attempts += 1
        with self.lock:
            run.attempt_ids.add(attempt_id)
        self.record(run, 'attempt_started', placement.reason, placement)
        future = self.loop.start(attempt)
        if run.cancelled.done() or run.preempted:
            self.loop.cancel(attempt_id)
        return attempt_module.RunningAttempt(placement, attempt, future)

    def end_attempt(self, run, running, result):
        """Release the placement of an attempt and record how it ended."""
        placement = running.placement
        with self.lock:
            run.attempt_ids.discard(placement.work.work_id)
            self.runs_by_work_id.pop(placement.work.work_id, None)
        self.scheduler.release(
            placement, run_module.make_outcome(running.attempt, result)
        )
        reason = f'{result.end} {result.status} {result.detail}'.strip()
        self.record(run, 'attempt_ended', reason, placement)

    def make_result(self, run, placement, result):
        """Return the result of a call that received a response."""
        run_module.count_dropped_events(run, self.metrics)
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
        """Return a refusal, or end a started stream with an error event.

        The refusal takes into account whether an earlier attempt ran.
        """
        run_module.count_dropped_events(run, self.metrics)
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
        """Record a decision on the timeline."""
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
    """Deliver an error event; called on the event loop thread."""
    relay.deliver(events.make_error_event(error))
    done.set_result(None)
