"""Tests of the turns in which large requests are read."""

import contextlib
import socket
import threading
import time

import pytest

from rhubarbreach.entry import bodies
from rhubarbreach.entry import connection
from rhubarbreach.web import memory


@pytest.fixture
def pool():
    return memory.MemoryPool(1_000_000)


@pytest.fixture
def open_reader(pool):
    """Return a function that opens a reader and the socket of its caller."""
    opened = []

    def open_pair():
        ours, callers = socket.socketpair()
        opened.extend((ours, callers))
        reader = connection.DeadlineReader(ours, pool.open())
        reader.deadline = time.monotonic() + 30.0
        return reader, callers

    yield open_pair
    for end in opened:
        end.close()


class Source:
    """Body that a thread reads through its reader."""

    def __init__(self, reader):
        self.reader = reader

    def read(self, size):
        buffer = bytearray(size)
        return bytes(buffer[: self.reader.readinto(buffer)])


def read(reader, length):
    # The fixture closes the sockets of those that wait for more.
    with contextlib.suppress(OSError):
        bodies.read_stream(Source(reader), length, length, None, reader)


def start_reading(reader, length):
    thread = threading.Thread(target=read, args=(reader, length), daemon=True)
    thread.start()
    return thread


def test_callers_that_send_nothing_more_keep_no_turn(pool, open_reader):
    """Guards against slow callers that keep all large requests waiting."""
    length = 3 * bodies.READ_BYTES
    for _ in range(2 * memory.LARGE_TURNS):
        reader, callers = open_reader()
        callers.sendall(bytes(bodies.TURN_BYTES))
        start_reading(reader, length)
    reader, callers = open_reader()
    thread = start_reading(reader, length)
    sender = threading.Thread(target=callers.sendall, args=(bytes(length),))
    sender.start()
    thread.join(5.0)
    assert not thread.is_alive()
    assert reader.has_turn
    sender.join()


def test_turn_ends_with_the_body(pool, open_reader):
    """Guards against turns that are lost one after another."""
    for _ in range(2 * memory.LARGE_TURNS):
        reader, _ = open_reader()
        reader.take_turn()
        reader.take_turn()
        reader.end_turn()
        reader.end_turn()
    assert pool.large_turns.acquire(timeout=1.0)
