"""Incremental parsing of HTTP/1.1 messages."""

import dataclasses

import httptools

from rhubarbreach.web import answers
from rhubarbreach.web import bounds as bounds_module
from rhubarbreach.web import buffer
from rhubarbreach.web import errors

__all__ = ['Request', 'RequestParser', 'ResponseHead', 'ResponseParser']

# Responses with a lower status are interim; a final response follows.
FIRST_FINAL_STATUS = 200
LAST_STATUS = 599
# Bytes of a response that may arrive without any byte of its body: interim
# responses, the header, chunk extensions and trailers.
MAX_FRAMING_BYTES = 64 * 1024
# What a header line takes beside its bytes: a name, a value, their tuple and
# its place in a list, as rounded by the allocator (CPython 3.11, 64 bits).
LINE_COST_BYTES = 192
# What a request takes beside its header lines and its body.
REQUEST_COST_BYTES = 512
# Growth of a message that is reported while it is still being parsed. A single
# read of 64 KiB can become some megabytes of short header lines.
REPORT_BYTES = 16 * 1024


def make_error(error):
    """Return a new error for one of the parser or of a callback.

    The tracebacks of the old ones hold received bytes.
    """
    if isinstance(error.__context__, errors.BadMessageError):
        return copy_error(error.__context__)
    return errors.BadMessageError(str(error))


def copy_error(error):
    """Return an error without the traceback of another one."""
    return errors.BadMessageError(str(error), error.status)


@dataclasses.dataclass(frozen=True, slots=True)
class Request:
    """A complete request; header names are in lower case.

    `target` is the path with its query, as it was sent. `held_bytes` is the
    memory that the request takes.
    """

    method: str
    target: bytes
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes
    keep_alive: bool
    held_bytes: int = 0

    def get(self, name, default=b''):
        """Return the value of a header."""
        for key, value in self.headers:
            if key == name:
                return value
        return default

    @property
    def path(self):
        """Path without its query."""
        return self.target.split(b'?', 1)[0].decode('latin-1')

    @property
    def query(self):
        """Query as a dict of names and values, without percent-decoding."""
        _, _, query = self.target.partition(b'?')
        pairs = (part.partition(b'=') for part in query.split(b'&'))
        return {
            name.decode('latin-1'): value.decode('latin-1')
            for name, _, value in pairs
            if name
        }


