"""One request to an endpoint on a connection of its own.

A kept connection may end before the first byte of an answer, and then
nothing tells whether the request has run. A fresh connection fails before
anything was sent, which is known not to have run.
"""

from rhubarbreach.web import errors
from rhubarbreach.web import parse
from rhubarbreach.web import sockets

__all__ = ['Call', 'encode_request']


def encode_request(method, target, headers, body):
    """Return the bytes of a request.

    Parameters
    ----------
    method : str
        Method.
    target : bytes
        Path with its query.
    headers : iterable of tuple of bytes
        Names and values, without those of the framing.
    body : bytes
        Body.
    """
    lines = [b'%s %s HTTP/1.1' % (method.encode('latin-1'), target)]
    lines.extend(b'%s: %s' % pair for pair in headers)
    if body or method not in ('GET', 'HEAD', 'DELETE'):
        lines.append(b'Content-Length: %d' % len(body))
    lines.append(b'Connection: close')
    return b'\r\n'.join(lines) + b'\r\n\r\n' + body


class Call:
    """A request that was sent to an endpoint.

    Parameters
    ----------
    address : str
        `IP:port` of the endpoint.
    data : bytes
        Encoded request.
    connect_deadline, deadline : float
        Seconds of `clock.monotonic`.

    Raises
    ------
    ConnectError
        If there was no connection; nothing was sent.
    ConnectionEndedError, DeadlineError
        If the request was sent in part; it may have run.
    """

    def __init__(self, address, data, connect_deadline, deadline):
        self.parser = parse.ResponseParser()
        self.socket = sockets.connect(address, connect_deadline)
        try:
            sockets.send_all(self.socket, data, deadline)
        except errors.DeadlineError:
            self.close()
            raise
        except errors.ConnectionEndedError:
            # An endpoint may answer before it has read a long body.
            pass

    @property
    def head(self):
        """Head of the answer, None until it has come."""
        return self.parser.head

    @property
    def is_whole(self):
        """Whether the answer has come completely."""
        return self.parser.is_whole

    def read(self, deadline):
        """Return the next parts of the body; see also `is_whole`.

        Raises
        ------
        ConnectionEndedError
            If the connection has ended before the answer was whole.
        DeadlineError
            If nothing came before the deadline.
        BadMessageError
            If what came is no answer.
        """
        data = sockets.receive(self.socket, deadline)
        if not data:
            if not self.parser.finish():
                raise errors.ConnectionEndedError('answer is not whole')
            return []
        return self.parser.feed(data)

    def interrupt(self):
        """End the connection from another task, which wakes its own."""
        sockets.shut_down(self.socket)

    def close(self):
        """End the connection; an endpoint stops what it still runs."""
        sockets.close_socket(self.socket)
