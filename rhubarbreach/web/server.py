"""HTTP server with one thread per connection."""

import contextlib
import errno
import resource
import socket
import threading
import time

from rhubarbreach import clock
from rhubarbreach import eventlog
from rhubarbreach import exceptions
from rhubarbreach.web import bounds as bounds_module
from rhubarbreach.web import errors
from rhubarbreach.web import memory
from rhubarbreach.web import outbox
from rhubarbreach.web import parse
from rhubarbreach.web import sockets
from rhubarbreach.web import threads

__all__ = ['Connection', 'Server', 'encode_response', 'find_max_connections']

LOG = eventlog.Logger('web')

BACKLOG = 1024
MAX_CONNECTIONS = 1024
# Descriptors of a process that are not used for callers: links, files, logs
# and other servers. A connection takes two, with the one to an endpoint.
RESERVED_DESCRIPTORS = 64
DESCRIPTORS_PER_CONNECTION = 2
# Connections that end at once for new ones, as each search for them looks at
# all.
ROOM_BATCH = 16
ROOM_POLL_SECONDS = 0.02
# Interval of the log event on connections that ended for others.
ROOM_LOG_SECONDS = 1.0
# The threads need little stack; the default of 8 MiB each would exhaust the
# memory of small hosts.
STACK_BYTES = 256 * 1024
# A caller that does not read a short response in this time is disconnected.
RESPONSE_TIMEOUT_SECONDS = 5.0
DRAIN_POLL_SECONDS = 0.05
ACCEPT_PAUSE_SECONDS = 0.05
# Time in which connections that were made before a stop are accepted.
ACCEPT_SECONDS = 1.0
ACCEPT_POLL_SECONDS = 0.002
SERVICE_UNAVAILABLE = 503
# Longest body that is sent together with its head.
MAX_JOINED_BYTES = 64 * 1024
RETRY_AFTER_SECONDS = 0.5
DISCARD_SECONDS = 1.0
NO_DESCRIPTOR = (errno.EMFILE, errno.ENFILE)
REASONS = {
    200: b'OK',
    202: b'Accepted',
    400: b'Bad Request',
    401: b'Unauthorized',
    404: b'Not Found',
    408: b'Request Timeout',
    409: b'Conflict',
    413: b'Content Too Large',
    429: b'Too Many Requests',
    431: b'Request Header Fields Too Large',
    500: b'Internal Server Error',
    502: b'Bad Gateway',
    503: b'Service Unavailable',
    504: b'Gateway Timeout',
}


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


def encode_response(status, headers, body, keep_alive, reason=None):
    """Return an encoded response with Content-Length."""
    return encode_head(status, headers, len(body), keep_alive, reason) + body


def encode_head(status, headers, length, keep_alive, reason=None):
    """Return the encoded head of a response with Content-Length."""
    reason = reason or REASONS.get(status, b'Status')
    lines = [b'HTTP/1.1 %d %s' % (status, reason)]
    lines.extend(b'%s: %s' % pair for pair in headers)
    lines.append(b'Content-Length: %d' % length)
    if not keep_alive:
        lines.append(b'Connection: close')
    return b'\r\n'.join(lines) + b'\r\n\r\n'