class RequestParser:
    """Parser of the requests on one connection.

    Parameters
    ----------
    limits : CallerLimits
        Limits on the size of the header and the body.
    record_size : callable, optional
        Called with the bytes held each time a request that is being parsed
        has grown by `REPORT_BYTES`; may raise `BadMessageError`.
    bounds : Bounds, optional
        Bounds on waiting requests and on chunk framing.
    """

    def __init__(
        self, limits, record_size=None, bounds=bounds_module.DEFAULT_BOUNDS
    ):
        self.limits = limits
        self.bounds = bounds
        self.record_size = record_size
        self.requests = []
        # Error in the bytes after the last of these requests.
        self.error = None
        self.parser = httptools.HttpRequestParser(self)
        self.started = False
        self.head_done = False
        self.head_bytes = 0
        self.expects_continue = False
        self.message_count = 0
        self.reset()

    def reset(self):
        """Prepare for the next request."""
        self.target = b''
        self.headers = []
        self.header_bytes = 0
        self.body = b''
        self.body_bytes = 0
        # Memory of the request in progress, and when to report it next.
        self.cost = 0
        self.report_at = REPORT_BYTES
        # Bytes since the last byte of the body, and all that are no body.
        self.quiet_bytes = 0
        self.framing_bytes = 0

    @property
    def is_large(self):
        """Whether the request in progress has a body of several blocks."""
        return self.body_bytes > buffer.BLOCK_BYTES

    @property
    def held_bytes(self):
        """Memory of the requests that were not taken yet."""
        cost = self.cost
        if isinstance(self.body, buffer.BodyBuffer):
            cost += self.body.free_bytes
        if not self.requests:
            return cost
        return cost + sum(request.held_bytes for request in self.requests)

    def feed(self, data):
        """Parse received bytes.

        An error after a complete request is stored, so that this request is
        answered first.

        Raises
        ------
        BadMessageError
            If they are not a valid request within the limits.
        """
        try:
            self.parse(data)
        except errors.BadMessageError as error:
            if not self.requests:
                raise
            self.reset()
            self.started = True
            self.error = copy_error(error)

    def parse(self, data):
        """Parse received bytes; see `feed`."""
        self.started = True
        message = self.message_count if self.head_done else None
        body_bytes = self.body_bytes
        if message is None:
            self.head_bytes += len(data)
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserUpgrade as error:
            # The parser has completed the request without its body.
            self.requests.pop()
            raise errors.BadMessageError(
                'protocol upgrade is not supported'
            ) from error
        except httptools.HttpParserError as error:
            raise make_error(error) from None
        if not self.head_done:
            self.check_head(self.head_bytes)
        elif message == self.message_count:
            self.check_framing(len(data), self.body_bytes - body_bytes)

    def check_head(self, size):
        """Raise an error if a header exceeds its limit."""
        if size > self.limits.max_header_bytes:
            raise errors.BadMessageError(
                f'request header exceeds {self.limits.max_header_bytes} bytes',
                431,
            )

    def check_body(self, size):
        """Raise an error if a body exceeds its limit."""
        if size > self.limits.max_body_bytes:
            raise errors.BadMessageError(
                f'request body exceeds {self.limits.max_body_bytes} bytes', 413
            )

    def check_framing(self, received_bytes, added_bytes):
        """Bound what is received within a body and held nowhere.

        These are chunk extensions and trailers. They take no memory, but a
        thread and the time of the processor.
        """
        framing_bytes = received_bytes - added_bytes
        self.framing_bytes += framing_bytes
        self.quiet_bytes = (
            0 if added_bytes else self.quiet_bytes + framing_bytes
        )
        max_bytes = self.limits.max_header_bytes
        if self.quiet_bytes > max_bytes:
            raise errors.BadMessageError(
                f'{self.quiet_bytes} bytes received without a byte of the '
                f'body, the limit is {max_bytes}',
                431,
            )
        max_bytes += MAX_FRAMING_BYTES
        max_bytes += self.bounds.max_framing_ratio * self.body_bytes
        if self.framing_bytes > max_bytes:
            raise errors.BadMessageError(
                f'chunks of a body of {self.body_bytes} bytes have more than '
                f'{max_bytes:.0f} further bytes',
                431,
            )

    def report(self):
        """Report the growth of the request in progress."""
        self.report_at = self.cost + REPORT_BYTES
        if self.record_size is not None:
            self.record_size(self.held_bytes)

    def drop(self):
        """Drop the request in progress; nothing more may be parsed."""
        self.headers = []
        self.body = b''

    def on_message_begin(self):
        """Start a request."""
        self.reset()
        self.started = True
        self.message_count += 1

    def on_url(self, url):
        """Append a part of the target."""
        self.target += url

    def on_header(self, name, value):
        """Add a header.

        A trailer is dropped. It comes after the checks of the header, and one
        that is named like a header must not take its place.
        """
        if self.head_done:
            return
        # A colon and the end of the line; a space is optional.
        size = len(name) + len(value) + 3
        self.header_bytes += size
        self.cost += size + LINE_COST_BYTES
        if self.cost > self.report_at:
            self.check_head(self.header_bytes)
            self.report()
        self.headers.append((name.lower(), value))

    def on_headers_complete(self):
        """Check the size of the header and the Expect header."""
        self.head_done = True
        self.check_head(self.header_bytes + len(self.target))
        self.cost += len(self.target) + REQUEST_COST_BYTES
        for name, value in self.headers:
            if name == b'expect' and value.lower() == b'100-continue':
                self.expects_continue = True
            elif name == b'content-length':
                # The parser has checked that it is a number.
                self.check_body(int(value))

    def on_body(self, body):
        """Append a part of the body."""
        self.body_bytes += len(body)
        self.cost += len(body)
        self.check_body(self.body_bytes)
        if not self.body:
            self.body = body
            return
        if isinstance(self.body, bytes):
            first, self.body = self.body, buffer.BodyBuffer()
            self.body.append(first)
        self.body.append(body)
        if self.cost > self.report_at:
            self.report()

    def join_body(self):
        """Return the body as bytes."""
        if isinstance(self.body, buffer.BodyBuffer):
            return self.body.join()
        return self.body

    def on_message_complete(self):
        """Add the request to the complete requests."""
        # The first of them does not wait.
        if len(self.requests) > self.bounds.max_pipelined:
            raise errors.BadMessageError(
                f'more than {self.bounds.max_pipelined} requests are waiting',
                503,
            )
        self.requests.append(
            Request(
                self.parser.get_method().decode('latin-1'),
                self.target,
                tuple(self.headers),
                self.join_body(),
                self.parser.should_keep_alive(),
                self.cost,
            )
        )
        self.started = False
        self.head_done = False
        self.head_bytes = 0
        self.expects_continue = False
        self.reset()


