"""Tests of the decisions after an attempt."""

import itertools

import pytest

from rhubarbreach import codes
from rhubarbreach.dispatch import attempt
from rhubarbreach.dispatch import budget
from rhubarbreach.dispatch import decide

ENDS = tuple(attempt.AttemptEnd)


@pytest.mark.parametrize('end', ENDS)
def test_refusal_and_retry_match_sent_bytes(end):
    """Guards against a retry or a "not run" after bytes were sent."""
    flags = (True, False)
    for sent, cancelled, preempted, status in itertools.product(
        flags, flags, flags, (0, 200, 500)
    ):
        if not sent and end is attempt.AttemptEnd.ANSWERED:
            continue
        if sent and end is attempt.AttemptEnd.NOT_SENT:
            continue
        progress = decide.Progress(
            idempotent=False,
            attempts=1,
            resumes=0,
            tokens=0,
            begun=False,
            cancelled=cancelled,
            preempted=preempted,
            engine=True,
            ran=codes.Ran.NO,
            deadline=10.0,
        )
        result = attempt.AttemptResult(end, status, sent=sent)
        for now in (1.0, 11.0):
            retry_budget = budget.RetryBudget(now)
            decision = decide.decide_next(progress, result, retry_budget, now)
            match decision:
                case decide.Retry():
                    assert not sent
                case decide.Finish(refusal=codes.Refusal(ran=ran)):
                    assert sent == (ran is codes.Ran.UNKNOWN)
                case decide.Finish():
                    assert end is attempt.AttemptEnd.ANSWERED


def test_budget_bounds_retries():
    """Guards against retries that exceed a tenth of the requests."""
    retry_budget = budget.RetryBudget(0.0)
    taken = 0
    for number in range(10000):
        retry_budget.add_request()
        taken += retry_budget.take(number / 1000)
    assert 900 <= taken <= 10000 * 0.1 + budget.INITIAL_BALANCE + 10
    assert retry_budget.take(1000.0)
