"""Non-blocking sockets with deadlines."""

import errno
import ipaddress
import select
import socket

from rhubarbreach import clock
from rhubarbreach.web import buffers
from rhubarbreach.web import errors

__all__ = [
    'RECEIVE_BYTES',
    'begin_connect',
    'check_port',
    'close_socket',
    'connect',
    'discard',
    'finish_connect',
    'is_port_closed',
    'is_readable',
    'parse_address',
    'prepare',
    'receive',
    'receive_now',
    'send_all',
    'shut_down',
    'to_milliseconds',
    'wait',
    'wait_readable',
    'wait_until_readable',
]

RECEIVE_BYTES = 64 * 1024
# Written by all threads that discard bytes, and never read.
DISCARDED = bytearray(RECEIVE_BYTES)
MILLISECONDS_PER_SECOND = 1000
# Longest timeout of `poll`, whose argument is a C int.
MAX_POLL_MS = 2**31 - 1
# A host that has lost power or is partitioned sends no reset. The connection
# ends if the peer acknowledges nothing, or has no room for more bytes, for
# this time. A sound peer may stand still for up to 2 s and go on.
USER_TIMEOUT_MS = 3000
# A connection that only receives has nothing unacknowledged; keepalive probes
# detect a dead peer there, after `USER_TIMEOUT_MS` as well.
KEEP_ALIVE_INTERVAL_SECONDS = 1
KEEP_ALIVE_PROBES = 3
MAX_PORT = 65_535
MAX_PORT_DIGITS = 5
END_EVENTS = select.POLLHUP | select.POLLERR | select.POLLNVAL
# Time in which the kernel closes all sockets of a process that has ended, one
# after another.
CLOSE_SECONDS = 0.05


