"""Tests of relayed streams from slow, stalled and faulty endpoints."""

import socket
import threading
import time
import types

import pytest

from rhubarbreach.balancing import endpoints as endpoint_tables
from rhubarbreach.catalog import model as catalogs
from rhubarbreach import clock
from rhubarbreach import codes
from rhubarbreach.fleet import connector as connectors
from rhubarbreach.fleet import quarantine
from rhubarbreach.fleet import view
from rhubarbreach.gateway import crash_checks
from rhubarbreach.gateway import forward
from rhubarbreach.gateway import hedges
from rhubarbreach.gateway import model
from rhubarbreach.gateway import responses
from rhubarbreach.gateway import waiting
from rhubarbreach.observe import metrics
from rhubarbreach.protocol import fleetmessages
from rhubarbreach.streams import table
from rhubarbreach.web import memory
from rhubarbreach.web import parse
from rhubarbreach.web import sockets

HEAD = b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n'
END = b'0\r\n\r\n'
UNFRAMED_HEAD = b'HTTP/1.1 200 OK\r\n\r\n'
# SO_LINGER with a time of zero, which resets the connection when it is closed.
RESET = b'\1\0\0\0\0\0\0\0'
# The process ends: it listens no more, and its connections end in order.
CRASH = object()


def chunk(data):
    return b'%x\r\n%s\r\n' % (len(data), data)


def make_event(number):
    return chunk(b'id: %d\ndata: t%d\n\n' % (number, number))


class FakeCaller:
    """Connection of a caller that collects what it is sent."""

    def __init__(self):
        self.socket, self.peer = socket.socketpair()
        self.socket.setblocking(False)
        self.keep_alive = True
        self.status = None
        self.sent = []
        self.outbox = types.SimpleNamespace(unread=b'')

    def send(self, data, deadline):
        self.sent.append(data)

    def queue(self, data):
        self.send(data, None)

    def send_response(
        self, status, headers=(), body=b'', reason=b'', deadline=None
    ):
        self.status = status
        self.sent.append(body)


class FakeEndpoint:
    """Endpoint that answers each request with the given parts.

    A part that is a number is a silence of so many seconds. Connections after
    the first get the parts `later` if these are given, and those after the
    second the parts `last`.
    """

    def __init__(self, parts, pause, later=None, unread=False):
        self.parts = parts
        self.later = parts if later is None else later
        self.last = None
        self.unread = unread
        self.pause = pause
        self.count = 0
        self.listener = socket.create_server(('127.0.0.1', 0))
        self.port = self.listener.getsockname()[1]
        threading.Thread(target=self.run, daemon=True).start()

    def run(self):
        while True:
            try:
                connection, _ = self.listener.accept()
            except OSError:
                return
            if not connection.recv(1, socket.MSG_PEEK):
                # The host has only checked whether the endpoint listens.
                connection.close()
                continue
            parts = self.later if self.count else self.parts
            if self.count > 1 and self.last is not None:
                parts = self.last
            self.count += 1
            threading.Thread(
                target=self.answer, args=(connection, parts), daemon=True
            ).start()

    def receive(self, connection):
        connection.recv(1 if self.unread else 65_536)

    def answer(self, connection, parts):
        with connection:
            self.receive(connection)
            for part in parts:
                if isinstance(part, float):
                    time.sleep(part)
                    continue
                if part is RESET:
                    connection.setsockopt(
                        socket.SOL_SOCKET, socket.SO_LINGER, RESET
                    )
                    return
                if part is CRASH:
                    self.listener.shutdown(socket.SHUT_RDWR)
                    return
                try:
                    connection.sendall(part)
                except OSError:
                    return
                time.sleep(self.pause)


