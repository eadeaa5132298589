"""What may be sent again after an attempt, and what its caller is told."""

import dataclasses

import pytest

from rhubarbreach.catalog import model as catalogs
from rhubarbreach import codes
from rhubarbreach.gateway import app
from rhubarbreach.gateway import decide
from rhubarbreach.gateway import model


@pytest.fixture
def once():
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
def resumable(once):
    return dataclasses.replace(once, resumable=True, max_attempts=2)


BROKEN = model.Broken('reset')
NOT_RUN = model.NotRun('status 503')


def test_request_that_may_run_once_is_not_sent_again(once):
    step = decide.decide_next(BROKEN, once, 1, 0, False, 4.0)
    assert isinstance(step, decide.Refuse)
    # The status must not promise that it has not run.
    assert app.get_status(step.refusal) == 502


def test_request_that_has_not_run_goes_elsewhere(once):
    step = decide.decide_next(NOT_RUN, once, 0, 1, False, 4.0)
    assert step == decide.Retry()


def test_declined_everywhere_is_a_true_promise(once):
    step = decide.decide_next(
        NOT_RUN, once, 0, decide.MAX_DECLINED + 1, False, 4.0
    )
    assert app.get_status(step.refusal) == 503
    assert step.refusal.ran == codes.Ran.NO


def test_declined_after_a_run_promises_nothing(resumable):
    step = decide.decide_next(
        NOT_RUN, resumable, 1, decide.MAX_DECLINED + 1, False, 4.0
    )
    assert app.get_status(step.refusal) == 502


def test_resumable_stream_goes_on_elsewhere(resumable):
    step = decide.decide_next(BROKEN, resumable, 1, 0, True, 4.0)
    assert step == decide.Retry()


def test_attempts_are_bounded(resumable):
    step = decide.decide_next(BROKEN, resumable, 2, 0, True, 4.0)
    assert isinstance(step, decide.Cut)


@pytest.mark.parametrize('started', [True, False])
def test_no_attempt_without_time(resumable, started):
    step = decide.decide_next(BROKEN, resumable, 1, 0, started, 0.01)
    assert isinstance(step, decide.Cut if started else decide.Refuse)


def test_timeout_is_told_as_such(once):
    step = decide.decide_next(model.TimedOut(), once, 1, 0, False, 0.0)
    assert app.get_status(step.refusal) == 504


@pytest.mark.parametrize('outcome', [model.Delivered(200), model.CallerGone()])
def test_nothing_follows_an_end(once, outcome):
    step = decide.decide_next(outcome, once, 1, 0, True, 4.0)
    assert step == decide.Stop()
