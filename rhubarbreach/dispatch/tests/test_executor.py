"""Tests of the executor with fake endpoints."""

import socket
import threading

import pytest

from rhubarbreach import clock
from rhubarbreach import codes
from rhubarbreach.dispatch.tests import fakes
from rhubarbreach.scheduling import work

CODES = codes.ResultCode


class ListSink:
    """Sink that collects the written bytes."""

    def __init__(self):
        self.data = b''
        self.written = threading.Event()

    def write(self, data):
        """Collect bytes."""
        self.data += data
        self.written.set()
        return True


def get_tokens(data):
    """Return the token numbers of a stream."""
    return [
        int(event.split(b'"content": "t')[1].split(b' ')[0])
        for event in data.split(b'\n\n')
        if b'"content"' in event
    ]


def refuse_connections(start_endpoint):
    """Return an endpoint that refuses connections."""
    endpoint = start_endpoint(None)
    endpoint.socket.shutdown(socket.SHUT_RDWR)
    endpoint.close()
    return endpoint


def test_stream_is_relayed_completely(
    start_endpoint, start_executor, make_call
):
    """Guards against lost bytes in a stream without faults."""
    endpoint = start_endpoint(lambda request: request.stream(50))
    executor = start_executor(endpoint)
    sink = ListSink()
    result = executor.execute(make_call(), sink)
    assert result.status == 200 and result.tokens == 50
    assert get_tokens(sink.data) == list(range(50))
    assert sink.data == result.body and sink.data.endswith(b'[DONE]\n\n')
    assert executor.scheduler.statuses() == ['completed']
    request = endpoint.requests[0]
    assert request.headers['x-request-id'] == 'r1'
    assert 0 < int(request.headers['x-deadline-ms']) <= 20000


def test_response_without_stream_is_unchanged(
    start_endpoint, start_executor, make_call
):
    """Guards against a changed status or body of a response."""
    endpoint = start_endpoint(lambda request: request.answer(b'{"a":1}', 404))
    result = start_executor(endpoint).execute(make_call(stream=False))
    assert (result.status, result.body) == (404, b'{"a":1}')


@pytest.mark.parametrize('idempotent', [True, False])
def test_refused_connection_is_retried_elsewhere(
    start_endpoint, start_executor, make_call, idempotent
):
    """Guards against a failed call although nothing was sent."""
    good = start_endpoint(lambda request: request.answer(b'{}'))
    executor = start_executor(refuse_connections(start_endpoint), good)
    call = make_call(stream=False, idempotent=idempotent)
    assert executor.execute(call).endpoint_id == 'e1'
    assert executor.scheduler.statuses() == ['not_run', 'completed']


def test_call_is_not_run_if_all_connections_are_refused(
    start_endpoint, start_executor, make_call
):
    """Guards against a refusal that states that the call may have run."""
    executor = start_executor(refuse_connections(start_endpoint))
    refusal = executor.execute(make_call(idempotent=False, stream=False))
    assert refusal.code is CODES.NO_ENDPOINT
    assert refusal.ran is codes.Ran.NO


@pytest.mark.parametrize('warm', [False, True])
def test_lost_connection_does_not_repeat_call(
    start_endpoint, start_executor, make_call, warm
):
    """Guards against a second run of a call that is not idempotent.

    libcurl resends requests on its own when a pooled connection breaks.
    """

    def handle(request):
        if request.body == b'warm':
            request.answer(b'{}')
        else:
            request.reset_connection()

    endpoint = start_endpoint(handle)
    other = start_endpoint(lambda request: request.answer(b'{}'))
    executor = start_executor(endpoint, other)
    if warm:
        executor.execute(make_call(stream=False, body=b'warm'))
    call = make_call(stream=False, idempotent=False, body=b'cold')
    refusal = executor.execute(call)
    assert refusal.code is CODES.OUTCOME_UNKNOWN
    assert refusal.ran is codes.Ran.UNKNOWN
    assert len(endpoint.requests) == 1 + warm and not other.requests
    assert executor.scheduler.statuses()[-1] == 'endpoint_lost'


