"""HTTP server with one thread per connection."""

import errno
import resource
import socket
import threading
import time

from rhubarbreach import clock
from rhubarbreach import eventlog
from rhubarbreach import exceptions
from rhubarbreach.web import bounds as bounds_module
from rhubarbreach.web import buffers
from rhubarbreach.web import connection as connection_module
from rhubarbreach.web import memory
from rhubarbreach.web import sockets
from rhubarbreach.web import threads

__all__ = ['Server', 'find_max_connections']

LOG = eventlog.Logger('web')

BACKLOG = 1024
SHORT_BACKLOG = 128
# Part of the backlog of a server for few connections.
BACKLOG_PER_CONNECTION = 4
MAX_CONNECTIONS = 1024
# Descriptors of a process that are not used for callers: links, files, logs
# and other servers. A connection takes two, with the one to an endpoint.
RESERVED_DESCRIPTORS = 64
DESCRIPTORS_PER_CONNECTION = 2
# Connections that stay allowed whatever else takes memory.
MIN_CONNECTIONS = 64
# Connections that end at once for new ones, as each search for them looks at
# all.
ROOM_BATCH = 16
ROOM_POLL_SECONDS = 0.02
# Interval of the log event on connections that ended for others.
ROOM_LOG_SECONDS = 1.0
# The threads need little stack; the default of 8 MiB each would exhaust the
# memory of small hosts.
STACK_BYTES = 256 * 1024
DRAIN_POLL_SECONDS = 0.05
ACCEPT_PAUSE_SECONDS = 0.05
# Time in which connections that were made before a stop are accepted.
ACCEPT_SECONDS = 1.0
ACCEPT_POLL_SECONDS = 0.002
NO_DESCRIPTOR = (errno.EMFILE, errno.ENFILE)


def find_max_connections(max_connections):
    """Return the number of connections that the descriptors allow.

    Parameters
    ----------
    max_connections : int
        Largest number to return.
    """
    limit, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    if limit == resource.RLIM_INFINITY:
        return max_connections
    available = (limit - RESERVED_DESCRIPTORS) // DESCRIPTORS_PER_CONNECTION
    return max(1, min(max_connections, available))


