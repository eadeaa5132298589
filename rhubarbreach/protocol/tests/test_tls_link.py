"""Tests of links with mutual TLS."""

import contextlib
import pathlib
import socket
import ssl
import time

import pytest

from rhubarbreach.bench import certificates
from rhubarbreach import clock
from rhubarbreach import codes
from rhubarbreach.consensus.tests import ports
from rhubarbreach.protocol import link as links
from rhubarbreach.protocol import membermessages
from rhubarbreach.protocol import receiver
from rhubarbreach.protocol import tls

WAIT_SECONDS = 5.0
MAX_CONNECTIONS = 4
PROBE = membermessages.Probe(4, ())


def get_files(folder, name):
    folder = pathlib.Path(folder)
    return tls.TlsFiles(
        str(folder / 'ca.crt'),
        str(folder / f'{name}.crt'),
        str(folder / f'{name}.key'),
    )


@pytest.fixture(scope='module')
def folder(tmp_path_factory):
    """Certificates of two hosts, and of a host of another fleet."""
    made = tmp_path_factory.mktemp('tls')
    certificates.write_certificates(made, ['host-1', 'host-2'])
    certificates.write_certificates(made / 'other', ['host-2'])
    return made


@pytest.fixture
def server(folder):
    """Link of a host that answers probes."""
    opened = links.Link(
        'host-1',
        ports.find_address(),
        {},
        get_files(folder, 'host-1'),
        max_connections=MAX_CONNECTIONS,
    )
    opened.register(
        membermessages.Probe,
        lambda sender, probe: membermessages.ProbeReply(probe.sequence, ()),
    )
    with contextlib.closing(opened):
        yield opened


def call(server, host_id, files):
    """Return the reply to a call of a host, or a refusal."""
    link = links.Link(
        host_id, ports.find_address(), {'host-1': server.listen}, files
    )
    server.set_peer(host_id, link.listen)
    with contextlib.closing(link):
        deadline = clock.monotonic() + 1.0
        return link.call('host-1', PROBE, deadline).result()


def connect(server):
    host, _, port = server.listen.rpartition(':')
    return socket.create_connection((host, int(port)), WAIT_SECONDS)


def wait_until(is_met):
    deadline = clock.monotonic() + WAIT_SECONDS
    while not is_met():
        assert clock.monotonic() < deadline
        time.sleep(0.005)


def test_host_with_its_certificate_is_answered(server, folder):
    """Guards against a handshake that the library of a peer fails."""
    reply = call(server, 'host-2', get_files(folder, 'host-2'))
    assert reply == membermessages.ProbeReply(4, ())


def test_certificate_of_another_host_is_rejected(server, folder):
    """Guards against a host that speaks for another one."""
    files = get_files(folder, 'host-1')
    reply = call(server, 'host-2', files)
    assert isinstance(reply, codes.Refusal)
    assert server.rejected


def test_certificate_of_another_authority_is_refused(server, folder):
    """Guards against hosts of another fleet."""
    files = get_files(folder / 'other', 'host-2')
    reply = call(server, 'host-2', files)
    assert isinstance(reply, codes.Refusal)
    assert not server.received_bytes


def test_peer_without_a_certificate_is_refused(server):
    """Guards against a link that is open to all."""
    context = ssl.create_default_context()
    context.check_hostname = False
    context.verify_mode = ssl.CERT_NONE
    with (
        pytest.raises(OSError),
        context.wrap_socket(connect(server)) as connection,
    ):
        connection.sendall(receiver.GREETING + bytes(2))
        while connection.recv(64):
            pass
        raise ConnectionError('ended in order')
    wait_until(lambda: not server.receiver.connections)


def test_handshakes_that_do_not_end_give_way(server, folder):
    """Guards against strangers that keep hosts from connecting."""
    with contextlib.ExitStack() as stack:
        for _ in range(2 * MAX_CONNECTIONS):
            stack.enter_context(contextlib.closing(connect(server)))
        wait_until(lambda: server.receiver.ended_for_room)
        reply = call(server, 'host-2', get_files(folder, 'host-2'))
        assert reply == membermessages.ProbeReply(4, ())
        assert len(server.receiver.connections) <= MAX_CONNECTIONS
