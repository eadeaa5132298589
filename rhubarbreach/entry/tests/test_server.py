"""Tests of connections: bad senders, slow and lost callers, drain."""

import concurrent.futures
import socket
import struct
import threading
import time

import msgspec
import pytest

from rhubarbreach.dispatch import sink
from rhubarbreach.dispatch.tests import fakes
from rhubarbreach.entry import refusals

HEAD = (
    b'POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\n'
    b'Authorization: Bearer k1\r\n'
)
BODY = b'{"model":"rota","messages":[],"stream":true}'
STREAM = HEAD + b'Content-Length: %d\r\n\r\n' % len(BODY) + BODY
BIG = b'x' * 8000


def open_raw(entry):
    """Return a socket to the entry."""
    return socket.create_connection(('127.0.0.1', entry.server.port), 20)


def read_all(raw):
    """Return all bytes until the connection is closed."""
    data = b''
    while part := raw.recv(65536):
        data += part
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
def test_bad_senders(start_entry, data, name):
    """Guards against hanging on a bad sender, or running its request."""
    entry = start_entry(lambda request: None)
    with open_raw(entry) as raw:
        raw.sendall(data)
        answer = read_all(raw)
    assert name in answer and b'"not_run":true' in answer
    assert not entry.endpoint.requests


def test_chunked_and_pipelined(start_entry):
    """Guards against mixing up requests that arrive in one piece."""
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
        answer = read_all(raw)
    assert answer.index(body % 1) < answer.index(body % 2)


def test_caller_gone(start_entry):
    """Guards against running on for a caller that hung up."""

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


def test_slow_caller_beside_fast_one(start_entry, monkeypatch):
    """Guards against a slow caller that delays others or takes memory."""
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
    status, _, answer = entry.chat(stream=True)
    assert status == 200 and answer.count(b'data: ') == 201
    entry.endpoint.wait_for(entry.endpoint.cancelled)
    assert entry.metrics.get_count(
        'dispatch_callers_lost_total', reason='slow'
    )
    slow.setsockopt(
        socket.SOL_SOCKET, socket.SO_LINGER, struct.pack('ii', 1, 0)
    )
    slow.close()


def test_drain_under_load_cuts_nothing(start_entry):
    """Guards against a shutdown that interrupts a running request."""
    entry = start_entry(lambda request: request.stream(40, 0.01))
    began = threading.Semaphore(0)

    def send():
        client = entry.connect()
        client.request(
            'POST',
            '/v1/chat/completions',
            BODY,
            {'Authorization': 'Bearer k1'},
        )
        response = client.getresponse()
        began.release()
        return response.read()

    with concurrent.futures.ThreadPoolExecutor(16) as pool:
        answers = [pool.submit(send) for _ in range(16)]
        for _ in answers:
            assert began.acquire(timeout=20)
        entry.app.drain()
        assert entry.ask('GET', '/readyz')[0] == 503
        assert entry.ask('GET', '/livez')[0] == 200
        status, headers, body = entry.chat()
        assert (status, headers['Connection']) == (503, 'close')
        assert msgspec.json.decode(body)['error']['code'] == 144
        assert entry.server.wait_quiet(time.monotonic() + 20)
        entry.server.close()
        for answer in answers:
            assert answer.result().count(b'data: ') == 41


def test_body_read_piece_by_piece(start_entry):
    """Guards against uploads that are held in memory as a whole or cut."""
    entry = start_entry(lambda request: None)
    seen = []

    def handle(request):
        seen.append(type(request.stream).__name__)
        pieces = iter(lambda: request.stream.read(65536), b'')
        return refusals.make_json(sum(map(len, pieces)))

    entry.app.add_route('POST', '/upload', handle)
    client = entry.connect()
    for _ in range(2):
        _, _, body = entry.ask(
            'POST', '/upload', b'abc\n' * 50000, client=client
        )
        assert body == b'200000'
    assert seen == ['BodyStream'] * 2
