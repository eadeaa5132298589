"""Tests of connections: malformed requests, slow callers and drain."""

import concurrent.futures
import socket
import struct
import threading
import time

import msgspec
import pytest

from rhubarbreach.dispatch import sink
from rhubarbreach.dispatch.tests import fakes
from rhubarbreach.entry import connection
from rhubarbreach.entry import refusals
from rhubarbreach.entry import streams

HEAD = (
    b'POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\n'
    b'Authorization: Bearer k1\r\n'
)
BODY = b'{"model":"rota","messages":[],"stream":true}'
STREAM = HEAD + b'Content-Length: %d\r\n\r\n' % len(BODY) + BODY
BIG = b'x' * 8000


def open_raw(entry):
    """Return a socket connected to the entry host."""
    return socket.create_connection(('127.0.0.1', entry.server.port), 20)


def read_all(raw):
    """Return all bytes until the connection is closed."""
    data = b''
    while chunk := raw.recv(65536):
        data += chunk
    return data


@pytest.mark.parametrize(
    'data, name',
    [
        (HEAD + b'Content-Length: 100\r\n\r\nhalf', b'BODY_INCOMPLETE'),
        (b'nonsense\r\n\r\n', b'MALFORMED_BODY'),
        (b'GET /\xff HTTP/1.1\r\n\r\n', b'MALFORMED_BODY'),
        (b'GET / HTTP/1.1\r\na: b\r\n c: d\r\n\r\n', b'MALFORMED_BODY'),
        (b'GET /%b HTTP/1.1\r\n\r\n' % (b'x' * 99999), b'MALFORMED_BODY'),
        (
            HEAD + b'Content-Length: 1\r\nContent-Length: 2\r\n\r\n',
            b'MALFORMED_BODY',
        ),
        (b'GET / HTTP/1.1\r\n' + b'a: b\r\n' * 200 + b'\r\n', b'MALFORMED'),
        (
            HEAD + b'Content-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n',
            b'MALFORMED_BODY',
        ),
    ],
)
def test_malformed_request_is_refused(start_entry, data, name):
    """Guards against waiting for, or running, a malformed request."""
    entry = start_entry(lambda request: None)
    with open_raw(entry) as raw:
        raw.sendall(data)
        response = read_all(raw)
    assert name in response and b'"not_run":true' in response
    assert not entry.endpoint.requests


def test_pipelined_requests_are_answered_in_order(start_entry):
    """Guards against mixing up requests that arrive in one segment."""
    entry = start_entry(lambda request: request.answer(request.body))
    first = HEAD + b'Transfer-Encoding: chunked\r\n\r\n'
    body = b'{"model":"rota","prompt":"%d"}'
    second = HEAD + b'Connection: close\r\nContent-Length: 29\r\n\r\n'
    with open_raw(entry) as raw:
        raw.sendall(
            first
            + b'%x\r\n%b\r\n0\r\n\r\n' % (29, body % 1)
            + second
            + body % 2
        )
        response = read_all(raw)
    assert response.index(body % 1) < response.index(body % 2)


def test_call_is_cancelled_when_caller_disconnects(start_entry):
    """Guards against calls that continue after their caller is gone."""

    def handle(request):
        request.begin()
        request.send(fakes.make_event(request.attempt_id, 0))

    entry = start_entry(handle)
    with open_raw(entry) as raw:
        raw.sendall(STREAM)
        raw.recv(10)
    entry.endpoint.wait_for(entry.endpoint.cancelled)
    deadline = time.monotonic() + 20
    while not entry.scheduler.released and time.monotonic() < deadline:
        time.sleep(0.01)
    assert entry.scheduler.statuses() == ['cancelled']


