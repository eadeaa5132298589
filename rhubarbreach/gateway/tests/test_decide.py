"""Tests of retry decisions and of the statuses of refusals."""

import dataclasses

import pytest

from rhubarbreach.catalog import model as catalogs
from rhubarbreach import codes
from rhubarbreach.gateway import app
from rhubarbreach.gateway import decide
from rhubarbreach.gateway import model


@pytest.fixture
def non_repeatable():
    return catalogs.Route(
        'r',
        'h',
        '/',
        catalogs.RouteKind.STREAM,
        5.0,
        0.3,
        0,
        (catalogs.Target('s', 1.0),),
        max_attempts=1,
    )


@pytest.fixture
def resumable(non_repeatable):
    return dataclasses.replace(non_repeatable, resumable=True, max_attempts=2)


BROKEN = model.Broken('reset')
NOT_RUN = model.NotRun('status 503')


def test_request_that_may_run_once_is_not_sent_again(non_repeatable):
    step = decide.decide_next(BROKEN, non_repeatable, 1, 0, False, 4.0)
    assert isinstance(step, decide.Refuse)
    # The status must not claim that the request has not run.
    assert app.get_status(step.refusal) == 502


def test_request_that_has_not_run_is_retried(non_repeatable):
    step = decide.decide_next(NOT_RUN, non_repeatable, 0, 1, False, 4.0)
    assert step == decide.Retry()


def test_request_declined_by_all_is_reported_as_not_run(non_repeatable):
    step = decide.decide_next(
        NOT_RUN, non_repeatable, 0, decide.MAX_DECLINED + 1, False, 4.0
    )
    assert app.get_status(step.refusal) == 503
    assert step.refusal.ran == codes.Ran.NO


def test_request_declined_after_a_run_is_not_reported_as_not_run(resumable):
    step = decide.decide_next(
        NOT_RUN, resumable, 1, decide.MAX_DECLINED + 1, False, 4.0
    )
    assert app.get_status(step.refusal) == 502


def test_resumable_stream_is_retried(resumable):
    step = decide.decide_next(BROKEN, resumable, 1, 0, True, 4.0)
    assert step == decide.Retry()


def test_no_attempt_beyond_max_attempts(resumable):
    step = decide.decide_next(BROKEN, resumable, 2, 0, True, 4.0)
    assert isinstance(step, decide.Abort)


@pytest.mark.parametrize('response_started', [True, False])
def test_no_attempt_without_remaining_time(resumable, response_started):
    step = decide.decide_next(BROKEN, resumable, 1, 0, response_started, 0.01)
    assert isinstance(
        step, decide.Abort if response_started else decide.Refuse
    )


def test_exceeded_deadline_is_reported_as_timeout(non_repeatable):
    step = decide.decide_next(
        model.TimedOut(), non_repeatable, 1, 0, False, 0.0
    )
    assert app.get_status(step.refusal) == 504


@pytest.mark.parametrize('outcome', [model.Delivered(200), model.CallerGone()])
def test_no_step_follows_a_final_outcome(non_repeatable, outcome):
    step = decide.decide_next(outcome, non_repeatable, 1, 0, True, 4.0)
    assert step == decide.Stop()
