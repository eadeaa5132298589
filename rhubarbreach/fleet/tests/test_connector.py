"""Tests of connections to endpoints through another entry host."""

import socket
import threading
import time
import types

import pytest

from rhubarbreach import clock
from rhubarbreach.fleet import choice
from rhubarbreach.fleet import connector as connectors
from rhubarbreach.fleet import paths
from rhubarbreach.observe import metrics
from rhubarbreach.web import client
from rhubarbreach.web import errors
from rhubarbreach.web import relay
from rhubarbreach.web import server
from rhubarbreach.web import sockets
from rhubarbreach.web import transport

HEAD = b'HTTP/1.1 200 OK\r\n\r\n'
REQUEST = b'GET / HTTP/1.1\r\n\r\n'
CONNECT_SECONDS = 0.15
WAIT_SECONDS = 5.0


class Endpoint:
    """Endpoint that runs a function on each connection."""

    def __init__(self, number):
        self.listener = socket.create_server(('127.0.0.1', 0))
        host, port = self.listener.getsockname()
        self.endpoint = choice.Endpoint(
            f'e{number}', 's', f'{host}:{port}', 'z', 8
        )
        self.connections = []
        self.answer = lambda connection: connection.sendall(HEAD + b'body')
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self):
        """Accept connections until the listener is closed."""
        while True:
            try:
                connection, _ = self.listener.accept()
            except OSError:
                return
            self.connections.append(connection)
            threading.Thread(
                target=self.serve, args=(connection,), daemon=True
            ).start()

    def serve(self, connection):
        """Read a request, answer it and close the connection."""
        with connection:
            self.first_bytes = len(connection.recv(65536))
            if self.first_bytes:
                self.answer(connection)

    def close(self):
        """Close the port."""
        sockets.close_socket(self.listener)


def reset(connection):
    """Reset a connection."""
    connection.setsockopt(
        socket.SOL_SOCKET, socket.SO_LINGER, b'\x01\0\0\0\0\0\0\0'
    )
    connection.close()


@pytest.fixture
def fleet(monkeypatch):
    """Return two endpoints, a relay, and a host whose links may be cut.

    `fleet.cut` is None, `refused` or `silent`. The relay is not affected.
    """
    fleet = types.SimpleNamespace(
        cut=None, endpoints=[Endpoint(1), Endpoint(2)], is_serving=True
    )
    full = socket.create_server(('127.0.0.1', 0), backlog=0)
    # The queue of the listener holds one, and drops what comes after it.
    waiting = socket.create_connection(full.getsockname())
    closed = socket.create_server(('127.0.0.1', 0))
    addresses = {
        'refused': '{}:{}'.format(*closed.getsockname()),
        'silent': '{}:{}'.format(*full.getsockname()),
    }
    closed.close()

    class CutOpening(transport.DirectOpening):
        def __init__(self, address, buffer_size):
            super().__init__(addresses.get(fleet.cut, address), buffer_size)

    def connect(endpoint_id, deadline, size):
        if not fleet.is_serving:
            raise transport.RelayUnavailableError('')
        address = next(
            e.endpoint.address
            for e in fleet.endpoints
            if e.endpoint.endpoint_id == endpoint_id
        )
        return sockets.connect(address, deadline, size)

    fleet.relay = server.Server(
        '127.0.0.1:0',
        relay.Relay(
            connect, client.buffers.UNLIMITED, metrics.Metrics()
        ).handle,
        lambda: types.SimpleNamespace(
            max_header_bytes=16384,
            max_body_bytes=0,
            header_timeout=1.0,
            idle_timeout=5.0,
        ),
        'relay',
    )
    fleet.relays = types.SimpleNamespace(
        hosts=['127.0.0.1'],
        avoided=[],
        find=lambda now, has_leader: list(fleet.relays.hosts),
        avoid=lambda host_id, now: fleet.relays.avoided.append(host_id),
    )
    fleet.connector = connectors.Connector(
        paths.Paths(), fleet.relays, fleet.relay.port, lambda: True
    )
    monkeypatch.setattr(transport, 'DirectOpening', CutOpening)
    yield fleet
    fleet.relay.close()
    for endpoint in fleet.endpoints:
        endpoint.close()
    waiting.close()
    full.close()


