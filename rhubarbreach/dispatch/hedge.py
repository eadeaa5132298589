"""A second attempt of a slow call beside the first one."""

import concurrent.futures

from rhubarbreach import clock
from rhubarbreach import codes
from rhubarbreach.dispatch import attempt as attempt_module
from rhubarbreach.dispatch import decide
from rhubarbreach.scheduling import work as work_module

__all__ = ['run_attempt']

FIRST_COMPLETED = concurrent.futures.FIRST_COMPLETED


def run_attempt(executor, run, placement):
    """Run an attempt, and a second one elsewhere when the first is slow.

    Parameters
    ----------
    executor : executor.Executor
        Starts and ends attempts.
    run : run.Run
        The call and its state.
    placement : work.Placement
        Where the first attempt runs.

    Returns
    -------
    (work.Placement, attempt.AttemptResult)
        The attempt that counts.
    """
    after = executor.policy.hedge_after
    if after is None or not run.call.idempotent or run.call.stream:
        return placement, executor.attempt(run, placement)
    first = executor.start(run, placement)
    left = clock.remaining(run.call.deadline, clock.monotonic())
    concurrent.futures.wait((first,), min(after, left))
    second_placement = None
    if not first.done() and executor.budget.take(clock.monotonic()):
        second_placement = place_second(executor, run, placement, first)
    if second_placement is None:
        result = executor.await_result(run, placement, first)
        executor.end_attempt(run, placement, result)
        return placement, result
    run.ran = codes.Ran.UNKNOWN
    executor.metrics.count('dispatch_call_hedged_total')
    second = executor.start(run, second_placement)
    return choose_first(
        executor, run, ((placement, first), (second_placement, second))
    )


def place_second(executor, run, placement, first):
    """Return a second placement unless the first attempt ends before."""
    excluded = frozenset((placement.endpoint.endpoint_id,))
    work, future = executor.submit_work(run, excluded)
    left = clock.remaining(run.call.deadline, clock.monotonic())
    concurrent.futures.wait(
        (future, first, run.cancelled), left, FIRST_COMPLETED
    )
    if future.done() and isinstance(future.result(), work_module.Placement):
        return future.result()
    executor.withdraw_work(work, future)
    return None


def choose_first(executor, run, attempts):
    """Return the first good answer and cancel the other attempt."""
    left = clock.remaining(run.call.deadline, clock.monotonic())
    futures = {future: placement for placement, future in attempts}
    done, _ = concurrent.futures.wait(futures, left, FIRST_COMPLETED)
    good = [future for future in done if is_good(future.result())]
    if not good and len(done) < len(futures):
        done, _ = concurrent.futures.wait(futures, left)
        good = [future for future in done if is_good(future.result())]
    winner = good[0] if good else attempts[0][1]
    for future, placement in futures.items():
        if future is not winner:
            drop(executor, run, placement, future)
    placement = futures[winner]
    result = executor.await_result(run, placement, winner)
    executor.end_attempt(run, placement, result)
    return placement, result


def is_good(result):
    """Return whether an attempt has the answer that the caller wants."""
    answered = result.end is attempt_module.AttemptEnd.ANSWERED
    return answered and decide.is_whole(result)


def drop(executor, run, placement, future):
    """Cancel an attempt and release its placement when it has ended."""
    executor.loop.cancel(placement.work.work_id)
    future.add_done_callback(
        lambda ended: executor.end_attempt(run, placement, ended.result())
    )
