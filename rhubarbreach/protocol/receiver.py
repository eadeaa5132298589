"""Connections that other hosts make to a link, and the frames on them."""

import collections
import os
import select
import socket
import struct
import threading

from rhubarbreach import clock
from rhubarbreach import eventlog
from rhubarbreach import exceptions
from rhubarbreach.protocol import framing

__all__ = ['Connection', 'GREETING', 'Receiver']

LOG = eventlog.Logger('link')

BACKLOG = 128
# Greetings of a socket that pushes messages and of one that pulls them, as the
# transport of pynng over TCP sends them. Two reserved bytes follow the first.
GREETING = b'\0SP\0\0\x50'
GREETING_BYTES = 8
ANSWER = b'\0SP\0\0\x51\0\0'
# Length of each frame, before the frame.
LENGTH = struct.Struct('!Q')
MAX_FRAME_BYTES = 2 * framing.FRAME_BYTES
READ_BYTES = 64 * 1024
# Connections that are read in one round, which bounds the frames held.
ROUND_CONNECTIONS = 16
# A host sends its greeting at once; a sound one may stand still for 2 s.
GREETING_SECONDS = 5.0
# Time without accepting after a failure, as for lack of descriptors.
ACCEPT_PAUSE_SECONDS = 0.05
# Interval of the log event on connections that ended for others.
LOG_SECONDS = 1.0
# Receive buffers of the first connections and of the others. The kernel takes
# twice as much.
LARGE_BUFFER_BYTES = 128 * 1024
SMALL_BUFFER_BYTES = 16 * 1024
LARGE_BUFFERS = 64


class Connection:
    """Connection of another host, which sends frames.

    Parameters
    ----------
    number : int
        Number of the connection, unique in the process.
    stream : socket.socket or tls.ServerStream
        Read without blocking.
    now : float
        Seconds of the monotonic clock.
    """

    def __init__(self, number, stream, now):
        self.number = number
        self.stream = stream
        self.descriptor = stream.fileno()
        self.greeting_deadline = now + GREETING_SECONDS
        self.is_greeted = False
        # Host id in the first message, empty before it.
        self.sender_id = ''
        # Bytes of a frame, or of the greeting, that is not complete.
        self.rest = b''

    def split_frames(self, data):
        """Return the frames that are complete with the next bytes.

        Raises
        ------
        MessageError
            If the greeting is not that of a link, or a frame is too long.
        """
        if self.rest:
            data = self.rest + data
        position = 0
        if not self.is_greeted:
            if not GREETING.startswith(data[: len(GREETING)]):
                raise exceptions.MessageError('not the greeting of a link')
            if len(data) < GREETING_BYTES:
                self.rest = data
                return []
            self.is_greeted = True
            position = GREETING_BYTES
        frames = []
        while len(data) - position >= LENGTH.size:
            (length,) = LENGTH.unpack_from(data, position)
            if length > MAX_FRAME_BYTES:
                raise exceptions.MessageError(f'frame of {length} bytes')
            start = position + LENGTH.size
            if len(data) < start + length:
                break
            position = start + length
            frames.append(data[start:position])
        self.rest = data[position:]
        return frames