@pytest.fixture
def forward_to():
    """Return a function that forwards a request to a fake endpoint.

    It returns the refusal or None, the bytes that the caller received, the
    endpoint, and the time in seconds.
    """
    endpoints = []

    def run(
        parts,
        pause,
        timeout=2.0,
        resumable=False,
        longest_pause=0.2,
        kind=catalogs.RouteKind.STREAM,
        may_send=lambda _: True,
        on_view=lambda _: None,
        on_quarantine=lambda _: None,
        response_memory=memory.UNBOUNDED,
        is_fresh=True,
        later=None,
        unread=False,
        body=b'',
        count=1,
        versions=None,
        max_attempts=2,
        last=None,
        others=(),
        last_event_id=None,
        on_refresh=lambda: None,
        objective=0.1,
        hedge_fraction=0.0,
        on_request=lambda _: None,
    ):
        endpoint = FakeEndpoint(parts, pause, later, unread)
        endpoint.last = last
        run.others = [FakeEndpoint(parts, pause) for parts in others]
        endpoints.extend([endpoint, *run.others])
        loads = view.View('z1')
        on_view(loads)
        # Endpoints without parts of their own share the first process.
        ports = [e.port for e in (endpoint, *run.others)]
        count = max(count, len(ports))
        ports += [endpoint.port] * (count - len(ports))
        notices = tuple(
            fleetmessages.EndpointNotice(
                f'e{number}',
                's',
                f'127.0.0.1:{ports[number - 1]}',
                # The first is asked first.
                'z2' if others and number > 1 else 'z1',
                8,
                'ready',
                1,
                1,
                software_version=(versions or [''] * count)[number - 1],
            )
            for number in range(1, count + 1)
        )
        loads.update_endpoints(notices, True)
        route = catalogs.Route(
            'r',
            'h',
            '/',
            kind,
            timeout,
            objective,
            0,
            (catalogs.Target('s', 1.0),),
            max_attempts=max_attempts,
            resumable=resumable,
            longest_pause=longest_pause,
        )
        dialect = types.SimpleNamespace(
            encode_call=lambda *_: (),
            get_echoed_id=lambda head: (
                head.get(b'echo', b'id').decode() or None
            ),
            is_not_run=lambda head: bool(head.get(b'not-run')),
            is_signed=lambda head: not head.get(b'unsigned'),
            is_leaving=lambda head: bool(head.get(b'leaving')),
            get_load=lambda head: (
                endpoint_tables.ServerLoad(3, 0, 8, int(head.get(b'percent')))
                if head.get(b'percent')
                else None
            ),
        )
        app = types.SimpleNamespace(
            view=loads,
            origins=types.SimpleNamespace(
                record=lambda _, origin, __: run.origins.append(origin),
                find=lambda *_: table.Origin('s', '', 1),
            ),
            dialect=dialect,
            leader_client=types.SimpleNamespace(
                waits=types.SimpleNamespace(refresh_loads=on_refresh),
                schedule=types.SimpleNamespace(
                    request_loads=lambda: None, entry_host_count=1
                ),
                wait_for_contact=lambda: True,
                may_send_to=may_send,
                quarantine=quarantine.Quarantine(),
                is_fresh=is_fresh
                if callable(is_fresh)
                else lambda _: is_fresh,
            ),
            is_closing=lambda _: False,
            response_memory=response_memory,
            metrics=metrics.Metrics(),
        )
        app.leader_client.get_queue = lambda *_: fleetmessages.QueueState()
        app.leader_client.has_queues = lambda _: True
        app.leader_client.has_complete_loads = True
        app.admission = waiting.AdmissionControl(
            loads, app.leader_client, app.metrics
        )
        app.hedges = hedges.HedgeControl(loads, app.metrics, hedge_fraction)
        app.connector = connectors.Connector(loads.paths, None, 0, None)
        app.crash_checks = crash_checks.CrashChecks(
            app.connector, app.leader_client, loads.directory
        )
        on_quarantine(app.leader_client.quarantine)
        run.origins = []
        caller = FakeCaller()
        info = model.CallInfo(
            'id', 'h', None, None, last_event_id, ('part', 'own')
        )
        request = parse.Request('POST', b'/', (), body, True)
        started_at = clock.monotonic()
        forwarder = forward.RequestForwarder(
            app, caller, request, info, route, None
        )
        on_request(forwarder)
        refusal = forwarder.run()
        seconds = clock.monotonic() - started_at
        run.caller = caller
        run.quarantine = app.leader_client.quarantine
        run.metrics = app.metrics
        sockets.close_socket(caller.socket)
        caller.peer.close()
        return refusal, b''.join(caller.sent), endpoint, seconds

    yield run
    for endpoint in endpoints:
        endpoint.listener.close()


def test_slow_stream_with_sound_pauses_is_not_cut(forward_to):
    """Guards against a timeout made for the pauses of another deployment."""
    parts = [HEAD, *map(make_event, range(1, 4)), END]
    refusal, data, endpoint, seconds = forward_to(
        parts, 1.4, timeout=10.0, resumable=True, longest_pause=1.5
    )
    assert refusal is None
    assert data.endswith(responses.LAST_CHUNK)
    assert endpoint.count == 1
    assert seconds > 4.0


