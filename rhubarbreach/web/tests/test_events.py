"""Tests of the splitter of event streams."""

import random
import re

from rhubarbreach.web import events

# Two ends of lines, each with or without a carriage return.
SEPARATOR = re.compile(rb'(?:\r?\n){2}')


def split(data):
    """Return the blocks of a whole stream, and the rest."""
    blocks = []
    start = 0
    for match in SEPARATOR.finditer(data):
        blocks.append(data[start : match.end()])
        start = match.end()
    return blocks, data[start:]


def test_stream_is_split_alike_however_it_is_cut():
    """Guards against an event that depends on where its bytes are cut."""
    source = random.Random(5)
    for _ in range(2000):
        data = bytes(source.choices(b'\r\nab', (2, 4, 1, 1), k=60))
        splitter = events.Splitter()
        blocks = []
        position = 0
        while position < len(data):
            size = source.randrange(1, 9)
            blocks += splitter.feed(data[position : position + size])
            position += size
        whole = events.Splitter()
        assert (whole.feed(data), whole.rest) == split(data)
        assert (blocks, splitter.rest) == split(data)
