"""Connection of a caller to the HTTP server."""

import contextlib
import socket
import threading

from rhubarbreach import clock
from rhubarbreach import eventlog
from rhubarbreach import exceptions
from rhubarbreach.web import errors
from rhubarbreach.web import outbox
from rhubarbreach.web import parse
from rhubarbreach.web import sockets

__all__ = ['Connection', 'encode_response']

LOG = eventlog.Logger('web')

# A caller that does not read a short response in this time is disconnected.
RESPONSE_TIMEOUT_SECONDS = 5.0
CONTENT_TOO_LARGE = 413
SERVICE_UNAVAILABLE = 503
# Longest body that is sent together with its head.
MAX_JOINED_BYTES = 64 * 1024
RETRY_AFTER_SECONDS = 0.5
DISCARD_SECONDS = 1.0
REASONS = {
    200: b'OK',
    202: b'Accepted',
    400: b'Bad Request',
    401: b'Unauthorized',
    404: b'Not Found',
    408: b'Request Timeout',
    409: b'Conflict',
    413: b'Content Too Large',
    429: b'Too Many Requests',
    431: b'Request Header Fields Too Large',
    500: b'Internal Server Error',
    502: b'Bad Gateway',
    503: b'Service Unavailable',
    504: b'Gateway Timeout',
}


def encode_response(status, headers, body, keep_alive, reason=None):
    """Return an encoded response with Content-Length."""
    return encode_head(status, headers, len(body), keep_alive, reason) + body


def encode_head(status, headers, length, keep_alive, reason=None):
    """Return the encoded head of a response with Content-Length."""
    reason = reason or REASONS.get(status, b'Status')
    lines = [b'HTTP/1.1 %d %s' % (status, reason)]
    lines.extend(b'%s: %s' % pair for pair in headers)
    lines.append(b'Content-Length: %d' % length)
    if not keep_alive:
        lines.append(b'Connection: close')
    return b'\r\n'.join(lines) + b'\r\n\r\n'


