"""Bytes of a response that its caller has not read yet."""

import select

from rhubarbreach.web import errors
from rhubarbreach.web import sockets

__all__ = ['Outbox']

# Bytes that are passed to the kernel at once.
SEND_BYTES = 256 * 1024


class Outbox:
    """Queue of the bytes to be sent on a connection, in order.

    An endpoint cuts off a response that stays unread for some seconds, so that
    the response is read on while its caller is slow to read.

    Parameters
    ----------
    connection : socket.socket
        Non-blocking socket of the caller.
    holding : Holding
        Counts the bytes that are queued.
    """

    def __init__(self, connection, holding):
        self.connection = connection
        self.holding = holding
        self.unread = bytearray()

    def put(self, data):
        """Send what the caller takes at once, and queue the rest.

        Raises
        ------
        ConnectionEndedError
            If the connection was closed, reset or ended for the memory of the
            process.
        """
        sent = 0 if self.unread else self.send(data)
        if sent < len(data):
            # Not copied as a whole if a part of it is sent.
            self.unread += memoryview(data)[sent:]
            self.record_size()

    def flush(self):
        """Send what the caller takes at once; errors are those of `put`."""
        while self.unread:
            with memoryview(self.unread) as view:
                sent = self.send(view[:SEND_BYTES])
            if not sent:
                break
            del self.unread[:sent]
        self.record_size()

    def wait(self, deadline):
        """Wait until all is sent.

        Raises
        ------
        ConnectionEndedError
            If the connection was closed, reset or ended for the memory of the
            process.
        DeadlineError
            If the caller did not read before the deadline.
        """
        while self.unread:
            events = sockets.wait(self.connection, select.POLLOUT, deadline)
            if not events:
                raise errors.DeadlineError(
                    'peer did not read before the deadline'
                )
            if events & sockets.END_EVENTS and not events & select.POLLOUT:
                raise errors.ConnectionEndedError(
                    'peer has closed the connection'
                )
            self.flush()

    def send(self, data):
        """Return the number of bytes that the kernel has taken."""
        try:
            return self.connection.send(data)
        except BlockingIOError:
            return 0
        except OSError as error:
            raise errors.ConnectionEndedError(str(error)) from error

    def record_size(self):
        """Count the bytes that are queued."""
        try:
            self.holding.resize(len(self.unread))
        except errors.BadMessageError as error:
            raise errors.ConnectionEndedError(str(error)) from error

    def close(self):
        """Drop what is queued."""
        self.unread = bytearray()
        self.holding.close()