def test_refused_retry_after_lost_connection_is_unknown(
    start_endpoint, start_executor, make_call
):
    """Guards against "not run" after a request on a pooled connection.

    The endpoint dies with the request, and further connections are refused.
    """

    def handle(request):
        if request.body == b'warm':
            request.answer(b'{}')
            return
        endpoint.socket.shutdown(socket.SHUT_RDWR)
        endpoint.close()
        request.reset_connection()

    endpoint = start_endpoint(handle)
    executor = start_executor(endpoint)
    executor.execute(make_call(stream=False, body=b'warm'))
    refusal = executor.execute(make_call(stream=False, body=b'cold'))
    assert refusal.ran is codes.Ran.UNKNOWN
    assert executor.scheduler.statuses()[1] == 'endpoint_lost'


def test_idempotent_call_is_retried(start_endpoint, start_executor, make_call):
    """Guards against a failed call that another endpoint could run."""
    bad = start_endpoint(lambda request: request.reset_connection())
    good = start_endpoint(lambda request: request.answer(b'{}'))
    executor = start_executor(bad, good)
    result = executor.execute(make_call(stream=False))
    assert (result.endpoint_id, result.attempts) == ('e1', 2)


def test_empty_retry_budget_prevents_retry(
    start_endpoint, start_executor, make_call
):
    """Guards against retries that multiply the load on failing endpoints."""
    bad = start_endpoint(lambda request: request.answer(b'{}', 500))
    executor = start_executor(bad, bad)
    executor.budget.balance = -1e9
    refusal = executor.execute(make_call(stream=False))
    assert refusal.code is CODES.ENDPOINT_FAILED
    assert len(bad.requests) == 1


def test_call_declined_by_endpoint_is_retried_elsewhere(
    start_endpoint, start_executor, make_call
):
    """Guards against a failed call when a draining endpoint declines it."""
    draining = start_endpoint(
        lambda request: request.answer(b'{"not_run":true}', 503)
    )
    good = start_endpoint(lambda request: request.answer(b'{}'))
    executor = start_executor(draining, good)
    call = make_call(stream=False, idempotent=False)
    assert executor.execute(call).status == 200
    assert executor.scheduler.statuses() == ['not_run', 'completed']


def break_stream(how):
    """Return a handler that sends three tokens and then fails."""

    def handle(request):
        request.begin()
        request.send(fakes.make_sse(request.attempt_id, 0, 3, done=False))
        match how:
            case 'dies':
                request.send(b'data: {"id": "cut')
                request.reset_connection()
            case 'ends':
                request.end()
            case 'gap':
                request.send(fakes.make_event(request.attempt_id, 5))
            case 'error':
                request.send(b'data: {"error": {"message": "oom"}}\n\n')

    return handle


@pytest.mark.parametrize('how', ['dies', 'ends', 'gap', 'error'])
def test_broken_stream_is_resumed(
    start_endpoint, start_executor, make_call, how
):
    """Guards against missing, repeated or foreign tokens after a failure."""
    bad = start_endpoint(break_stream(how))
    good = start_endpoint(lambda request: request.stream(9))
    sink = ListSink()
    executor = start_executor(bad, good)
    result = executor.execute(make_call(), sink)
    assert get_tokens(sink.data) == list(range(9))
    assert sink.data.endswith(b'data: [DONE]\n\n')
    assert result.tokens == 9 and result.refusal is None
    assert good.requests[0].json()['resume_from'] == 3
    bad.wait_for(bad.cancelled)


def test_broken_stream_ends_in_error_event(
    start_endpoint, start_executor, make_call
):
    """Guards against a truncated stream that looks complete."""
    bad = start_endpoint(break_stream('dies'))
    sink = ListSink()
    result = start_executor(bad).execute(make_call(), sink)
    assert get_tokens(sink.data) == [0, 1, 2]
    last = sink.data.split(b'\n\n')[-2]
    assert last.startswith(b'data: {"error":') and b'"not_run":false' in last
    assert result.refusal.ran is codes.Ran.YES


