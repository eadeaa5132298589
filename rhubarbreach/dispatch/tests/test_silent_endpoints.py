"""Tests of calls whose endpoint is silent for a while and goes on."""

import dataclasses
import random
import time

import pytest

from rhubarbreach import clock
from rhubarbreach.dispatch import decide
from rhubarbreach.dispatch import hedge
from rhubarbreach.dispatch import loop
from rhubarbreach.dispatch.tests import fakes
from rhubarbreach.dispatch.tests import test_executor
from rhubarbreach.membership import endpoints
from rhubarbreach.placement import scheduler
from rhubarbreach.placement.tests import conftest
from rhubarbreach.settings import model

SILENT_AFTER_SECONDS = 0.2
SILENCE_SECONDS = 0.8
# The first byte of a call with a deadline of 20 s is due after 0.2 s.
FRACTION = 0.01
TOKENS = list(range(4))


@pytest.fixture(autouse=True)
def early_silence(monkeypatch):
    """Make an endpoint count as silent early."""
    monkeypatch.setattr(loop, 'STREAM_SILENT_SECONDS', SILENT_AFTER_SECONDS)


def stream_with_silence(first):
    """Return a handler that is silent after its first `first` tokens."""

    def handle(request):
        if not first:
            time.sleep(SILENCE_SECONDS)
        request.begin()
        if first:
            request.send(fakes.make_sse(request.attempt_id, 0, first, False))
            time.sleep(SILENCE_SECONDS)
        request.send(fakes.make_sse(request.attempt_id, first, len(TOKENS)))
        request.end()

    return handle


def refuse(request):
    request.answer(b'{"not_run":true}', 503)


def begin_and_reset(request):
    request.begin()
    request.reset_connection()


@pytest.mark.parametrize('first', [0, 2])
@pytest.mark.parametrize(
    'other', [None, refuse, begin_and_reset, lambda request: None]
)
def test_stream_of_silent_endpoint_is_not_cut(
    start_endpoint, start_executor, make_call, first, other
):
    """Guards against a silent stream given up though no other goes on."""
    silent = start_endpoint(stream_with_silence(first))
    others = [start_endpoint(other)] if other else []
    executor = start_executor(silent, *others, first_byte_fraction=FRACTION)
    sink = test_executor.ListSink()
    result = executor.execute(make_call(), sink)
    assert test_executor.get_tokens(sink.data) == TOKENS
    assert sink.data.endswith(b'[DONE]\n\n')
    assert (result.refusal, result.endpoint_id) == (None, 'e0')
    assert len(silent.requests) == 1 and not silent.cancelled
    assert ('e0', 'completed') in [
        (name, outcome.status.value)
        for name, outcome in executor.scheduler.released
    ]


@pytest.mark.parametrize('idempotent', [True, False])
def test_response_of_silent_endpoint_is_returned(
    start_endpoint, start_executor, make_call, idempotent
):
    """Guards against a response given up for silence, or a second run."""

    def handle(request):
        time.sleep(SILENCE_SECONDS)
        request.answer(b'{}')

    silent = start_endpoint(handle)
    executor = start_executor(silent, first_byte_fraction=FRACTION)
    call = make_call(stream=False, idempotent=idempotent)
    assert executor.execute(call).body == b'{}'
    assert len(silent.requests) == 1 and not silent.cancelled
    assert executor.scheduler.statuses() == ['completed']


def test_silent_stream_that_may_not_be_repeated_runs_once(
    start_endpoint, start_executor, make_call
):
    """Guards against a second run, and against a cut stream."""
    silent = start_endpoint(stream_with_silence(2))
    other = start_endpoint(lambda request: request.stream(len(TOKENS)))
    executor = start_executor(silent, other)
    result = executor.execute(make_call(idempotent=False))
    assert test_executor.get_tokens(result.body) == TOKENS
    assert len(silent.requests) == 1 and not other.requests


