"""Tests of runs of batch items on faulty endpoints."""

import itertools
import socket
import threading
import time
import types

import pytest

from rhubarbreach.backlog import execution
from rhubarbreach import clock
from rhubarbreach.protocol import codec
from rhubarbreach.web import errors
from rhubarbreach.web import memory
from rhubarbreach.web import parse
from rhubarbreach.web import sockets

HEAD = b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n'
BLOCK = b'x' * 16_384


def chunk(data):
    return b'%x\r\n%s\r\n' % (len(data), data)


def make_event(number):
    return chunk(b'id: %d\ndata: t%d\n\n' % (number, number))


class Endpoint:
    """Endpoint that sends parts at given times of a clock it advances.

    The clock advances when the runner waits for bytes: to the arrival of the
    next part, or to the deadline of the runner if that is earlier.
    """

    def __init__(self, parts, pause):
        self.now = 100.0
        self.arrivals = [
            (self.now + number * pause, part)
            for number, part in enumerate(parts)
        ]

    def monotonic(self):
        return self.now

    def receive(self, connection, deadline):
        arrives_at, part = self.arrivals[0]
        if arrives_at > deadline:
            self.now = max(self.now, deadline)
            raise errors.DeadlineError('nothing received before the deadline')
        del self.arrivals[0]
        self.now = max(self.now, arrives_at)
        return part


def execute(listener, cancel_after=None, record_departure=None, body=b''):
    """Run an item on the endpoint of a listener.

    The run is cancelled after `cancel_after` seconds if these are given.
    """
    order = types.SimpleNamespace(
        job_id='job',
        item_id='item',
        account='a',
        host='h',
        endpoint_id='e1',
        born=7,
        path='/p',
        body=body,
        address=f'127.0.0.1:{listener.getsockname()[1]}',
    )
    dialect = types.SimpleNamespace(
        encode_item=lambda *_: (),
        get_echoed_id=lambda head: head.get(b'echo', b'item').decode() or None,
        is_not_run=lambda head: bool(head.get(b'not-run')),
        is_signed=lambda head: not head.get(b'unsigned'),
        is_leaving=lambda head: bool(head.get(b'leaving')),
    )
    progress = execution.RunProgress()
    started_at = clock.monotonic()
    run = execution.Run(order, memory.UNBOUNDED)
    if cancel_after is not None:
        threading.Timer(cancel_after, run.cancel).start()
    outcome = execution.execute_run(run, progress, dialect, record_departure)
    progress.evidence = (run.ends_within_event, run.is_port_closed)
    return outcome, progress, clock.monotonic() - started_at


@pytest.fixture
def run_on_stepped_clock(monkeypatch):
    """Return a function that runs an item on an `Endpoint`.

    `pause` is the time between two parts, in seconds of its clock.
    """
    listener = socket.create_server(('127.0.0.1', 0))

    def run(parts, pause):
        endpoint = Endpoint(parts, pause)
        monkeypatch.setattr(clock, 'monotonic', endpoint.monotonic)
        monkeypatch.setattr(sockets, 'receive', endpoint.receive)
        return execute(listener)

    yield run
    listener.close()


@pytest.fixture
def run_against():
    """Return a function that runs an item on an endpoint that sends bytes.

    `pause` is in seconds and follows each part. The run is cancelled after
    `cancel_after` seconds if these are given. `run.sent_bytes` counts the
    bytes that the endpoint could send, and `run.departures` lists the
    endpoints that were reported to be leaving.
    """
    listeners = []

    def run(parts, pause=0.0, cancel_after=None, body=b''):
        run.sent_bytes = 0
        run.departures = []
        listener = socket.create_server(('127.0.0.1', 0))
        listeners.append(listener)

        def answer():
            connection, _ = listener.accept()
            with connection:
                connection.recv(65_536)
                try:
                    for part in parts:
                        connection.sendall(part)
                        run.sent_bytes += len(part)
                        time.sleep(pause)
                except OSError:
                    # The run has closed its connection.
                    pass

        threading.Thread(target=answer, daemon=True).start()
        return execute(
            listener,
            cancel_after,
            lambda *seen: run.departures.append(seen),
            body,
        )

    yield run
    for listener in listeners:
        listener.close()


def test_complete_run_returns_all_events(run_against):
    parts = [HEAD, make_event(1), make_event(2), chunk(b'')]
    outcome, progress, _ = run_against(parts)
    assert outcome == ('completed', '')
    assert progress.texts == [b't1', b't2']
    assert run_against.departures == []


def test_run_reports_an_endpoint_that_says_that_it_is_leaving(run_against):
    """Guards against items for an endpoint that only its answers announce."""
    head = HEAD.replace(b'\r\n', b'\r\nLeaving: 1\r\n', 1)
    outcome, _, _ = run_against([head, make_event(1), chunk(b'')])
    assert outcome == ('completed', '')
    assert run_against.departures == [('e1', 7)]


