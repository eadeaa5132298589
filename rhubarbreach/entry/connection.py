"""Connection of a caller: reading with deadlines, responses, keep-alive."""

import contextlib
import http
import io
import re
import socket
import time

from werkzeug import datastructures
from werkzeug import serving

from rhubarbreach.dispatch import sink
from rhubarbreach.web import errors as web_errors

__all__ = ['ConnectionHandler', 'DeadlineReader', 'HEAD_TIMEOUT_SECONDS']

# Time limit for receiving the head of a request after its first byte.
HEAD_TIMEOUT_SECONDS = 10.0
# A caller that reads nothing for this long is cut off.
WRITE_TIMEOUT_SECONDS = 10.0

VERSIONS = ('HTTP/1.0', 'HTTP/1.1')
LENGTH_HEADERS = ('content-length', 'transfer-encoding')
MAX_HEADERS = 100
MAX_LINE_BYTES = 32 * 1024
# All lines of a head together.
MAX_HEAD_BYTES = 64 * 1024
# What a header line takes beside its bytes: two strings and their tuple.
LINE_COST_BYTES = 256
HEADER_NAME = re.compile(r"[!#$%&'*+.^_`|~0-9A-Za-z-]+")
CONTROL_CHARACTER = re.compile(r'[\x00-\x08\x0a-\x1f\x7f]')

# The rest of a refused body is read and discarded for up to this time.
LINGER_SECONDS = 1.0
LINGER_READ_BYTES = 64 * 1024


class DeadlineReader(io.RawIOBase):
    """Raw stream over a socket with one deadline for all reads.

    Parameters
    ----------
    connection : socket.socket
        Socket of the caller.
    holding : web.memory.Holding
        Counts the bytes of the request.
    """

    def __init__(self, connection, holding):
        self.connection = connection
        self.holding = holding
        self.deadline = 0.0
        self.blocking = True
        # Whether this thread has one of the turns for large requests.
        self.has_turn = False

    def readable(self):
        """Return True."""
        return True

    def readinto(self, buffer):
        """Read once; return None if `blocking` is False."""
        if not self.blocking:
            return None
        if self.holding.is_ended:
            raise ConnectionError('ended for the memory of this host')
        remaining = self.deadline - time.monotonic()
        if remaining <= 0:
            raise TimeoutError('nothing received before the deadline')
        self.connection.settimeout(remaining)
        with self.pause_turn():
            return self.connection.recv_into(buffer)

    @property
    def turns(self):
        """Semaphore of the threads that read large requests."""
        return self.holding.pool.large_turns

    def take_turn(self):
        """Wait for a turn, which pauses while bytes are awaited.

        A body in chunks of a few bytes takes much time of the processor. With
        a thread for each of many such bodies, no other request is answered.
        """
        if not self.has_turn:
            self.turns.acquire()
            self.has_turn = True

    def end_turn(self):
        """End the turn of this thread, if it has one."""
        if self.has_turn:
            self.has_turn = False
            self.turns.release()

    @contextlib.contextmanager
    def pause_turn(self):
        """Leave the turn to another thread meanwhile."""
        if not self.has_turn:
            yield
            return
        self.turns.release()
        try:
            yield
        finally:
            self.turns.acquire()


def read_headers(file, record_size):
    """Return the headers of a request.

    Parameters
    ----------
    file : io.BufferedReader
        File positioned after the request line.
    record_size : callable
        Called with the memory of the headers after each line.

    Returns
    -------
    werkzeug.datastructures.Headers
        Headers in the order received.

    Raises
    ------
    ValueError
        If a line has no valid name, is folded, truncated or too long, if
        there are too many lines, or if the body length is given twice.
    """
    headers = datastructures.Headers()
    head_bytes = cost = 0
    for _ in range(MAX_HEADERS):
        line = file.readline(MAX_LINE_BYTES + 1)
        if line in (b'\r\n', b'\n'):
            return headers
        head_bytes += len(line)
        cost += len(line) + LINE_COST_BYTES
        record_size(cost)
        if head_bytes > MAX_HEAD_BYTES:
            raise ValueError(f'head exceeds {MAX_HEAD_BYTES} bytes')
        if len(line) > MAX_LINE_BYTES or not line.endswith(b'\n'):
            raise ValueError(
                f'header line is truncated or exceeds {MAX_LINE_BYTES} bytes'
            )
        name, colon, value = line.decode('latin-1').partition(':')
        if not colon or not HEADER_NAME.fullmatch(name):
            raise ValueError('malformed header')
        value = value.strip()
        if CONTROL_CHARACTER.search(value):
            raise ValueError('control character in a header')
        if name.lower() in LENGTH_HEADERS and name in headers:
            raise ValueError('body length given twice')
        headers.add(name, value)
    raise ValueError(f'more than {MAX_HEADERS - 1} headers')