@pytest.mark.parametrize('first', [0, 2])
def test_first_new_event_decides_between_two_endpoints(
    start_endpoint, start_executor, make_call, monkeypatch, first
):
    """Guards against events of two attempts in one stream.

    The silent endpoint goes on once the other one has. Only one search is
    made, as a slow machine makes the other one count as silent, too.
    """
    monkeypatch.setattr(hedge, 'SEARCH_INTERVAL_SECONDS', 60.0)

    def go_on_late(request):
        request.begin()
        if first:
            request.send(fakes.make_sse(request.attempt_id, 0, first, False))
        silent.wait_for(silent.cancelled)
        request.send(fakes.make_sse(request.attempt_id, first, len(TOKENS)))
        request.end()

    silent = start_endpoint(go_on_late)
    other = start_endpoint(lambda request: request.stream(len(TOKENS), 0.3))
    executor = start_executor(silent, other, first_byte_fraction=FRACTION)
    sink = test_executor.ListSink()
    result = executor.execute(make_call(), sink)
    assert test_executor.get_tokens(sink.data) == TOKENS
    assert result.endpoint_id == 'e1' and result.refusal is None
    other_id = other.requests[0].attempt_id.encode()
    assert sink.data.count(other_id) == len(TOKENS) - first
    assert sorted(executor.scheduler.statuses()) == ['completed', 'failed']


def test_endpoint_that_goes_on_first_keeps_its_stream(
    start_endpoint, start_executor, make_call
):
    """Guards against a verdict of silence that is not taken back."""

    def handle(request):
        time.sleep(2 * SILENCE_SECONDS)
        request.stream(len(TOKENS))

    silent = start_endpoint(stream_with_silence(2))
    late = start_endpoint(handle)
    executor = start_executor(silent, late, first_byte_fraction=FRACTION)
    sink = test_executor.ListSink()
    result = executor.execute(make_call(), sink)
    assert test_executor.get_tokens(sink.data) == TOKENS
    assert result.endpoint_id == 'e0'
    late.wait_for(late.cancelled)
    statuses = {
        endpoint_id: outcome.status.value
        for endpoint_id, outcome in executor.scheduler.released
    }
    assert statuses['e0'] == 'completed'


@pytest.fixture
def make_scheduler():
    """Return a function that starts the scheduler of a fake endpoint."""
    started = []

    def make(endpoint):
        registry = endpoints.EndpointRegistry()
        row = dataclasses.replace(
            conftest.make_row('e0'), address=f'127.0.0.1:{endpoint.port}'
        )
        registry.announce(row, clock.monotonic())
        policy = model.PolicySettings('full', 2)
        started.append(
            scheduler.Scheduler(
                'h1', 'z1', registry, policy, random=random.Random(1)
            )
        )
        started[-1].start()
        return started[-1]

    yield make
    for one in started:
        one.close()


def test_search_besides_the_only_endpoint_does_not_count_against_it(
    start_endpoint, start_executor, make_call, make_scheduler
):
    """Guards against a sound endpoint that counts as lost.

    The scheduler places work on an excluded endpoint if there is no other.
    """
    silent = start_endpoint(stream_with_silence(2))
    executor = start_executor(silent, first_byte_fraction=FRACTION)
    executor.scheduler = make_scheduler(silent)
    result = executor.execute(make_call(model_id='m', account_id='a'))
    assert test_executor.get_tokens(result.body) == TOKENS
    assert len(silent.requests) == 1
    registry = executor.scheduler.registry
    assert registry.usable('m', clock.monotonic())


class RepeatingScheduler(fakes.FakeScheduler):
    """Scheduler that uses excluded endpoints if there is no other."""

    def submit(self, item):
        used = {info.endpoint_id for info in self.endpoints} - item.in_use
        if used <= item.excluded:
            item = dataclasses.replace(item, excluded=item.in_use)
        return super().submit(item)


def repeat_endpoints(executor):
    """Let the scheduler of an executor use endpoints again."""
    executor.scheduler.__class__ = RepeatingScheduler


def stream_all(request):
    request.stream(len(TOKENS))


def break_off_late(request):
    """Send two tokens, fall silent, and break off."""
    request.begin()
    request.send(fakes.make_sse(request.attempt_id, 0, 2, False))
    time.sleep(2 * SILENCE_SECONDS)
    request.reset_connection()