def test_endpoint_that_may_not_be_sent_to_has_not_failed(forward_to):
    """Guards against ejecting the sound endpoints of an evacuated zone."""
    views = []
    refusal, data, _, _ = forward_to(
        [HEAD, make_event(1), END],
        0.05,
        timeout=5.0,
        others=[[HEAD, make_event(1), END]],
        count=2,
        may_send=lambda endpoint: endpoint.endpoint_id != 'e1',
        on_view=views.append,
    )
    assert refusal is None
    assert data.endswith(responses.LAST_CHUNK)
    (loads,) = views
    assert not loads.health.table.is_ejected('e1', clock.monotonic())
    assert loads.health.pop_outcomes() == {'e2': (0, 1)}


def test_request_is_withheld_if_its_endpoint_left_meanwhile(forward_to):
    """Guards against requests to an endpoint that left after its choice."""
    views = []
    asked = []

    def leave_first(endpoint):
        asked.append(endpoint.endpoint_id)
        if endpoint.endpoint_id == 'e1':
            views[0].directory.record_departure(endpoint)
        return True

    refusal, data, first, _ = forward_to(
        [HEAD, make_event(1), END],
        0.05,
        timeout=5.0,
        others=[[HEAD, make_event(1), END]],
        may_send=leave_first,
        on_view=views.append,
    )
    assert refusal is None
    assert data.endswith(responses.LAST_CHUNK)
    assert asked == ['e1', 'e2']
    assert views[0].health.pop_outcomes() == {'e2': (0, 1)}


def test_request_on_a_route_with_a_long_timeout_is_answered(forward_to):
    """Guards against a timeout that the system call for it cannot hold."""
    parts = [HEAD, make_event(1), END]
    refusal, data, _, _ = forward_to(parts, 0.05, timeout=1e10)
    assert refusal is None
    assert data.endswith(responses.LAST_CHUNK)


@pytest.mark.parametrize('trickle', [b': \n', b': comment\n\n', b'x'])
def test_stalled_stream_that_sends_bytes_is_left(forward_to, trickle):
    """Guards against a stalled stream that a byte now and then keeps open."""
    parts = [HEAD, make_event(1), *[chunk(trickle)] * 200]
    refusal, data, endpoint, seconds = forward_to(
        parts,
        0.05,
        timeout=8.0,
        resumable=True,
        later=[HEAD, make_event(2), END],
        count=2,
    )
    assert refusal is None
    assert endpoint.count == 2
    assert data.count(b'data: t') == 2
    assert data.endswith(responses.LAST_CHUNK)
    # Three times the longest pause.
    assert seconds < 2.0


@pytest.mark.parametrize('trickle', [b': \n', b': comment\n\n', b'x'])
def test_stalled_stream_without_a_takeover_ends_at_its_deadline(
    forward_to, trickle
):
    """Guards against a stalled stream that outlives its request."""
    parts = [HEAD, make_event(1), *[chunk(trickle)] * 200]
    refusal, data, endpoint, seconds = forward_to(
        parts, 0.05, timeout=2.0, resumable=True
    )
    assert refusal is None
    assert endpoint.count == 1
    assert b'data: t1' in data
    assert not data.endswith(responses.LAST_CHUNK)
    assert 2.0 <= seconds < 2.5


@pytest.mark.parametrize('resumable', [False, True])
def test_stalled_stream_ends_at_its_deadline(forward_to, resumable):
    """Guards against a request that outlives its deadline byte by byte."""
    parts = [HEAD, *[chunk(b'x')] * 200]
    refusal, _, _, seconds = forward_to(
        parts, 0.02, timeout=1.0, resumable=resumable
    )
    assert refusal.code in (
        codes.ResultCode.DEADLINE_EXCEEDED,
        codes.ResultCode.ENDPOINT_FAILED,
    )
    assert refusal.ran == codes.Ran.UNKNOWN
    assert seconds < 1.5


def test_endless_header_ends_at_its_limit(forward_to):
    """Guards against an endpoint that fills the memory of a host."""
    parts = [b'HTTP/1.1 200 OK\r\nA: ', *[b'x' * 16_384] * 4000]
    refusal, _, _, seconds = forward_to(parts, 0.0)
    assert refusal.code == codes.ResultCode.ENDPOINT_FAILED
    assert seconds < 1.0


