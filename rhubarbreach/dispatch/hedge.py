"""Concurrent attempts of a call whose endpoint is silent or slow."""

import concurrent.futures

from rhubarbreach import clock
from rhubarbreach import codes
from rhubarbreach.dispatch import attempt as attempt_module
from rhubarbreach.dispatch import decide
from rhubarbreach.dispatch import events
from rhubarbreach.scheduling import work as work_module

__all__ = ['run_attempt']

AttemptEnd = attempt_module.AttemptEnd
# Seconds between two searches for an endpoint besides a silent one.
SEARCH_INTERVAL_SECONDS = 1.0


def run_attempt(executor, run, placement):
    """Run an attempt, and others besides while its endpoint is silent.

    Parameters
    ----------
    executor : executor.Executor
        Starts and ends attempts.
    run : run.Run
        The call and its state.
    placement : work.Placement
        Placement of the first attempt.

    Returns
    -------
    (work.Placement, attempt.AttemptResult)
        Placement and result of the attempt that is used.
    """
    if not run.call.idempotent:
        return placement, executor.attempt(run, placement)
    race = Race(executor, run, placement)
    try:
        return race.await_end()
    except BaseException:
        race.cancel_all()
        raise


class Race:
    """Attempts of one call that run at the same time.

    An attempt at a silent endpoint goes on until another one has a response
    or continues its stream.

    Parameters
    ----------
    executor : executor.Executor
        Starts and ends attempts.
    run : run.Run
        The call and its state.
    placement : work.Placement
        Placement of the first attempt.
    """

    def __init__(self, executor, run, placement):
        self.executor = executor
        self.run = run
        self.deadline = run.call.deadline
        self.contest = events.Contest()
        # Attempts that have taken one of the resumes of the stream.
        self.resume_ids = set()
        self.running = [executor.start(run, placement, run.relay)]
        self.search_at = clock.monotonic()
        hedge_after = executor.policy.hedge_after
        self.hedge_at = None
        if hedge_after is not None and not run.call.stream:
            self.hedge_at = self.search_at + hedge_after

    def await_end(self):
        """Return placement and result of the attempt that is used."""
        while True:
            self.wait(self.choose_wait_end())
            ended = [one for one in self.running if one.future.done()]
            self.apply_decision()
            for one in ended:
                if one in self.running:
                    result = self.remove(one, one.future.result())
                    if result is not None:
                        return one.placement, result
            now = clock.monotonic()
            if now < self.deadline:
                self.search(now)
            elif not ended:
                last = self.running[-1]
                result = self.executor.await_result(self.run, last)
                result = self.remove(last, result)
                if result is not None:
                    return last.placement, result

    def choose_wait_end(self):
        """Return the time until which to wait for a change."""
        if self.running[-1].is_silent and has_attempts(self.run):
            return min(self.deadline, self.search_at)
        if self.hedge_at is not None:
            return min(self.deadline, self.hedge_at)
        return self.deadline

    def wait(self, until, *futures):
        """Wait for a change of an attempt or one of several futures."""
        silence = self.running[-1].attempt.silence.began
        concurrent.futures.wait(
            (
                *(one.future for one in self.running),
                silence.result() if silence.done() else silence,
                self.contest.decided,
                *futures,
            ),
            clock.remaining(until, clock.monotonic()),
            concurrent.futures.FIRST_COMPLETED,
        )

    def apply_decision(self):
        """Cancel all attempts but the one that continues the stream.

        They return their resumes. An endpoint that is silent again and again
        would otherwise use them all up, and none would be left once it fails.
        """
        if not self.contest.decided.done():
            return
        relay = self.contest.decided.result()
        self.contest = events.Contest()
        for one in tuple(self.running):
            if one.attempt.relay is relay:
                self.run.software_version = (
                    one.placement.endpoint.software_version
                )
            else:
                self.run.resumes -= one.attempt.attempt_id in self.resume_ids
                self.cancel(one)
        self.run.relay = relay

    def remove(self, one, result):
        """Remove an attempt that has ended; return its result if it is used.

        The result is used if there is a response, or if no other attempt
        runs.
        """
        run = self.run
        self.running.remove(one)
        self.executor.end_attempt(run, one, result)
        if not self.running or is_usable(run, result):
            for other in tuple(self.running):
                self.cancel(other)
            run.relay = one.attempt.relay
            return result
        run.excluded |= {one.placement.endpoint.endpoint_id}
        if decide.is_refused(result):
            run.attempts -= 1
            run.resumes -= one.attempt.attempt_id in self.resume_ids
        if run.preempted and result.end is AttemptEnd.CANCELLED:
            run.preempted = False
            run.attempts -= 1
        return None

    def cancel(self, one):
        """Cancel an attempt; its placement is released when it has ended."""
        self.running.remove(one)
        end = AttemptEnd.STALLED if one.is_silent else AttemptEnd.CANCELLED
        self.executor.loop.cancel(one.attempt.attempt_id, end)
        one.future.add_done_callback(
            lambda future: self.executor.end_attempt(
                self.run, one, future.result()
            )
        )

    def cancel_all(self):
        """Cancel all attempts after an error."""
        for one in tuple(self.running):
            self.cancel(one)

    def search(self, now):
        """Start another attempt if the last one is silent or slow."""
        run = self.run
        is_slow = self.hedge_at is not None and now >= self.hedge_at
        is_silent = self.running[-1].is_silent and now >= self.search_at
        if is_slow:
            self.hedge_at = None
        if not (is_slow or is_silent) or not has_attempts(run):
            return
        self.search_at = now + SEARCH_INTERVAL_SECONDS
        last = self.running[-1]
        if run.begun and run.software_version is None:
            run.software_version = last.placement.endpoint.software_version
        in_use = frozenset(
            one.placement.endpoint.endpoint_id for one in self.running
        )
        work, future = self.executor.submit_work(run, in_use)
        is_started = False
        try:
            is_started = self.start_besides(now, is_slow, work, future)
        finally:
            if not is_started:
                self.executor.withdraw_work(work, future)

    def start_besides(self, now, is_slow, work, future):
        """Start another attempt once it is placed; return whether it was."""
        run = self.run
        last = self.running[-1]
        self.wait(self.deadline, future, run.cancelled)
        is_needed = (is_slow or last.is_silent) and not run.cancelled.done()
        relay = run.relay
        if (
            not is_needed
            or any(one.future.done() for one in self.running)
            or not is_placed_elsewhere(future, work.in_use)
            or (relay is not None and (relay := self.fork_relay()) is None)
            or not (run.tokens or self.executor.budget.take(now))
        ):
            return False
        run.ran = codes.Ran.UNKNOWN
        if run.tokens:
            run.resumes += 1
            self.resume_ids.add(work.work_id)
        self.executor.metrics.count('dispatch_call_hedged_total')
        self.running.append(self.executor.start(run, future.result(), relay))
        return True

    def fork_relay(self):
        """Return a relay for another attempt, None if one has gone on."""
        done = concurrent.futures.Future()
        self.executor.loop.call_soon(
            self.contest.fork, self.running[-1].attempt.relay, done
        )
        concurrent.futures.wait(
            (done,), clock.remaining(self.deadline, clock.monotonic())
        )
        return done.result() if done.done() else None


def has_attempts(run):
    """Return whether a call may have another attempt."""
    if run.tokens:
        return run.resumes < decide.MAX_RESUMES
    return run.attempts < decide.MAX_ATTEMPTS


def is_placed_elsewhere(future, endpoint_ids):
    """Return whether work was placed on an endpoint outside of a set."""
    if not future.done():
        return False
    placement = future.result()
    return (
        isinstance(placement, work_module.Placement)
        and placement.endpoint.endpoint_id not in endpoint_ids
    )


def is_usable(run, result):
    """Return whether an attempt has a response for the caller."""
    return (
        result.end is AttemptEnd.ANSWERED
        and decide.is_successful(result)
        and (result.relayed or not run.begun)
    )
