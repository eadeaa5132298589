"""Tests of the thread that sends to a peer."""

import pynng
import pytest

from rhubarbreach.protocol import framing
from rhubarbreach.protocol import peer as peers


@pytest.fixture
def receiver():
    """Socket of a peer."""
    with pynng.Pull0(recv_timeout=5000) as socket:
        socket.listen('tcp://127.0.0.1:0')
        yield socket


def test_messages_are_sent_after_an_unexpected_error(receiver, monkeypatch):
    """Guards against a host that no longer sends to one of its peers."""
    address = str(receiver.listeners[0].local_address)
    peer = peers.Peer('peer', address, None)
    split_message = framing.split_message

    def split(data):
        if data == b'first':
            raise MemoryError
        return split_message(data)

    monkeypatch.setattr(framing, 'split_message', split)
    peer.put(b'first')
    peer.put(b'second')
    assert receiver.recv().endswith(b'second')
    peer.close()