@pytest.mark.parametrize(
    'start, endless',
    [
        (b'HTTP/1.1 200 OK\r\nA: ', BLOCK),
        (b'HTTP/1.1 200 OK\r\n', b'A: b\r\n' * 2000),
        (b'', b'HTTP/1.1 102 Processing\r\n\r\n' * 500),
        (HEAD + b'4;a=', BLOCK),
        (HEAD + make_event(1) + b'0\r\nA: ', BLOCK),
        (HEAD, chunk(BLOCK)),
        (HEAD, chunk(b': comment\n\n' * 1000)),
    ],
    ids=[
        'header value',
        'headers',
        'interim responses',
        'chunk extension',
        'trailer',
        'event',
        'comments',
    ],
)
def test_bytes_without_end_are_not_read_to_the_end(
    run_against, start, endless
):
    """Guards against an endpoint that occupies a run and fills the memory."""
    parts = itertools.chain([start], itertools.repeat(endless, 4000))
    outcome, progress, _ = run_against(parts)
    assert outcome[0] == 'failed'
    assert len(progress.texts) <= 1
    # The buffers of both sockets hold some megabytes.
    assert run_against.sent_bytes < 20_000_000


def test_run_that_only_receives_comments_ends(
    run_on_stepped_clock, monkeypatch
):
    """Guards against a stalled run that sends a byte now and then."""
    monkeypatch.setattr(execution, 'IDLE_TIMEOUT_SECONDS', 0.5)
    parts = [HEAD, make_event(1), *[chunk(b':')] * 40]
    outcome, progress, seconds = run_on_stepped_clock(parts, 0.1)
    assert outcome == ('failed', 'no event within 0.5 s')
    assert progress.texts == [b't1']
    assert seconds < 0.8


def test_silent_run_ends(run_on_stepped_clock, monkeypatch):
    """Guards against a run that waits for an event for longer than allowed."""
    monkeypatch.setattr(execution, 'IDLE_TIMEOUT_SECONDS', 0.5)
    parts = [HEAD, make_event(1), make_event(2), chunk(b'')]
    outcome, progress, seconds = run_on_stepped_clock(parts, 0.51)
    assert outcome == ('failed', 'no event within 0.5 s')
    assert not progress.texts
    assert seconds == pytest.approx(0.5)


def test_slow_run_is_not_cut(run_on_stepped_clock, monkeypatch):
    """Guards against a limit on the whole run instead of on its pauses."""
    monkeypatch.setattr(execution, 'IDLE_TIMEOUT_SECONDS', 0.5)
    parts = [HEAD, *map(make_event, range(1, 9)), chunk(b'')]
    outcome, progress, seconds = run_on_stepped_clock(parts, 0.49)
    assert outcome == ('completed', '')
    assert len(progress.texts) == 8
    assert seconds > 2.0


def test_framing_limit_allows_large_header():
    parser = parse.ResponseParser()
    parser.feed(b'HTTP/1.1 200 OK\r\nA: ' + b'x' * 60_000)
    assert parser.feed(b'\r\nContent-Length: 2\r\n\r\nok') == [b'ok']
    assert parser.is_complete


def test_output_beyond_message_limit_ends_the_run(run_against):
    # An event that fits into no report blocks the reports of all runs.
    size = codec.MAX_MESSAGE_BYTES + 1
    event = chunk(b'id: 1\ndata: %s\n\n' % (b'x' * size))
    outcome, progress, _ = run_against([HEAD, event, chunk(b'')])
    assert outcome[0] == 'failed'
    assert not progress.texts


@pytest.mark.parametrize('status', [200, 422, 500, 503])
def test_response_to_another_item_is_a_failed_run(run_against, status):
    """Guards against the outcome or the text of another request."""
    head = b'HTTP/1.1 %d E\r\necho: other\r\n' % status
    if status == 503:
        head += b'not-run: 1\r\n'
    head += b'\r\n'
    outcome, progress, _ = run_against([head + b'id: 1\ndata: t1\n\n'])
    assert outcome[0] == 'failed'
    assert progress.texts == []


def test_refusal_without_an_id_is_a_failed_run(run_against):
    """Guards against a run that is not counted after a stray refusal."""
    outcome, _, _ = run_against(
        [b'HTTP/1.1 503 E\r\necho:\r\nnot-run: 1\r\n\r\n']
    )
    assert outcome[0] == 'failed'


def test_item_without_events_is_not_complete(run_against):
    """Guards against an empty result of a run that was cut off."""
    outcome, _, _ = run_against([b'HTTP/1.1 200 OK\r\n\r\n'])
    assert outcome[0] == 'failed'


def test_unsigned_response_is_a_failed_run(run_against):
    """Guards against a text that is not from the endpoint."""
    outcome, progress, _ = run_against(
        [
            b'HTTP/1.1 200 OK\r\nunsigned: 1\r\n\r\n',
            b'id: 1\ndata: t1\n\n',
        ]
    )
    assert outcome[0] == 'failed'
    assert progress.texts == []