def test_run_time_of_a_response_includes_the_wait_for_it(forward_to):
    """Guards against an endless queue behind responses that come at once."""
    head = b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok'
    loads = []
    refusal, _, _, _ = forward_to(
        [b'', head],
        0.3,
        kind=catalogs.RouteKind.IDEMPOTENT,
        on_view=loads.append,
    )
    assert refusal is None
    assert loads[0].performance.run_seconds['s'] >= 0.3


@pytest.mark.parametrize('status', [200, 421])
def test_load_in_a_response_reaches_the_choice(forward_to, status):
    """Guards against figures of endpoints that nothing reads.

    A request that was declined has not begun, and counts nowhere afterwards.
    """
    head = b'HTTP/1.1 %d OK\r\nContent-Type: text/event-stream\r\n' % status
    head += b'Percent: 300\r\nNot-Run: %s\r\n' % (
        b'' if status == 200 else b'1'
    )
    event = b'id: %d\ndata: x\n\n'
    body = event % 1 + event % 2
    length = b'Content-Length: %d\r\n\r\n' % len(body)
    loads = []
    forward_to([head + length + body], 0.0, on_view=loads.append)
    table = loads[0].performance.table
    assert table.slowness.has_figures('s')
    assert loads[0].performance.list_slow(clock.monotonic()) == ['e1']
    assert not table.waiting and not table.held_tokens
    learned = loads[0].performance.costs.groups.get(('r',))
    assert (learned is not None and learned.mean == 2) == (status == 200)


@pytest.mark.parametrize('framing', ['chunked', 'length', 'unframed'])
@pytest.mark.parametrize('resumable', [False, True])
def test_stream_that_ends_within_an_event_is_incomplete(
    forward_to, framing, resumable
):
    """Guards against a truncated stream that looks complete."""
    data = b'id: 1\ndata: t1\n\nid: 2\ndata: t'
    parts = {
        'chunked': [HEAD, chunk(data), END],
        'length': [
            b'HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n' % len(data),
            data,
        ],
        'unframed': [UNFRAMED_HEAD, data],
    }[framing]
    later = [UNFRAMED_HEAD, b'id: 2\ndata: u2\n\n']
    _, received, endpoint, _ = forward_to(
        parts, 0.0, resumable=resumable, later=later, count=2
    )
    assert received.count(b'data: t') == 1
    assert received.endswith(responses.LAST_CHUNK) == resumable
    assert (b'data: u2\n\n' in received) == resumable
    # The end of the second response is proven at the same endpoint.
    assert endpoint.count == 1 + 2 * resumable


def test_stream_without_length_ends_with_its_connection(forward_to):
    """Guards against a complete stream that is taken for a broken one."""
    parts = [
        UNFRAMED_HEAD,
        b'id: 1\ndata: t1\n',
        b'\nid: 2\nda',
        b'ta: t2\n\n',
    ]
    refusal, data, endpoint, _ = forward_to(parts, 0.02, count=2)
    assert refusal is None
    assert data.endswith(responses.LAST_CHUNK)
    assert data.count(b'data: t') == 2
    assert endpoint.count == 1


@pytest.mark.parametrize('count', [1, 2])
@pytest.mark.parametrize(
    'later', [[UNFRAMED_HEAD], [HEAD, END]], ids=['unframed', 'chunked']
)
def test_stream_to_which_no_endpoint_adds_an_event_is_whole(
    forward_to, later, count
):
    """Guards against a complete stream that is cut off for want of proof."""
    refusal, data, endpoint, _ = forward_to(
        [UNFRAMED_HEAD, b'id: 1\ndata: t1\n\nid: 2\ndata: t2\n\n'],
        0.02,
        resumable=True,
        later=later,
        count=count,
    )
    assert refusal is None
    assert data.endswith(responses.LAST_CHUNK)
    assert data.count(b'data: t') == 2
    assert endpoint.count == 2


def test_stream_without_length_cut_between_events_goes_on(forward_to):
    """Guards against a crash between two events that ends a stream."""
    _, data, endpoint, _ = forward_to(
        [UNFRAMED_HEAD, b'id: 1\ndata: t1\n\n'],
        0.0,
        resumable=True,
        later=[HEAD, make_event(2), END],
        count=2,
    )
    assert endpoint.count == 2
    assert b'data: t2' in data
    assert data.endswith(responses.LAST_CHUNK)