def break_off(request):
    """Send two tokens and break off."""
    request.begin()
    request.send(fakes.make_sse(request.attempt_id, 0, 2, False))
    request.reset_connection()


def test_stream_goes_on_after_many_refusals(
    start_endpoint, start_executor, make_call
):
    """Guards against a stream given up because endpoints were full."""
    answers = iter([break_off, *[refuse] * (decide.MAX_ATTEMPTS + 2)])
    endpoint = start_endpoint(
        lambda request: next(answers, stream_all)(request)
    )
    executor = start_executor(endpoint)
    repeat_endpoints(executor)
    result = executor.execute(make_call())
    assert test_executor.get_tokens(result.body) == TOKENS
    assert result.refusal is None


def test_refused_takeovers_leave_attempts_to_a_stream_that_breaks_off(
    start_endpoint, start_executor, make_call, monkeypatch
):
    """Guards against a stream given up because a takeover was refused."""
    monkeypatch.setattr(hedge, 'SEARCH_INTERVAL_SECONDS', 0.1)
    silent = start_endpoint(break_off_late)
    answers = iter([refuse] * (decide.MAX_RESUMES + 1))
    full = start_endpoint(lambda request: next(answers, stream_all)(request))
    executor = start_executor(silent, full)
    repeat_endpoints(executor)
    result = executor.execute(make_call())
    assert test_executor.get_tokens(result.body) == TOKENS
    assert result.refusal is None


def test_lost_takeovers_leave_attempts_to_a_stream_that_breaks_off(
    start_endpoint, start_executor, make_call, monkeypatch
):
    """Guards against resumes used up by a stream that is silent repeatedly."""
    monkeypatch.setattr(hedge, 'SEARCH_INTERVAL_SECONDS', 0.1)
    silences = decide.MAX_RESUMES + 1

    def go_on_after_takeovers(request):
        request.begin()
        for index in range(silences):
            late.wait_for(late.requests, index + 1)
            request.send(fakes.make_event(request.attempt_id, index))
            late.wait_for(late.cancelled, index + 1)
        request.reset_connection()

    def answer_the_last(request):
        if len(late.requests) <= silences:
            late.wait_for(late.cancelled, len(late.requests))
        else:
            request.stream(silences + 1)

    silent = start_endpoint(go_on_after_takeovers)
    late = start_endpoint(answer_the_last)
    executor = start_executor(silent, late, first_byte_fraction=FRACTION)
    result = executor.execute(make_call())
    assert test_executor.get_tokens(result.body) == list(range(silences + 1))
    assert (result.refusal, result.endpoint_id) == (None, 'e1')


def test_error_releases_the_endpoints_of_a_call(
    start_endpoint, start_executor, make_call, monkeypatch
):
    """Guards against endpoints that stay occupied until their leases end."""

    def fail(*_):
        raise RuntimeError('fault')

    silent = start_endpoint(stream_with_silence(2))
    other = start_endpoint(lambda request: None)
    executor = start_executor(silent, other)
    monkeypatch.setattr(hedge.Race, 'fork_relay', fail)
    with pytest.raises(RuntimeError):
        executor.execute(make_call())
    silent.wait_for(silent.cancelled)
    deadline = time.monotonic() + 5.0
    while len(executor.scheduler.released) < 2:
        assert time.monotonic() < deadline
        time.sleep(0.01)
    assert {name for name, _ in executor.scheduler.released} == {'e0', 'e1'}


def test_endpoint_that_has_restarted_is_in_service(
    start_endpoint, make_scheduler
):
    """Guards against a crash that is not seen after a restart."""
    fake = start_endpoint(lambda request: None)
    started = make_scheduler(fake)
    placed = started.registry.get('e0')
    row = dataclasses.replace(conftest.make_row('e0'), incarnation=2)
    started.registry.announce(row, clock.monotonic())
    assert started.is_in_service(placed)
    draining = dataclasses.replace(row, sequence=2, draining=True)
    started.registry.announce(draining, clock.monotonic())
    assert not started.is_in_service(placed)
