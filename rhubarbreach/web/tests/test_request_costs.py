"""Tests of what requests cost that are small on the wire."""

import random

import pytest

from rhubarbreach.catalog import model
from rhubarbreach.web import bounds
from rhubarbreach.web import buffer
from rhubarbreach.web import errors
from rhubarbreach.web import memory
from rhubarbreach.web import parse

LIMITS = model.DEFAULT_LIMITS
CHUNKED = b'POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n'
# What the objects of one header line may cost at least: two byte strings and
# a tuple of CPython.
LEAST_LINE_COST = 100


@pytest.fixture
def parser():
    return parse.RequestParser(LIMITS)


def test_trailer_named_like_a_header_is_none(parser):
    """Guards against a key that comes after the checks of the header."""
    parser.feed(CHUNKED + b'1\r\nx\r\n0\r\nX-Key: k\r\nExpect: y\r\n\r\n')
    (request,) = parser.requests
    assert request.get(b'x-key') == request.get(b'expect') == b''
    assert request.body == b'x'
    # The request after it has its own headers.
    parser.feed(b'GET / HTTP/1.1\r\nX-Key: l\r\n\r\n')
    assert parser.requests[1].get(b'x-key') == b'l'


@pytest.mark.parametrize(
    ('start', 'block'),
    [
        (b'1\r\nx\r\n0\r\n', b'a: b\r\n'),
        (b'1\r\nx\r\n0\r\na: ', b'b'),
        (b'1;', b'a=b;'),
        (b'', b'0'),
        (b'', b'1;' + b'e' * 4000 + b'\r\nx\r\n'),
    ],
)
def test_chunk_framing_without_end_is_refused(parser, start, block):
    """Guards against bytes that are held nowhere and never end."""
    parser.feed(CHUNKED + start)
    data = block * (1 + 4096 // len(block))
    with pytest.raises(errors.BadMessageError) as refused:
        for _ in range(1000):
            parser.feed(data)
    assert refused.value.status in (400, 431)
    assert parser.held_bytes < 64 * 1024


def test_header_lines_count_by_their_cost(parser):
    """Guards against short lines that take thirty times their bytes."""
    parser.feed(b'GET / HTTP/1.1\r\n' + b'a:\r\n' * 4000)
    assert parser.held_bytes > 4000 * LEAST_LINE_COST


def test_growth_is_reported_while_a_read_is_parsed():
    """Guards against one read that becomes megabytes on many threads."""
    sizes = []
    parser = parse.RequestParser(LIMITS, sizes.append)
    parser.feed(b'GET / HTTP/1.1\r\n' + b'a:\r\n' * 4000)
    steps = [b - a for a, b in zip([0, *sizes], sizes, strict=False)]
    assert len(steps) > 10
    assert max(steps) < 2 * parse.REPORT_BYTES


def test_request_that_does_not_fit_is_refused_within_a_read():
    """Guards against a bound that is looked at after each read only."""
    holding = memory.MemoryPool(100_000).open()
    parser = parse.RequestParser(LIMITS, holding.resize)
    with pytest.raises(errors.BadMessageError) as refused:
        parser.feed(b'GET / HTTP/1.1\r\n' + b'a:\r\n' * 4000)
    assert refused.value.status == 503
    assert len(parser.headers) * LEAST_LINE_COST < 110_000


def test_longest_header_within_the_limit_is_accepted(parser):
    """Guards against a limit that a caller within `max_header_bytes` meets."""
    lines = b'a:\r\n' * ((LIMITS.max_header_bytes - 20) // 4 - 2)
    parser.feed(b'GET / HTTP/1.1\r\n' + lines + b'\r\n')
    assert len(parser.requests[0].headers) == len(lines) // 4


def test_body_in_pieces_of_one_byte_takes_its_bytes(parser):
    """Guards against a list of parts with one entry for each byte."""
    parser.feed(CHUNKED)
    for _ in range(100):
        parser.feed(b'1\r\nx\r\n' * 1000)
    assert parser.body.held_bytes < 100_000 + 2 * buffer.BLOCK_BYTES
    assert parser.join_body() == b'x' * 100_000
    parser.feed(b'0\r\n\r\n')
    assert parser.requests[0].body == b'x' * 100_000


def test_many_waiting_requests_are_refused_after_those_before(parser):
    """Guards against thousands of requests in one read."""
    parser.feed(b'GET / HTTP/1.1\r\n\r\n' * 3000)
    assert len(parser.requests) == 1 + bounds.DEFAULT_BOUNDS.max_pipelined
    assert parser.error.status == 503


def test_requests_are_parsed_alike_however_they_are_cut():
    """Guards against a request that depends on where its bytes are cut."""
    chunked = CHUNKED + b'3\r\nabc\r\n2;e=1\r\nde\r\n0\r\nt: u\r\n\r\n'
    data = (
        b'POST /p HTTP/1.1\r\nA: b\r\nContent-Length: 4\r\n\r\nbody'
        + chunked
        + b'GET /q HTTP/1.1\r\nC:\r\n\r\n'
    ) * 5
    whole = parse.RequestParser(LIMITS)
    whole.feed(data)
    assert len(whole.requests) == 15
    source = random.Random(11)
    for _ in range(200):
        cut = parse.RequestParser(LIMITS)
        position = 0
        while position < len(data):
            size = source.choice((1, 3, 30, 200))
            cut.feed(data[position : position + size])
            position += size
        assert cut.requests == whole.requests
        assert cut.held_bytes == whole.held_bytes