def test_slow_caller_is_cut_off_and_delays_no_other(start_entry, monkeypatch):
    """Guards against a slow caller that delays others or fills memory."""
    monkeypatch.setattr(sink, 'STALL_SECONDS', 0.5)

    def handle(request):
        request.begin()
        endless = request.json()['messages']
        index = 0
        while index < 200 or endless:
            event = fakes.make_event(request.attempt_id, index)
            request.send(event.replace(b'"t', b'"' + BIG + b't'))
            index += 1
        request.send(b'data: [DONE]\n\n')
        request.end()

    entry = start_entry(handle)
    body = BODY.replace(b'[]', b'[{}]')
    slow = socket.socket()
    slow.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    slow.connect(('127.0.0.1', entry.server.port))
    slow.sendall(HEAD + b'Content-Length: %d\r\n\r\n' % len(body) + body)
    entry.endpoint.wait_for(entry.endpoint.requests)
    status, _, response = entry.chat(stream=True)
    assert status == 200 and response.count(b'data: ') == 201
    entry.endpoint.wait_for(entry.endpoint.cancelled)
    assert entry.metrics.get_count(
        'dispatch_callers_lost_total', reason='slow'
    )
    slow.setsockopt(
        socket.SOL_SOCKET, socket.SO_LINGER, struct.pack('ii', 1, 0)
    )
    slow.close()


@pytest.fixture
def slow_client():
    """Return a function that makes a client with a small receive buffer."""
    clients = []

    def connect(entry):
        client = entry.connect()
        client.sock = socket.socket()
        client.sock.settimeout(20)
        client.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        client.sock.connect(('127.0.0.1', entry.server.port))
        clients.append(client)
        return client

    yield connect
    for client in clients:
        client.close()


def test_recorded_stream_reaches_a_caller_that_pauses(
    start_entry, slow_client
):
    """Guards against a stream cut as its caller reads nothing for a moment."""

    def handle(request):
        request.begin()
        for index in range(500):
            event = fakes.make_event(request.attempt_id, index)
            request.send(event.replace(b'"t', b'"' + BIG + b't'))
        request.send(b'data: [DONE]\n\n')
        request.end()

    entry = start_entry(handle)
    client = slow_client(entry)
    client.request(
        'POST',
        '/v1/chat/completions',
        BODY,
        {'Authorization': 'Bearer k1', 'Idempotency-Key': 's1'},
    )
    time.sleep(1)
    body = client.getresponse().read()
    assert body.count(b'data: ') == 501 and body.endswith(b'[DONE]\n\n')


def test_stream_reaches_a_caller_that_reads_slowly(
    start_entry, slow_client, monkeypatch
):
    """Guards against a caller cut off while the kernel sends to it.

    The socket takes no more bytes before a part of its buffer is read.
    """
    monkeypatch.setattr(sink, 'STALL_SECONDS', 0.4)
    monkeypatch.setattr(streams, 'FLUSH_TIMEOUT_SECONDS', 0.4)

    def handle(request):
        request.begin()
        for index in range(500):
            event = fakes.make_event(request.attempt_id, index)
            request.send(event.replace(b'"t', b'"' + BIG + b't'))
        request.send(b'data: [DONE]\n\n')
        request.end()

    entry = start_entry(handle)
    client = slow_client(entry)
    client.request(
        'POST',
        '/v1/chat/completions',
        BODY,
        {'Authorization': 'Bearer k1'},
    )
    response = client.getresponse()
    body = b''
    while part := response.read(1 << 16):
        body += part
        time.sleep(0.05)
    assert body.count(b'data: ') == 501 and body.endswith(b'[DONE]\n\n')


@pytest.mark.parametrize(
    'part_bytes, pause', [(1 << 19, 0.1), (1 << 16, 0.05)]
)
def test_response_reaches_a_caller_that_reads_slowly(
    start_entry, slow_client, monkeypatch, part_bytes, pause
):
    """Guards against a response cut while its caller still reads it."""
    monkeypatch.setattr(connection, 'WRITE_TIMEOUT_SECONDS', 0.5)
    body = b'"' + b'x' * (8 << 20) + b'"'
    entry = start_entry(lambda request: request.answer(body))
    client = slow_client(entry)
    client.request(
        'POST',
        '/v1/chat/completions',
        BODY.replace(b'true', b'false'),
        {'Authorization': 'Bearer k1'},
    )
    response = client.getresponse()
    received = b''
    while len(received) < len(body):
        part = response.read(part_bytes)
        assert part
        received += part
        time.sleep(pause)
    assert received == body


