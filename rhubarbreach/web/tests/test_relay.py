"""Tests of the port at which an entry host connects for others."""

import types

import pytest

from rhubarbreach import clock
from rhubarbreach.observe import metrics
from rhubarbreach.web import buffers
from rhubarbreach.web import client
from rhubarbreach.web import errors
from rhubarbreach.web import relay
from rhubarbreach.web import server
from rhubarbreach.web import transport

MAX_CONNECTIONS = 4


@pytest.fixture
def port():
    """Return the port of a relay that reaches no endpoint."""

    def connect(endpoint_id, deadline, size):
        match endpoint_id:
            case 'refused':
                raise errors.ConnectRefusedError('')
            case 'silent':
                raise errors.ConnectError('')
        raise transport.RelayUnavailableError('')

    relay_server = server.Server(
        '127.0.0.1:0',
        relay.Relay(connect, buffers.UNLIMITED, metrics.Metrics()).handle,
        lambda: types.SimpleNamespace(
            max_header_bytes=16384,
            max_body_bytes=0,
            header_timeout=1.0,
            idle_timeout=5.0,
        ),
        'relay',
        max_connections=MAX_CONNECTIONS,
    )
    yield relay_server.port
    relay_server.close()


def open_relayed(port, endpoint_id):
    """Return the error of a relayed connection that is not made."""
    opening = transport.RelayedOpening(
        f'127.0.0.1:{port}', endpoint_id, 0.1, None
    )
    deadline = clock.monotonic() + 5.0
    while not opening.has_ended:
        assert transport.sockets.wait(opening.socket, opening.events, deadline)
        opening.advance()
    return opening.error


@pytest.mark.parametrize(
    ('endpoint_id', 'error'),
    [
        ('refused', errors.ConnectRefusedError),
        ('silent', errors.ConnectError),
        ('unknown', transport.RelayUnavailableError),
        ('odd id / \u00e9 %', transport.RelayUnavailableError),
    ],
)
def test_caller_learns_why_there_is_no_connection(port, endpoint_id, error):
    """Guards against a verdict on an endpoint that was not tried."""
    assert type(open_relayed(port, endpoint_id)) is error


@pytest.mark.parametrize(
    'request_bytes',
    [
        b'POST /relay/zz HTTP/1.1\r\nSeconds: 1\r\n\r\n',
        b'POST /relay/6f HTTP/1.1\r\n\r\n',
        b'POST /relay/6f HTTP/1.1\r\nSeconds: nan\r\n\r\n',
        b'POST /relay/6f HTTP/1.1\r\nSeconds: -1\r\n\r\n',
        b'POST /other HTTP/1.1\r\nSeconds: 1\r\n\r\n',
    ],
)
def test_odd_call_is_refused(port, request_bytes):
    """Guards against connections for callers that are no entry hosts."""
    now = clock.monotonic()
    call = client.Call(
        f'127.0.0.1:{port}', request_bytes, now + 1.0, now + 1.0
    )
    while call.head is None:
        call.read(now + 5.0)
    assert call.head.status == 400
    call.close()


def test_relay_that_does_not_listen_is_unavailable(port):
    """Guards against a lost relay that looks like a closed endpoint."""
    error = open_relayed(1, 'refused')
    assert type(error) is transport.RelayUnavailableError
