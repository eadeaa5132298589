"""Sinks: where the bytes of a stream go on the event loop thread."""

import collections
import concurrent.futures
import select

__all__ = ['CallerSink', 'HIGH_BYTES', 'LOW_BYTES', 'STALL_SECONDS']

# The endpoint is no longer read when so many bytes wait for a caller, and
# read again when fewer than LOW_BYTES wait.
HIGH_BYTES = 64 * 1024
LOW_BYTES = 16 * 1024

# A caller that takes nothing for so long while bytes wait loses its stream.
STALL_SECONDS = 10.0

READ_EVENTS = select.EPOLLRDHUP
WRITE_EVENTS = select.EPOLLRDHUP | select.EPOLLOUT
LAST_CHUNK = b'0\r\n\r\n'


class CallerSink:
    """Writes a stream to a caller's socket without blocking.

    Only the event loop thread calls the methods, but for the constructor.

    Parameters
    ----------
    connection : socket.socket
        Socket of the caller in non-blocking mode.
    head : bytes
        Status line and headers, sent before the first bytes.
    chunked : bool
        Whether the bytes are sent in HTTP/1.1 chunks.

    Attributes
    ----------
    started : bool
        Whether the head was handed to the socket.
    closed : concurrent.futures.Future
        True once all bytes of a finished stream were handed to the socket,
        False when the caller is gone or too slow.
    """

    def __init__(self, connection, head, chunked=True):
        self.connection = connection
        self.fd = connection.fileno()
        self.head = head
        self.chunked = chunked
        self.started = False
        self.finished = False
        self.gone = False
        self.slow = False
        self.buffer = collections.deque()
        self.waiting_bytes = 0
        self.stalled_since = None
        self.table = None
        self.on_lost = None
        self.resume = None
        self.closed = concurrent.futures.Future()

    @property
    def congested(self):
        """Whether no more bytes of the endpoint should be read now."""
        return self.waiting_bytes >= HIGH_BYTES

    def write(self, data):
        """Send bytes or keep them; return whether the caller is there."""
        if self.gone:
            return False
        if self.chunked:
            data = b'%x\r\n%b\r\n' % (len(data), data)
        if not self.started:
            self.started = True
            data = self.head + data
        return self.send(data)

    def finish(self):
        """End the stream; `closed` completes when all bytes are sent."""
        if self.finished:
            return
        self.finished = True
        if self.chunked and not self.gone:
            self.send(LAST_CHUNK)
        self.check_closed()

    def send(self, data):
        """Send what the socket takes and keep the rest."""
        if not self.buffer:
            try:
                sent = self.connection.send(data)
            except BlockingIOError:
                sent = 0
            except OSError:
                self.lose()
                return False
            if sent == len(data):
                return True
            data = data[sent:]
            self.stalled_since = self.table.now
            self.table.modify(self.fd, WRITE_EVENTS)
        self.buffer.append(data)
        self.waiting_bytes += len(data)
        return True

    def handle_event(self, mask):
        """React to readiness or hang-up of the socket."""
        if mask & (select.EPOLLRDHUP | select.EPOLLHUP | select.EPOLLERR):
            self.lose()
        elif mask & select.EPOLLOUT:
            self.flush()

    def flush(self):
        """Send bytes that waited."""
        while self.buffer:
            data = self.buffer[0]
            try:
                sent = self.connection.send(data)
            except BlockingIOError:
                return
            except OSError:
                self.lose()
                return
            self.stalled_since = self.table.now
            self.waiting_bytes -= sent
            if sent < len(data):
                self.buffer[0] = data[sent:]
                break
            self.buffer.popleft()
        if not self.buffer:
            self.stalled_since = None
            self.table.modify(self.fd, READ_EVENTS)
        if self.resume is not None and self.waiting_bytes < LOW_BYTES:
            self.resume()
        self.check_closed()

    def check_stalled(self, now):
        """Give the caller up when it took nothing for too long."""
        since = self.stalled_since
        if since is not None and now - since > STALL_SECONDS:
            self.slow = True
            self.lose()

    def lose(self):
        """Give the caller up."""
        if self.gone:
            return
        self.gone = True
        self.buffer.clear()
        self.waiting_bytes = 0
        self.stalled_since = None
        self.table.modify(self.fd, 0)
        self.check_closed()
        self.table.lose(self)

    def check_closed(self):
        """Complete `closed` when nothing more will be sent."""
        if self.closed.done():
            return
        if self.gone:
            self.closed.set_result(False)
        elif self.finished and not self.buffer:
            self.closed.set_result(True)
