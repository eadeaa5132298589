"""Tests of the selector and of the interval between reads of a stream."""

import os
import select
import socket

import pycurl
import pytest

from rhubarbreach.dispatch import selector


@pytest.fixture
def selector_and_pairs():
    """Return a selector and ten socket pairs polled as streams."""
    stream_selector = selector.Selector()
    socket_pairs = [socket.socketpair() for _ in range(10)]
    for reader, _ in socket_pairs:
        stream_selector.handle_curl_socket(
            pycurl.POLL_IN, reader.fileno(), None, None
        )
        stream_selector.mark_stream(reader.fileno())
    yield stream_selector, socket_pairs
    stream_selector.close()
    for pair in socket_pairs:
        for connection in pair:
            connection.close()


def test_read_interval_follows_load():
    """Guards against delays of tokens without load or over the maximum."""
    read_interval = 0.0
    for _ in range(50):
        read_interval = selector.choose_read_interval(read_interval, 0.9)
    assert read_interval == selector.MAX_READ_INTERVAL_SECONDS
    assert selector.choose_read_interval(read_interval, 0.45) == read_interval
    for _ in range(50):
        read_interval = selector.choose_read_interval(read_interval, 0.1)
    assert read_interval == 0.0


def test_round_serves_each_stream_once(selector_and_pairs, monkeypatch):
    """Guards against starvation of streams by busier ones."""
    monkeypatch.setattr(selector, 'MAX_STREAM_EVENTS', 3)
    stream_selector, socket_pairs = selector_and_pairs
    for _, writer in socket_pairs:
        writer.send(b'x')
    served = []
    while len(served) < len(socket_pairs):
        served += [
            fd
            for fd, _ in stream_selector.poll(0.0)
            if fd != stream_selector.wake_fd
        ]
    assert sorted(served) == sorted(pair[0].fileno() for pair in socket_pairs)


def test_stream_waits_for_its_round_but_other_socket_does_not(
    selector_and_pairs,
):
    """Guards against new requests that wait for established streams."""
    stream_selector, socket_pairs = selector_and_pairs
    stream_selector.read_interval = 1e6
    stream_selector.next_round_at = 1e12
    stream_selector.immediate_epoll.modify(
        stream_selector.stream_epoll.fileno(), 0
    )
    socket_pairs[0][1].send(b'x')
    stream_selector.register(socket_pairs[1][1].fileno(), select.EPOLLIN)
    socket_pairs[1][0].send(b'x')
    assert [fd for fd, _ in stream_selector.poll(0.0)] == [
        socket_pairs[1][1].fileno()
    ]


def test_wake_after_close_reaches_no_other_file():
    """Guards against a wake that races with the end of the loop thread.

    The loop thread may run a command after its append and end before the
    wake. The wake then failed with Errno 9, or wrote to another file that
    reused the descriptor.
    """
    stream_selector = selector.Selector()
    closed_fd = stream_selector.wake_fd
    stream_selector.close()
    other = os.eventfd(0, os.EFD_NONBLOCK)
    os.dup2(other, closed_fd)
    try:
        stream_selector.wake()
        with pytest.raises(BlockingIOError):
            os.eventfd_read(other)
    finally:
        os.close(closed_fd)
        if other != closed_fd:
            os.close(other)
