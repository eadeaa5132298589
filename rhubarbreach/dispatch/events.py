"""Server-sent events of a stream: binding to the request, order, end."""

import enum
import re

import msgspec

__all__ = ['EventRelay', 'Fault', 'make_error_event']

DONE = b'data: [DONE]'
DATA = b'data: '
SEPARATOR = b'\n\n'
INDEX = re.compile(rb'"index"\s*:\s*(\d+)')

# An event that is longer is taken for a broken stream.
MAX_EVENT_BYTES = 1 << 20


class Fault(enum.StrEnum):
    """Why a stream cannot go on with this attempt."""

    GAP = 'tokens missing'
    ERROR_EVENT = 'error event from the endpoint'
    TOO_LONG = 'event too long'
    SINK_CLOSED = 'caller gone'


class EventFields(msgspec.Struct):
    """Fields of an event that bind it to its request."""

    id: str = ''
    index: int | None = None
    error: object = None


DECODER = msgspec.json.Decoder(EventFields)


def make_error_event(error):
    """Return the event that ends a stream that could not be completed.

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


class EventRelay:
    """Passes the events of one request on, over all of its attempts.

    Only the event loop thread calls `feed`. Events of other attempts and
    tokens that were delivered before are dropped and counted.

    Parameters
    ----------
    sink : object or None
        Has `write(data) -> bool`; None collects only.
    """

    def __init__(self, sink=None):
        self.sink = sink
        self.delivered = []
        self.next_index = 0
        self.done = False
        self.fault = None
        self.first_token_at = None
        self.last_token_at = None
        self.dropped_crossed = 0
        self.dropped_duplicate = 0
        self.attempt_id = ''
        self.attempt_index = 0
        self.repeated = False
        self.attempt_first_at = None
        self.pending = b''
        self.prefix = b''
        self.delimiter = b''

    def begin(self, attempt_id):
        """Bind the relay to the next attempt."""
        self.attempt_id = attempt_id
        self.pending = b''
        self.prefix = b''
        self.fault = None
        self.attempt_index = self.next_index
        # An event without a token, such as the role, is not sent twice.
        self.repeated = bool(self.delivered)
        self.attempt_first_at = None

    def feed(self, data, now):
        """Take bytes of the stream and pass complete events on.

        Parameters
        ----------
        data : bytes
            Bytes as received.
        now : float
            Monotonic seconds.
        """
        if self.pending:
            data = self.pending + data
        first_index = self.next_index
        whole = self.scan(data)
        if self.next_index > first_index:
            if self.attempt_first_at is None:
                self.attempt_first_at = now
                if self.first_token_at is None:
                    self.first_token_at = now
            self.last_token_at = now
        if whole:
            self.deliver(whole)

    def scan(self, data):
        """Return the bytes of `data` to pass on; keep an incomplete event.

        Events that begin like the first one, but for the token number, are
        recognized without decoding.
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
        """Decode one event and return whether to pass it on."""
        if event == DONE:
            self.done = True
            return True
        if event.startswith(b':'):
            return False
        try:
            fields = DECODER.decode(event.removeprefix(DATA))
        except msgspec.DecodeError:
            self.dropped_crossed += 1
            return False
        if fields.error is not None and fields.id in ('', self.attempt_id):
            self.fault = Fault.ERROR_EVENT
            return False
        if fields.id != self.attempt_id:
            self.dropped_crossed += 1
            return False
        return self.accept_index(event, fields.index)

    def accept_index(self, event, index):
        """Return whether a token is the next one; None is no token."""
        if index is None:
            return not self.repeated or self.next_index > self.attempt_index
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
        """Keep the bytes before the token number if they bind an event.

        They do when the attempt id and the token number are members of the
        outermost object and stand before any other object or array.
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
        """Tell the sink that its stream is whole, if it wants to know."""
        finish = getattr(self.sink, 'finish', None)
        if finish is not None:
            finish()

    def deliver(self, data):
        """Write bytes to the sink."""
        if self.sink is not None and not self.sink.write(data):
            self.fault = Fault.SINK_CLOSED
            return
        self.delivered.append(data)
