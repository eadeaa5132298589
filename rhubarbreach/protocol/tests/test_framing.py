"""Tests of message frames."""

import pytest

from rhubarbreach import exceptions
from rhubarbreach.protocol import codec
from rhubarbreach.protocol import framing


@pytest.mark.parametrize('size', [0, 1, 8192, 8193, 100000, 1024 * 1024])
def test_message_survives_its_frames(size):
    """Guards against data that is truncated or reordered."""
    data = bytes(number % 251 for number in range(size))
    assembler = framing.Assembler()
    frames = framing.split_message(data)
    results = [assembler.add(1, frame) for frame in frames]
    assert results == [None] * (len(frames) - 1) + [data]


def test_frames_of_two_connections_do_not_mix():
    """Guards against mixing two large messages that arrive concurrently."""
    assembler = framing.Assembler()
    first = framing.split_message(b'a' * 20000)
    second = framing.split_message(b'b' * 20000)
    for first_frame, second_frame in zip(first[:-1], second[:-1], strict=True):
        assembler.add(1, first_frame)
        assembler.add(2, second_frame)
    assert assembler.add(1, first[-1]) == b'a' * 20000
    assert assembler.add(2, second[-1]) == b'b' * 20000


def test_abandoned_message_does_not_corrupt_the_next():
    """Guards against a connection that is unusable after a send timeout."""
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
def test_malformed_frame_raises_message_error(frame):
    """Guards against malformed frames of a peer that stop the receiver."""
    with pytest.raises(exceptions.MessageError):
        framing.Assembler().add(1, frame)


def test_incomplete_messages_are_bounded_together():
    """Guards against peers that all stop short of the end of a message."""
    assembler = framing.Assembler()
    frames = framing.split_message(b'a' * codec.MAX_MESSAGE_BYTES)
    for pipe_id in range(100):
        for frame in frames[:-1]:
            assembler.add(pipe_id, frame)
    held = sum(
        len(frame)
        for _, parts in assembler.partial.values()
        for frame in parts
    )
    assert held <= 16 * codec.MAX_MESSAGE_BYTES
    # The newest is whole after its last frame.
    assert assembler.add(99, frames[-1]) == b'a' * codec.MAX_MESSAGE_BYTES
    for pipe_id in range(100):
        assembler.add(pipe_id, framing.split_message(b'next')[0])
    assert not assembler.partial
    assert assembler.partial_bytes == 0