def test_drain_finishes_running_requests(start_entry):
    """Guards against a shutdown that interrupts a running request."""
    entry = start_entry(lambda request: request.stream(40, 0.01))
    started = threading.Semaphore(0)

    def send():
        client = entry.connect()
        client.request(
            'POST',
            '/v1/chat/completions',
            BODY,
            {'Authorization': 'Bearer k1'},
        )
        response = client.getresponse()
        started.release()
        return response.read()

    with concurrent.futures.ThreadPoolExecutor(16) as pool:
        futures = [pool.submit(send) for _ in range(16)]
        for _ in futures:
            assert started.acquire(timeout=20)
        entry.app.drain()
        assert entry.send_request('GET', '/readyz')[0] == 503
        assert entry.send_request('GET', '/livez')[0] == 200
        status, headers, body = entry.chat()
        assert (status, headers['Connection']) == (503, 'close')
        assert msgspec.json.decode(body)['error']['code'] == 144
        assert entry.server.wait_for_requests(time.monotonic() + 20)
        entry.server.close()
        for future in futures:
            assert future.result().count(b'data: ') == 41


def test_body_is_read_incrementally(start_entry):
    """Guards against uploads that are buffered as a whole or truncated."""
    entry = start_entry(lambda request: None)
    stream_types = []

    def handle(request):
        stream_types.append(type(request.stream).__name__)
        chunks = iter(lambda: request.stream.read(65536), b'')
        return refusals.make_json(sum(map(len, chunks)))

    entry.app.add_route('POST', '/upload', handle)
    client = entry.connect()
    for _ in range(2):
        _, _, body = entry.send_request(
            'POST', '/upload', b'abc\n' * 50000, client=client
        )
        assert body == b'200000'
    assert stream_types == ['BodyStream'] * 2


def test_slow_body_is_refused(start_entry):
    """Guards against a time limit that covers each read but not the body."""
    entry = start_entry(lambda request: None)
    with open_raw(entry) as raw:
        raw.sendall(HEAD + b'Content-Length: 1000\r\n\r\n')
        raw.settimeout(0.1)
        for _ in range(200):
            try:
                raw.sendall(b'x')
                response = raw.recv(65536)
                break
            except TimeoutError:
                continue
    assert b'BODY_INCOMPLETE' in response


def test_connection_above_limit_is_refused(start_entry):
    """Guards against accepting more connections than can be served."""
    entry = start_entry(lambda request: None)
    entry.server.max_connections = 1
    with open_raw(entry), open_raw(entry) as second:
        response = read_all(second)
    assert b'503' in response and b'QUEUE_FULL' in response
    assert b'"not_run":true' in response and b'X-Request-Id' in response


def test_request_without_thread_is_served_later(start_entry, monkeypatch):
    """Guards against a host that accepts nothing after a failed start."""
    entry = start_entry(lambda request: request.answer(b'{}'))
    failures = [RuntimeError("can't start new thread")]
    start = threading.Thread.start

    def start_later(thread):
        if failures and thread.name.startswith('entry-request'):
            raise failures.pop()
        start(thread)

    monkeypatch.setattr(threading.Thread, 'start', start_later)
    assert entry.chat(stream=False)[0] == 200
    assert not failures
    assert entry.chat(stream=False)[0] == 200


def test_error_while_polling_does_not_end_the_server(start_entry, monkeypatch):
    """Guards against a host that accepts nothing after one error."""
    entry = start_entry(lambda request: request.answer(b'{}'))
    failures = [OSError('no space for another descriptor')]
    add_idle = entry.server.add_idle

    def add_later(handler):
        if failures:
            raise failures.pop()
        add_idle(handler)

    monkeypatch.setattr(entry.server, 'add_idle', add_later)
    with open_raw(entry) as raw:
        assert raw.recv(1) == b''
    deadline = time.monotonic() + 20
    while entry.server.open_connections and time.monotonic() < deadline:
        time.sleep(0.01)
    assert not entry.server.open_connections
    assert entry.chat(stream=False)[0] == 200
