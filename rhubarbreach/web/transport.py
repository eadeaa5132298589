"""Connections to endpoints, made directly or through another entry host.

A relayed connection carries the bytes of the endpoint as the chunked body of a
response of the relay. The end of the endpoint's side is then told from an end
of the relay, and a response that ends with its connection does not look whole
when its relay is lost.
"""

import select
import socket

from rhubarbreach import exceptions
from rhubarbreach.web import buffers
from rhubarbreach.web import errors
from rhubarbreach.web import parse
from rhubarbreach.web import sockets

__all__ = [
    'CONNECTED_HEAD',
    'DirectOpening',
    'DirectTransport',
    'RELAY_PATH',
    'RelayUnavailableError',
    'RelayedOpening',
    'RelayedTransport',
    'connect',
    'encode_call',
    'encode_chunk',
    'read_call',
]

RELAY_PATH = '/relay/'
SECONDS_HEADER = b'seconds'
CONNECTED_HEAD = b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n'
LAST_CHUNK = b'0\r\n\r\n'
STATUS_CONNECTED = 200
# The relay found the port of the endpoint closed, or did not reach it. With
# any other status it has not tried.
STATUS_REFUSED = 502
STATUS_UNREACHED = 504


class RelayUnavailableError(errors.ConnectError):
    """A relay does not serve, or was not reached itself."""


def connect(address, deadline, buffer_size=None):
    """Return a `DirectTransport`; the errors are those of `sockets.connect`.

    Parameters
    ----------
    address : str
        `IP:port`.
    deadline : float
        Seconds of `clock.monotonic`.
    buffer_size : int, optional
        Size of the buffers of the socket.
    """
    return DirectTransport(sockets.connect(address, deadline, buffer_size))


def encode_call(endpoint_id, seconds):
    """Return the call that asks a relay for a connection to an endpoint.

    Parameters
    ----------
    endpoint_id : str
        Endpoint, of printable characters.
    seconds : float
        Time in which the relay has to connect.
    """
    path = RELAY_PATH + endpoint_id.encode().hex()
    return (
        f'POST {path} HTTP/1.1\r\nHost: relay\r\nSeconds: {seconds:.3f}\r\n'
        'Content-Length: 0\r\n\r\n'
    ).encode()


def read_call(request):
    """Return the endpoint id and the seconds of a call, or None.

    Parameters
    ----------
    request : Request
        Request at the port of a relay.
    """
    try:
        digits = request.path.removeprefix(RELAY_PATH)
        endpoint_id = bytes.fromhex(digits).decode()
        seconds = float(request.get(SECONDS_HEADER))
    except ValueError:
        return None
    if not request.path.startswith(RELAY_PATH) or not seconds > 0:
        return None
    return endpoint_id, seconds


def encode_chunk(data):
    """Return bytes of an endpoint as a relay sends them.

    Parameters
    ----------
    data : bytes
        Bytes; none stand for the end of the endpoint's side.
    """
    if not data:
        return LAST_CHUNK
    return b'%x\r\n%b\r\n' % (len(data), data)


class DirectTransport:
    """Connection to an endpoint.

    Parameters
    ----------
    connection : socket.socket
        Connected socket.
    """

    def __init__(self, connection):
        self.socket = connection

    def send_all(self, data, deadline):
        """Send bytes, as `sockets.send_all` does."""
        sockets.send_all(self.socket, data, deadline)

    def receive(self, deadline):
        """Return received bytes, as `sockets.receive` does."""
        return sockets.receive(self.socket, deadline)