@pytest.mark.parametrize('status', [200, 500])
@pytest.mark.parametrize('resumable', [False, True])
def test_late_second_answer_stays_out_of_the_stream(
    forward_to, status, resumable
):
    """Guards against the head of another answer in the text of a stream."""
    head = b'HTTP/1.1 %d E\r\nContent-Length: 15\r\n\r\n' % status
    for second in ([head, b'id: 2\ndata: x2\n\n'], [head[:30]]):
        refusal, data, _, _ = forward_to(
            [UNFRAMED_HEAD + b'id: 1\ndata: t1\n\n', *second],
            0.05,
            resumable=resumable,
            later=[HEAD, END],
            count=2,
        )
        assert refusal is None
        assert b'Content' not in data
        assert b'x2' not in data
        assert data.endswith(responses.LAST_CHUNK)


def test_late_second_answer_is_not_joined_to_a_body(forward_to):
    """Guards against a body without a length that holds two answers."""
    answer = b'HTTP/1.1 200 E\r\nContent-Length: 2\r\n\r\nok'
    refusal, data, _, _ = forward_to(
        [UNFRAMED_HEAD + b'first', answer],
        0.05,
        kind=catalogs.RouteKind.IDEMPOTENT,
        later=[answer],
        count=2,
    )
    assert refusal is None
    assert data == b'ok'
    refusal, data, _, _ = forward_to(
        [UNFRAMED_HEAD + b'first', answer],
        0.05,
        kind=catalogs.RouteKind.ONCE,
    )
    assert refusal.ran == codes.Ran.UNKNOWN
    assert not data


def test_reset_stream_without_length_is_incomplete(forward_to):
    """Guards against a reset that is taken for the end of a stream."""
    parts = [UNFRAMED_HEAD, b'id: 1\ndata: t1\n\n', b': \n\n', RESET]
    _, data, _, _ = forward_to(parts, 0.05)
    assert b'data: t1' in data
    assert not data.endswith(responses.LAST_CHUNK)


@pytest.mark.parametrize(
    'kind', [catalogs.RouteKind.STREAM, catalogs.RouteKind.IDEMPOTENT]
)
def test_reset_while_the_request_is_sent_is_no_end(forward_to, kind):
    """Guards against a reset hidden by the failure to send the rest."""
    parts = [b'', UNFRAMED_HEAD + b'id: 1\ndata: t1\n\n', RESET]
    refusal, data, _, _ = forward_to(
        parts, 0.1, kind=kind, unread=True, body=b'x' * 16_000_000
    )
    assert refusal is not None or not data.endswith(responses.LAST_CHUNK)
    assert kind is catalogs.RouteKind.STREAM or not data


ERRORS = {
    '500': b'HTTP/1.1 500 E\r\n%s\r\n',
    '503': b'HTTP/1.1 503 E\r\n%s\r\n',
    'not run': b'HTTP/1.1 503 E\r\nnot-run: 1\r\n%s\r\n',
    '404': b'HTTP/1.1 404 E\r\n%s\r\n',
    '400': b'HTTP/1.1 400 E\r\n%s\r\n',
    '302': b'HTTP/1.1 302 E\r\n%s\r\n',
    'unsigned': b'HTTP/1.1 200 E\r\nunsigned: 1\r\n%s\r\n',
    'other id': b'HTTP/1.1 200 E\r\necho: other\r\n%s\r\n',
    'not a stream': (
        b'HTTP/1.1 200 E\r\ncontent-type: application/json\r\n%s\r\n'
    ),
}


@pytest.mark.parametrize('framing', ['chunked', 'length', 'unframed'])
@pytest.mark.parametrize('error', ERRORS)
def test_error_while_resuming_stays_out_of_the_stream(
    forward_to, error, framing
):
    """Guards against the text of an error in the middle of a stream."""
    text = b'error: failed\n\ndetail\n\n'
    header, body = {
        'chunked': (b'Transfer-Encoding: chunked\r\n', chunk(text) + END),
        'length': (b'Content-Length: %d\r\n' % len(text), text),
        'unframed': (b'', text),
    }[framing]
    later = [ERRORS[error] % header + body]
    refusal, data, endpoint, _ = forward_to(
        [HEAD + make_event(1)], 0.0, resumable=True, later=later, count=2
    )
    assert refusal is None
    # An endpoint that has only refused is asked again after 0.5 s.
    assert endpoint.count == (3 if error == 'not run' else 2)
    assert forward_to.caller.status is None
    assert not forward_to.caller.keep_alive
    assert data.endswith(make_event(1))


