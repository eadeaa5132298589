"""Hedged requests: a second attempt of a call whose first one is slow."""

import concurrent.futures

from rhubarbreach import clock
from rhubarbreach import codes
from rhubarbreach.dispatch import attempt as attempt_module
from rhubarbreach.dispatch import decide
from rhubarbreach.scheduling import work as work_module

__all__ = ['run_attempt']

FIRST_COMPLETED = concurrent.futures.FIRST_COMPLETED


def run_attempt(executor, run, placement):
    """Run an attempt, and hedge it on another endpoint if it is slow.

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
    hedge_after = executor.policy.hedge_after
    if hedge_after is None or not run.call.idempotent or run.call.stream:
        return placement, executor.attempt(run, placement)
    first = executor.start(run, placement)
    remaining_seconds = clock.remaining(run.call.deadline, clock.monotonic())
    concurrent.futures.wait((first,), min(hedge_after, remaining_seconds))
    second_placement = None
    if not first.done() and executor.budget.take(clock.monotonic()):
        second_placement = place_hedge(executor, run, placement, first)
    if second_placement is None:
        result = executor.await_result(run, placement, first)
        executor.end_attempt(run, placement, result)
        return placement, result
    run.ran = codes.Ran.UNKNOWN
    executor.metrics.count('dispatch_call_hedged_total')
    second = executor.start(run, second_placement)
    return await_first_success(
        executor, run, ((placement, first), (second_placement, second))
    )


def place_hedge(executor, run, placement, first):
    """Return a second placement, or None if there is none in time.

    The work is withdrawn when the first attempt ends, the call is cancelled
    or its deadline passes before the work is placed.
    """
    excluded = frozenset((placement.endpoint.endpoint_id,))
    work, future = executor.submit_work(run, excluded)
    remaining_seconds = clock.remaining(run.call.deadline, clock.monotonic())
    concurrent.futures.wait(
        (future, first, run.cancelled), remaining_seconds, FIRST_COMPLETED
    )
    if future.done() and isinstance(future.result(), work_module.Placement):
        return future.result()
    executor.withdraw_work(work, future)
    return None


def await_first_success(executor, run, attempts):
    """Wait for the first usable response and cancel the other attempt.

    Without a usable response, the result of the first attempt is returned.
    """
    remaining_seconds = clock.remaining(run.call.deadline, clock.monotonic())
    futures = {future: placement for placement, future in attempts}
    done, _ = concurrent.futures.wait(
        futures, remaining_seconds, FIRST_COMPLETED
    )
    usable = [future for future in done if is_usable(future.result())]
    if not usable and len(done) < len(futures):
        done, _ = concurrent.futures.wait(futures, remaining_seconds)
        usable = [future for future in done if is_usable(future.result())]
    winner = usable[0] if usable else attempts[0][1]
    for future, placement in futures.items():
        if future is not winner:
            cancel_attempt(executor, run, placement, future)
    placement = futures[winner]
    result = executor.await_result(run, placement, winner)
    executor.end_attempt(run, placement, result)
    return placement, result


def is_usable(result):
    """Return whether an attempt has a response for the caller."""
    answered = result.end is attempt_module.AttemptEnd.ANSWERED
    return answered and decide.is_successful(result)


def cancel_attempt(executor, run, placement, future):
    """Cancel an attempt; its placement is released when it has ended."""
    executor.loop.cancel(placement.work.work_id)
    future.add_done_callback(
        lambda done_future: executor.end_attempt(
            run, placement, done_future.result()
        )
    )
