"""Server-sent events of a stream: validation, ordering and relaying."""

import concurrent.futures
import copy
import enum
import re

import msgspec

from rhubarbreach import exceptions
from rhubarbreach import serialization

__all__ = ['Contest', 'EventRelay', 'Fault', 'make_error_event']

DONE = b'data: [DONE]'
DATA = b'data: '
SEPARATOR = b'\n\n'
INDEX = re.compile(rb'"index"\s*:\s*(\d{1,18})\b')

# A longer event counts as a fault of the stream and ends the attempt.
MAX_EVENT_BYTES = 1 << 20


class Fault(enum.StrEnum):
    """Reason why an attempt cannot continue its stream."""

    GAP = 'tokens missing'
    ERROR_EVENT = 'error event from the endpoint'
    TOO_LONG = 'event too long'
    SINK_CLOSED = 'caller gone'


class EventFields(msgspec.Struct):
    """Fields of an event that identify its attempt and its token.

    `id` is the attempt id and `index` the index of the token in the stream.
    """

    id: str = ''
    index: int | None = None
    error: object = None


DECODER = msgspec.json.Decoder(EventFields)


def make_error_event(error):
    """Return the event that ends an incomplete stream.

    Parameters
    ----------
    error : dict
        Error as sent to callers.

    Returns
    -------
    bytes
        One server-sent event.
    """
    return DATA + msgspec.json.encode({'error': error}) + SEPARATOR


class Contest:
    """Contest of concurrent attempts for the next event of a stream.

    All methods are called on the event loop thread.

    Attributes
    ----------
    decided : concurrent.futures.Future
        Completes with the relay of the attempt that continues the stream.
    """

    def __init__(self):
        self.decided = concurrent.futures.Future()

    def fork(self, relay, done):
        """Complete a future with the relay of another attempt.

        Parameters
        ----------
        relay : EventRelay
            Relay of an attempt that takes part.
        done : concurrent.futures.Future
            Completes with None if the contest is decided.
        """
        if self.decided.done():
            done.set_result(None)
            return
        relay.contest = self
        done.set_result(copy.copy(relay))

    def has_lost(self, relay):
        """Return whether another relay continues the stream."""
        return self.decided.done() and self.decided.result() is not relay

    def claim(self, relay):
        """Record that a relay continues the stream."""
        if not self.decided.done():
            self.decided.set_result(relay)


class EventRelay:
    """Relay for the events of one request across all of its attempts.

    Concurrent attempts have relays that share the delivered events. The first
    one with a new event continues the stream, and the others deliver nothing.

    Only the event loop thread calls `feed`. Events of other attempts and
    tokens that were delivered before are dropped and counted.

    Parameters
    ----------
    sink : object or None
        Object with `write(data) -> bool`, which returns False once the caller
        is gone. If None, the events are only collected.
    """

    def __init__(self, sink=None):
        self.sink = sink
        self.delivered = []
        self.next_index = 0
        self.done = False
        self.fault = None
        self.first_token_at = None
        self.last_token_at = None
        self.dropped_mismatched = 0
        self.dropped_duplicate = 0
        self.attempt_id = ''
        self.attempt_index = 0
        self.resumed = False
        self.attempt_first_token_at = None
        self.pending = b''
        self.prefix = b''
        self.delimiter = b''
        self.contest = None

    def begin(self, attempt_id):
        """Prepare for the events of the next attempt."""
        self.attempt_id = attempt_id
        self.pending = b''
        self.prefix = b''
        self.fault = None
        self.attempt_index = self.next_index
        # Events without a token, such as the role, are not delivered twice.
        self.resumed = bool(self.delivered)
        self.attempt_first_token_at = None

    def feed(self, data, now):
        """Process bytes of the stream and deliver the complete events.

        Parameters
        ----------
        data : bytes
            Received bytes.
        now : float
            Monotonic seconds.
        """
        if self.contest is not None and self.contest.has_lost(self):
            return
        if self.pending:
            data = self.pending + data
        first_index = self.next_index
        complete = self.scan(data)
        if self.next_index > first_index:
            if self.attempt_first_token_at is None:
                self.attempt_first_token_at = now
                if self.first_token_at is None:
                    self.first_token_at = now
            self.last_token_at = now
        if complete:
            if self.contest is not None:
                self.contest.claim(self)
            self.deliver(complete)

    def scan(self, data):
        """Return the bytes of `data` to deliver; keep an incomplete event.

        An event that begins with the learned prefix and the next token index
        is accepted without decoding.
        """
        start = position = 0
        pieces = []
        while not self.done and self.fault is None:
            end = data.find(SEPARATOR, position)
            if end < 0:
                break
            end += 2
            if self.prefix and data.startswith(
                b'%b%d%b' % (self.prefix, self.next_index, self.delimiter),
                position,
            ):
                self.next_index += 1
            elif not self.accept(data[position : end - 2]):
                if start < position:
                    pieces.append(data[start:position])
                start = end
            position = end
        self.pending = data[position:] if position < len(data) else b''
        if len(self.pending) > MAX_EVENT_BYTES:
            self.fault = Fault.TOO_LONG
        if not pieces and start == 0:
            return data if position == len(data) else data[:position]
        pieces.append(data[start:position])
        return b''.join(pieces)

    def accept(self, event):
        """Decode one event and return whether to deliver it."""
        if event == DONE:
            self.done = True
            return True
        if event.startswith(b':'):
            return False
        try:
            fields = serialization.decode_json(
                DECODER, event.removeprefix(DATA)
            )
        except exceptions.MessageError:
            self.dropped_mismatched += 1
            return False
        if fields.error is not None and fields.id in ('', self.attempt_id):
            self.fault = Fault.ERROR_EVENT
            return False
        if fields.id != self.attempt_id:
            self.dropped_mismatched += 1
            return False
        return self.accept_index(event, fields.index)

    def accept_index(self, event, index):
        """Return whether to deliver an event with this token index.

        An index of None stands for an event without a token.
        """
        if index is None:
            return not self.resumed or self.next_index > self.attempt_index
        if index < self.next_index:
            self.dropped_duplicate += 1
            return False
        if index > self.next_index:
            self.fault = Fault.GAP
            return False
        self.next_index += 1
        self.learn_prefix(event, index)
        return True

    def learn_prefix(self, event, index):
        """Keep the bytes before the token index if they identify an event.

        They do if the attempt id and the token index are members of the
        outermost object and precede any other object or array.
        """
        match = INDEX.search(event)
        if match is None or int(match[1]) != index:
            return
        prefix = event[: match.start(1)]
        own_id = b'"%b"' % self.attempt_id.encode()
        if prefix.count(b'{') != 1 or b'[' in prefix or own_id not in prefix:
            return
        self.prefix = prefix
        self.delimiter = event[match.end(1) : match.end(1) + 1]

    def finish(self):
        """Finish the sink of a complete stream, if it has `finish`."""
        finish = getattr(self.sink, 'finish', None)
        if finish is not None:
            finish()

    def deliver(self, data):
        """Write bytes to the sink."""
        if self.sink is not None and not self.sink.write(data):
            self.fault = Fault.SINK_CLOSED
            return
        self.delivered.append(data)