class Server:
    """HTTP server that runs a thread for each connection.

    Parameters
    ----------
    address : str
        `IP:port` to listen on.
    handle : callable
        Called with the connection and each complete request.
    get_limits : callable
        Returns the `CallerLimits` in effect.
    name : str
        Prefix of the thread names.
    request_memory : MemoryPool, optional
        Bounds the requests and unread responses that the process holds.
    max_connections : int, optional
        Bound of the connections and threads; by default and at most what the
        descriptors of the process allow.
    metrics : Metrics, optional
        Counts the connections that ended for others.
    bounds : Bounds, optional
        Bounds of each connection.

    Raises
    ------
    AddressError
        If the server cannot listen on the address.
    """

    def __init__(
        self,
        address,
        handle,
        get_limits,
        name,
        request_memory=memory.UNBOUNDED,
        max_connections=None,
        metrics=None,
        bounds=bounds_module.DEFAULT_BOUNDS,
    ):
        self.memory = request_memory
        self.bounds = bounds
        self.max_connections = find_max_connections(
            max_connections or MAX_CONNECTIONS
        )
        self.metrics = metrics
        self.room_log_due = 0.0
        self.handle = handle
        self.get_limits = get_limits
        self.draining = False
        self.is_listening = True
        self.connections = set()
        self.lock = threading.Lock()
        # Size of the buffers of connections that are not accepted yet.
        self.buffer_size = None
        self.backlog = 0
        host, _, port = address.rpartition(':')
        self.listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            self.listener.bind((host, int(port)))
            self.update_buffers()
            self.update_backlog()
        except OSError as error:
            raise exceptions.AddressError(f'{address}: {error}') from error
        threading.stack_size(STACK_BYTES)
        self.threads = threads.ThreadPool(self.max_connections, name)
        self.thread = threading.Thread(
            target=self.accept, name=f'{name}-accept', daemon=True
        )
        self.thread.start()

    @property
    def port(self):
        """Port on which the server listens."""
        return self.listener.getsockname()[1]

    def accept(self):
        """Accept connections while the server listens."""
        while self.is_listening:
            try:
                if not self.has_room():
                    continue
                client_socket, _ = self.listener.accept()
                self.start(client_socket)
                self.update_buffers()
                self.update_backlog()
            except Exception as error:
                if not self.is_listening:
                    return
                LOG.warning('event=accept_failed reason={!r}', error)
                if getattr(error, 'errno', None) in NO_DESCRIPTOR:
                    self.make_room(clock.monotonic())
                time.sleep(ACCEPT_PAUSE_SECONDS)

    def update_buffers(self):
        """Set the buffers of the connections that arrive from now on."""
        size = self.memory.buffers.next_size
        if size != self.buffer_size:
            buffers.set_size(self.listener, size)
            self.buffer_size = size

    def update_backlog(self):
        """Set the length of the kernel's queue of new connections.

        While memory is short, connections leave it slowly, and callers would
        give up in a long one.
        """
        backlog = min(BACKLOG, BACKLOG_PER_CONNECTION * self.max_connections)
        if self.connection_limit < self.max_connections:
            backlog = min(backlog, SHORT_BACKLOG)
        if backlog != self.backlog:
            self.listener.listen(backlog)
            self.backlog = backlog

    def start(self, client_socket):
        """Handle an accepted connection on a thread of the pool."""
        try:
            connection = connection_module.Connection(self, client_socket)
        except Exception:
            client_socket.close()
            raise
        size = connection.buffer_size
        # It may have arrived when others were smaller or larger.
        if not size == self.buffer_size == self.memory.buffers.largest:
            buffers.set_size(client_socket, size)
        with self.lock:
            self.connections.add(connection)
        self.threads.add(connection.run)
        while True:
            try:
                self.threads.start_missing()
                return
            except RuntimeError as error:
                LOG.warning('event=thread_missing reason={!r}', str(error))
            if not self.is_listening:
                return
            time.sleep(ACCEPT_PAUSE_SECONDS)

    def remove_connection(self, connection):
        """Remove a connection that has ended."""
        with self.lock:
            self.connections.discard(connection)
        self.memory.buffers.release(connection.buffer_size)

    def count_busy(self):
        """Return the number of connections that are not idle."""
        with self.lock:
            return sum(
                not connection.is_idle for connection in self.connections
            )

    def has_room(self):
        """Return whether a connection may be accepted now.

        Without room, wait for a moment. Connections that are not accepted wait
        in the queue of the kernel.
        """
        if not self.is_full() or self.draining:
            return True
        until = clock.monotonic() + ROOM_POLL_SECONDS
        if not sockets.wait_readable([self.listener], until):
            return False
        if self.make_room(clock.monotonic()):
            return True
        time.sleep(ROOM_POLL_SECONDS)
        return False

    @property
    def connection_limit(self):
        """Connections that the memory of the process leaves now."""
        limit = max(
            MIN_CONNECTIONS, int(self.max_connections * self.memory.share)
        )
        return min(limit, self.max_connections)

    def is_full(self):
        """Return whether no further connection fits."""
        limit = self.connection_limit
        if len(self.connections) < limit:
            return False
        with self.lock:
            return (
                sum(c.is_present for c in self.connections) >= limit
                or len(self.connections) >= limit + ROOM_BATCH
            )

    def make_room(self, now):
        """End connections without a whole request, if any; return whether.

        The longest idle one goes first. One whose first request is still to
        come is spared for the time in the bounds.

        Parameters
        ----------
        now : float
            Seconds of the monotonic clock.
        """
        with self.lock:
            present = [c for c in self.connections if c.is_present]
        idle = [c for c in present if c.is_idle and c.is_kept]
        for connection in sorted(idle, key=lambda c: c.idle_since):
            if connection.end_if_idle():
                return True
        waiting = [
            (since, number)
            for number, connection in enumerate(present)
            if (since := connection.waiting_since) is not None
            and now - since >= self.bounds.room_seconds
        ]
        count = sum(
            present[number].end_for_room()
            for _, number in sorted(waiting)[:ROOM_BATCH]
        )
        if count:
            self.report_room(count, now)
        return count > 0

    def report_room(self, count, now):
        """Count the connections that ended for others, and log it."""
        if self.metrics is not None:
            self.metrics.count('connections_ended_for_room_total', count)
        if now >= self.room_log_due:
            self.room_log_due = now + ROOM_LOG_SECONDS
            LOG.warning(
                'event=connections_ended_for_room count={} connections={}',
                count,
                len(self.connections),
            )

    def close_idle(self):
        """End the connections on which no request is in progress."""
        with self.lock:
            connections = list(self.connections)
        for connection in connections:
            connection.end_if_idle()

    def end_unanswered(self):
        """Answer the requests in progress whose responses have not begun."""
        with self.lock:
            connections = list(self.connections)
        for connection in connections:
            connection.end_unanswered()

    def stop_listening(self):
        """Refuse new connections; those made before are served."""
        # Closing the listener resets those that are not accepted yet.
        accept_until = clock.monotonic() + ACCEPT_SECONDS
        while self.is_listening and sockets.is_readable(self.listener):
            if clock.monotonic() >= accept_until:
                LOG.warning('event=connections_not_accepted')
                break
            time.sleep(ACCEPT_POLL_SECONDS)
        self.is_listening = False
        sockets.close_socket(self.listener)
        self.thread.join()

    def drain(self, deadline):
        """Refuse new connections and finish the requests of the others.

        The server may be closed without loss of a request once no connection
        is left. An idle connection may still receive a request. At the
        deadline, requests without a response are answered with 504.

        Parameters
        ----------
        deadline : float
            Seconds of the monotonic clock.

        Returns
        -------
        bool
            Whether all connections have ended before the deadline.
        """
        self.draining = True
        self.stop_listening()
        while self.connections:
            if clock.monotonic() >= deadline:
                self.end_unanswered()
                return False
            self.close_idle()
            time.sleep(DRAIN_POLL_SECONDS)
        return True

    def close(self):
        """Stop listening and end all connections."""
        self.stop_listening()
        with self.lock:
            connections = list(self.connections)
        for connection in connections:
            connection.end()
        self.threads.close()