class Connection:
    """Connection of a caller, handled by one thread.

    Parameters
    ----------
    server : Server
        Server that accepted it.
    connection : socket.socket
        Accepted socket.
    """

    def __init__(self, server, connection):
        self.server = server
        self.socket = connection
        self.keep_alive = True
        # Guards the flags below: a request that has been read must not find
        # its connection ended as idle.
        self.lock = threading.Lock()
        self.is_idle = False
        self.idle_since = None
        # Whether its first request was answered.
        self.is_kept = False
        self.is_ended = False
        # Whether a request was read and no part of its response was sent.
        self.is_answer_due = False
        # Whether a request was read in part, or not yet handled.
        self.is_reading = False
        self.parser = None
        # Whether the connection ends for a new one.
        self.is_dropped = False
        # Since when it waits for a whole request; None while one is handled.
        self.waiting_since = clock.monotonic()
        self.holding = server.memory.open(self.end_reading, 'request')
        self.outbox = outbox.Outbox(
            connection, server.memory.open(self.end_unread, 'response')
        )
        self.buffer_size = server.memory.buffers.take()

    @property
    def is_present(self):
        """Whether the connection goes on."""
        return not (self.is_ended or self.holding.is_ended)

    def run(self):
        """Handle requests until either side ends the connection."""
        try:
            refused_status = self.handle_requests()
            # The error is gone, whose traceback holds received bytes.
            if refused_status is not None:
                self.drop_request()
                self.refuse(refused_status)
                self.discard_rest()
        except Exception:
            LOG.exception('event=connection_failed')
            if self.is_answer_due:
                self.refuse(500)
        finally:
            self.holding.close()
            self.outbox.close()
            self.server.remove_connection(self)
            sockets.close_socket(self.socket)

    def handle_requests(self):
        """Handle requests; return the status for an invalid one, if any."""
        try:
            sockets.prepare(self.socket, detect_dead_peer=False)
            parser = self.parser = parse.RequestParser(
                self.server.get_limits(),
                self.holding.resize,
                self.server.bounds,
            )
            while self.keep_alive:
                request = self.read_request(parser)
                if request is None:
                    return None
                self.keep_alive = request.keep_alive
                with self.lock:
                    if self.is_ended:
                        return None
                    self.is_reading = False
                    self.is_answer_due = True
                # No status would be true of a request that is cut short.
                self.holding.keep()
                self.waiting_since = None
                self.server.handle(self, request)
                if self.is_answer_due:
                    # The caller would take the next answer for this one.
                    return None
                self.is_kept = True
                del request
                self.holding.resize(parser.held_bytes)
                self.holding.reopen()
                self.waiting_since = clock.monotonic()
            if sockets.is_readable(self.socket):
                # The caller has sent another request.
                self.discard_rest()
        except errors.BadMessageError as error:
            LOG.info('event=request_unreadable reason={!r}', str(error))
            return error.status
        except (errors.ConnectionEndedError, errors.DeadlineError) as error:
            LOG.info('event=connection_ended reason={!r}', str(error))
            if self.is_answer_due:
                # Another connection, which the handler uses, has ended.
                self.refuse(500)
        return None

    def read_request(self, parser):
        """Return the next request, or None if the caller sends none."""
        started = parser.started
        if not (started or parser.requests or self.wait_while_idle()):
            return None
        if parser.error is not None and not parser.requests:
            raise parser.error
        # A configuration may have replaced them since the last request.
        limits = parser.limits = self.server.get_limits()
        deadline = clock.monotonic() + limits.idle_timeout
        while not parser.requests:
            try:
                is_open = self.receive(parser, deadline)
            except errors.DeadlineError as error:
                if not parser.started:
                    return None
                raise errors.BadMessageError(
                    'request was not received in time', 408
                ) from error
            if not is_open:
                return None
            self.is_reading = parser.started or bool(parser.requests)
            if parser.started and not started:
                started = True
                deadline = clock.monotonic() + limits.header_timeout
            if parser.head_done:
                # Each part of a body has to arrive within the idle timeout.
                deadline = clock.monotonic() + limits.idle_timeout
                self.send_continue(parser)
        return parser.requests.pop(0)

    def receive(self, parser, deadline):
        """Receive and parse bytes; return False at the end of a connection.

        Raises
        ------
        BadMessageError
            If the request is not valid, or was ended for others.
        ConnectionEndedError
            If the connection was reset.
        DeadlineError
            If nothing was received before the deadline.
        """
        while True:
            turn = contextlib.nullcontext()
            if parser.is_large:
                turn = self.server.memory.large_turns
            with turn, self.server.memory.parse_lock:
                data = sockets.receive_now(self.socket)
                if data:
                    parser.feed(data)
                if data is not None and (data or parser.started):
                    # An error if it was ended for others.
                    self.holding.resize(parser.held_bytes)
            if data is not None:
                return bool(data)
            sockets.wait_until_readable(self.socket, deadline)

    def is_caller_there(self):
        """Return whether the caller has not ended its sending half."""
        try:
            return bool(self.socket.recv(1, socket.MSG_PEEK))
        except BlockingIOError:
            return True
        except OSError:
            return False

    def wait_while_idle(self):
        """Wait for a request; return False if the connection ends instead."""
        deadline = self.idle_since = clock.monotonic()
        self.is_idle = True
        ready = []
        # The timeout may be replaced by a longer one meanwhile.
        while not ready and deadline < (
            latest := self.idle_since + self.server.get_limits().idle_timeout
        ):
            deadline = latest
            ready = sockets.wait_readable([self.socket], deadline)
        with self.lock:
            self.is_idle = False
            # On a busy host this thread may go on long after the timeout.
            is_ready = bool(ready) or sockets.is_readable(self.socket)
            return is_ready and not self.is_ended

    def end_reading(self):
        """Drop the request that is read, and wake its thread to refuse it."""
        self.drop_request()
        with contextlib.suppress(OSError):
            self.socket.shutdown(socket.SHUT_RD)

    def drop_request(self):
        """Free the bytes of a request that will not be handled."""
        with self.server.memory.parse_lock:
            if self.parser is not None:
                self.parser.drop()

    def end(self):
        """End the connection at once; no further request is handled.

        The socket is closed by the thread of the connection, which may be
        about to wait on it.
        """
        with self.lock:
            self.is_ended = True
        sockets.shut_down(self.socket)

    def end_unread(self):
        """End a response whose caller is slow to read."""
        sockets.shut_down(self.socket)

    @contextlib.contextmanager
    def reserve(self, size):
        """Count further bytes while a request is handled.

        Parameters
        ----------
        size : int
            Memory that handling it takes beside the request.

        Raises
        ------
        BadMessageError
            If the messages of the process do not leave that much; the request
            is refused as not run, for good if it never fits.
        """
        max_bytes = self.server.memory.max_bytes
        if self.holding.size + size > max_bytes:
            raise errors.BadMessageError(
                f'the request needs {size} bytes, all messages have '
                f'{max_bytes:.0f}',
                CONTENT_TOO_LARGE,
            )
        self.holding.resize(self.holding.size + size)
        try:
            yield
        finally:
            self.holding.resize(self.holding.size - size)

    def end_for_room(self):
        """End the connection for a new one unless a request is handled.

        One that was read in part is refused as not run.

        Returns
        -------
        bool
            Whether it ends now.
        """
        if not self.holding.abandon():
            return False
        self.is_dropped = True
        self.end_reading()
        return True

    def end_if_idle(self):
        """End the connection unless a request is in progress or arrives.

        Returns
        -------
        bool
            Whether it ends now.
        """
        with self.lock:
            if self.is_ended or not self.is_idle:
                return False
            if sockets.is_readable(self.socket):
                return False
            self.is_ended = True
            try:
                self.socket.shutdown(socket.SHUT_RD)
            except OSError:
                # The caller has already closed the connection.
                pass
            return True

    def end_unanswered(self):
        """Answer the request in progress, unless its response has begun.

        One that was read in part has not run and never will.
        """
        with self.lock:
            if not (self.is_answer_due or self.is_reading):
                return
            self.is_ended = True
        status = 504 if self.is_answer_due else SERVICE_UNAVAILABLE
        LOG.warning('event=request_unfinished status={}', status)
        response = encode_response(status, (), b'', False)
        try:
            sockets.send_all(self.socket, response, clock.monotonic())
        except (errors.ConnectionEndedError, errors.DeadlineError) as error:
            LOG.info('event=refusal_unsent reason={!r}', str(error))
        # The handler sees that the connection has ended.
        sockets.shut_down(self.socket)

    def send_continue(self, parser):
        """Send 100 Continue if the caller waits for it."""
        if parser.expects_continue:
            parser.expects_continue = False
            self.send(b'HTTP/1.1 100 Continue\r\n\r\n')

    def refuse(self, status):
        """Respond to an invalid request, and end the connection."""
        self.keep_alive = False
        headers = []
        if status == SERVICE_UNAVAILABLE:
            headers.append((b'Retry-After', b'%.2f' % RETRY_AFTER_SECONDS))
        try:
            self.send_response(status, headers)
        except exceptions.RhubarbreachError as error:
            LOG.info('event=refusal_unsent reason={!r}', str(error))

    def discard_rest(self):
        """Discard the rest of a refused request for a short time.

        The connection would be reset if it were closed with unread bytes, and
        the caller would not see the refusal.
        """
        if self.is_dropped:
            return
        deadline = clock.monotonic() + DISCARD_SECONDS
        try:
            self.socket.shutdown(socket.SHUT_WR)
            while sockets.discard(self.socket, deadline):
                if clock.monotonic() >= deadline:
                    return
        except (OSError, errors.ConnectionEndedError, errors.DeadlineError):
            # The caller has closed the connection, or goes on sending.
            return

    def send_response(
        self, status, headers=(), body=b'', reason=None, deadline=None
    ):
        """Send a whole response; see `send` for the deadline."""
        if self.server.draining:
            self.keep_alive = False
        head = encode_head(status, headers, len(body), self.keep_alive, reason)
        if len(body) <= MAX_JOINED_BYTES:
            self.send(head + body, deadline)
            return
        # Not copied as a whole.
        self.queue(head)
        self.send(body, deadline)

    def send(self, data, deadline=None):
        """Send bytes to the caller.

        Parameters
        ----------
        data : bytes
            Bytes to send.
        deadline : float, optional
            Seconds of the monotonic clock; by default
            `RESPONSE_TIMEOUT_SECONDS` from now.

        Raises
        ------
        ConnectionEndedError
            If the connection was closed, reset or ended by a drain.
        DeadlineError
            If the caller did not read before the deadline.
        """
        self.queue(data)
        if self.outbox.unread:
            if deadline is None:
                deadline = clock.monotonic() + RESPONSE_TIMEOUT_SECONDS
            self.outbox.wait(deadline)

    def queue(self, data):
        """Send what the caller takes at once, and queue the rest.

        Raises
        ------
        ConnectionEndedError
            If the connection was closed, reset or ended, by a drain or for the
            memory of the process.
        """
        with self.lock:
            if self.is_ended:
                raise errors.ConnectionEndedError('ended by a drain')
            self.is_answer_due = False
        self.outbox.put(data)