class Connection:
    """Connection of a caller, handled by one thread.

    Parameters
    ----------
    server : Server
        Server that accepted it.
    connection : socket.socket
        Accepted socket.
    """

    def __init__(self, server, connection):
        self.server = server
        self.socket = connection
        self.keep_alive = True
        # Guards the flags below: a request that has been read must not find
        # its connection ended as idle.
        self.lock = threading.Lock()
        self.is_idle = False
        self.idle_since = None
        # Whether its first request was answered.
        self.is_kept = False
        self.is_ended = False
        # Whether a request was read and no part of its response was sent.
        self.is_answer_due = False
        # Whether a request was read in part, or not yet handled.
        self.is_reading = False
        self.parser = None
        # Whether the connection ends for a new one.
        self.is_dropped = False
        # Since when it waits for a whole request; None while one is handled.
        self.waiting_since = clock.monotonic()
        self.holding = server.memory.open(self.end_reading, 'request')
        self.outbox = outbox.Outbox(
            connection, server.memory.open(self.end_unread, 'response')
        )

    @property
    def is_present(self):
        """Whether the connection goes on."""
        return not (self.is_ended or self.holding.is_ended)

    def run(self):
        """Handle requests until either side ends the connection."""
        try:
            refused_status = self.handle_requests()
            # The error is gone, whose traceback holds received bytes.
            if refused_status is not None:
                self.drop_request()
                self.refuse(refused_status)
                self.discard_rest()
        except Exception:
            LOG.exception('event=connection_failed')
            if self.is_answer_due:
                self.refuse(500)
        finally:
            self.holding.close()
            self.outbox.close()
            self.server.remove_connection(self)
            sockets.close_socket(self.socket)

    def handle_requests(self):
        """Handle requests; return the status for an invalid one, if any."""
        try:
            sockets.prepare(self.socket, detect_dead_peer=False)
            parser = self.parser = parse.RequestParser(
                self.server.get_limits(),
                self.holding.resize,
                self.server.bounds,
            )
            while self.keep_alive:
                request = self.read_request(parser)
                if request is None:
                    return None
                self.keep_alive = request.keep_alive
                with self.lock:
                    if self.is_ended:
                        return None
                    self.is_reading = False
                    self.is_answer_due = True
                # No status would be true of a request that is cut short.
                self.holding.keep()
                self.waiting_since = None
                self.server.handle(self, request)
                if self.is_answer_due:
                    # The caller would take the next answer for this one.
                    return None
                self.is_kept = True
                del request
                self.holding.resize(parser.held_bytes)
                self.holding.reopen()
                self.waiting_since = clock.monotonic()
            if sockets.is_readable(self.socket):
                # The caller has sent another request.
                self.discard_rest()
        except errors.BadMessageError as error:
            LOG.info('event=request_unreadable reason={!r}', str(error))
            return error.status
        except (errors.ConnectionEndedError, errors.DeadlineError) as error:
            LOG.info('event=connection_ended reason={!r}', str(error))
            if self.is_answer_due:
                # Another connection, which the handler uses, has ended.
                self.refuse(500)
        return None

    def read_request(self, parser):
        """Return the next request, or None if the caller sends none."""
        started = parser.started
        if not (started or parser.requests or self.wait_while_idle()):
            return None
        if parser.error is not None and not parser.requests:
            raise parser.error
        # A configuration may have replaced them since the last request.
        limits = parser.limits = self.server.get_limits()
        deadline = clock.monotonic() + limits.idle_timeout
        while not parser.requests:
            try:
                is_open = self.receive(parser, deadline)
            except errors.DeadlineError as error:
                if not parser.started:
                    return None
                raise errors.BadMessageError(
                    'request was not received in time', 408
                ) from error
            if not is_open:
                return None
            self.is_reading = parser.started or bool(parser.requests)
            if parser.started and not started:
                started = True
                deadline = clock.monotonic() + limits.header_timeout
            if parser.head_done:
                # Each part of a body has to arrive within the idle timeout.
                deadline = clock.monotonic() + limits.idle_timeout
                self.send_continue(parser)
        return parser.requests.pop(0)

    def receive(self, parser, deadline):
        """Receive and parse bytes; return False at the end of a connection.

        Raises
        ------
        BadMessageError
            If the request is not valid, or was ended for others.
        ConnectionEndedError
            If the connection was reset.
        DeadlineError
            If nothing was received before the deadline.
        """
        while True:
            with self.server.memory.parse_lock:
                data = sockets.receive_now(self.socket)
                if data:
                    parser.feed(data)
                if data is not None and (data or parser.started):
                    # An error if it was ended for others.
                    self.holding.resize(parser.held_bytes)
            if data is not None:
                return bool(data)
            sockets.wait_until_readable(self.socket, deadline)

    def wait_while_idle(self):
        """Wait for a request; return False if the connection ends instead."""
        deadline = self.idle_since = clock.monotonic()
        self.is_idle = True
        ready = []
        # The timeout may be replaced by a longer one meanwhile.
        while not ready and deadline < (
            latest := self.idle_since + self.server.get_limits().idle_timeout
        ):
            deadline = latest
            ready = sockets.wait_readable([self.socket], deadline)
        with self.lock:
            self.is_idle = False
            # On a busy host this thread may go on long after the timeout.
            is_ready = bool(ready) or sockets.is_readable(self.socket)
            return is_ready and not self.is_ended

    def end_reading(self):
        """Drop the request that is read, and wake its thread to refuse it."""
        self.drop_request()
        with contextlib.suppress(OSError):
            self.socket.shutdown(socket.SHUT_RD)

    def drop_request(self):
        """Free the bytes of a request that will not be handled."""
        with self.server.memory.parse_lock:
            if self.parser is not None:
                self.parser.drop()

    def end_unread(self):
        """End a response whose caller is slow to read."""
        sockets.shut_down(self.socket)

    def end_for_room(self):
        """End the connection for a new one unless a request is handled.

        One that was read in part is refused as not run.

        Returns
        -------
        bool
            Whether it ends now.
        """
        if not self.holding.abandon():
            return False
        self.is_dropped = True
        self.end_reading()
        return True

    def end_if_idle(self):
        """End the connection unless a request is in progress or arrives.

        Returns
        -------
        bool
            Whether it ends now.
        """
        with self.lock:
            if self.is_ended or not self.is_idle:
                return False
            if sockets.is_readable(self.socket):
                return False
            self.is_ended = True
            try:
                self.socket.shutdown(socket.SHUT_RD)
            except OSError:
                # The caller has already closed the connection.
                pass
            return True

    def end_unanswered(self):
        """Answer the request in progress, unless its response has begun.

        One that was read in part has not run and never will.
        """
        with self.lock:
            if not (self.is_answer_due or self.is_reading):
                return
            self.is_ended = True
        status = 504 if self.is_answer_due else SERVICE_UNAVAILABLE
        LOG.warning('event=request_unfinished status={}', status)
        response = encode_response(status, (), b'', False)
        try:
            sockets.send_all(self.socket, response, clock.monotonic())
        except (errors.ConnectionEndedError, errors.DeadlineError) as error:
            LOG.info('event=refusal_unsent reason={!r}', str(error))
        # The handler sees that the connection has ended.
        sockets.shut_down(self.socket)

    def send_continue(self, parser):
        """Send 100 Continue if the caller waits for it."""
        if parser.expects_continue:
            parser.expects_continue = False
            self.send(b'HTTP/1.1 100 Continue\r\n\r\n')

    def refuse(self, status):
        """Respond to an invalid request, and end the connection."""
        self.keep_alive = False
        headers = []
        if status == SERVICE_UNAVAILABLE:
            headers.append((b'Retry-After', b'%.2f' % RETRY_AFTER_SECONDS))
        try:
            self.send_response(status, headers)
        except exceptions.RhubarbreachError as error:
            LOG.info('event=refusal_unsent reason={!r}', str(error))

    def discard_rest(self):
        """Discard the rest of a refused request for a short time.

        The connection would be reset if it were closed with unread bytes, and
        the caller would not see the refusal.
        """
        if self.is_dropped:
            return
        deadline = clock.monotonic() + DISCARD_SECONDS
        try:
            self.socket.shutdown(socket.SHUT_WR)
            while sockets.receive(self.socket, deadline):
                if clock.monotonic() >= deadline:
                    return
        except (OSError, errors.ConnectionEndedError, errors.DeadlineError):
            # The caller has closed the connection, or goes on sending.
            return

    def send_response(
        self, status, headers=(), body=b'', reason=None, deadline=None
    ):
        """Send a whole response; see `send` for the deadline."""
        if self.server.draining:
            self.keep_alive = False
        head = encode_head(status, headers, len(body), self.keep_alive, reason)
        if len(body) <= MAX_JOINED_BYTES:
            self.send(head + body, deadline)
            return
        # Not copied as a whole.
        self.queue(head)
        self.send(body, deadline)

    def send(self, data, deadline=None):
        """Send bytes to the caller.

        Parameters
        ----------
        data : bytes
            Bytes to send.
        deadline : float, optional
            Seconds of the monotonic clock; by default
            `RESPONSE_TIMEOUT_SECONDS` from now.

        Raises
        ------
        ConnectionEndedError
            If the connection was closed, reset or ended by a drain.
        DeadlineError
            If the caller did not read before the deadline.
        """
        self.queue(data)
        if self.outbox.unread:
            if deadline is None:
                deadline = clock.monotonic() + RESPONSE_TIMEOUT_SECONDS
            self.outbox.wait(deadline)

    def queue(self, data):
        """Send what the caller takes at once, and queue the rest.

        Raises
        ------
        ConnectionEndedError
            If the connection was closed, reset or ended, by a drain or for the
            memory of the process.
        """
        with self.lock:
            if self.is_ended:
                raise errors.ConnectionEndedError('ended by a drain')
            self.is_answer_due = False
        self.outbox.put(data)


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
        host, _, port = address.rpartition(':')
        self.listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            self.listener.bind((host, int(port)))
            self.listener.listen(BACKLOG)
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
            except Exception as error:
                if not self.is_listening:
                    return
                LOG.warning('event=accept_failed reason={!r}', error)
                if getattr(error, 'errno', None) in NO_DESCRIPTOR:
                    self.make_room(clock.monotonic())
                time.sleep(ACCEPT_PAUSE_SECONDS)

    def start(self, client_socket):
        """Handle an accepted connection on a thread of the pool."""
        try:
            connection = Connection(self, client_socket)
        except Exception:
            client_socket.close()
            raise
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

    def is_full(self):
        """Return whether no further connection fits."""
        if len(self.connections) < self.max_connections:
            return False
        with self.lock:
            return (
                sum(c.is_present for c in self.connections)
                >= self.max_connections
                or len(self.connections) >= self.max_connections + ROOM_BATCH
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
            sockets.close_socket(connection.socket)
        self.threads.close()
