"""Bodies of uploads and results that are never held whole."""

from werkzeug import wrappers

from rhubarbreach import clock

__all__ = ['BodyStream', 'open_body', 'send_lines']

# Seconds within which the next bytes of an upload have to arrive, and within
# which the whole upload has to.
READ_SECONDS = 20.0
UPLOAD_SECONDS = 600.0
# Seconds within which a caller has to take a page of results.
WRITE_SECONDS = 30.0
LAST_CHUNK = b'0\r\n\r\n'
STATUS_OK = 200


class BodyStream:
    """Body of a request, read piece by piece.

    Parameters
    ----------
    request : EntryRequest
        Request of the caller.
    """

    def __init__(self, request):
        self.request = request
        self.stream = request.environ['wsgi.input']
        self.left = request.content_length
        if self.left is None and not request.environ.get(
            'wsgi.input_terminated'
        ):
            self.left = 0
        self.deadline = clock.monotonic() + UPLOAD_SECONDS

    def read(self, size):
        """Return up to `size` bytes, empty at the end.

        Raises
        ------
        OSError
            If the body ends early or arrives too slowly.
        """
        if self.left is not None:
            size = min(size, self.left)
        if size == 0:
            self.request.body_read = True
            return b''
        left = clock.remaining(self.deadline, clock.monotonic())
        self.request.connection.set_read_deadline(min(READ_SECONDS, left))
        data = self.stream.read(size)
        if self.left is not None:
            self.left -= len(data)
            if not data:
                raise OSError('the body ended before its length')
        elif not data:
            self.request.body_read = True
        return data


def open_body(request):
    """Return a stream of the body of a request."""
    if hasattr(request, 'connection'):
        return BodyStream(request)
    return request.stream


def send_lines(request, content_type, pieces):
    """Send pieces as they come.

    Parameters
    ----------
    request : EntryRequest
        Request of the caller.
    content_type : str
        Content type of the answer.
    pieces : iterator of bytes
        Raises an OSError to end the answer as incomplete.

    Returns
    -------
    werkzeug.wrappers.Response or None
        None when the answer was sent.
    """
    if not hasattr(request, 'connection'):
        return wrappers.Response(pieces, STATUS_OK, content_type=content_type)
    connection = request.connection
    chunked = connection.request_version == 'HTTP/1.1'
    lines = [
        'HTTP/1.1 200 OK',
        f'Content-Type: {content_type}',
        f'X-Request-Id: {request.request_id}',
        'Transfer-Encoding: chunked' if chunked else 'Connection: close',
    ]
    try:
        connection.connection.settimeout(WRITE_SECONDS)
        head = '\r\n'.join([*lines, '', ''])
        connection.connection.sendall(head.encode('latin-1'))
        for piece in pieces:
            send_piece(connection.connection, piece, chunked)
        if chunked:
            connection.connection.sendall(LAST_CHUNK)
        connection.close_connection = not chunked
    except OSError:
        # Without the last chunk the caller sees that the answer is not
        # complete.
        connection.close_connection = True
    return None


def send_piece(sock, piece, chunked):
    """Send one piece of an answer."""
    if not piece:
        return
    if chunked:
        piece = b'%x\r\n%s\r\n' % (len(piece), piece)
    sock.sendall(piece)
