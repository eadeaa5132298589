"""Tests of the link between hosts."""

import contextlib
import socket
import time

import pytest

from rhubarbreach import clock
from rhubarbreach import codes
from rhubarbreach.protocol import link
from rhubarbreach.protocol import membermessages
from rhubarbreach.protocol import peer as peer_task


def find_address():
    with socket.socket() as probe:
        probe.bind(('127.0.0.1', 0))
        return f'127.0.0.1:{probe.getsockname()[1]}'


@pytest.fixture
def pair():
    first, second = find_address(), find_address()
    with contextlib.ExitStack() as stack:
        links = (
            link.Link('host-1', first, {'host-2': second}, None),
            link.Link('host-2', second, {'host-1': first}, None),
        )
        for one in links:
            stack.callback(one.close)
        yield links


def answer_probe(sender_id, probe):
    return membermessages.ProbeReply(probe.sequence + 1, ())


def call_until_reply(one, peer_id, message):
    end = clock.monotonic() + 5
    while clock.monotonic() < end:
        future = one.call(peer_id, message, clock.monotonic() + 1)
        result = future.result()
        if not isinstance(result, codes.Refusal):
            return result
    raise AssertionError('no reply')


def wait_until_empty(things):
    end = clock.monotonic() + 5
    while things:
        assert clock.monotonic() < end
        time.sleep(0.01)


def test_call_gets_the_reply_of_the_handler(pair):
    """Guards against replies that miss their call."""
    pair[1].register(membermessages.Probe, answer_probe)
    reply = call_until_reply(pair[0], 'host-2', membermessages.Probe(4, ()))
    assert reply == membermessages.ProbeReply(5, ())


def test_call_to_an_unknown_peer_is_refused_as_not_run(pair):
    """Guards against a refusal that leaves the outcome open needlessly."""
    future = pair[0].call('nobody', membermessages.Probe(1, ()), 0)
    assert future.result().ran == codes.Ran.NO


class GoneMessage:
    """A message whose connection was closed before it was taken."""

    bytes = b'x'
    pipe = None


def test_message_of_a_closed_connection_does_not_end_the_link(
    pair, monkeypatch
):
    """Guards against a host that hears nothing any more.

    The receiver task ended with an error, and calls waited without end.
    """
    receive = pair[1].socket.recv_msg
    gone = [GoneMessage()]

    def recv_msg():
        return gone.pop() if gone else receive()

    monkeypatch.setattr(pair[1].socket, 'recv_msg', recv_msg)
    wait_until_empty(gone)
    pair[1].register(membermessages.Probe, answer_probe)
    reply = call_until_reply(pair[0], 'host-2', membermessages.Probe(4, ()))
    assert reply == membermessages.ProbeReply(5, ())
    assert pair[1].rejected == 1


def test_fault_of_the_link_does_not_end_it(pair, monkeypatch):
    """Guards against a receiver task that ends with any error."""
    faults = [MemoryError()]

    def expire_calls(now):
        if faults:
            raise faults.pop()

    monkeypatch.setattr(pair[1], 'expire_calls', expire_calls)
    wait_until_empty(faults)
    pair[1].register(membermessages.Probe, answer_probe)
    reply = call_until_reply(pair[0], 'host-2', membermessages.Probe(4, ()))
    assert reply == membermessages.ProbeReply(5, ())


def test_lost_peer_does_not_block_the_sender(pair):
    """Guards against one dead host that stops the others' senders."""
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
    """Guards against a caller that waits forever while a host stops."""
    pair[0].close()
    for peer_id in ('host-1', 'host-2'):
        deadline = clock.monotonic() + 60
        call = pair[0].call(peer_id, membermessages.Probe(1, ()), deadline)
        assert isinstance(call.result(timeout=5), codes.Refusal)


def test_late_reply_does_not_complete_a_call_after_a_restart(pair):
    """Guards against crossed replies when call numbers start again."""
    pair[0].call('host-2', membermessages.Probe(1, ()), clock.monotonic() + 60)
    number = next(iter(pair[0].calls))
    again = link.Link('host-1', find_address(), {}, None)
    again.call('host-1', membermessages.Probe(1, ()), clock.monotonic() + 60)
    assert number not in again.calls
    again.close()


def test_slow_peer_does_not_fill_the_memory(pair):
    """Guards against a queue that is bounded in messages only."""
    pair[1].close()
    data = bytes(1024 * 1024)
    (peer,) = pair[0].peers.values()
    taken = sum(peer.put(data) for _ in range(64))
    assert taken <= peer_task.QUEUE_BYTES // len(data) + 2
    assert peer.dropped
