"""Bounded reading of request bodies."""

from rhubarbreach.dispatch import errors

__all__ = ['discard_body', 'open_stream', 'read_body']

READ_BYTES = 64 * 1024

# An unread body up to this size is read and dropped to keep the connection.
DISCARD_BYTES = 64 * 1024
DISCARD_SECONDS = 1.0

# Time within which a body that is read piece by piece has to arrive.
STREAM_SECONDS = 300.0


def read_body(request, max_bytes, seconds):
    """Read the body of a request.

    Parameters
    ----------
    request : app.EntryRequest
        Request of the caller.
    max_bytes : int
        Size that is accepted.
    seconds : float
        Time within which the whole body has to arrive.

    Returns
    -------
    bytes or codes.Refusal
        Body, or why it was not accepted. After a refusal the connection is
        closed with the answer.
    """
    length = request.content_length
    chunked = bool(request.environ.get('wsgi.input_terminated'))
    if length is None and not chunked:
        request.body_read = True
        return b''
    if chunked and request.headers.get('Content-Length') is not None:
        return errors.make_refusal(
            'MALFORMED_BODY', 'both Content-Length and Transfer-Encoding'
        )
    if length is not None and length > max_bytes:
        return refuse_large(max_bytes)
    request.connection.set_read_deadline(seconds)
    try:
        body = read_stream(request.environ['wsgi.input'], length, max_bytes)
    except TimeoutError:
        request.body_failed = True
        return errors.make_refusal(
            'BODY_INCOMPLETE', f'no whole body within {seconds:g} s'
        )
    except (OSError, ValueError):
        request.body_failed = True
        return errors.make_refusal(
            'BODY_INCOMPLETE', 'the body ended before its length'
        )
    if len(body) > max_bytes:
        return refuse_large(max_bytes)
    if length is not None and len(body) < length:
        return errors.make_refusal(
            'BODY_INCOMPLETE', 'the body ended before its length'
        )
    request.body_read = True
    return body


class BodyStream:
    """Body of a request that is read piece by piece.

    Parameters
    ----------
    request : app.EntryRequest
        Request of the caller.
    """

    def __init__(self, request):
        self.request = request
        self.source = request.environ['wsgi.input']
        self.left = request.content_length
        if not request.environ.get('wsgi.input_terminated'):
            self.left = self.left or 0
        request.connection.set_read_deadline(STREAM_SECONDS)

    def read(self, size):
        """Return up to `size` bytes, empty at the end.

        Raises
        ------
        OSError
            If the body ends before its length or is too slow.
        """
        if self.left is not None:
            size = min(size, self.left)
        data = self.source.read(size) if size else b''
        if self.left is not None:
            self.left -= len(data)
            if not data and self.left:
                self.request.body_failed = True
                raise ConnectionError('the body ended before its length')
        if not data or self.left == 0:
            self.request.body_read = True
        return data


def open_stream(request):
    """Return the body of a request as a `BodyStream`."""
    return BodyStream(request)


def refuse_large(max_bytes):
    """Return the refusal of a body that is too large."""
    return errors.make_refusal(
        'BODY_TOO_LARGE', f'the body has more than {max_bytes} bytes'
    )


def read_stream(stream, length, max_bytes):
    """Read until the length, the end or one byte more than allowed."""
    wanted = max_bytes + 1 if length is None else length
    pieces = []
    while wanted > 0:
        piece = stream.read(min(wanted, READ_BYTES))
        if not piece:
            break
        pieces.append(piece)
        wanted -= len(piece)
    return b''.join(pieces)


def discard_body(request):
    """Drop an unread small body; return whether none is left unread."""
    if request.body_read:
        return True
    length = request.content_length
    if request.body_failed or request.environ.get('wsgi.input_terminated'):
        return False
    if not length:
        return True
    if length > DISCARD_BYTES:
        return False
    request.connection.set_read_deadline(DISCARD_SECONDS)
    try:
        body = read_stream(request.environ['wsgi.input'], length, length)
    except (OSError, ValueError):
        return False
    return len(body) == length