def test_non_idempotent_stream_is_not_resumed(
    start_endpoint, start_executor, make_call
):
    """Guards against a second run of a stream that may not be repeated."""
    bad = start_endpoint(break_stream('ends'))
    good = start_endpoint(lambda request: request.stream(9))
    executor = start_executor(bad, good)
    result = executor.execute(make_call(idempotent=False), ListSink())
    assert result.refusal.code is CODES.OUTCOME_UNKNOWN
    assert not good.requests


def test_foreign_and_duplicate_events_are_dropped(
    start_endpoint, start_executor, make_call
):
    """Guards against tokens of another request in a response."""

    def handle(request):
        request.begin()
        for index in range(4):
            request.send(fakes.make_event('other', index))
            request.send(fakes.make_event(request.attempt_id, index))
            request.send(fakes.make_event(request.attempt_id, 0))
        request.send(b'data: [DONE]\n\n')
        request.end()

    executor = start_executor(start_endpoint(handle))
    result = executor.execute(make_call())
    assert get_tokens(result.body) == [0, 1, 2, 3]
    assert b'other' not in result.body
    count = executor.metrics.get_count
    assert count('dispatch_events_crossed_total') == 4
    assert count('dispatch_events_duplicate_total') == 4


def test_response_to_other_attempt_is_rejected(
    start_endpoint, start_executor, make_call
):
    """Guards against relaying the response to another request."""
    crossed = start_endpoint(
        lambda request: request.answer(b'{"of":"other"}', attempt_id='x')
    )
    executor = start_executor(crossed)
    refusal = executor.execute(make_call(stream=False, idempotent=False))
    assert refusal.code is CODES.OUTCOME_UNKNOWN


def test_outcome_is_unknown_after_malformed_response(
    start_endpoint, start_executor, make_call
):
    """Guards against a call that hangs or ends with a wrong refusal."""
    endpoint = start_endpoint(
        lambda request: request.connection.sendall(b'\0garbage\r\n\r\n')
    )
    executor = start_executor(endpoint)
    refusal = executor.execute(make_call(stream=False, idempotent=False))
    assert refusal.code is CODES.OUTCOME_UNKNOWN


def test_exception_in_one_stream_does_not_affect_others(
    start_endpoint, start_executor, make_call
):
    """Guards against an exception that stalls or breaks other streams."""

    class BadSink(ListSink):
        def write(self, data):
            raise RuntimeError('fault')

    endpoint = start_endpoint(lambda request: request.stream(20, 0.005))
    executor = start_executor(endpoint)
    sinks = [ListSink() for _ in range(4)]
    futures = [executor.submit(make_call(), sink) for sink in sinks]
    bad = executor.submit(make_call(idempotent=False), BadSink())
    assert bad.result(20).code is CODES.OUTCOME_UNKNOWN
    for future, sink in zip(futures, sinks, strict=True):
        assert future.result(20).tokens == 20
        assert get_tokens(sink.data) == list(range(20))


def test_hanging_attempt_is_cancelled_and_retried(
    start_endpoint, start_executor, make_call
):
    """Guards against waiting for a hung endpoint until the deadline."""
    hung = start_endpoint(lambda request: None)
    good = start_endpoint(lambda request: request.answer(b'{}'))
    executor = start_executor(hung, good, first_byte_fraction=0.01)
    assert executor.execute(make_call(stream=False)).endpoint_id == 'e1'
    hung.wait_for(hung.cancelled)
    assert hung.cancelled == [hung.requests[0].attempt_id]


def test_call_past_deadline_is_cancelled_with_unknown_outcome(
    start_endpoint, start_executor, make_call
):
    """Guards against a late end, and against a false "not run"."""
    hung = start_endpoint(lambda request: None)
    executor = start_executor(hung)
    deadline = clock.monotonic() + 0.2
    call = make_call(stream=False, idempotent=False, deadline=deadline)
    refusal = executor.execute(call)
    assert refusal.code is CODES.DEADLINE_EXCEEDED
    assert refusal.ran is codes.Ran.UNKNOWN
    hung.wait_for(hung.cancelled)