@dataclasses.dataclass(frozen=True, slots=True)
class ResponseHead:
    """Status and headers of a response; header names are in lower case."""

    status: int
    reason: bytes
    headers: tuple[tuple[bytes, bytes], ...]

    def get(self, name, default=b''):
        """Return the value of a header."""
        for key, value in self.headers:
            if key == name:
                return value
        return default


class ResponseParser:
    """Parser of one response.

    Bytes after the end of the response belong to no request and are ignored.
    `head_cost` is the memory that the header takes.
    """

    def __init__(self):
        self.head_cost = 0
        self.parser = httptools.HttpResponseParser(self)
        self.head = None
        self.is_complete = False
        self.parts = []
        self.headers = []
        self.reason = b''
        self.header_bytes = 0
        self.framing_bytes = 0

    def feed(self, data):
        """Parse received bytes; return the parts of the body in them.

        Raises
        ------
        BadMessageError
            If they are not a valid response, or if more than
            `MAX_FRAMING_BYTES` arrive without a byte of the body.
        """
        if self.is_complete:
            return []
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserUpgrade as error:
            raise errors.BadMessageError(
                'protocol upgrade is not supported'
            ) from error
        except httptools.HttpParserError as error:
            if not self.is_complete:
                raise make_error(error) from None
        parts, self.parts = self.parts, []
        self.framing_bytes = 0 if parts else self.framing_bytes + len(data)
        if self.framing_bytes > MAX_FRAMING_BYTES and not self.is_complete:
            raise errors.BadMessageError(
                f'{self.framing_bytes} bytes received without a byte of the '
                f'body, the limit is {MAX_FRAMING_BYTES}'
            )
        return parts

    def finish(self):
        """End the response; return whether it is complete.

        Called at the end of the connection. Only a response without
        Content-Length and Transfer-Encoding is completed by it.
        """
        if self.head is not None and not self.is_complete:
            self.is_complete = not answers.is_delimited(self.head)
        return self.is_complete

    def on_status(self, status):
        """Append a part of the reason phrase."""
        self.reason += status

    def on_header(self, name, value):
        """Add a header; trailers are ignored."""
        if self.head is not None:
            return
        self.header_bytes += len(name) + len(value)
        if self.header_bytes > MAX_FRAMING_BYTES:
            raise errors.BadMessageError(
                f'response header exceeds {MAX_FRAMING_BYTES} bytes'
            )
        self.head_cost += len(name) + len(value) + LINE_COST_BYTES
        self.headers.append((name.lower(), value))

    def on_headers_complete(self):
        """Store the head of a final response."""
        status = self.parser.get_status_code()
        if self.is_complete or status < FIRST_FINAL_STATUS:
            self.headers = []
            self.head_cost = 0
            self.reason = b''
            return
        if status > LAST_STATUS:
            raise errors.BadMessageError(f'status {status} is not valid')
        self.head = ResponseHead(status, self.reason, tuple(self.headers))

    def on_body(self, body):
        """Append a part of the body."""
        if not self.is_complete:
            self.parts.append(body)

    def on_message_complete(self):
        """Record the end of a final response."""
        if self.head is not None:
            self.is_complete = True
