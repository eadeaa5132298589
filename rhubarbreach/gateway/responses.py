"""Response to a caller, relayed from the responses of endpoints."""

from rhubarbreach import clock
from rhubarbreach.gateway import heads
from rhubarbreach.web import connection as connection_module
from rhubarbreach.web import errors
from rhubarbreach.web import events

__all__ = ['LAST_CHUNK', 'ResponseWriter', 'encode_chunk']

LAST_CHUNK = b'0\r\n\r\n'


def encode_chunk(data):
    """Return bytes as a chunk of a chunked body."""
    return b'%x\r\n%s\r\n' % (len(data), data)


class ResponseWriter:
    """Writer of one response.

    A stream may begin at one endpoint and go on at another. It keeps the head
    of the first. What the caller has not read is queued, in order, so that the
    endpoint is read on; only the end of the response waits for the caller.

    Parameters
    ----------
    app : App
        Tells whether connections are to be closed.
    connection : Connection
        Connection of the caller.
    deadline : float
        Deadline of the request in seconds of the monotonic clock. Until then
        a caller may be slow to read.
    last_id : int or None
        Number of the last event that the caller already has.
    """

    def __init__(self, app, connection, deadline, last_id=None):
        self.app = app
        self.connection = connection
        self.deadline = deadline
        self.last_id = last_id
        # When the response began; None before a part of it was sent.
        self.started_at = None

    @property
    def is_started(self):
        """Whether a part of the response was sent."""
        return self.started_at is not None

    def has_new_event(self, blocks):
        """Return whether the caller does not have an event yet."""
        numbers = [
            events.get_id(block) for block in blocks if events.is_event(block)
        ]
        return any(
            number is None or self.last_id is None or number > self.last_id
            for number in numbers
        )

    def select_new(self, blocks):
        """Return the blocks that the caller does not have yet."""
        selected = []
        for block in blocks:
            number = events.get_id(block)
            if number is not None:
                if self.last_id is not None and number <= self.last_id:
                    continue
                self.last_id = number
            selected.append(block)
        return selected

    def encode_head(self, head):
        """Return the head of a chunked response, if it is not sent yet."""
        if self.is_started:
            return b''
        self.started_at = clock.monotonic()
        lines = [b'HTTP/1.1 %d %s' % (head.status, head.reason)]
        lines.extend(b'%s: %s' % pair for pair in heads.filter_headers(head))
        lines.append(b'Transfer-Encoding: chunked')
        if self.app.is_closing(self.connection):
            self.connection.keep_alive = False
            lines.append(b'Connection: close')
        return b'\r\n'.join(lines) + b'\r\n\r\n'

    def send_blocks(self, head, blocks):
        """Queue events of a stream; return False if the caller is gone."""
        data = self.encode_head(head) + b''.join(map(encode_chunk, blocks))
        try:
            self.connection.queue(data)
        except errors.ConnectionEndedError:
            self.connection.keep_alive = False
            return False
        # A caller that has not read at the deadline is disconnected.
        if self.has_unread and clock.monotonic() >= self.deadline:
            self.connection.keep_alive = False
            return False
        return True

    @property
    def has_unread(self):
        """Whether bytes wait until the caller reads."""
        return bool(self.connection.outbox.unread)

    def flush(self):
        """Send what is queued and taken; return False if the caller is gone.

        The caller may read before the next event arrives.
        """
        try:
            self.connection.outbox.flush()
        except errors.ConnectionEndedError:
            self.connection.keep_alive = False
            return False
        return True

    def send_end(self, head, rest):
        """Send the end of a stream; return False if the caller is gone."""
        data = self.encode_head(head)
        if rest:
            data += encode_chunk(rest)
        return self.send(data + LAST_CHUNK)

    def send(self, data):
        """Send bytes after those queued; return False if the caller is gone.

        Waits until the caller has taken all, at most until the deadline.
        """
        try:
            self.connection.send(data, self.deadline)
        except (errors.ConnectionEndedError, errors.DeadlineError):
            self.connection.keep_alive = False
            return False
        return True

    def send_whole(self, head, body):
        """Send a response that is no stream.

        Returns
        -------
        bool
            False if the caller is gone.
        """
        if self.app.is_closing(self.connection):
            self.connection.keep_alive = False
        # A response that arrives late still has some time to be sent.
        deadline = max(
            self.deadline,
            clock.monotonic() + connection_module.RESPONSE_TIMEOUT_SECONDS,
        )
        try:
            self.connection.send_response(
                head.status,
                heads.filter_headers(head),
                body,
                head.reason,
                deadline,
            )
        except (errors.ConnectionEndedError, errors.DeadlineError):
            self.connection.keep_alive = False
            return False
        return True
