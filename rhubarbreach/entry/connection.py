"""One caller connection: bounded reading, answers, keep-alive."""

import http
import io
import re
import socket
import time

from werkzeug import datastructures
from werkzeug import serving

__all__ = ['ConnectionHandler', 'DeadlineReader', 'SLOW_HEAD_SECONDS']

# Time within which the head of a request has to arrive once its first
# byte is there.
SLOW_HEAD_SECONDS = 10.0
WRITE_SECONDS = 10.0

VERSIONS = ('HTTP/1.0', 'HTTP/1.1')
LENGTH_HEADERS = ('content-length', 'transfer-encoding')
MAX_HEADERS = 100
MAX_LINE_BYTES = 32 * 1024
NAME = re.compile(r"[!#$%&'*+.^_`|~0-9A-Za-z-]+")
CONTROL = re.compile(r'[\x00-\x08\x0a-\x1f\x7f]')

# How long the rest of a refused body is read and dropped.
LINGER_SECONDS = 1.0
LINGER_BYTES = 64 * 1024


class DeadlineReader(io.RawIOBase):
    """Reads a socket until a deadline that covers many reads.

    Parameters
    ----------
    connection : socket.socket
        Socket of the caller.
    """

    def __init__(self, connection):
        self.connection = connection
        self.deadline = 0.0
        self.waiting = True

    def readable(self):
        """Return True."""
        return True

    def readinto(self, buffer):
        """Read once; None when nothing is there and `waiting` is False."""
        if not self.waiting:
            return None
        left = self.deadline - time.monotonic()
        if left <= 0:
            raise TimeoutError('the caller sends too slowly')
        self.connection.settimeout(left)
        return self.connection.recv_into(buffer)


def read_headers(file):
    """Return the headers of a request.

    Parameters
    ----------
    file : io.BufferedReader
        At the line after the request line.

    Returns
    -------
    werkzeug.datastructures.Headers
        Headers in their order.

    Raises
    ------
    ValueError
        When a line has no valid name, is folded or too long, when there
        are too many, or when the length of the body is given twice.
    """
    found = datastructures.Headers()
    for _ in range(MAX_HEADERS):
        line = file.readline(MAX_LINE_BYTES + 1)
        if line in (b'\r\n', b'\n'):
            return found
        if len(line) > MAX_LINE_BYTES or not line.endswith(b'\n'):
            raise ValueError('header line too long or cut')
        name, colon, value = line.decode('latin-1').partition(':')
        if not colon or not NAME.fullmatch(name):
            raise ValueError('malformed header')
        value = value.strip()
        if CONTROL.search(value):
            raise ValueError('control character in a header')
        if name.lower() in LENGTH_HEADERS and name in found:
            raise ValueError('length given twice')
        found.add(name, value)
    raise ValueError('too many headers')


class ConnectionHandler(serving.WSGIRequestHandler):
    """Handles the requests of one connection, one call for each.

    Unlike its base class it does not handle requests in its constructor
    and keeps the connection open as HTTP/1.1 asks.
    """

    protocol_version = 'HTTP/1.1'

    def __init__(self, connection, address, server):
        self.request = self.connection = connection
        self.client_address = address
        self.server = server
        self.reader = DeadlineReader(connection)
        self.rfile = io.BufferedReader(self.reader)
        self.wfile = io.BytesIO()
        self.close_connection = False
        self.command = ''
        self.fd = connection.fileno()
        self.last_used = time.monotonic()

    def handle_one(self):
        """Handle one request; return whether the connection stays open."""
        self.close_connection = True
        self.reader.deadline = time.monotonic() + SLOW_HEAD_SECONDS
        try:
            self.handle_one_request()
            self.flush_answer()
        except (OSError, ValueError):
            self.close_connection = True
        self.last_used = time.monotonic()
        return not self.close_connection

    def has_buffered(self):
        """Return whether bytes of a next request were read already."""
        self.reader.waiting = False
        try:
            return bool(self.rfile.peek(1))
        finally:
            self.reader.waiting = True

    def handle_one_request(self):
        """Read a head and let the application answer."""
        self.raw_requestline = self.rfile.readline(MAX_LINE_BYTES)
        if not self.raw_requestline:
            return
        if self.parse_request():
            self.run_wsgi()

    def parse_request(self):
        """Read the head; return whether it is well-formed."""
        try:
            line = self.raw_requestline.decode('ascii').strip()
            self.command, self.path, self.request_version = line.split(' ')
            self.headers = read_headers(self.rfile)
        except ValueError:
            self.send_error(http.HTTPStatus.BAD_REQUEST)
            return False
        if self.request_version not in VERSIONS or self.path[0] != '/':
            self.send_error(http.HTTPStatus.BAD_REQUEST)
            return False
        wish = self.headers.get('Connection', '').lower()
        kept = self.request_version == self.protocol_version
        self.close_connection = not (kept and 'close' not in wish)
        if self.headers.get('Expect', '').lower() == '100-continue':
            self.handle_expect_100()
        return True

    def run_wsgi(self):
        """Answer one request through the application."""
        self.environ = self.make_environ()
        self.environ['rhubarbreach.connection'] = self
        self.server.application.serve(self)

    def handle_expect_100(self):
        """Let the caller send its body."""
        self.send_response_only(http.HTTPStatus.CONTINUE)
        self.end_headers()
        self.flush_answer()
        return True

    def send_error(self, code, message=None, explain=None):
        """Answer a head that could not be parsed."""
        self.command = self.command or 'GET'
        self.request_version = self.protocol_version
        self.server.application.send_malformed(
            self, message or 'the head of the request is malformed'
        )

    def set_read_deadline(self, seconds):
        """Bound the reading of the body."""
        self.reader.deadline = time.monotonic() + seconds

    def send_answer(self, response):
        """Queue a whole answer."""
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
        self.flush_answer()

    def linger(self):
        """Let the caller read the answer before the connection closes.

        Closing a socket with unread bytes resets the connection, which may
        discard an answer on its way.
        """
        self.connection.shutdown(socket.SHUT_WR)
        deadline = time.monotonic() + LINGER_SECONDS
        left = LINGER_SECONDS
        while left > 0:
            self.connection.settimeout(left)
            if not self.connection.recv(LINGER_BYTES):
                return
            left = deadline - time.monotonic()

    def flush_answer(self):
        """Send what was queued."""
        data = self.wfile.getvalue()
        if data:
            self.wfile = io.BytesIO()
            self.connection.settimeout(WRITE_SECONDS)
            self.connection.sendall(data)

    def log_request(self, code='-', size='-'):
        """Log nothing; the timeline and the metrics have each request."""

    def log(self, type, message, *arguments):
        """Log nothing; messages of the base class may hold paths."""

    def log_error(self, message, *arguments):
        """Count an error of the base class."""
        self.server.metrics.count('entry_http_errors_total')

    def version_string(self):
        """Return the name in the Server header."""
        return 'rhubarbreach'

    def close(self):
        """Close the socket."""
        try:
            self.connection.close()
        except OSError:
            pass