class ConnectionHandler(serving.WSGIRequestHandler):
    """Handler of the requests on one connection.

    Unlike its base class, it does not handle requests in its constructor,
    and it keeps the connection open as HTTP/1.1 specifies.
    """

    protocol_version = 'HTTP/1.1'

    def __init__(self, connection, address, server):
        self.request = self.connection = connection
        self.client_address = address
        self.server = server
        self.holding = server.memory.open(self.end_reading, 'request')
        self.reader = DeadlineReader(connection, self.holding)
        self.rfile = io.BufferedReader(self.reader)
        self.wfile = io.BytesIO()
        self.close_connection = False
        self.command = ''
        # Memory of the head, which is held with the body.
        self.head_cost = 0
        self.fd = connection.fileno()
        self.buffer_size = server.memory.buffers.take()
        self.last_used = time.monotonic()

    def serve_next_request(self):
        """Serve one request; return whether the connection stays open."""
        self.close_connection = True
        self.reader.deadline = time.monotonic() + HEAD_TIMEOUT_SECONDS
        try:
            self.handle_one_request()
            self.flush_response()
        except (OSError, ValueError):
            self.close_connection = True
        self.last_used = time.monotonic()
        if self.holding.is_ended:
            return False
        self.holding.resize(0)
        self.holding.reopen()
        return not self.close_connection

    def end_reading(self):
        """Wake the thread that reads a request, which it then refuses."""
        with contextlib.suppress(OSError):
            self.connection.shutdown(socket.SHUT_RD)

    def has_buffered_data(self):
        """Return whether bytes of the next request have been read."""
        self.reader.blocking = False
        try:
            return bool(self.rfile.peek(1))
        finally:
            self.reader.blocking = True

    def handle_one_request(self):
        """Read a request and pass it to the application."""
        self.raw_requestline = self.rfile.readline(MAX_LINE_BYTES)
        if not self.raw_requestline:
            return
        if self.parse_request():
            self.run_wsgi()

    def parse_request(self):
        """Parse the head; return whether it is well-formed."""
        try:
            line = self.raw_requestline.decode('ascii').strip()
            self.command, self.path, self.request_version = line.split(' ')
            self.headers = read_headers(self.rfile, self.holding.resize)
            self.head_cost = self.holding.size
        except web_errors.BadMessageError:
            self.server.refuse(self.connection)
            return False
        except ConnectionError:
            if not self.holding.is_ended:
                raise
            self.server.refuse(self.connection)
            return False
        except ValueError:
            self.send_error(http.HTTPStatus.BAD_REQUEST)
            return False
        if self.request_version not in VERSIONS or self.path[0] != '/':
            self.send_error(http.HTTPStatus.BAD_REQUEST)
            return False
        connection_option = self.headers.get('Connection', '').lower()
        is_persistent = self.request_version == self.protocol_version
        self.close_connection = not (
            is_persistent and 'close' not in connection_option
        )
        if self.headers.get('Expect', '').lower() == '100-continue':
            self.handle_expect_100()
        return True

    def run_wsgi(self):
        """Serve one request with the application."""
        self.environ = self.make_environ()
        self.environ['rhubarbreach.connection'] = self
        self.server.application.serve(self)

    def handle_expect_100(self):
        """Send 100 Continue, so that the caller sends its body."""
        self.send_response_only(http.HTTPStatus.CONTINUE)
        self.end_headers()
        self.flush_response()
        return True

    def send_error(self, code, message=None, explain=None):
        """Respond to a malformed head."""
        self.command = self.command or 'GET'
        self.request_version = self.protocol_version
        self.server.application.send_malformed(
            self, message or 'the head of the request is malformed'
        )

    def set_read_deadline(self, seconds):
        """Set the deadline for reads, in seconds from now."""
        self.reader.deadline = time.monotonic() + seconds

    def write_response(self, response):
        """Send a whole response."""
        body = response.get_data()
        status = response.status_code
        self.send_response_only(status)
        for name, value in response.headers:
            if name.lower() not in ('connection', 'content-length'):
                self.send_header(name, value)
        if status != 204:
            self.send_header('Content-Length', str(len(body)))
        self.send_header(
            'Connection', 'close' if self.close_connection else 'keep-alive'
        )
        self.end_headers()
        if self.command != 'HEAD':
            self.wfile.write(body)
        self.flush_response()

    def linger(self):
        """Let the caller read the response before the connection is closed.

        Closing a socket with unread bytes resets the connection, which may
        discard a response in flight.
        """
        self.connection.shutdown(socket.SHUT_WR)
        deadline = time.monotonic() + LINGER_SECONDS
        remaining = LINGER_SECONDS
        while remaining > 0:
            self.connection.settimeout(remaining)
            if not self.connection.recv(LINGER_READ_BYTES):
                return
            remaining = deadline - time.monotonic()

    def flush_response(self):
        """Send the queued bytes."""
        data = self.wfile.getvalue()
        if data:
            self.wfile = io.BytesIO()
            self.connection.settimeout(WRITE_TIMEOUT_SECONDS)
            # `sendall` would limit the time of the whole response.
            view = memoryview(data)
            while view:
                view = view[self.send_part(view) :]

    def send_part(self, view):
        """Send some bytes and return their number; wait while any are read."""
        unread_bytes = sink.count_unread(self.fd)
        while True:
            try:
                return self.connection.send(view)
            except TimeoutError:
                before, unread_bytes = (
                    unread_bytes,
                    sink.count_unread(self.fd),
                )
                if unread_bytes >= before:
                    raise

    def log_request(self, code='-', size='-'):
        """Log nothing; the timeline and the metrics record each request."""

    def log(self, type, message, *arguments):
        """Log nothing; messages of the base class may contain paths."""

    def log_error(self, message, *arguments):
        """Count an error reported by the base class."""
        self.server.metrics.count('entry_http_errors_total')

    def version_string(self):
        """Return the value of the Server header."""
        return 'rhubarbreach'

    def close(self):
        """Close the socket."""
        self.holding.close()
        try:
            self.connection.close()
        except OSError:
            pass