class Receiver:
    """Listener of a link and the connections that it has accepted.

    At the bound, a new connection takes the place of another: of the oldest
    one without a greeting, then of the oldest one without a valid message,
    then of the one whose last message is the oldest. All methods but `close`
    are for one thread.

    Parameters
    ----------
    address : str
        `IP:port` to listen on.
    wrap : callable or None
        Returns the TLS stream of an accepted socket; None for plain TCP.
    max_connections : int
        Bound of the connections.
    on_ended : callable
        Called with each `Connection` that has ended.
    metrics : Metrics, optional
        Counts the connections that ended for others.

    Raises
    ------
    AddressError
        If the address cannot be listened on.
    """

    def __init__(self, address, wrap, max_connections, on_ended, metrics=None):
        self.wrap = wrap
        self.max_connections = max_connections
        self.on_ended = on_ended
        self.metrics = metrics
        self.is_closed = False
        self.close_lock = threading.Lock()
        self.accepted = 0
        self.ended_for_room = 0
        self.log_due = 0.0
        self.accept_due = None
        self.buffer_bytes = None
        self.connections = {}
        # Connections by descriptor in the order in which they end for others:
        # without a greeting, without a message, heard least recently.
        self.waiting = collections.OrderedDict()
        self.unheard = collections.OrderedDict()
        self.heard = collections.OrderedDict()
        host, _, port = address.rpartition(':')
        self.listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        try:
            self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            self.listener.bind((host, int(port)))
            self.update_buffers()
            self.listener.listen(BACKLOG)
        except OSError as error:
            self.listener.close()
            raise exceptions.AddressError(f'{address}: {error}') from error
        self.listener.setblocking(False)
        self.listener_descriptor = self.listener.fileno()
        self.wakeup = os.eventfd(0, os.EFD_NONBLOCK | os.EFD_CLOEXEC)
        self.poller = select.epoll()
        self.poller.register(self.listener, select.EPOLLIN)
        self.poller.register(self.wakeup, select.EPOLLIN)

    def receive(self, seconds):
        """Return the next frames, each with its connection.

        Parameters
        ----------
        seconds : float
            Longest time to wait for one.

        Returns
        -------
        list of tuple
            `Connection` and bytes; empty if nothing arrived in time.
        """
        received = []
        events = self.poller.poll(seconds, ROUND_CONNECTIONS)
        if self.is_closed:
            return received
        now = clock.monotonic()
        for descriptor, _ in events:
            if descriptor == self.listener_descriptor:
                self.accept(now)
                continue
            connection = self.connections.get(descriptor)
            if connection is not None:
                self.read(connection, received)
        self.expire(now)
        return received

    def accept(self, now):
        """Accept the connections that are there."""
        for _ in range(ROUND_CONNECTIONS):
            try:
                accepted, _ = self.listener.accept()
            except (BlockingIOError, ConnectionAbortedError):
                return
            except OSError as error:
                if self.is_closed:
                    return
                LOG.warning('event=accept_failed reason={!r}', str(error))
                self.make_room(now)
                self.poller.unregister(self.listener)
                self.accept_due = now + ACCEPT_PAUSE_SECONDS
                return
            try:
                self.add(accepted, now)
            except OSError:
                accepted.close()

    def add(self, accepted, now):
        """Add an accepted connection, in place of another at the bound."""
        accepted.setblocking(False)
        if self.wrap is None:
            stream = accepted
            stream.send(ANSWER)
        else:
            stream = self.wrap(accepted)
        if len(self.connections) >= self.max_connections:
            self.make_room(now)
        self.accepted += 1
        connection = Connection(self.accepted, stream, now)
        self.poller.register(connection.descriptor, select.EPOLLIN)
        self.connections[connection.descriptor] = connection
        self.waiting[connection.descriptor] = connection
        self.update_buffers()

    def update_buffers(self):
        """Set the buffers of the connections that arrive from now on."""
        size = LARGE_BUFFER_BYTES
        if len(self.connections) >= LARGE_BUFFERS:
            size = SMALL_BUFFER_BYTES
        if size != self.buffer_bytes:
            self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, size)
            self.buffer_bytes = size

    def read(self, connection, received):
        """Read a connection once and append its complete frames."""
        try:
            if self.wrap is not None and not connection.stream.is_ready:
                connection.stream.shake_hands(ANSWER)
            data = connection.stream.recv(READ_BYTES)
        except BlockingIOError:
            return
        except OSError:
            data = b''
        if not data:
            self.end(connection)
            return
        try:
            frames = connection.split_frames(data)
        except exceptions.MessageError:
            self.end(connection)
            return
        descriptor = connection.descriptor
        if connection.is_greeted and descriptor in self.waiting:
            del self.waiting[descriptor]
            self.unheard[descriptor] = connection
        received.extend((connection, frame) for frame in frames)

    def record_message(self, connection):
        """Record that a valid message has arrived on a connection."""
        descriptor = connection.descriptor
        if self.connections.get(descriptor) is not connection:
            return
        self.unheard.pop(descriptor, None)
        self.heard[descriptor] = connection
        self.heard.move_to_end(descriptor)

    def expire(self, now):
        """End overdue connections; accept again after a failure."""
        while self.waiting:
            connection = next(iter(self.waiting.values()))
            if now < connection.greeting_deadline:
                break
            self.end(connection)
        if self.accept_due is not None and now >= self.accept_due:
            self.accept_due = None
            self.poller.register(self.listener, select.EPOLLIN)

    def make_room(self, now):
        """End a connection for another one."""
        queue = self.waiting or self.unheard or self.heard
        if not queue:
            return
        self.end(next(iter(queue.values())))
        self.ended_for_room += 1
        if self.metrics is not None:
            self.metrics.count('link_connections_ended_for_room_total')
        if now >= self.log_due:
            self.log_due = now + LOG_SECONDS
            LOG.warning(
                'event=link_connections_ended_for_room total={} limit={}',
                self.ended_for_room,
                self.max_connections,
            )

    def end(self, connection):
        """Close a connection and forget it, unless that was done before."""
        descriptor = connection.descriptor
        if self.connections.get(descriptor) is not connection:
            # Another connection may have the descriptor now.
            return
        for table in (
            self.connections,
            self.waiting,
            self.unheard,
            self.heard,
        ):
            table.pop(descriptor, None)
        connection.stream.close()
        self.update_buffers()
        self.on_ended(connection)

    def close(self):
        """Stop listening, and wake the thread that receives."""
        with self.close_lock:
            if not self.is_closed:
                self.is_closed = True
                self.listener.close()
                os.eventfd_write(self.wakeup, 1)

    def release(self):
        """Close all connections, on the thread that received."""
        with self.close_lock:
            self.is_closed = True
            self.listener.close()
            for connection in self.connections.values():
                connection.stream.close()
            self.connections.clear()
            self.poller.close()
            os.close(self.wakeup)
