"""Splitting and parsing of server-sent events."""

import re

from rhubarbreach.web import errors

__all__ = ['Splitter', 'get_data', 'get_id', 'is_event']

# The end of the line before may have a carriage return too, which stays in the
# block. The search for a pattern that begins with it is many times slower.
SEPARATOR = re.compile(rb'\n\r?\n')
# Bytes of a separator that may have arrived before the rest of it.
SEPARATOR_START_BYTES = 2
# A stream without a separator in this many bytes is not a stream of events.
MAX_EVENT_BYTES = 1024 * 1024
# Callers and endpoints keep event ids in integers of 64 bits.
MAX_ID_DIGITS = 18
ID_PATTERN = re.compile(rb'(?:^|\n)id: ?(\d+)')
DATA_PATTERN = re.compile(rb'(?:^|\n)data: ?([^\r\n]*)')


class Splitter:
    """Splitter of a stream into complete events.

    An endpoint may fail in the middle of an event. Callers receive only
    complete events, so that another endpoint can resume the stream.
    """

    def __init__(self):
        self.rest = b''

    def feed(self, data):
        """Return the complete events, each with its separator.

        Raises
        ------
        BadMessageError
            If more than `MAX_EVENT_BYTES` arrive without a separator.
        """
        searched_bytes = max(0, len(self.rest) - SEPARATOR_START_BYTES)
        data = self.rest + data
        blocks = []
        start = 0
        for match in SEPARATOR.finditer(data, searched_bytes):
            blocks.append(data[start : match.end()])
            start = match.end()
        self.rest = data[start:]
        if not blocks and len(self.rest) > MAX_EVENT_BYTES:
            raise errors.BadMessageError(
                f'event exceeds {MAX_EVENT_BYTES} bytes'
            )
        return blocks


def get_id(block):
    """Return the id of an event, or None.

    Raises
    ------
    BadMessageError
        If the id has more than `MAX_ID_DIGITS` digits.
    """
    match = ID_PATTERN.search(block)
    if match is None:
        return None
    digits = match.group(1).lstrip(b'0')
    if len(digits) > MAX_ID_DIGITS:
        raise errors.BadMessageError(
            f'event id of more than {MAX_ID_DIGITS} digits'
        )
    return int(digits or b'0')


def get_data(block):
    """Return the data of an event, or None."""
    lines = DATA_PATTERN.findall(block)
    return b'\n'.join(lines) if lines else None


def is_event(block):
    """Return whether a block is an event and not only a comment."""
    return get_data(block) is not None or get_id(block) is not None
