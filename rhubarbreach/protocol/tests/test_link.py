"""Tests of the link between hosts."""

import contextlib
import socket
import time

import pytest

from rhubarbreach import clock
from rhubarbreach import codes
from rhubarbreach.consensus.tests import ports
from rhubarbreach.protocol import framing
from rhubarbreach.protocol import link
from rhubarbreach.protocol import membermessages
from rhubarbreach.protocol import peer as peer_task
from rhubarbreach.protocol import receiver


@pytest.fixture
def pair():
    first, second = ports.find_address(), ports.find_address()
    with contextlib.ExitStack() as stack:
        links = (
            link.Link('host-1', first, {'host-2': second}, None),
            link.Link('host-2', second, {'host-1': first}, None),
        )
        for opened in links:
            stack.callback(opened.close)
        yield links


def answer_probe(sender_id, probe):
    return membermessages.ProbeReply(probe.sequence + 1, ())


def call_until_reply(sender, peer_id, message):
    end = clock.monotonic() + 5
    while clock.monotonic() < end:
        future = sender.call(peer_id, message, clock.monotonic() + 1)
        result = future.result()
        if not isinstance(result, codes.Refusal):
            return result
    raise AssertionError('no reply')


def wait_until_empty(values):
    end = clock.monotonic() + 5
    while values:
        assert clock.monotonic() < end
        time.sleep(0.01)


def test_call_gets_the_reply_of_the_handler(pair):
    """Guards against replies that do not complete their call."""
    pair[1].register(membermessages.Probe, answer_probe)
    reply = call_until_reply(pair[0], 'host-2', membermessages.Probe(4, ()))
    assert reply == membermessages.ProbeReply(5, ())


def test_call_to_an_unknown_peer_is_refused_as_not_run(pair):
    """Guards against an unknown outcome of a call that was never sent."""
    future = pair[0].call('nobody', membermessages.Probe(1, ()), 0)
    assert future.result().ran == codes.Ran.NO


def test_message_of_a_closed_connection_does_not_end_the_link(pair):
    """Guards against a host that receives no messages any more.

    The receiver thread ended with an exception, and calls never completed.
    """
    host, _, port = pair[1].listen.rpartition(':')
    frame = framing.HEADER.pack(0, 1) + b'x'
    data = receiver.GREETING + b'\0\0' + receiver.LENGTH.pack(len(frame))
    with socket.create_connection((host, int(port))) as connection:
        connection.sendall(data + frame)
    with socket.create_connection((host, int(port))) as connection:
        connection.sendall(data + frame[:-1])
    pair[1].register(membermessages.Probe, answer_probe)
    reply = call_until_reply(pair[0], 'host-2', membermessages.Probe(4, ()))
    assert reply == membermessages.ProbeReply(5, ())
    end = clock.monotonic() + 5
    while len(pair[1].receiver.connections) > 1:
        assert clock.monotonic() < end
        time.sleep(0.01)
    assert pair[1].rejected == 1


def test_exception_in_the_receiver_does_not_end_the_link(pair, monkeypatch):
    """Guards against a receiver thread that ends with any exception."""
    faults = [MemoryError()]

    def expire_calls(now):
        if faults:
            raise faults.pop()

    monkeypatch.setattr(pair[1], 'expire_calls', expire_calls)
    wait_until_empty(faults)
    pair[1].register(membermessages.Probe, answer_probe)
    reply = call_until_reply(pair[0], 'host-2', membermessages.Probe(4, ()))
    assert reply == membermessages.ProbeReply(5, ())


def test_unreachable_peer_does_not_block_the_sender(pair):
    """Guards against a failed host that blocks the senders of the others."""
    pair[1].close()
    start = time.monotonic()
    for sequence in range(1000):
        pair[0].send('host-2', membermessages.Probe(sequence, ()))
    assert time.monotonic() - start < 5


def test_dropped_message_leaves_the_outcome_unknown(pair):
    """Guards against a lost message that is reported as not run."""
    pair[0].set_fault(lambda sender, receiver, message: [])
    deadline = clock.monotonic() + 0.3
    result = (
        pair[0].call('host-2', membermessages.Probe(1, ()), deadline).result()
    )
    assert result.ran == codes.Ran.UNKNOWN


def test_call_on_a_closed_link_completes(pair):
    """Guards against a call that never completes while a host stops."""
    pair[0].close()
    for peer_id in ('host-1', 'host-2'):
        deadline = clock.monotonic() + 60
        call = pair[0].call(peer_id, membermessages.Probe(1, ()), deadline)
        assert isinstance(call.result(timeout=5), codes.Refusal)


def test_late_reply_does_not_complete_a_call_after_a_restart(pair):
    """Guards against a reply that completes another call with the same id."""
    pair[0].call('host-2', membermessages.Probe(1, ()), clock.monotonic() + 60)
    call_id = next(iter(pair[0].calls))
    restarted = link.Link('host-1', ports.find_address(), {}, None)
    restarted.call(
        'host-1', membermessages.Probe(1, ()), clock.monotonic() + 60
    )
    assert call_id not in restarted.calls
    restarted.close()


def test_queue_of_a_slow_peer_is_bounded_in_bytes(pair):
    """Guards against memory exhausted by a few large messages."""
    pair[1].close()
    data = bytes(1024 * 1024)
    (peer,) = pair[0].peers.values()
    accepted = sum(peer.put(data) for _ in range(64))
    assert accepted <= peer_task.MAX_QUEUE_BYTES // len(data) + 2
    assert peer.dropped