@pytest.mark.parametrize(
    'head',
    [
        b'HTTP/1.1 503 E\r\necho: other\r\nnot-run: 1\r\n',
        b'HTTP/1.1 503 E\r\necho: ID\r\nnot-run: 1\r\n',
        b'HTTP/1.1 503 E\r\necho:\r\nnot-run: 1\r\n',
        b'HTTP/1.1 421 E\r\necho:\r\nnot-run: 1\r\n',
        b'HTTP/1.1 100 C\r\necho: id\r\nnot-run: 1\r\n\r\n'
        b'HTTP/1.1 503 E\r\necho: other\r\nnot-run: 1\r\n',
        b'HTTP/1.1 200 OK\r\nnot-run: 1\r\n',
    ],
    ids=['other id', 'case', 'no id', '421 no id', 'interim', '200'],
)
def test_uncertain_refusal_does_not_count_as_not_run(forward_to, head):
    """Guards against a request that runs twice after a stray refusal."""
    sound = b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok'
    refusal, _, endpoint, _ = forward_to(
        [head + b'Content-Length: 0\r\n\r\n' + sound],
        0.0,
        kind=catalogs.RouteKind.ONCE,
        count=2,
    )
    assert endpoint.count == 1
    assert refusal.code == codes.ResultCode.ENDPOINT_FAILED
    assert refusal.ran == codes.Ran.UNKNOWN


@pytest.mark.parametrize('status', [408, 429, 503])
def test_status_that_promises_is_not_passed_on_by_itself(forward_to, status):
    """Guards against a promise that a request has not run when it may have."""
    parts = [b'HTTP/1.1 %d E\r\nContent-Length: 0\r\n\r\n' % status]
    refusal, _, _, _ = forward_to(parts, 0.0, kind=catalogs.RouteKind.ONCE)
    assert forward_to.caller.status is None
    assert refusal.ran == codes.Ran.UNKNOWN


def test_early_refusal_of_a_long_request_is_believed(forward_to):
    """Guards against an unknown outcome of a request that was refused."""
    parts = [
        b'',
        b'HTTP/1.1 503 E\r\nnot-run: 1\r\nContent-Length: 0\r\n\r\n',
        RESET,
    ]
    refusal, _, endpoint, seconds = forward_to(
        parts,
        0.1,
        kind=catalogs.RouteKind.ONCE,
        unread=True,
        body=b'x' * 16_000_000,
        count=2,
    )
    assert endpoint.count == 2
    assert refusal.ran == codes.Ran.NO
    assert seconds < 1.0


@pytest.mark.parametrize('rest', [b'', b'id: 1\ndata: t'])
def test_crash_before_an_event_of_a_stream_without_length_is_seen(
    forward_to, rest
):
    """Guards against an end of the connection that counts as an answer."""
    refusal, data, endpoint, _ = forward_to(
        [b'HTTP/1.1 200 OK\r\n\r\n' + rest], 0.0
    )
    assert refusal.code == codes.ResultCode.ENDPOINT_FAILED
    assert not data
    assert endpoint.count == 1
    crashes, _ = forward_to.quarantine.make_report(clock.monotonic())
    assert [(crash.prompt, crash.has_head) for crash in crashes] == [
        (('part', 'own'), True)
    ]


def test_crash_before_an_event_of_a_resumed_stream_is_no_end(forward_to):
    """Guards against a resumed stream that looks complete after a crash."""
    _, data, endpoint, _ = forward_to(
        [HEAD + make_event(1)],
        0.0,
        resumable=True,
        later=[UNFRAMED_HEAD],
        count=2,
    )
    assert endpoint.count == 2
    assert not data.endswith(responses.LAST_CHUNK)


@pytest.mark.parametrize('kind', [catalogs.RouteKind.IDEMPOTENT])
def test_crash_before_a_body_without_length_is_no_answer(forward_to, kind):
    """Guards against a crashing part that counts as answered."""
    forward_to([UNFRAMED_HEAD], 0.0, kind=kind)
    assert not forward_to.quarantine.answered_at