def test_run_without_length_that_ends_within_an_event_fails(run_against):
    """Guards against a truncated text that counts as complete."""
    outcome, progress, _ = run_against(
        [b'HTTP/1.1 200 OK\r\n\r\nid: 1\ndata: t1\n\nid: 2\ndata: t']
    )
    assert outcome == ('failed', 'response ends within an event')
    assert progress.texts == [b't1']


def test_run_without_length_ends_with_its_connection(run_against):
    """Guards against a run that may be whole and is taken for a broken one."""
    outcome, progress, _ = run_against(
        [b'HTTP/1.1 200 OK\r\n\r\nid: 1\ndata: t1\n\n']
    )
    assert outcome == ('unproven', 'response without a length')
    assert progress.texts == [b't1']


@pytest.mark.parametrize('status', [200, 500])
def test_late_second_answer_is_no_part_of_an_item(run_against, status):
    """Guards against events of another answer in the text of an item."""
    outcome, progress, _ = run_against(
        [
            b'HTTP/1.1 200 OK\r\n\r\nid: 1\ndata: t1\n\n',
            b'HTTP/1.1 %d E\r\nA: b\r\n\r\nid: 2\ndata: x2\n\n' % status,
        ],
        pause=0.05,
    )
    assert outcome[0] == 'unproven'
    assert progress.texts == [b't1']


@pytest.mark.parametrize(
    'parts',
    [
        [b'HTTP/1.1 200 OK\r\n\r\nid: 1\ndata: t1\n\n'],
        [HEAD + make_event(1)],
    ],
    ids=['without length', 'chunked'],
)
def test_cancelled_run_is_not_complete(run_against, parts):
    """Guards against a text that ends where its item had to yield."""
    outcome, progress, _ = run_against(parts, pause=1.0, cancel_after=0.3)
    assert outcome[0] != 'completed'
    assert progress.texts == [b't1']


@pytest.mark.parametrize(
    'response',
    [
        HEAD + make_event(1) + chunk(b''),
        b'HTTP/1.1 200 OK\r\nContent-Length: 15\r\n\r\nid: 1\ndata: t1\n\n',
    ],
)
def test_cut_response_is_no_complete_run(run_against, response):
    """Guards against an empty or short result of a cut head or body."""
    for size in range(len(response)):
        outcome, _, _ = run_against([response[:size]])
        assert outcome[0] == 'failed', response[:size]


def test_endless_events_are_no_output(run_against):
    """Guards against an output that fits into no commit."""
    events = (
        chunk(b'id: %d\ndata: %s\n\n' % (number, BLOCK))
        for number in itertools.count(1)
    )
    outcome, _, _ = run_against(itertools.chain([HEAD], events))
    assert outcome[0] == 'oversized'
    assert run_against.sent_bytes < 20_000_000


@pytest.mark.parametrize(
    'body, evidence',
    [
        (b'id: 1\ndata: t1\n\n', (False, False)),
        (b'id: 1\ndata: t1\n\n\n', (False, False)),
        (b'id: 1\ndata: t1\n\nid', (True, False)),
    ],
)
def test_run_tells_whether_one_more_event_has_begun(
    run_against, body, evidence
):
    """Guards against an event that broke off and is not missed."""
    head = b'HTTP/1.1 200 OK\r\nContent-Length: 90\r\n\r\n'
    outcome, progress, _ = run_against([head + body])
    assert outcome[0] == 'failed'
    assert progress.evidence == evidence


@pytest.mark.parametrize('leaving', [b'', b'Leaving: 1\r\n'])
def test_run_tells_that_its_endpoint_is_gone_after_the_response(leaving):
    """Guards against a crash between two events that looks like an end."""
    listener = socket.create_server(('127.0.0.1', 0))
    address = listener.getsockname()
    head = b'HTTP/1.1 200 OK\r\n' + leaving + b'\r\n'

    def crash():
        connection, _ = listener.accept()
        connection.recv(65_536)
        listener.close()
        connection.sendall(head + b'id: 1\ndata: t1\n\n')
        connection.close()

    threading.Thread(target=crash, daemon=True).start()
    crashed = types.SimpleNamespace(getsockname=lambda: address)
    outcome, progress, _ = execute(crashed, None, lambda *_: None)
    assert outcome[0] == 'unproven'
    assert progress.evidence == (False, not leaving)


def test_run_tells_that_no_process_listens():
    """Guards against a crash that counts as an orderly end."""
    listener = socket.create_server(('127.0.0.1', 0))
    address = listener.getsockname()
    listener.close()
    closed = types.SimpleNamespace(getsockname=lambda: address)
    outcome, progress, _ = execute(closed)
    assert outcome[0] == 'failed'
    assert progress.evidence == (False, True)