def prepare(connection, detect_dead_peer=True):
    """Make a socket non-blocking, and end it if the peer is dead."""
    connection.setblocking(False)
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    if not detect_dead_peer:
        return
    options = (
        (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
        (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEP_ALIVE_INTERVAL_SECONDS),
        (
            socket.IPPROTO_TCP,
            socket.TCP_KEEPINTVL,
            KEEP_ALIVE_INTERVAL_SECONDS,
        ),
        (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEP_ALIVE_PROBES),
        (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS),
    )
    for level, option, value in options:
        connection.setsockopt(level, option, value)


def parse_address(address):
    """Return the IP address and the port of an endpoint.

    Parameters
    ----------
    address : str
        `IP:port`.

    Raises
    ------
    ValueError
        If no connection can be made to the address.
    """
    host, _, digits = address.rpartition(':')
    ip_address = ipaddress.IPv4Address(host)
    if ip_address.is_unspecified or ip_address.is_multicast:
        raise ValueError(f'{ip_address} is not the address of a host')
    is_number = digits.isascii() and digits.isdigit()
    if not is_number or len(digits) > MAX_PORT_DIGITS:
        raise ValueError('the port is not a number')
    port = int(digits)
    if not 1 <= port <= MAX_PORT:
        raise ValueError(f'the port {port} is out of range')
    return host, port


def connect(address, deadline, buffer_size=None):
    """Return a connection to an endpoint.

    Parameters
    ----------
    address : str
        `IP:port`.
    deadline : float
        Seconds of `clock.monotonic`.
    buffer_size : int, optional
        Size of the buffers of the socket; by default that of the kernel.

    Raises
    ------
    ConnectRefusedError
        If no process listens on the port of the endpoint.
    ConnectError
        If the endpoint is not reached before the deadline.
    """
    try:
        host_and_port = parse_address(address)
    except ValueError as error:
        raise errors.ConnectError(f'connect: {error}') from error
    connection = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        prepare(connection)
        buffers.set_size(connection, buffer_size)
        begin_connect(connection, host_and_port)
        events = wait(connection, select.POLLOUT, deadline)
        finish_connect(connection)
        if not events:
            raise errors.ConnectError(
                'connect: no response before the deadline'
            )
    except OSError as error:
        connection.close()
        raise errors.ConnectError(f'connect: {error}') from error
    except errors.ConnectError:
        connection.close()
        raise
    return connection


def begin_connect(connection, host_and_port):
    """Begin to connect a non-blocking socket.

    Raises
    ------
    ConnectRefusedError, ConnectError
        See `connect`.
    """
    code = connection.connect_ex(host_and_port)
    if code not in (0, errno.EINPROGRESS):
        raise make_connect_error(code)


def finish_connect(connection):
    """Raise the error of a socket that could not be connected, if any.

    Raises
    ------
    ConnectRefusedError, ConnectError
        See `connect`.
    """
    code = connection.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
    if code:
        raise make_connect_error(code)


def is_port_closed(address, deadline):
    """Return whether no process listens at the address of an endpoint.

    Parameters
    ----------
    address, deadline
        See `check_port`. Without a response nothing is known.
    """
    return check_port(address, deadline) is False


def check_port(address, deadline):
    """Return whether a process listens at the address of an endpoint.

    The port of a process that has just ended may be closed after its other
    connections, and resets those that it has accepted meanwhile.

    Parameters
    ----------
    address : str
        `IP:port`.
    deadline : float
        Seconds of `clock.monotonic`.

    Returns
    -------
    bool or None
        None if there was no response before the deadline.
    """
    try:
        if has_ended_early(address, deadline):
            # An endpoint that is full ends connections too.
            close_socket(connect(address, deadline))
    except errors.ConnectRefusedError:
        return False
    except errors.ConnectError:
        return None
    return True


def has_ended_early(address, deadline):
    """Return whether a new connection fails, or ends by itself.

    Raises
    ------
    ConnectRefusedError
        If no process listens on the port of the endpoint.
    """
    try:
        connection = connect(address, deadline)
    except errors.ConnectRefusedError:
        raise
    except errors.ConnectError:
        return True
    until = min(deadline, clock.monotonic() + CLOSE_SECONDS)
    has_ended = bool(wait(connection, select.POLLIN, until))
    close_socket(connection)
    return has_ended


def make_connect_error(code):
    """Return the exception for an error number of `connect`."""
    if code == errno.ECONNREFUSED:
        return errors.ConnectRefusedError(f'connect: error {code}')
    return errors.ConnectError(f'connect: error {code}')


def to_milliseconds(deadline):
    """Return the time until a deadline for `poll`, rounded up.

    A deadline further away than `MAX_POLL_MS` counts as reached after that.
    """
    remaining = clock.remaining(deadline, clock.monotonic())
    timeout_ms = remaining * MILLISECONDS_PER_SECOND
    return int(min(timeout_ms, MAX_POLL_MS - 1)) + 1


def wait(connection, events, deadline):
    """Wait for events of one socket; return them, 0 at the deadline."""
    poller = select.poll()
    poller.register(connection, events)
    ready = poller.poll(to_milliseconds(deadline))
    return ready[0][1] if ready else 0


def wait_readable(connections, deadline, writer=None):
    """Wait until one of several sockets is readable or has ended.

    Parameters
    ----------
    connections : iterable of socket.socket
        Sockets to read from.
    deadline : float
        Seconds of the monotonic clock.
    writer : socket.socket, optional
        Socket that is also returned once it takes bytes.

    Returns
    -------
    list of socket.socket
        Sockets that are ready or have ended, empty at the deadline.
    """
    poller = select.poll()
    by_descriptor = {}
    for connection in connections:
        poller.register(connection, select.POLLIN | select.POLLRDHUP)
        by_descriptor[connection.fileno()] = connection
    if writer is not None:
        events = select.POLLOUT
        if writer.fileno() in by_descriptor:
            events |= select.POLLIN | select.POLLRDHUP
        poller.register(writer, events)
        by_descriptor[writer.fileno()] = writer
    ready = poller.poll(to_milliseconds(deadline))
    return [by_descriptor[descriptor] for descriptor, _ in ready]


def is_readable(connection):
    """Return whether bytes have arrived or the peer has closed its side."""
    poller = select.poll()
    poller.register(connection, select.POLLIN)
    return bool(poller.poll(0))


def receive(connection, deadline):
    """Return received bytes, none if the peer has closed its side.

    Raises
    ------
    ConnectionEndedError
        If the connection was reset.
    DeadlineError
        If nothing was received before the deadline.
    """
    while (data := receive_now(connection)) is None:
        wait_until_readable(connection, deadline)
    return data


def receive_now(connection):
    """Return received bytes, none at the end, or None if none have arrived.

    Raises
    ------
    ConnectionEndedError
        If the connection was reset.
    """
    try:
        return connection.recv(RECEIVE_BYTES)
    except BlockingIOError:
        return None
    except OSError as error:
        raise errors.ConnectionEndedError(str(error)) from error


def discard(connection, deadline):
    """Discard received bytes; return False at the end of the connection.

    Raises
    ------
    ConnectionEndedError
        If the connection was reset.
    DeadlineError
        If nothing was received before the deadline.
    """
    while True:
        try:
            return bool(connection.recv_into(DISCARDED))
        except BlockingIOError:
            wait_until_readable(connection, deadline)
        except OSError as error:
            raise errors.ConnectionEndedError(str(error)) from error


def wait_until_readable(connection, deadline):
    """Wait until bytes have arrived or the connection has ended.

    Raises
    ------
    DeadlineError
        If nothing was received before the deadline.
    """
    if not wait(connection, select.POLLIN, deadline):
        raise errors.DeadlineError('nothing received before the deadline')


def send_all(connection, data, deadline):
    """Send all bytes of a message.

    Raises
    ------
    ConnectionEndedError
        If the connection was closed or reset.
    DeadlineError
        If the peer did not read before the deadline.
    """
    view = memoryview(data)
    while view:
        try:
            view = view[connection.send(view) :]
            continue
        except BlockingIOError:
            pass
        except OSError as error:
            raise errors.ConnectionEndedError(str(error)) from error
        events = wait(connection, select.POLLOUT, deadline)
        if not events:
            raise errors.DeadlineError('peer did not read before the deadline')
        if events & END_EVENTS and not events & select.POLLOUT:
            raise errors.ConnectionEndedError('peer has closed the connection')


def shut_down(connection):
    """End a connection in both directions without closing the socket.

    Another thread may still wait on the socket. If the socket were closed,
    its descriptor could be reused while that thread waits on it.
    """
    try:
        connection.shutdown(socket.SHUT_RDWR)
    except OSError:
        # The peer has already closed the connection.
        pass


def close_socket(connection):
    """Shut down and close a connection that no other thread uses."""
    shut_down(connection)
    connection.close()