def call(fleet, number=0, request=REQUEST):
    """Send a request to an endpoint; return the response."""
    endpoint = fleet.endpoints[number].endpoint
    now = clock.monotonic()
    sent = client.Call(
        endpoint.address,
        request,
        now + CONNECT_SECONDS,
        now + WAIT_SECONDS,
        connect=lambda deadline, size: fleet.connector.connect(
            endpoint, deadline, size
        ),
    )
    try:
        parts = []
        while not sent.is_complete:
            parts += sent.read(now + WAIT_SECONDS)
        return b''.join(parts)
    finally:
        sent.close()


def doubt(fleet):
    """Let the host miss both endpoints."""
    for number in (0, 1):
        with pytest.raises(errors.ConnectError):
            call(fleet, number)


def test_sound_host_uses_no_relay(fleet):
    fleet.relays.hosts = None
    assert call(fleet) == b'body'


@pytest.mark.parametrize('cut', ['refused', 'silent'])
def test_cut_off_host_is_served_through_a_relay(fleet, cut):
    """Guards against requests that only their own host cannot send."""
    fleet.cut = cut
    with pytest.raises(errors.ConnectError):
        call(fleet)
    for number in (1, 0):
        assert call(fleet, number) == b'body'
    assert fleet.connector.paths.is_cut_off
    started_at = time.monotonic()
    assert call(fleet) == b'body'
    assert time.monotonic() - started_at < connectors.HEAD_START_SECONDS


@pytest.mark.parametrize('cut', ['refused', 'silent'])
def test_links_are_used_again_after_a_cut(fleet, cut):
    """Guards against relays that stay in use."""
    test_cut_off_host_is_served_through_a_relay(fleet, cut)
    fleet.cut = None
    time.sleep(paths.PROBE_SECONDS)
    assert call(fleet) == b'body'
    assert not fleet.connector.paths.is_cut_off
    fleet.relays.hosts = None
    assert call(fleet) == b'body'


def test_endpoint_that_is_down_is_not_taken_for_a_lost_link(fleet):
    """Guards against an outage of endpoints that looks like a cut."""
    for endpoint in fleet.endpoints:
        endpoint.close()
    for number in (0, 1, 0):
        with pytest.raises(errors.ConnectRefusedError):
            call(fleet, number)
    assert not fleet.connector.paths.is_cut_off


def test_port_that_a_relay_finds_closed_costs_no_wait(fleet):
    """Guards against cut hosts that wait for endpoints that are down."""
    test_cut_off_host_is_served_through_a_relay(fleet, 'silent')
    fleet.endpoints[0].close()
    started_at = time.monotonic()
    with pytest.raises(errors.ConnectRefusedError):
        call(fleet)
    assert time.monotonic() - started_at < CONNECT_SECONDS


def test_request_that_nobody_can_send_fails_at_once(fleet):
    """Guards against waits for relays that do not exist."""
    fleet.cut = 'refused'
    fleet.relays.hosts = []
    doubt(fleet)
    started_at = time.monotonic()
    with pytest.raises(errors.ConnectError):
        call(fleet)
    assert time.monotonic() - started_at < 0.1


def test_relay_that_does_not_serve_is_replaced(fleet):
    """Guards against a lost relay that requests wait for."""
    fleet.cut = 'refused'
    # Nothing listens at the first address.
    fleet.relays.hosts = ['127.0.0.9', '127.0.0.1']
    with pytest.raises(errors.ConnectError):
        call(fleet)
    assert call(fleet, 1) == b'body'
    assert fleet.relays.avoided == ['127.0.0.9']
    fleet.relays.hosts = ['127.0.0.1']
    fleet.is_serving = False
    with pytest.raises(errors.ConnectError):
        call(fleet)


def test_host_that_may_be_cut_off_gives_no_verdict(fleet):
    """Guards against cut hosts that take each other's word."""
    for endpoint in fleet.endpoints:
        endpoint.close()
    first, second = (e.endpoint for e in fleet.endpoints)
    connect = fleet.connector.connect_for_other
    with pytest.raises(errors.ConnectRefusedError):
        connect(first, clock.monotonic() + CONNECT_SECONDS, None)
    for endpoint in (second, first):
        with pytest.raises(transport.RelayUnavailableError):
            connect(endpoint, clock.monotonic() + CONNECT_SECONDS, None)


