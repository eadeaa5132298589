"""Streaming of upload bodies and results, without buffering them in full."""

from werkzeug import wrappers

from rhubarbreach import clock
from rhubarbreach.entry import bodies

__all__ = [
    'BodyStream',
    'count_bytes',
    'end_turn',
    'is_ended',
    'keep_bytes',
    'open_body',
    'send_lines',
]

# Time limits of an upload: for its next bytes, and for all of it.
READ_TIMEOUT_SECONDS = 20.0
UPLOAD_TIMEOUT_SECONDS = 600.0
# Time limit for sending one page of results.
WRITE_TIMEOUT_SECONDS = 30.0
LAST_CHUNK = b'0\r\n\r\n'
STATUS_OK = 200


class BodyStream:
    """Body of a request, read in chunks.

    Parameters
    ----------
    request : EntryRequest
        Request of the caller.
    """

    def __init__(self, request):
        self.request = request
        self.stream = request.environ['wsgi.input']
        self.unread_bytes = request.content_length
        if self.unread_bytes is None and not request.environ.get(
            'wsgi.input_terminated'
        ):
            self.unread_bytes = 0
        self.deadline = clock.monotonic() + UPLOAD_TIMEOUT_SECONDS
        self.read_bytes = 0

    def read(self, size):
        """Return up to `size` bytes, empty at the end.

        Raises
        ------
        OSError
            If the body ends before its length or exceeds a time limit.
        """
        if self.unread_bytes is not None:
            size = min(size, self.unread_bytes)
        if not self.read_bytes:
            size = min(size, bodies.CHUNKED_TURN_BYTES)
        if size == 0:
            self.request.body_read = True
            return b''
        time_left = clock.remaining(self.deadline, clock.monotonic())
        self.request.connection.set_read_deadline(
            min(READ_TIMEOUT_SECONDS, time_left)
        )
        if self.read_bytes:
            self.request.connection.reader.take_turn()
        data = self.stream.read(size)
        self.read_bytes += len(data)
        if self.unread_bytes is not None:
            self.unread_bytes -= len(data)
            if not data:
                raise OSError(
                    f'the body ended {self.unread_bytes} bytes before its '
                    'Content-Length'
                )
        elif not data:
            self.request.body_read = True
        return data


def open_body(request):
    """Return a stream that reads the body of a request."""
    if hasattr(request, 'connection'):
        return BodyStream(request)
    return request.stream


def count_bytes(request):
    """Return a function that counts what an upload holds, or None.

    The function raises `BadMessageError` if there is no memory for it.
    """
    if not hasattr(request, 'connection'):
        return None
    connection = request.connection
    return lambda size: connection.holding.resize(connection.head_cost + size)


def keep_bytes(request):
    """Let an upload that is complete not end for others.

    Raises
    ------
    BadMessageError
        If it has ended.
    """
    if hasattr(request, 'connection'):
        request.connection.holding.keep()


def end_turn(request):
    """Let another large request be read, after the end of this one."""
    if hasattr(request, 'connection'):
        request.connection.reader.end_turn()


def is_ended(request):
    """Return whether an upload was ended to free its bytes."""
    return (
        hasattr(request, 'connection') and request.connection.holding.is_ended
    )


def send_lines(request, content_type, chunks):
    """Send a response body in chunks as they become available.

    Parameters
    ----------
    request : EntryRequest
        Request of the caller.
    content_type : str
        Content type of the response.
    chunks : iterator of bytes
        Raises an OSError to leave the response incomplete.

    Returns
    -------
    werkzeug.wrappers.Response or None
        None when the response was sent on the connection.
    """
    if not hasattr(request, 'connection'):
        return wrappers.Response(chunks, STATUS_OK, content_type=content_type)
    connection = request.connection
    chunked = connection.request_version == 'HTTP/1.1'
    lines = [
        'HTTP/1.1 200 OK',
        f'Content-Type: {content_type}',
        f'X-Request-Id: {request.request_id}',
        'Transfer-Encoding: chunked' if chunked else 'Connection: close',
    ]
    try:
        connection.connection.settimeout(WRITE_TIMEOUT_SECONDS)
        head = '\r\n'.join([*lines, '', ''])
        connection.connection.sendall(head.encode('latin-1'))
        for chunk in chunks:
            send_chunk(connection.connection, chunk, chunked)
        if chunked:
            connection.connection.sendall(LAST_CHUNK)
        connection.close_connection = not chunked
    except OSError:
        # The missing last chunk shows the caller that the response is
        # incomplete.
        connection.close_connection = True
    return None


def send_chunk(sock, chunk, chunked):
    """Send one chunk of a response body."""
    if not chunk:
        return
    if chunked:
        chunk = b'%x\r\n%s\r\n' % (len(chunk), chunk)
    sock.sendall(chunk)
