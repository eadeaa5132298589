"""Relay of connections to endpoints for other entry hosts."""

import select

from rhubarbreach import clock
from rhubarbreach.web import errors
from rhubarbreach.web import sockets
from rhubarbreach.web import transport

__all__ = ['Relay']

# Longest time in which a connection is made for another host.
MAX_CONNECT_SECONDS = 0.5
# Bytes of one direction that are held.
RECEIVE_BYTES = 16 * 1024
# The sockets themselves detect a dead peer.
POLL_MS = 60_000
STATUS_MALFORMED = 400
STATUS_REFUSED = 502
STATUS_UNAVAILABLE = 503
STATUS_UNREACHED = 504
ENDED = select.POLLHUP | select.POLLERR | select.POLLNVAL


class Relay:
    """Handler of the calls at the port of a relay; see `web.transport`.

    Parameters
    ----------
    connect : callable
        Returns a connected socket, for the id of an endpoint, a deadline and
        the size of the buffers. It raises `ConnectRefusedError` if the port of
        the endpoint is closed, `RelayUnavailableError` if this host may or can
        connect to none, else `ConnectError`.
    socket_buffers : SocketBuffers
        Bounds the bytes in the sockets of the process.
    metrics : Metrics
        Counts the connections by outcome.
    """

    def __init__(self, connect, socket_buffers, metrics):
        self.connect = connect
        self.buffers = socket_buffers
        self.metrics = metrics

    def handle(self, connection, request):
        """Connect to the endpoint of a call, and relay until either ends."""
        call = transport.read_call(request)
        if call is None:
            connection.send_response(STATUS_MALFORMED)
            return
        endpoint_id, seconds = call
        deadline = clock.monotonic() + min(seconds, MAX_CONNECT_SECONDS)
        size = self.buffers.take()
        try:
            endpoint = self.connect(endpoint_id, deadline, size)
        except errors.ConnectError as error:
            self.buffers.release(size)
            outcome, status = classify(error)
            self.metrics.count('relayed_connections_total', outcome=outcome)
            connection.send_response(status)
            return
        self.metrics.count('relayed_connections_total', outcome='connected')
        try:
            connection.keep_alive = False
            connection.send(transport.CONNECTED_HEAD)
            sockets.prepare(connection.socket)
            Exchange(connection.socket, endpoint).run()
        finally:
            sockets.close_socket(endpoint)
            self.buffers.release(size)


def classify(error):
    """Return the outcome and the status for a connection that failed."""
    match error:
        case transport.RelayUnavailableError():
            return 'unavailable', STATUS_UNAVAILABLE
        case errors.ConnectRefusedError():
            return 'refused', STATUS_REFUSED
    return 'unreached', STATUS_UNREACHED


class Exchange:
    """Bytes between the host that has called and an endpoint.

    Parameters
    ----------
    caller, endpoint : socket.socket
        Connected sockets.
    """

    def __init__(self, caller, endpoint):
        self.caller = caller
        self.endpoint = endpoint
        # Bytes that were read on one side and not taken by the other yet.
        self.to_caller = b''
        self.to_endpoint = b''
        # Whether the endpoint takes no more bytes, or has sent its last ones.
        self.is_endpoint_deaf = False
        self.is_endpoint_done = False

    def run(self):
        """Relay until the endpoint has ended or the caller is gone.

        A connection of the endpoint that is reset has no last chunk.
        """
        while not (self.is_endpoint_done and not self.to_caller):
            poller = select.poll()
            caller_events = select.POLLRDHUP
            endpoint_events = 0
            if self.to_caller:
                caller_events |= select.POLLOUT
            elif not self.is_endpoint_done:
                endpoint_events |= select.POLLIN
            if self.to_endpoint:
                endpoint_events |= select.POLLOUT
            elif not self.is_endpoint_deaf:
                caller_events |= select.POLLIN
            poller.register(self.caller, caller_events)
            if endpoint_events:
                poller.register(self.endpoint, endpoint_events)
            ready = dict(poller.poll(POLL_MS))
            if not self.relay(
                ready.get(self.caller.fileno(), 0),
                ready.get(self.endpoint.fileno(), 0),
            ):
                return

    def relay(self, caller_events, endpoint_events):
        """Move bytes after events; return False if the exchange is over.

        It is if the caller is gone, or the endpoint was reset.
        """
        if caller_events & (ENDED | select.POLLRDHUP):
            return False
        try:
            if endpoint_events & (select.POLLIN | ENDED):
                self.read_endpoint()
            self.to_caller = send_now(self.caller, self.to_caller)
            if caller_events & select.POLLIN:
                self.to_endpoint = self.caller.recv(RECEIVE_BYTES)
                if not self.to_endpoint:
                    return False
        except BlockingIOError:
            pass
        except OSError:
            return False
        try:
            self.to_endpoint = send_now(self.endpoint, self.to_endpoint)
        except OSError:
            # It may have answered before it has read everything.
            self.is_endpoint_deaf = True
            self.to_endpoint = b''
        return True

    def read_endpoint(self):
        """Read bytes of the endpoint unless others still wait.

        Raises
        ------
        BlockingIOError
            If none have arrived.
        OSError
            If the connection was reset.
        """
        if self.to_caller:
            return
        data = self.endpoint.recv(RECEIVE_BYTES)
        self.is_endpoint_done = not data
        self.to_caller = transport.encode_chunk(data)


def send_now(connection, data):
    """Send what a socket takes at once; return the rest.

    Raises
    ------
    OSError
        If the connection has ended.
    """
    if not data:
        return data
    try:
        return data[connection.send(data) :]
    except BlockingIOError:
        return data
