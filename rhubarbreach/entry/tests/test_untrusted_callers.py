"""Tests of callers that send without end or hold what they have sent."""

import contextlib
import socket
import time
import tracemalloc

import pytest

from rhubarbreach.entry import server
from rhubarbreach.web import memory

HEAD = (
    b'POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\n'
    b'Authorization: Bearer k1\r\n'
)
CHUNKED = HEAD + b'Transfer-Encoding: chunked\r\n\r\n'
ENDLESS_BYTES = 40_000_000
CROWD = 20


@pytest.fixture
def entry(start_entry):
    return start_entry(lambda request: request.answer(b'{"a": 1}'))


@pytest.fixture
def connect(entry):
    """Return a function that connects to the entry host."""
    with contextlib.ExitStack() as stack:

        def open_raw():
            raw = socket.create_connection(('127.0.0.1', entry.server.port), 5)
            return stack.enter_context(raw)

        yield open_raw


def read_all(raw):
    data = b''
    with contextlib.suppress(ConnectionResetError):
        while chunk := raw.recv(65536):
            data += chunk
    return data


def wait_until(condition):
    deadline = time.monotonic() + 5.0
    while not condition():
        assert time.monotonic() < deadline
        time.sleep(0.01)


@pytest.mark.parametrize(
    ('start', 'block'),
    [
        (CHUNKED, b'0'),
        (CHUNKED + b'1;', b'a=b;'),
        (CHUNKED + b'1\r\nx\r\n0\r\n', b'a: b\r\n'),
        (CHUNKED + b'1\r\nx\r\n0\r\na: ', b'b'),
        (HEAD + b'a: ', b'b'),
        (b'', b'x'),
    ],
)
def test_line_without_end_is_not_read_on(connect, start, block):
    """Guards against a line that is held until the memory is full."""
    raw = connect()
    raw.sendall(start)
    data = block * (65_536 // len(block))
    tracemalloc.start()
    with contextlib.suppress(ConnectionError):
        for _ in range(ENDLESS_BYTES // len(data)):
            raw.sendall(data)
    _, peak_bytes = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    assert peak_bytes < 2_000_000


def test_head_of_long_lines_is_refused(connect):
    """Guards against megabytes of headers for each connection."""
    raw = connect()
    raw.sendall(HEAD)
    with contextlib.suppress(ConnectionError):
        for _ in range(90):
            raw.sendall(b'a: ' + b'b' * 30_000 + b'\r\n')
        raw.sendall(b'\r\n')
    assert b'200 OK' not in read_all(raw)


def test_bodies_beyond_the_memory_of_a_host_are_refused(entry, connect):
    """Guards against bodies that together exceed the memory."""
    pool = entry.server.memory = memory.MemoryPool(30_000)
    crowd = []
    for _ in range(CROWD):
        raw = connect()
        raw.sendall(HEAD + b'Content-Length: 4000\r\n\r\n' + b'x' * 3_000)
        crowd.append(raw)
    answers = []

    def has_shed():
        for raw in list(crowd):
            raw.settimeout(0.01)
            with contextlib.suppress(TimeoutError):
                answers.append(raw.recv(65_536))
                crowd.remove(raw)
        return len(answers) >= CROWD // 2

    wait_until(has_shed)
    assert pool.used_bytes <= 30_000
    refused = [answer for answer in answers if b'QUEUE_FULL' in answer]
    assert refused
    assert all(answer.startswith(b'HTTP/1.1 503 ') for answer in refused)
    assert entry.chat()[0] == 200


def test_small_heads_of_a_crowd_are_bounded(entry, connect):
    """Guards against heads that are read in part and counted nowhere."""
    pool = memory.MemoryPool(100_000, entry.metrics)
    entry.server.memory = pool
    for _ in range(CROWD):
        connect().sendall(HEAD + b'a: b\r\n' * 90)
    wait_until(lambda: pool.used_bytes > 50_000)
    assert pool.used_bytes <= 100_000
    assert entry.chat()[0] == 200
    wait_until(
        lambda: entry.metrics.get_count('messages_ended_total', kind='request')
    )


def test_idle_connections_make_room_for_a_caller(entry, connect, monkeypatch):
    """Guards against idle connections that keep callers out for 75 s."""
    monkeypatch.setattr(server, 'ROOM_SECONDS', 0.2)
    entry.server.max_connections = 3
    for _ in range(3):
        connect()
    wait_until(lambda: entry.server.open_connections == 3)
    time.sleep(0.3)
    assert entry.chat()[0] == 200


def test_requests_return_their_bytes(entry):
    """Guards against a bound that fills up with answered requests."""
    client = entry.connect()
    for _ in range(3):
        assert entry.chat(client=client)[0] == 200
    wait_until(lambda: entry.server.memory.used_bytes == 0)
