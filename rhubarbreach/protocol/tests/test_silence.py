"""Links whose connections go silent without a reset."""

import socket
import threading

import pytest

from rhubarbreach import clock
from rhubarbreach.protocol import hostmessages
from rhubarbreach.protocol import link as links
from rhubarbreach.protocol import messages

# What the transport sends on each new connection before any message.
GREETING_BYTES = 8
ADDRESSES = ('127.0.3.1', '127.0.3.2')


class Relay:
    """Listens in place of a host; its first connection swallows bytes."""

    def __init__(self, address, port, target_port):
        self.listener = socket.create_server((address, port))
        self.target = (address, target_port)
        self.accepted = 0
        self.open = []
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
            self.open += [connection, target]
            for source, sink in ((connection, target), (target, connection)):
                threading.Thread(
                    target=self.copy, args=(source, sink, silent), daemon=True
                ).start()

    def copy(self, source, sink, silent):
        # The greeting of the transport passes, so that the link is up.
        passed = 0
        while True:
            try:
                data = source.recv(65536)
                if not data:
                    return
                passing = data
                if silent:
                    passing = data[: max(0, GREETING_BYTES - passed)]
                sink.sendall(passing)
                passed += len(data)
            except OSError:
                return

    def close(self):
        for one in (self.listener, *self.open):
            one.close()


@pytest.fixture
def pair():
    with socket.create_server((ADDRESSES[0], 0)) as probe:
        port = probe.getsockname()[1]
    first = links.Link(
        ADDRESSES[0], f'{ADDRESSES[0]}:{port}', {}, None, common_port=port
    )
    second = links.Link(
        ADDRESSES[1], f'{ADDRESSES[1]}:{port + 1}', {}, None, common_port=port
    )
    relay = Relay(ADDRESSES[1], port, port + 1)
    yield first, second, relay
    for one in (first, second, relay):
        one.close()


def test_silent_connection_is_dialled_again(pair):
    first, second, relay = pair
    heard = threading.Event()
    second.register(
        hostmessages.HostOrder, lambda sender, message: heard.set()
    )
    began = clock.monotonic()
    while not heard.wait(0.1):
        first.send(ADDRESSES[1], hostmessages.HostOrder('drain', ''))
        # Hosts have to be in touch again 3 s after a silent reset.
        assert clock.monotonic() - began < 3.0
    assert relay.accepted >= 2


def test_two_messages_of_one_name_are_an_error():
    # The codec finds a message's class by its name.
    with pytest.raises(TypeError):

        @messages.frozen_message
        class HostOrder:
            """Another message."""
