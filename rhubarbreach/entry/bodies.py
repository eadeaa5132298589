"""Reading of request bodies with limits on size and time."""

import contextlib

from rhubarbreach.dispatch import errors
from rhubarbreach.web import errors as web_errors

__all__ = [
    'CHUNKED_TURN_BYTES',
    'discard_body',
    'open_stream',
    'read_body',
    'refuse_held',
]

READ_BYTES = 64 * 1024
# A body with more bytes waits for its turn. One in chunks may take a thousand
# times as long to read.
TURN_BYTES = 16 * 1024
CHUNKED_TURN_BYTES = 1024

# An unread body up to this size is read and discarded, so that the connection
# can be kept open.
MAX_DISCARD_BYTES = 64 * 1024
DISCARD_TIMEOUT_SECONDS = 1.0

# Time limit for receiving a body that is read incrementally.
STREAM_TIMEOUT_SECONDS = 300.0


def read_body(request, max_bytes, seconds):
    """Read the body of a request.

    Parameters
    ----------
    request : app.EntryRequest
        Request of the caller.
    max_bytes : int
        Maximum size in bytes.
    seconds : float
        Time limit for receiving the whole body.

    Returns
    -------
    bytes or codes.Refusal
        Body, or why it was not accepted. After a refusal the connection is
        closed with the response, unless `discard_body` can read the rest.
    """
    length = request.content_length
    chunked = bool(request.environ.get('wsgi.input_terminated'))
    if length is None and not chunked:
        request.body_read = True
        return b''
    if chunked and request.headers.get('Content-Length') is not None:
        return errors.make_refusal(
            'MALFORMED_BODY',
            'the request has both Content-Length and Transfer-Encoding',
        )
    if length is not None and length > max_bytes:
        return refuse_large(max_bytes)
    request.connection.set_read_deadline(seconds)
    holding = request.connection.holding
    head_cost = request.connection.head_cost
    try:
        with large_turn(request.connection.reader) as reader:
            body = read_stream(
                request.environ['wsgi.input'],
                length,
                max_bytes,
                lambda size: holding.resize(head_cost + size),
                reader,
            )
        # No status would be true of a request that ends while it runs.
        holding.keep()
        holding.resize(head_cost + len(body))
    except web_errors.BadMessageError:
        request.body_failed = True
        return refuse_held()
    except TimeoutError:
        request.body_failed = True
        return errors.make_refusal(
            'BODY_INCOMPLETE',
            f'the body was not received within {seconds:g} s',
        )
    except (OSError, ValueError):
        request.body_failed = True
        if holding.is_ended:
            return refuse_held()
        return errors.make_refusal(
            'BODY_INCOMPLETE', 'the body ended before it was complete'
        )
    if len(body) > max_bytes:
        return refuse_large(max_bytes)
    if length is not None and len(body) < length:
        return errors.make_refusal(
            'BODY_INCOMPLETE',
            f'the body ended after {len(body)} of {length} bytes',
        )
    request.body_read = True
    return body


class BodyStream:
    """Body of a request that is read incrementally.

    Parameters
    ----------
    request : app.EntryRequest
        Request of the caller.
    """

    def __init__(self, request):
        self.request = request
        self.source = request.environ['wsgi.input']
        self.remaining = request.content_length
        if not request.environ.get('wsgi.input_terminated'):
            self.remaining = self.remaining or 0
        request.connection.set_read_deadline(STREAM_TIMEOUT_SECONDS)

    def read(self, size):
        """Return up to `size` bytes, or no bytes at the end.

        Raises
        ------
        OSError
            If the body ends before it is complete or arrives too slowly.
        """
        if self.remaining is not None:
            size = min(size, self.remaining)
        data = self.source.read(size) if size else b''
        if self.remaining is not None:
            self.remaining -= len(data)
            if not data and self.remaining:
                self.request.body_failed = True
                raise ConnectionError(
                    f'the body ended {self.remaining} bytes before its '
                    'Content-Length'
                )
        if not data or self.remaining == 0:
            self.request.body_read = True
        return data


def open_stream(request):
    """Return the body of a request as a `BodyStream`."""
    return BodyStream(request)


def refuse_large(max_bytes):
    """Return the refusal for a body that is too large."""
    return errors.make_refusal(
        'BODY_TOO_LARGE', f'the body has more than {max_bytes} bytes'
    )


def refuse_held():
    """Return the refusal of a body for which there is no memory."""
    return errors.make_refusal(
        'QUEUE_FULL',
        'this host holds too many bytes of requests',
        retry_after=1.0,
    )


@contextlib.contextmanager
def large_turn(reader):
    """End the turn that a large body has taken meanwhile, if any."""
    try:
        yield reader
    finally:
        reader.end_turn()


def read_stream(stream, length, max_bytes, record_size=None, reader=None):
    """Read up to `length` bytes, or `max_bytes` + 1 if it is None.

    The additional byte shows that the body exceeds the limit. `record_size` is
    called with the bytes read so far and those that are read next, as a read
    holds what has arrived until it is complete. A large body waits for the
    turns of the `reader`.
    """
    remaining = max_bytes + 1 if length is None else length
    size = CHUNKED_TURN_BYTES if length is None else TURN_BYTES
    body = bytearray()
    while remaining > 0:
        if body:
            size = READ_BYTES
            if reader is not None:
                reader.take_turn()
        size = min(remaining, size)
        if record_size is not None:
            record_size(len(body) + size)
        chunk = stream.read(size)
        if not chunk:
            break
        body += chunk
        remaining -= len(chunk)
    return bytes(body)


def discard_body(request):
    """Discard a small unread body; return whether all of it was read."""
    if request.body_read:
        return True
    length = request.content_length
    if request.body_failed or request.environ.get('wsgi.input_terminated'):
        return False
    if not length:
        return True
    if length > MAX_DISCARD_BYTES:
        return False
    request.connection.set_read_deadline(DISCARD_TIMEOUT_SECONDS)
    try:
        body = read_stream(request.environ['wsgi.input'], length, length)
    except (OSError, ValueError):
        return False
    return len(body) == length