class RelayedTransport(DirectTransport):
    """Connection to an endpoint through a relay.

    Parameters
    ----------
    connection : socket.socket
        Socket that is connected to the relay.
    parser : ResponseParser
        Parser of the response of the relay, which has read its head.
    parts : list of bytes
        Bytes of the endpoint that have arrived with the head.
    """

    def __init__(self, connection, parser, parts):
        super().__init__(connection)
        self.parser = parser
        self.parts = parts

    def receive(self, deadline):
        """Return the bytes of the endpoint in what has arrived.

        Returns
        -------
        bytes or None
            Empty at the end of the endpoint's side, None if only a part of the
            framing has arrived.

        Raises
        ------
        ConnectionEndedError
            If the connection of the endpoint or of the relay was reset.
        DeadlineError
            If nothing was received before the deadline.
        """
        parts, self.parts = self.parts, []
        if not parts and not self.parser.is_complete:
            data = sockets.receive(self.socket, deadline)
            if not data:
                raise errors.ConnectionEndedError('the relay has ended')
            parts = self.parser.feed(data)
        if parts:
            return b''.join(parts)
        return b'' if self.parser.is_complete else None


class DirectOpening:
    """Connection to an endpoint that is being made.

    `socket` and `events` are what to wait for before `advance`. It has ended
    once `transport` or `error` is set.

    Parameters
    ----------
    address : str
        `IP:port`.
    buffer_size : int or None
        Size of the buffers of the socket.
    """

    def __init__(self, address, buffer_size):
        self.transport = None
        self.error = None
        self.events = select.POLLOUT
        self.socket = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        try:
            host_and_port = sockets.parse_address(address)
            sockets.prepare(self.socket)
            buffers.set_size(self.socket, buffer_size)
            sockets.begin_connect(self.socket, host_and_port)
        except (OSError, ValueError) as error:
            self.fail(errors.ConnectError(f'connect: {error}'))
        except errors.ConnectError as error:
            self.fail(error)

    @property
    def has_ended(self):
        """Whether the connection was made or has failed."""
        return self.transport is not None or self.error is not None

    def advance(self):
        """Go on after an event of the socket."""
        try:
            sockets.finish_connect(self.socket)
        except errors.ConnectError as error:
            self.fail(error)
            return
        self.transport = DirectTransport(self.socket)

    def fail(self, error):
        """End with an error."""
        self.error = error
        self.close()

    def close(self):
        """Close the socket; the connection is not used."""
        sockets.close_socket(self.socket)


class RelayedOpening(DirectOpening):
    """Connection to an endpoint that a relay is making.

    Parameters
    ----------
    relay_address : str
        `IP:port` of the relay.
    endpoint_id : str
        Endpoint.
    seconds : float
        Time in which the relay has to connect.
    buffer_size : int or None
        Size of the buffers of the socket.
    """

    def __init__(self, relay_address, endpoint_id, seconds, buffer_size):
        self.call = encode_call(endpoint_id, seconds)
        self.parser = parse.ResponseParser()
        super().__init__(relay_address, buffer_size)
        if self.error is not None:
            self.error = RelayUnavailableError(f'relay: {self.error}')

    def advance(self):
        """Go on after an event of the socket."""
        try:
            if self.events == select.POLLOUT:
                sockets.finish_connect(self.socket)
                # It fits into the buffer of a new socket.
                self.socket.send(self.call)
                self.events = select.POLLIN
                return
            self.read_reply()
        except (OSError, exceptions.RhubarbreachError) as error:
            self.fail(RelayUnavailableError(f'relay: {error}'))

    def read_reply(self):
        """Read the reply of the relay, or a part of it."""
        data = sockets.receive_now(self.socket)
        if data is None:
            return
        if not data:
            raise errors.ConnectionEndedError('ended without a reply')
        parts = self.parser.feed(data)
        head = self.parser.head
        if head is None:
            return
        if head.status == STATUS_CONNECTED:
            self.transport = RelayedTransport(self.socket, self.parser, parts)
        elif head.status == STATUS_REFUSED:
            self.fail(errors.ConnectRefusedError('refused to the relay'))
        elif head.status == STATUS_UNREACHED:
            self.fail(errors.ConnectError('not reached by the relay'))
        else:
            self.fail(RelayUnavailableError(f'relay: status {head.status}'))
