"""Tests of the thread that writes log lines."""

import os
import select

import pytest

from rhubarbreach import eventlog


@pytest.fixture
def pipe():
    """Both ends of a pipe."""
    descriptors = os.pipe()
    yield descriptors
    for descriptor in descriptors:
        os.close(descriptor)


def read_until(descriptor, text):
    """Return the bytes of a pipe up to a text, fewer after 2 s without any."""
    received = b''
    while text not in received:
        if not select.select([descriptor], [], [], 2.0)[0]:
            break
        received += os.read(descriptor, 4096)
    return received


def test_lines_are_written_after_one_that_cannot_be_encoded(pipe):
    """Guards against a process that logs nothing for the rest of its life."""
    reader, descriptor = pipe
    writer = eventlog.Writer('host', descriptor)
    # A lone surrogate, as JSON documents may hold.
    writer.put('info', 'test', 'event=first route=\ud800')
    assert b'route=\\ud800' in read_until(reader, b'event=first')
    writer.put('info', 'test', 'event=second')
    assert b'event=second' in read_until(reader, b'event=second')
