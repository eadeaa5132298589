"""Tests of the pace at which streams are read."""

import os
import select
import socket

import pycurl
import pytest

from rhubarbreach.dispatch import selector


@pytest.fixture
def pairs():
    """Return a selector and ten steady streams with bytes to read."""
    chosen = selector.Selector()
    made = [socket.socketpair() for _ in range(10)]
    for reader, _ in made:
        chosen.handle_curl(pycurl.POLL_IN, reader.fileno(), None, None)
        chosen.make_steady(reader.fileno())
    yield chosen, made
    chosen.close()
    for pair in made:
        for one in pair:
            one.close()


def test_pace_follows_load():
    """Guards against a pace that delays tokens without need or too long."""
    pace = 0.0
    for _ in range(50):
        pace = selector.choose_pace(pace, 0.9)
    assert pace == selector.MAX_PACE
    assert selector.choose_pace(pace, 0.45) == pace
    for _ in range(50):
        pace = selector.choose_pace(pace, 0.1)
    assert pace == 0.0


def test_round_serves_each_stream_once(pairs, monkeypatch):
    """Guards against streams that starve behind busier ones."""
    monkeypatch.setattr(selector, 'SLICE_EVENTS', 3)
    chosen, made = pairs
    for _, writer in made:
        writer.send(b'x')
    served = []
    while len(served) < len(made):
        served += [fd for fd, _ in chosen.poll(0.0) if fd != chosen.wake_fd]
    assert sorted(served) == sorted(pair[0].fileno() for pair in made)


def test_paced_stream_waits_but_prompt_socket_does_not(pairs):
    """Guards against new requests that wait behind steady streams."""
    chosen, made = pairs
    chosen.pace = 1e6
    chosen.round_at = 1e12
    chosen.prompt.modify(chosen.steady.fileno(), 0)
    made[0][1].send(b'x')
    chosen.register(made[1][1].fileno(), select.EPOLLIN)
    made[1][0].send(b'x')
    assert [fd for fd, _ in chosen.poll(0.0)] == [made[1][1].fileno()]


def test_wake_after_close_reaches_no_other_file():
    """Guards against a wake that meets the end of the loop thread.

    The loop thread may take a command between its append and the wake, and
    end; the descriptor was gone then (Errno 9), or another file had it.
    """
    chosen = selector.Selector()
    number = chosen.wake_fd
    chosen.close()
    other = os.eventfd(0, os.EFD_NONBLOCK)
    os.dup2(other, number)
    try:
        chosen.wake()
        with pytest.raises(BlockingIOError):
            os.eventfd_read(other)
    finally:
        os.close(number)
        if other != number:
            os.close(other)