def test_cancelled_stream_delivers_no_more_tokens(
    start_endpoint, start_executor, make_call
):
    """Guards against a cancelled call that keeps running or delivering."""
    resume_handler = threading.Event()

    def handle(request):
        request.begin()
        request.send(fakes.make_event(request.attempt_id, 0))
        resume_handler.wait(20)
        request.send(fakes.make_sse(request.attempt_id, 1, 5))

    endpoint = start_endpoint(handle)
    executor = start_executor(endpoint)
    sink = ListSink()
    future = executor.submit(make_call(job_id='j1'), sink)
    assert sink.written.wait(20)
    assert executor.cancel_job('j1') == 1
    result = future.result(20)
    resume_handler.set()
    assert result.refusal.code is CODES.CANCELLED
    assert get_tokens(sink.data) == [0]
    endpoint.wait_for(endpoint.cancelled)
    assert executor.scheduler.statuses() == ['cancelled']
    assert not executor.runs and not executor.runs_by_work_id


def test_placement_after_cancel_is_released(
    start_endpoint, start_executor, make_call
):
    """Guards against a leaked slot when the placement follows the cancel."""
    executor = start_executor(start_endpoint(None))
    scheduler = executor.scheduler
    scheduler.held = []
    future = executor.submit(make_call())
    while not scheduler.held:
        pass
    assert executor.cancel('r1')
    refusal = future.result(20)
    assert (refusal.code, refusal.ran) == (CODES.CANCELLED, codes.Ran.NO)
    item = scheduler.submitted[0]
    placement = work.Placement(item, scheduler.endpoints[0])
    scheduler.held[0].set_result(placement)
    assert scheduler.statuses() == ['cancelled']


def test_preempted_stream_is_resumed(
    start_endpoint, start_executor, make_call
):
    """Guards against preemption that fails an item or restarts it."""

    def handle(request):
        if 'resume_from' in request.json():
            request.stream(6)
            return
        request.begin()
        request.send(fakes.make_sse(request.attempt_id, 0, 2, done=False))

    endpoint = start_endpoint(handle)
    executor = start_executor(endpoint)
    scheduler = executor.scheduler
    sink = ListSink()
    future = executor.submit(make_call(lane=work.Lane.BATCH), sink)
    assert sink.written.wait(20)
    item = scheduler.submitted[0]
    scheduler.preempt(work.Placement(item, scheduler.endpoints[0]))
    result = future.result(20)
    assert get_tokens(sink.data) == list(range(6))
    assert result.attempts == 1
    assert scheduler.statuses() == ['cancelled', 'completed']


def test_hedged_call_returns_first_response(
    start_endpoint, start_executor, make_call
):
    """Guards against a hedge that leaks a slot or loses the response."""
    slow = start_endpoint(lambda request: None)
    good = start_endpoint(lambda request: request.answer(b'{"e":1}'))
    executor = start_executor(slow, good, hedge_after=0.05)
    assert executor.execute(make_call(stream=False)).body == b'{"e":1}'
    slow.wait_for(slow.cancelled)
    assert sorted(executor.scheduler.statuses()) == ['cancelled', 'completed']


@pytest.mark.parametrize('status', [200, 400, 404, 500])
def test_error_while_resuming_does_not_end_the_stream(
    start_endpoint, start_executor, make_call, status
):
    """Guards against a broken stream that ends as if it were complete."""
    bad = start_endpoint(break_stream('dies'))
    other = start_endpoint(lambda request: request.answer(b'{"e":1}', status))
    sink = ListSink()
    result = start_executor(bad, other).execute(make_call(), sink)
    assert other.requests
    assert result.refusal is not None
    assert b'{"e":1}' not in sink.data
    last = sink.data.split(b'\n\n')[-2]
    assert last.startswith(b'data: {"error":')


