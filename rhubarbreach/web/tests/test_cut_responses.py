"""Tests of responses that end early."""

import pytest

from rhubarbreach.web import errors
from rhubarbreach.web import parse

CHUNKED = (
    b'HTTP/1.1 200 OK\r\nA: b\r\nTransfer-Encoding: chunked\r\n\r\n'
    b'5;x=y\r\nhello\r\n0\r\nT: u\r\n\r\n'
)
LENGTH = b'HTTP/1.1 200 OK\r\nA: b\r\nContent-Length: 5\r\n\r\nhello'
UNFRAMED = b'HTTP/1.1 200 OK\r\nA: b\r\n\r\n'
INTERIM = b'HTTP/1.1 103 Hints\r\nLink: x\r\n\r\n'


@pytest.mark.parametrize('response', [CHUNKED, LENGTH, UNFRAMED])
@pytest.mark.parametrize('interim', [b'', INTERIM])
def test_cut_response_is_never_complete(response, interim):
    """Guards against a cut head, length or chunk that counts as whole."""
    data = interim + response
    for size in range(len(data)):
        parser = parse.ResponseParser()
        parser.feed(data[:size])
        assert not parser.finish(), data[:size]
        assert parser.head is None or size >= len(interim) + len(UNFRAMED)
    parser = parse.ResponseParser()
    parser.feed(data)
    assert parser.finish()


@pytest.mark.parametrize(
    'line',
    [
        b'Content-Length: ' + b'9' * 5000,
        b'Content-Length: -1',
        b'Content-Length:',
        b'Transfer-Encoding: chu',
    ],
)
def test_response_with_an_odd_length_is_never_complete(line):
    """Guards against a body of an unknown length that counts as whole."""
    parser = parse.ResponseParser()
    try:
        parser.feed(b'HTTP/1.1 200 OK\r\n%s\r\n\r\nhello' % line)
    except errors.BadMessageError:
        return
    assert not parser.finish()
