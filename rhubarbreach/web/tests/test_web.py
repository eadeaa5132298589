"""Tests of HTTP parsing, limits, and ends of connections."""

import socket
import threading

import pytest

from rhubarbreach.catalog import model
from rhubarbreach import clock
from rhubarbreach.web import client
from rhubarbreach.web import errors
from rhubarbreach.web import events
from rhubarbreach.web import parse
from rhubarbreach.web import server
from rhubarbreach.web import sockets

LIMITS = model.CallerLimits(512, 2048, 0.4, 1.0)


@pytest.fixture
def requests():
    return []


@pytest.fixture
def web_server(requests):
    def handle(connection, request):
        requests.append(request)
        connection.send_response(200, ((b'X-Test', b'1'),), request.body)

    started = server.Server('127.0.0.1:0', handle, lambda: LIMITS, 'test')
    yield started
    started.close()


def connect(web_server):
    return socket.create_connection(('127.0.0.1', web_server.port), 5)


def read_all(connection):
    data = b''
    while chunk := connection.recv(65536):
        data += chunk
    return data


def test_requests_on_one_connection(web_server, requests):
    with connect(web_server) as caller:
        caller.sendall(b'POST /a?b=c HTTP/1.1\r\nContent-Length: 2\r\n\r\nxy')
        assert caller.recv(4096).endswith(b'\r\n\r\nxy')
        caller.sendall(
            b'POST /d HTTP/1.1\r\nTransfer-Encoding: chunked\r\n'
            b'Connection: close\r\n\r\n3\r\nabc\r\n0\r\n\r\n'
        )
        assert read_all(caller).endswith(b'Connection: close\r\n\r\nabc')
    assert [request.target for request in requests] == [b'/a?b=c', b'/d']
    assert requests[0].query == {'b': 'c'}


@pytest.mark.parametrize(
    ('data', 'status'),
    [
        (b'GET / HTTP/1.1\r\nA: ' + b'x' * 600 + b'\r\n\r\n', b' 431 '),
        (b'GET / HTTP/1.1\r\nA: ' + b'x' * 600, b' 431 '),
        (b'POST / HTTP/1.1\r\nContent-Length: 4000\r\n\r\n', b' 413 '),
        (b'nonsense\r\n\r\n', b' 400 '),
        (
            b'POST / HTTP/1.1\r\nContent-Length: 3\r\n'
            b'Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n',
            b' 400 ',
        ),
    ],
)
def test_invalid_request_is_refused(web_server, requests, data, status):
    # Guards against request smuggling: a request that is hidden in another one
    # would run on behalf of its caller.
    with connect(web_server) as caller:
        if status == b' 413 ':
            data += b'x' * 4000
        caller.sendall(data)
        assert status in read_all(caller).split(b'\r\n')[0]
    assert not requests


def test_announced_body_beyond_the_limit_is_refused_at_once(web_server):
    """Guards against a caller that sends a body which is then refused."""
    with connect(web_server) as caller:
        caller.sendall(
            b'POST / HTTP/1.1\r\nContent-Length: 4000\r\n'
            b'Expect: 100-continue\r\n\r\n'
        )
        assert read_all(caller).startswith(b'HTTP/1.1 413 ')


def test_slow_request_is_refused_and_not_run(web_server, requests):
    with connect(web_server) as caller:
        caller.sendall(b'GET / HTTP')
        assert b' 408 ' in read_all(caller)
    assert not requests


def test_drain_ends_idle_connections_only(web_server):
    with connect(web_server) as caller:
        caller.sendall(b'GET /a HTTP/1.1\r\n\r\n')
        caller.recv(4096)
        web_server.draining = True
        caller.sendall(b'GET /b HTTP/1.1\r\n\r\n')
        assert b'Connection: close' in caller.recv(4096)
    with connect(web_server) as caller:
        deadline = clock.monotonic() + 5
        caller.settimeout(0.05)
        while clock.monotonic() < deadline:
            web_server.close_idle()
            try:
                assert caller.recv(10) == b''
                return
            except TimeoutError:
                continue
    pytest.fail('idle connection was not ended')


def test_request_received_while_idle_connections_are_ended_is_served(
    monkeypatch,
):
    # The handler would take its caller for gone and drop the request.
    receive = sockets.receive
    callers = []

    def receive_beside_drain(connection, deadline):
        data = receive(connection, deadline)
        web_server.close_idle()
        return data

    def handle(connection, request):
        now = clock.monotonic()
        callers.append(sockets.wait_readable([connection.socket], now))
        connection.send_response(200)

    web_server = server.Server('127.0.0.1:0', handle, lambda: LIMITS, 'test')
    monkeypatch.setattr(sockets, 'receive', receive_beside_drain)
    try:
        with connect(web_server) as caller:
            caller.sendall(b'GET / HTTP/1.1\r\n\r\n')
            assert b' 200 ' in caller.recv(4096)
    finally:
        web_server.close()
    assert callers == [[]]