@pytest.mark.parametrize('end', ['in an event', 'after an event', 'reset'])
def test_stream_without_length_or_end_marker_is_resumed(
    start_endpoint, start_executor, make_call, end
):
    """Guards against a stream that was cut off and looks complete."""

    def handle(request):
        head = fakes.HEAD.format(request.attempt_id).encode()
        data = fakes.make_sse(request.attempt_id, 0, 3, done=False)
        if end != 'after an event':
            data += b'data: {"id": "cut'
        head = head.replace(b'Transfer-Encoding: chunked\r\n', b'')
        request.connection.sendall(head + data)
        if end == 'reset':
            request.reset_connection()
        else:
            request.connection.shutdown(socket.SHUT_RDWR)

    good = start_endpoint(lambda request: request.stream(9))
    sink = ListSink()
    executor = start_executor(start_endpoint(handle), good)
    result = executor.execute(make_call(), sink)
    assert get_tokens(sink.data) == list(range(9))
    assert sink.data.endswith(b'data: [DONE]\n\n')
    assert result.refusal is None


def test_stream_without_length_is_complete_at_its_end_marker(
    start_endpoint, start_executor, make_call
):
    """Guards against a second run of a complete stream."""

    def handle(request):
        head = fakes.HEAD.format(request.attempt_id).encode()
        head = head.replace(b'Transfer-Encoding: chunked\r\n', b'')
        data = fakes.make_sse(request.attempt_id, 0, 3)
        request.connection.sendall(head + data)
        request.connection.shutdown(socket.SHUT_RDWR)

    endpoint = start_endpoint(handle)
    result = start_executor(endpoint).execute(make_call())
    assert result.tokens == 3
    assert len(endpoint.requests) == 1


def test_refusal_repeated_on_a_kept_connection_is_not_believed(
    start_endpoint, start_executor, make_call
):
    """Guards against 'not run' for a request that an endpoint runs."""
    refusal = b'{"not_run":true}'
    head = (
        b'HTTP/1.1 503 X\r\nContent-Type: application/json\r\n'
        b'Content-Length: %d\r\n\r\n' % len(refusal)
    )
    endpoint = start_endpoint(
        lambda request: request.connection.sendall(head + refusal)
    )
    executor = start_executor(endpoint)
    executor.execute(make_call(stream=False))
    result = executor.execute(make_call(stream=False, request_id='r2'))
    assert len({id(item.connection) for item in endpoint.requests}) == 1
    assert result.ran is codes.Ran.UNKNOWN


def test_repeated_refusal_with_another_id_is_not_believed(
    start_endpoint, start_executor, make_call
):
    """Guards against 'not run' taken from the refusal of another attempt."""
    endpoint = start_endpoint(
        lambda request: request.answer(b'{"not_run":true}', 503, 'earlier')
    )
    other = start_endpoint(lambda request: request.answer(b'{}'))
    executor = start_executor(endpoint, other)
    call = make_call(stream=False, idempotent=False)
    refusal = executor.execute(call)
    assert refusal.ran is codes.Ran.UNKNOWN
    assert not other.requests


def test_call_without_thread_is_refused_and_never_runs(
    start_endpoint, start_executor, make_call, monkeypatch
):
    """Guards against a batch item that is claimed for ever, or runs twice.

    The thread pool keeps a call in its queue if no thread can be started.
    """
    endpoint = start_endpoint(lambda request: request.answer(b'{}'))
    executor = start_executor(endpoint)
    failures = [RuntimeError("can't start new thread")]
    start = threading.Thread.start

    def start_later(thread):
        if failures and thread.name.startswith('dispatch-call'):
            raise failures.pop()
        start(thread)

    monkeypatch.setattr(threading.Thread, 'start', start_later)
    refused = executor.submit(make_call(stream=False)).result(20)
    assert (refused.code, refused.ran) == (CODES.QUEUE_FULL, codes.Ran.NO)
    assert executor.submit(make_call(stream=False)).result(20).status == 200
    assert len(endpoint.requests) == 1
