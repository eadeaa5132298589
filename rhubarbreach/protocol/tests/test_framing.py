"""Tests of message frames."""

import pytest

from rhubarbreach import exceptions
from rhubarbreach.protocol import codec
from rhubarbreach.protocol import framing


@pytest.mark.parametrize('size', [0, 1, 8192, 8193, 100000, 1024 * 1024])
def test_message_survives_its_frames(size):
    """Guards against a message that is cut or mixed up."""
    data = bytes(number % 251 for number in range(size))
    assembler = framing.Assembler()
    frames = framing.split_message(data)
    found = [assembler.add(1, frame) for frame in frames]
    assert found == [None] * (len(frames) - 1) + [data]


def test_frames_of_two_connections_do_not_mix():
    """Guards against two large messages that arrive at once."""
    assembler = framing.Assembler()
    first = framing.split_message(b'a' * 20000)
    second = framing.split_message(b'b' * 20000)
    for one, two in zip(first[:-1], second[:-1], strict=True):
        assembler.add(1, one)
        assembler.add(2, two)
    assert assembler.add(1, first[-1]) == b'a' * 20000
    assert assembler.add(2, second[-1]) == b'b' * 20000


def test_message_that_was_given_up_does_not_spoil_the_next():
    """Guards against a sender timeout that breaks the connection."""
    assembler = framing.Assembler()
    assembler.add(1, framing.split_message(b'a' * 20000)[0])
    assert assembler.add(1, framing.split_message(b'next')[0]) == b'next'


@pytest.mark.parametrize(
    'frame',
    [
        b'short',
        framing.HEADER.pack(1, 2) + b'x',
        framing.HEADER.pack(5, 2) + b'x',
        framing.HEADER.pack(0, codec.MAX_MESSAGE_BYTES) + b'x',
        framing.HEADER.pack(0, 0) + b'x',
    ],
)
def test_malformed_frame_is_a_message_error(frame):
    """Guards against a peer that stops a host with broken frames."""
    with pytest.raises(exceptions.MessageError):
        framing.Assembler().add(1, frame)
