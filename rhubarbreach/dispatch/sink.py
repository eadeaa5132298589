"""Sink that sends the bytes of a stream to a caller."""

import collections
import concurrent.futures
import fcntl
import select
import struct
import termios

__all__ = [
    'CallerSink',
    'HIGH_WATERMARK_BYTES',
    'LOW_WATERMARK_BYTES',
    'STALL_SECONDS',
    'count_unread',
]

# Reading from the endpoint pauses when this many bytes are buffered for a
# caller, and resumes when fewer than LOW_WATERMARK_BYTES are.
HIGH_WATERMARK_BYTES = 64 * 1024
LOW_WATERMARK_BYTES = 16 * 1024

# A stream is aborted if its caller reads nothing for this long while bytes
# are buffered.
STALL_SECONDS = 10.0

READ_EVENTS = select.EPOLLRDHUP
WRITE_EVENTS = select.EPOLLRDHUP | select.EPOLLOUT
LAST_CHUNK = b'0\r\n\r\n'
INTEGER = struct.Struct('i')


class CallerSink:
    """Non-blocking writer of a stream to the socket of a caller.

    All methods except the constructor are called on the event loop thread.

    Parameters
    ----------
    connection : socket.socket
        Socket of the caller in non-blocking mode.
    head : bytes
        Status line and headers, sent before the first bytes of the body.
    chunked : bool
        Whether to use the chunked transfer encoding of HTTP/1.1.

    Attributes
    ----------
    started : bool
        Whether sending of the head has begun.
    aborted : bool
        Whether the stream was aborted, since the caller disconnected or is
        too slow.
    slow : bool
        Whether the caller is too slow.
    on_lost : callable or None
        Called with the sink when the stream is aborted.
    resume : callable or None
        Called after a flush that leaves fewer than LOW_WATERMARK_BYTES
        buffered.
    closed : concurrent.futures.Future
        Completes with True once the socket has accepted all bytes of a
        finished stream, and with False when the stream is aborted.
    """

    def __init__(self, connection, head, chunked=True):
        self.connection = connection
        self.fd = connection.fileno()
        self.head = head
        self.chunked = chunked
        self.started = False
        self.finished = False
        self.aborted = False
        self.slow = False
        self.buffer = collections.deque()
        self.buffered_bytes = 0
        self.stalled_since = None
        self.unread_bytes = None
        self.table = None
        self.on_lost = None
        self.resume = None
        self.closed = concurrent.futures.Future()

    @property
    def congested(self):
        """Whether reading from the endpoint should pause."""
        return self.buffered_bytes >= HIGH_WATERMARK_BYTES

    def write(self, data):
        """Send or buffer bytes; return False if the caller is gone."""
        if self.aborted:
            return False
        if self.chunked:
            data = b'%x\r\n%b\r\n' % (len(data), data)
        if not self.started:
            self.started = True
            data = self.head + data
        return self.send(data)

    def finish(self):
        """End the stream; `closed` completes once all bytes are sent."""
        if self.finished:
            return
        self.finished = True
        if self.chunked and not self.aborted:
            self.send(LAST_CHUNK)
        self.check_closed()

    def send(self, data):
        """Send the bytes that the socket accepts and buffer the rest."""
        if not self.buffer:
            try:
                sent = self.connection.send(data)
            except BlockingIOError:
                sent = 0
            except OSError:
                self.abort()
                return False
            if sent == len(data):
                return True
            data = data[sent:]
            self.stalled_since = self.table.now
            self.unread_bytes = None
            self.table.modify(self.fd, WRITE_EVENTS)
        self.buffer.append(data)
        self.buffered_bytes += len(data)
        return True

    def handle_event(self, mask):
        """Handle readiness or hang-up of the socket."""
        if mask & (select.EPOLLRDHUP | select.EPOLLHUP | select.EPOLLERR):
            self.abort()
        elif mask & select.EPOLLOUT:
            self.flush()

    def flush(self):
        """Send buffered bytes."""
        while self.buffer:
            data = self.buffer[0]
            try:
                sent = self.connection.send(data)
            except BlockingIOError:
                return
            except OSError:
                self.abort()
                return
            self.stalled_since = self.table.now
            self.unread_bytes = None
            self.buffered_bytes -= sent
            if sent < len(data):
                self.buffer[0] = data[sent:]
                break
            self.buffer.popleft()
        if not self.buffer:
            self.stalled_since = None
            self.table.modify(self.fd, READ_EVENTS)
        if (
            self.resume is not None
            and self.buffered_bytes < LOW_WATERMARK_BYTES
        ):
            self.resume()
        self.check_closed()

    def check_stalled(self, now):
        """Abort the stream if the caller has read nothing for too long.

        The socket accepts no bytes before a large part of its buffer is free,
        so that the bytes in that buffer count.
        """
        if self.stalled_since is None:
            return
        unread_bytes = count_unread(self.fd)
        if self.unread_bytes is None or unread_bytes < self.unread_bytes:
            if self.unread_bytes is not None:
                self.stalled_since = now
            self.unread_bytes = unread_bytes
        if now - self.stalled_since > STALL_SECONDS:
            self.slow = True
            self.abort()

    def abort(self):
        """Abort the stream and discard its buffered bytes."""
        if self.aborted:
            return
        self.aborted = True
        self.buffer.clear()
        self.buffered_bytes = 0
        self.stalled_since = None
        self.table.modify(self.fd, 0)
        self.check_closed()
        self.table.report_lost(self)

    def check_closed(self):
        """Complete `closed` if nothing more will be sent."""
        if self.closed.done():
            return
        if self.aborted:
            self.closed.set_result(False)
        elif self.finished and not self.buffer:
            self.closed.set_result(True)


def count_unread(fd):
    """Return the bytes of a socket that its peer has not acknowledged."""
    data = fcntl.ioctl(fd, termios.TIOCOUTQ, INTEGER.pack(0))
    return INTEGER.unpack(data)[0]