def test_trial_of_a_quarantined_part_reaches_one_endpoint(forward_to):
    """Guards against a crashing part that is retried after its trial."""

    def grant_trial(table):
        reply = fleetmessages.ExchangeReply(
            True,
            's1',
            quarantine_revision=1,
            quarantined={'part': 60.0},
            trials={'part': 1},
        )
        table.apply_reply(reply, clock.monotonic())

    refusal, data, endpoint, _ = forward_to(
        [HEAD, RESET],
        0.0,
        resumable=True,
        on_quarantine=grant_trial,
        count=2,
    )
    assert endpoint.count == 1
    assert refusal.ran == codes.Ran.UNKNOWN
    assert not data
    assert forward_to.quarantine.make_trial_report()[1] == {'part': 1}


@pytest.mark.parametrize(
    'kind',
    [
        catalogs.RouteKind.IDEMPOTENT,
        catalogs.RouteKind.ONCE,
        catalogs.RouteKind.STREAM,
    ],
)
def test_body_without_end_is_broken_off_at_the_memory_of_the_host(
    forward_to, kind
):
    """Guards against bodies that together exceed the memory of a host."""
    pool = memory.MemoryPool(300_000)
    head = b'HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\n'
    refusal, data, _, seconds = forward_to(
        [head, *[b'x' * 65_536] * 200],
        0.01,
        kind=kind,
        response_memory=pool,
    )
    assert refusal.ran == codes.Ran.UNKNOWN
    assert not data
    assert seconds < 1.0
    assert (pool.used_bytes, pool.holdings) == (0, set())


def test_response_that_is_ended_for_another_one_is_no_crash(forward_to):
    """Guards against prompt parts that are blamed for a full host."""
    pool = memory.MemoryPool(300_000)
    other = pool.open()

    def fill():
        while not pool.holdings:
            time.sleep(0.01)
        other.resize(290_000)

    threading.Thread(target=fill, daemon=True).start()
    refusal, _, _, _ = forward_to(
        [UNFRAMED_HEAD, b'x' * 60_000, b'', b''],
        0.5,
        response_memory=pool,
    )
    assert refusal.reason == 'ended for the memory of this host'
    assert forward_to.quarantine.make_report(clock.monotonic())[0] == ()


def test_stream_does_not_go_on_while_its_host_is_out_of_step(forward_to):
    """Guards against an endpoint that has another version since."""
    _, data, endpoint, _ = forward_to(
        [HEAD, make_event(1), RESET],
        0.02,
        resumable=True,
        later=[HEAD, make_event(2), END],
        is_fresh=False,
        count=2,
    )
    assert endpoint.count == 1
    assert b'data: t1' in data
    assert not data.endswith(responses.LAST_CHUNK)


def test_request_that_finds_no_slot_waits_and_is_served(forward_to):
    """Guards against a refusal of a request that a slot soon serves."""

    def fill(known):
        known.update_loads({'e1': 8}, {})
        timer = threading.Timer(0.04, lambda: known.update_loads({}, {}))
        timer.start()

    parts = [HEAD, make_event(1), END]
    refusal, data, endpoint, _ = forward_to(parts, 0.0, on_view=fill)
    assert refusal is None
    assert data.endswith(responses.LAST_CHUNK)
    assert endpoint.count == 1


def test_request_that_gets_no_slot_in_time_is_refused(forward_to):
    """Guards against requests that are held, or refused although they ran."""

    def fill(known):
        known.update_loads({'e1': 8}, {})

    refusal, data, endpoint, seconds = forward_to([HEAD], 0.0, on_view=fill)
    assert refusal.code == codes.ResultCode.QUEUE_FULL
    assert refusal.ran == codes.Ran.NO
    assert refusal.retry_after > 0
    # The objective is 0.1 s.
    assert seconds < 0.1
    assert (endpoint.count, data) == (0, b'')


def test_stream_that_is_taken_up_does_not_wait_at_the_host(forward_to):
    """Guards against take-ups behind requests of which nobody has a part."""

    def fill(known):
        known.update_loads({'e1': 8}, {})

    parts = [HEAD, make_event(6), END]
    refusal, _, endpoint, _ = forward_to(
        parts, 0.0, on_view=fill, resumable=True, last_event_id=5
    )
    assert refusal is None
    assert endpoint.count == 1