class Endpoint:
    """Endpoint that sends fixed bytes and ends or resets the connection."""

    def __init__(self, data, reset=False):
        self.listener = socket.create_server(('127.0.0.1', 0))
        self.address = f'127.0.0.1:{self.listener.getsockname()[1]}'
        self.data = data
        self.reset = reset
        threading.Thread(target=self.run, daemon=True).start()

    def run(self):
        connection, _ = self.listener.accept()
        connection.recv(65536)
        connection.sendall(self.data)
        if self.reset:
            linger = b'\1\0\0\0\0\0\0\0'
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        connection.close()


def send_request(endpoint):
    deadline = clock.monotonic() + 5
    data = client.encode_request('POST', b'/', (), b'')
    call = client.Call(endpoint.address, data, deadline, deadline)
    body = []
    try:
        while not call.is_complete:
            body.extend(call.read(deadline))
    finally:
        call.close()
    return call.head, b''.join(body)


def test_bytes_after_a_response_are_ignored():
    response = b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok'
    head, body = send_request(Endpoint(response + response))
    assert (head.status, body) == (200, b'ok')


def test_interim_response_is_skipped():
    head, body = send_request(
        Endpoint(
            b'HTTP/1.1 100 Continue\r\n\r\n'
            b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok'
        )
    )
    assert (head.status, body) == (200, b'ok')


def test_response_without_length_ends_with_the_connection():
    head, body = send_request(Endpoint(b'HTTP/1.1 200 OK\r\n\r\nall'))
    assert (head.status, body) == (200, b'all')


@pytest.mark.parametrize(
    ('data', 'reset'),
    [
        (b'HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nab', False),
        (
            b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab',
            False,
        ),
        (b'HTTP/1.1 200 OK\r\n\r\nall', True),
        (b'', False),
    ],
)
def test_truncated_response_is_an_error(data, reset):
    # Guards against passing a truncated response to the caller as a success.
    with pytest.raises(errors.ConnectionEndedError):
        send_request(Endpoint(data, reset))


def test_refused_connection_raises_connect_error():
    # Guards against an unknown outcome of a request that was never sent.
    with socket.create_server(('127.0.0.1', 0)) as listener:
        address = f'127.0.0.1:{listener.getsockname()[1]}'
    deadline = clock.monotonic() + 1
    with pytest.raises(errors.ConnectError):
        client.Call(address, b'x', deadline, deadline)


def test_invalid_response_is_an_error():
    parser = parse.ResponseParser()
    with pytest.raises(errors.BadMessageError):
        parser.feed(b'\x00\x01\x02 what\r\n\r\n')


def test_stream_is_split_into_complete_events():
    splitter = events.Splitter()
    assert splitter.feed(b'id: 1\ndata: a\n') == []
    assert splitter.feed(b'\nid: 2\nda') == [b'id: 1\ndata: a\n\n']
    blocks = splitter.feed(b'ta: b\n\nid: 3\n\n')
    assert [events.get_id(block) for block in blocks] == [2, 3]
    assert [events.get_data(block) for block in blocks] == [b'b', None]
    assert splitter.rest == b''


@pytest.mark.parametrize(
    'error', [RuntimeError('x'), errors.DeadlineError('x')]
)
def test_failure_within_a_response_adds_nothing_to_it(error):
    # Guards against the head of a refusal in the middle of a stream.
    def handle(connection, request):
        connection.send(b'HTTP/1.1 200 OK\r\n\r\nfirst')
        raise error

    failing = server.Server('127.0.0.1:0', handle, lambda: LIMITS, 'test')
    try:
        with connect(failing) as connection:
            connection.sendall(b'GET / HTTP/1.1\r\n\r\n')
            assert read_all(connection) == b'HTTP/1.1 200 OK\r\n\r\nfirst'
    finally:
        failing.close()


def test_stream_with_crlf_is_split_into_complete_events():
    # Guards against events that are held back until the end of their stream.
    splitter = events.Splitter()
    assert splitter.feed(b'id: 1\r\ndata: a\r\n\r') == []
    blocks = splitter.feed(b'\nid: 2\r\ndata: b\r\n\r\nid: 3')
    assert blocks == [
        b'id: 1\r\ndata: a\r\n\r\n',
        b'id: 2\r\ndata: b\r\n\r\n',
    ]
    assert [events.get_id(block) for block in blocks] == [1, 2]
    assert [events.get_data(block) for block in blocks] == [b'a', b'b']
    assert splitter.rest == b'id: 3'