def break_off(connection):
    """Send a part of a response without a length, and reset it."""
    connection.sendall(HEAD + b'part')
    time.sleep(0.05)
    reset(connection)


def test_relayed_response_that_breaks_off_is_not_whole(fleet):
    """Guards against a response without a length that looks complete."""
    fleet.cut = 'refused'
    doubt_once(fleet)
    fleet.endpoints[1].answer = break_off
    with pytest.raises(errors.ConnectionEndedError):
        call(fleet, 1)


def doubt_once(fleet):
    """Let the host miss one endpoint, so that it asks relays for others."""
    with pytest.raises(errors.ConnectError):
        call(fleet)


def test_response_is_not_whole_if_its_relay_is_lost(fleet):
    """Guards against an end of the relay that looks like one of a response."""
    fleet.cut = 'refused'
    doubt_once(fleet)
    released = threading.Event()

    def lose_relay(connection):
        connection.sendall(HEAD + b'part')
        time.sleep(0.05)
        threading.Thread(target=fleet.relay.close, daemon=True).start()
        released.wait(WAIT_SECONDS)

    fleet.endpoints[1].answer = lose_relay
    with pytest.raises(errors.ConnectionEndedError):
        call(fleet, 1)
    released.set()


def test_endpoint_stops_when_the_caller_of_a_relay_leaves(fleet):
    """Guards against runs for callers that have gone."""
    fleet.cut = 'refused'
    doubt_once(fleet)
    ended = threading.Event()

    def wait_for_end(connection):
        connection.sendall(HEAD + b'part')
        connection.settimeout(WAIT_SECONDS)
        try:
            connection.recv(1)
        except OSError:
            pass
        ended.set()

    fleet.endpoints[1].answer = wait_for_end
    endpoint = fleet.endpoints[1].endpoint
    found = fleet.connector.connect(
        endpoint, clock.monotonic() + CONNECT_SECONDS
    )
    found.send_all(REQUEST, clock.monotonic() + 1.0)
    time.sleep(0.1)
    sockets.close_socket(found.socket)
    assert ended.wait(0.4)


def test_long_bodies_pass_a_relay_in_both_directions(fleet):
    """Guards against a relay that stops at full buffers."""
    fleet.cut = 'refused'
    doubt_once(fleet)
    body = b'x' * 4_000_000
    received = []

    def answer_all(connection):
        size = fleet.endpoints[1].first_bytes
        while size < len(REQUEST + body):
            size += len(connection.recv(65536))
        received.append(size)
        connection.sendall(HEAD + body)

    fleet.endpoints[1].answer = answer_all
    assert call(fleet, 1, REQUEST + body) == body
    assert received == [len(REQUEST + body)]


def test_response_before_the_end_of_a_long_body_is_relayed(fleet):
    """Guards against a request that blocks its response."""
    fleet.cut = 'refused'
    doubt_once(fleet)
    released = threading.Event()

    def answer_early(connection):
        connection.sendall(b'HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody')
        released.wait(WAIT_SECONDS)

    fleet.endpoints[1].answer = answer_early
    assert call(fleet, 1, REQUEST + b'x' * 100_000) == b'body'
    released.set()


def test_port_that_others_reach_is_not_closed(fleet):
    """Guards against evidence of a crash by a host that has lost its links."""
    endpoint = fleet.endpoints[0].endpoint
    deadline = clock.monotonic() + WAIT_SECONDS
    check = fleet.connector.check_port
    assert check(endpoint, deadline) is connectors.PortState.OPEN
    fleet.endpoints[0].close()
    assert check(endpoint, deadline) is connectors.PortState.CLOSED
    other = fleet.endpoints[1].endpoint
    closed = types.SimpleNamespace(
        address=endpoint.address, endpoint_id=other.endpoint_id
    )
    assert check(closed, deadline) is connectors.PortState.OPEN_ELSEWHERE
