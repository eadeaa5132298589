"""Tests of connections that stop delivering data without a reset."""

import socket
import threading

import pytest

from rhubarbreach import clock
from rhubarbreach.consensus.tests import ports
from rhubarbreach.protocol import hostmessages
from rhubarbreach.protocol import link as links
from rhubarbreach.protocol import messages

# The transport sends a handshake of this size on each new connection.
HANDSHAKE_BYTES = 8
ADDRESSES = ('127.0.3.1', '127.0.3.2')


class Proxy:
    """Proxy of a host that drops the messages of its first connection."""

    def __init__(self, address, port, target_port):
        self.listener = socket.create_server((address, port))
        self.target = (address, target_port)
        self.accepted = 0
        self.connections = []
        threading.Thread(target=self.run, daemon=True).start()

    def run(self):
        while True:
            try:
                connection, _ = self.listener.accept()
            except OSError:
                return
            self.accepted += 1
            silent = self.accepted == 1
            target = socket.create_connection(self.target)
            self.connections += [connection, target]
            for source, sink in ((connection, target), (target, connection)):
                threading.Thread(
                    target=self.copy, args=(source, sink, silent), daemon=True
                ).start()

    def copy(self, source, sink, silent):
        # The handshake is forwarded, so that the transport connects.
        received_bytes = 0
        while True:
            try:
                data = source.recv(65536)
                if not data:
                    return
                forwarded = data
                if silent:
                    forwarded = data[
                        : max(0, HANDSHAKE_BYTES - received_bytes)
                    ]
                sink.sendall(forwarded)
                received_bytes += len(data)
            except OSError:
                return

    def close(self):
        for opened in (self.listener, *self.connections):
            opened.close()


@pytest.fixture
def pair():
    port, second_port = (ports.find_port(ADDRESSES) for _ in range(2))
    first = links.Link(
        ADDRESSES[0], f'{ADDRESSES[0]}:{port}', {}, None, common_port=port
    )
    second = links.Link(
        ADDRESSES[1],
        f'{ADDRESSES[1]}:{second_port}',
        {},
        None,
        common_port=port,
    )
    proxy = Proxy(ADDRESSES[1], port, second_port)
    yield first, second, proxy
    for opened in (first, second, proxy):
        opened.close()


def test_silent_connection_is_dialled_again(pair):
    """Guards against messages lost on a connection that failed silently."""
    first, second, proxy = pair
    received = threading.Event()
    second.register(
        hostmessages.HostOrder, lambda sender, message: received.set()
    )
    start = clock.monotonic()
    while not received.wait(0.1):
        first.send(ADDRESSES[1], hostmessages.HostOrder('drain', ''))
        # Hosts have to be connected again within 3 s after a connection
        # stops delivering data.
        assert clock.monotonic() - start < 3.0
    assert proxy.accepted >= 2


def test_second_message_class_with_the_same_name_raises_type_error():
    """Guards against ambiguous types: the codec looks classes up by name."""
    with pytest.raises(TypeError):

        @messages.frozen_message
        class HostOrder:
            """Second message class of this name."""
