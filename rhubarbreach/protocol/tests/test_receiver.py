"""Tests of the bound on the connections to a link."""

import contextlib
import socket
import struct
import time

import pytest

from rhubarbreach import clock
from rhubarbreach.consensus.tests import ports
from rhubarbreach.protocol import codec
from rhubarbreach.protocol import framing
from rhubarbreach.protocol import hostmessages
from rhubarbreach.protocol import link as links
from rhubarbreach.protocol import receiver

GREETING = receiver.GREETING + b'\0\0'
MAX_CONNECTIONS = 4
WAIT_SECONDS = 5.0


@pytest.fixture
def link():
    address = ports.find_address()
    opened = links.Link(
        'host-1', address, {}, None, max_connections=MAX_CONNECTIONS
    )
    yield opened
    opened.close()


@pytest.fixture
def connect(link):
    """Return a function that connects to the link and sends bytes."""
    host, _, port = link.listen.rpartition(':')
    with contextlib.ExitStack() as stack:

        def connect(data=b''):
            connection = socket.create_connection((host, int(port)))
            connection.settimeout(WAIT_SECONDS)
            stack.callback(connection.close)
            connection.sendall(data)
            return connection

        yield connect


def encode_message(sender='host-2'):
    envelope = codec.Envelope(sender, 0, False, 0, hostmessages.LinkProbe())
    (frame,) = framing.split_message(codec.encode(envelope))
    return struct.pack('!Q', len(frame)) + frame


def wait_until(is_met):
    deadline = clock.monotonic() + WAIT_SECONDS
    while not is_met():
        assert clock.monotonic() < deadline
        time.sleep(0.005)


def is_ended(connection):
    """Return whether the link has ended a connection."""
    try:
        while connection.recv(64):
            pass
    except TimeoutError:
        return False
    except ConnectionError:
        return True
    return True


def is_open(connection):
    connection.settimeout(0.2)
    return not is_ended(connection)


def test_greeting_in_pieces_is_accepted(link, connect):
    """Guards against a bound that refuses a host on a slow network."""
    connection = connect(GREETING[:3])
    time.sleep(0.05)
    connection.sendall(GREETING[3:] + encode_message())
    wait_until(lambda: link.receiver.heard)
    assert len(connection.recv(64)) == len(GREETING)


def test_other_greeting_is_refused_at_once(connect):
    """Guards against strangers that hold connections for the whole time."""
    assert is_ended(connect(b'GET / HTTP/1.1\r\n'))


def test_silent_connections_give_way_to_a_host(link, connect):
    """Guards against a crowd that keeps a host from its peers."""
    silent = [connect() for _ in range(MAX_CONNECTIONS)]
    wait_until(lambda: len(link.receiver.waiting) == MAX_CONNECTIONS)
    connect(GREETING + encode_message())
    wait_until(lambda: link.receiver.heard)
    assert is_ended(silent[0])
    assert is_open(silent[1])


def test_known_hosts_stay_beside_a_crowd(link, connect):
    """Guards against a crowd that takes the place of hosts."""
    known = connect(GREETING + encode_message())
    wait_until(lambda: link.receiver.heard)
    for _ in range(5 * MAX_CONNECTIONS):
        connect(GREETING)
    wait_until(lambda: link.receiver.ended_for_room >= 4 * MAX_CONNECTIONS)
    assert len(link.receiver.connections) <= MAX_CONNECTIONS
    assert is_open(known)


def test_host_that_was_heard_last_stays(link, connect):
    """Guards against ending a connection in use in place of an old one."""
    made = []
    for count in range(MAX_CONNECTIONS):
        made.append(connect(GREETING + encode_message()))
        wait_until(lambda count=count: len(link.receiver.heard) > count)
    first, second, *_ = made
    oldest = next(iter(link.receiver.heard))
    first.sendall(encode_message())
    wait_until(lambda: next(iter(link.receiver.heard)) != oldest)
    connect(GREETING)
    assert is_ended(second)
    assert is_open(first)


def test_ended_connections_are_not_counted(link, connect):
    """Guards against a bound that shrinks with each connection."""
    for _ in range(3 * MAX_CONNECTIONS):
        connect(GREETING + encode_message()).close()
        connect().close()
    wait_until(lambda: len(link.receiver.connections) == 0)


def test_messages_of_another_host_end_a_connection(link, connect):
    """Guards against a peer for each of any number of invented senders."""
    connection = connect(GREETING + encode_message('host-2'))
    wait_until(lambda: link.receiver.heard)
    connection.sendall(encode_message('host-3'))
    assert is_ended(connection)
    assert link.rejected == 1


def test_peers_that_never_connect_give_way():
    """Guards against peers without bound, and against none for a new host."""
    port = ports.find_port(('127.0.3.1',))
    link = links.Link(
        '127.0.3.1',
        f'127.0.3.1:{port}',
        {},
        None,
        common_port=port,
        max_connections=MAX_CONNECTIONS,
    )
    with contextlib.closing(link):
        probe = hostmessages.LinkProbe()
        for number in range(MAX_CONNECTIONS):
            assert link.send(f'127.0.4.{number}', probe)
        assert not link.send('127.0.4.100', probe)
        for peer in link.peers.values():
            peer.connect_deadline = 0.0
        assert link.send('127.0.4.100', probe)
        assert len(link.peers) == MAX_CONNECTIONS
        assert '127.0.4.0' not in link.peers


def test_rejected_messages_are_logged_at_a_bounded_rate(link, connect, capsys):
    """Guards against a log that a stranger fills."""
    frame = framing.HEADER.pack(0, 1) + b'x'
    connect(GREETING + 1000 * (struct.pack('!Q', len(frame)) + frame))
    wait_until(lambda: link.rejected == 1000)
    assert capsys.readouterr().err.count('event=message_rejected') <= 5


def test_connection_that_ends_twice_leaves_the_next_one(link, connect):
    """Guards against a descriptor that a new connection has taken."""
    first = connect(GREETING + encode_message())
    wait_until(lambda: link.receiver.heard)
    (ended,) = link.receiver.connections.values()
    first.close()
    wait_until(lambda: not link.receiver.connections)
    connect(GREETING + encode_message())
    wait_until(lambda: link.receiver.heard)
    (kept,) = link.receiver.connections.values()
    assert kept.descriptor == ended.descriptor
    link.receiver.end(ended)
    assert link.receiver.connections == {kept.descriptor: kept}
