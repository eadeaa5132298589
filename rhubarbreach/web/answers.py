"""Judgement of the responses of endpoints: their bounds, bytes and end.

All paths that read a response use this module: requests of callers, batch
items and the own interface.

A response without a length ends with its connection, so that a crash looks
like its end, and bytes of a further response look like its body. Such an end
is unproven. For a stream another endpoint can tell: it has nothing to add
after the last event of one that is whole.
"""

import dataclasses
import enum
import re

from rhubarbreach.web import errors
from rhubarbreach.web import events

__all__ = [
    'Body',
    'EMPTY_STATUSES',
    'End',
    'EventStream',
    'Judgement',
    'MAX_BODY_BYTES',
    'MIN_AGREEING_ENDS',
    'is_delimited',
]

# A response that is not a stream is held until it is complete.
MAX_BODY_BYTES = 16 * 1024 * 1024
# Unproven ends after the same event that show that a stream is whole.
MIN_AGREEING_ENDS = 2
STATUS_LINE = re.compile(rb'HTTP/1\.[01] [1-5][0-9][0-9][^\r\n]*\r?\n')
FRAMING_HEADERS = (b'content-length', b'transfer-encoding')
# Responses with these statuses have no body.
EMPTY_STATUSES = frozenset((204, 304))


class End(enum.Enum):
    """What is known of the end of a response."""

    COMPLETE = enum.auto()
    UNPROVEN = enum.auto()
    BROKEN = enum.auto()


@dataclasses.dataclass(frozen=True, slots=True)
class Judgement:
    """Judgement of the end of a response, with a reason if it is not whole."""

    end: End
    reason: str = ''


COMPLETE = Judgement(End.COMPLETE)


def is_delimited(head):
    """Return whether a response does not end with its connection.

    Parameters
    ----------
    head : ResponseHead
        Head of the response.
    """
    return head.status in EMPTY_STATUSES or any(
        name in FRAMING_HEADERS for name, _ in head.headers
    )


class EventStream:
    """Events of a response that is a stream.

    Parameters
    ----------
    head : ResponseHead
        Head of the response.
    """

    def __init__(self, head):
        self.is_delimited = is_delimited(head)
        self.splitter = events.Splitter()
        self.event_count = 0
        # Whether bytes of another response follow.
        self.is_over = False

    def feed(self, parts):
        """Return the complete events in the next parts of the body.

        Raises
        ------
        BadMessageError
            If the bytes are not a stream of events within its limits.
        """
        if self.is_over:
            return []
        blocks = self.splitter.feed(b''.join(parts))
        if not self.is_delimited:
            blocks = self.remove_other_response(blocks)
        self.event_count += sum(
            events.get_data(block) is not None for block in blocks
        )
        return blocks

    def remove_other_response(self, blocks):
        """Return the blocks before the head of another response."""
        for number, block in enumerate(blocks):
            if STATUS_LINE.match(block):
                self.is_over = True
                return blocks[:number]
        self.is_over = bool(STATUS_LINE.match(self.splitter.rest))
        return blocks

    @property
    def held_bytes(self):
        """Bytes of an event that is not yet complete."""
        return len(self.splitter.rest)

    @property
    def rest(self):
        """Bytes after the last event, which are no event."""
        return b'' if self.is_over else self.splitter.rest

    def judge_end(self, is_resumed):
        """Judge the end of the response.

        Parameters
        ----------
        is_resumed : bool
            Whether the stream had events before this response.

        Returns
        -------
        Judgement
        """
        if self.rest.strip():
            return Judgement(End.BROKEN, 'response ends within an event')
        if not self.event_count and not is_resumed:
            return Judgement(End.BROKEN, 'stream ends without an event')
        if self.is_delimited:
            return COMPLETE
        return Judgement(End.UNPROVEN, 'response without a length')


class Body:
    """Body of a response that is held until it is complete.

    Parameters
    ----------
    holding : Holding
        Counts the bytes that are held.
    max_bytes : int, optional
        Limit of its size.
    """

    def __init__(self, holding, max_bytes=MAX_BODY_BYTES):
        self.holding = holding
        self.max_bytes = max_bytes
        # A list of parts would take a multiple of the bytes of a body that
        # arrives in pieces of one byte.
        self.buffer = bytearray()
        self.size = 0
        # Memory of the head, which is held as long as the body.
        self.head_bytes = 0

    def feed(self, parts):
        """Add the next parts.

        Raises
        ------
        BadMessageError
            If the body exceeds its limit, or all messages exceed theirs.
        """
        self.size += sum(map(len, parts))
        if self.size > self.max_bytes:
            raise errors.BadMessageError(
                f'body exceeds {self.max_bytes} bytes'
            )
        self.holding.resize(self.head_bytes + self.size)
        for part in parts:
            self.buffer += part

    def join(self):
        """Return the whole body, as a buffer that is not to be changed."""
        return self.buffer

    def judge_end(self, has_length):
        """Judge the end of the response.

        No other endpoint can tell whether a body is whole. One that holds the
        head of another response is not.

        Parameters
        ----------
        has_length : bool
            Whether a length or chunks delimit the response.

        Returns
        -------
        Judgement
        """
        if not has_length and STATUS_LINE.search(self.join()):
            return Judgement(End.BROKEN, 'another response within the body')
        return COMPLETE
