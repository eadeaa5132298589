"""HTTP server that polls idle connections and serves requests on threads."""

import collections
import concurrent.futures
import os
import select
import socket
import threading
import time
import uuid

import logbook

from rhubarbreach.dispatch import errors
from rhubarbreach.entry import connection as connection_module
from rhubarbreach.entry import refusals
from rhubarbreach.web import buffers
from rhubarbreach.web import memory
from rhubarbreach.web import server as web_server

__all__ = ['BACKLOG', 'Server']

LOG = logbook.Logger('entry')
BACKLOG = 4096
MAX_ACCEPTS_PER_POLL = 64
IDLE_TIMEOUT_SECONDS = 75.0
POLL_TIMEOUT_SECONDS = 0.5
# Pause after an error that may occur again at once.
ERROR_PAUSE_SECONDS = 0.05
# Time without a request after which a connection may end for a new one.
ROOM_SECONDS = 1.0
# Bytes of the requests that are held, as for the responses in `dispatch`.
MAX_HELD_BYTES = 256 << 20
# Bytes in the buffers of the sockets of callers.
MAX_UNREAD_BYTES = 64 << 20


class Server:
    """HTTP/1.1 server with keep-alive and a bounded pool of threads.

    Only connections with a pending request occupy a thread; idle
    connections are polled with epoll.

    Parameters
    ----------
    address : str
        `IP:port` to listen on; port 0 selects a free one.
    application : app.Application
        Serves the requests.
    metrics : observe.metrics.Metrics
        Counters.
    max_connections : int
        Maximum number of open connections and of concurrent requests; fewer if
        the descriptors of the process allow only that.
    max_held_bytes : float
        Bound of the requests that are held together.
    max_unread_bytes : float
        Bound of the bytes in the buffers of the sockets.
    """

    ssl_context = None
    multithread = True
    multiprocess = False
    passthrough_errors = False

    def __init__(
        self,
        address,
        application,
        metrics,
        max_connections=2048,
        max_held_bytes=MAX_HELD_BYTES,
        max_unread_bytes=MAX_UNREAD_BYTES,
    ):
        self.application = application
        self.metrics = metrics
        self.max_connections = web_server.find_max_connections(max_connections)
        self.memory = memory.MemoryPool(
            max_held_bytes,
            metrics,
            buffers.SocketBuffers(max_unread_bytes, metrics),
        )
        host, _, port = address.rpartition(':')
        family = socket.AF_INET6 if ':' in host else socket.AF_INET
        self.socket = socket.socket(family, socket.SOCK_STREAM)
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.socket.bind((host.strip('[]'), int(port)))
        self.buffer_size = None
        self.update_buffers()
        self.socket.listen(min(BACKLOG, self.max_connections))
        self.socket.setblocking(False)
        self.server_address = self.socket.getsockname()
        self.port = self.server_address[1]
        self.address = f'{host}:{self.port}'
        self.pool = concurrent.futures.ThreadPoolExecutor(
            self.max_connections, thread_name_prefix='entry-request'
        )
        self.epoll = select.epoll()
        self.wake_fd = os.eventfd(0, os.EFD_NONBLOCK | os.EFD_CLOEXEC)
        self.reusable = collections.deque()
        self.idle = {}
        self.lock = threading.Lock()
        self.open_connections = 0
        self.running_requests = 0
        self.requests_done = threading.Condition(self.lock)
        self.closing = False
        self.lacks_thread = False
        self.thread = threading.Thread(
            target=self.run, name='entry-accept', daemon=True
        )

    def start(self):
        """Start accepting connections."""
        self.epoll.register(self.socket.fileno(), select.EPOLLIN)
        self.epoll.register(self.wake_fd, select.EPOLLIN)
        self.thread.start()

    def wait_for_requests(self, deadline):
        """Wait until no request is running; return False at the deadline.

        Parameters
        ----------
        deadline : float
            Monotonic seconds.
        """
        with self.lock:
            while self.running_requests:
                remaining = deadline - time.monotonic()
                if remaining <= 0:
                    return False
                self.requests_done.wait(remaining)
        return True

    def close(self):
        """Stop accepting, finish running requests and close connections."""
        if self.closing:
            return
        self.closing = True
        os.eventfd_write(self.wake_fd, 1)
        if self.thread.is_alive():
            self.thread.join()
        self.pool.shutdown()
        self.epoll.close()
        os.close(self.wake_fd)
        self.socket.close()

    def run(self):
        """Accept connections and poll idle ones until closed."""
        while not self.closing:
            try:
                self.poll()
            except Exception as error:
                self.metrics.count('entry_faults_total')
                LOG.error(
                    'event=poll_failed {}', errors.describe_exception(error)
                )
                time.sleep(ERROR_PAUSE_SECONDS)
        # Requests that have already arrived are still served.
        for fd, _ in self.epoll.poll(0):
            if fd in self.idle:
                self.submit(self.remove_idle(fd))
        for fd in tuple(self.idle):
            self.close_handler(self.remove_idle(fd))

    def poll(self):
        """Accept new connections and serve those with a request."""
        for fd, _ in self.epoll.poll(POLL_TIMEOUT_SECONDS):
            if fd == self.socket.fileno():
                self.accept()
            elif fd == self.wake_fd:
                os.eventfd_read(self.wake_fd)
            elif fd in self.idle:
                self.submit(self.remove_idle(fd))
        while self.reusable:
            self.add_idle(self.reusable.popleft())
        self.close_expired()
        if self.lacks_thread:
            self.start_task(int)

    def update_buffers(self):
        """Set the buffers of the connections that arrive from now on."""
        size = self.memory.buffers.next_size
        if size != self.buffer_size:
            buffers.set_size(self.socket, size)
            self.buffer_size = size

    def accept(self):
        """Accept pending connections."""
        for _ in range(MAX_ACCEPTS_PER_POLL):
            try:
                connection, address = self.socket.accept()
            except OSError:
                return
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            if (
                self.open_connections >= self.max_connections
                and not self.make_room()
            ):
                self.refuse(connection)
                continue
            with self.lock:
                self.open_connections += 1
            handler = connection_module.ConnectionHandler(
                connection, address, self
            )
            # It may have arrived when others were smaller or larger.
            buffers.set_size(connection, handler.buffer_size)
            self.update_buffers()
            try:
                self.add_idle(handler)
            except Exception:
                self.close_handler(handler)
                raise

    def make_room(self):
        """Close the longest idle connection; return whether there is one.

        One that may be about to send a request is spared.
        """
        fd, handler = next(iter(self.idle.items()), (None, None))
        if fd is None or time.monotonic() - handler.last_used < ROOM_SECONDS:
            return False
        self.close_handler(self.remove_idle(fd))
        self.metrics.count('connections_ended_for_room_total')
        return True

    def refuse(self, connection):
        """Refuse a connection above the limit."""
        self.metrics.count('entry_connections_refused_total')
        try:
            connection.setblocking(False)
            connection.send(encode_busy_response())
        except OSError:
            pass
        connection.close()

    def add_idle(self, handler):
        """Start polling a connection for its next request."""
        self.epoll.register(handler.fd, select.EPOLLIN | select.EPOLLRDHUP)
        self.idle[handler.fd] = handler

    def remove_idle(self, fd):
        """Stop polling a connection; return its handler."""
        self.epoll.unregister(fd)
        return self.idle.pop(fd)

    def submit(self, handler):
        """Submit a connection with a pending request to the thread pool."""
        with self.lock:
            self.running_requests += 1
        self.start_task(self.serve, handler)

    def start_task(self, function, *arguments):
        """Queue a task of the thread pool.

        Without a thread for it, the task stays queued until one is free or can
        be started.
        """
        try:
            self.pool.submit(function, *arguments)
            self.lacks_thread = False
        except RuntimeError as error:
            self.lacks_thread = True
            LOG.error(
                'event=thread_not_started {}', errors.describe_exception(error)
            )

    def serve(self, handler):
        """Serve the requests that have arrived; runs on a pool thread."""
        keep_alive = False
        try:
            keep_alive = handler.serve_next_request()
            while keep_alive and handler.has_buffered_data():
                keep_alive = handler.serve_next_request()
        except Exception as error:
            self.metrics.count('entry_faults_total')
            LOG.error('event=connection_fault type={}', type(error).__name__)
        finally:
            with self.lock:
                self.running_requests -= 1
                if not self.running_requests:
                    self.requests_done.notify_all()
        if keep_alive and not self.closing:
            self.reusable.append(handler)
            os.eventfd_write(self.wake_fd, 1)
        else:
            self.close_handler(handler)

    def close_handler(self, handler):
        """Close a connection."""
        handler.close()
        self.memory.buffers.release(handler.buffer_size)
        with self.lock:
            self.open_connections -= 1

    def close_expired(self):
        """Close connections that have been idle for too long."""
        oldest_allowed = time.monotonic() - IDLE_TIMEOUT_SECONDS
        for fd, handler in tuple(self.idle.items()):
            if handler.last_used < oldest_allowed:
                self.close_handler(self.remove_idle(fd))


def encode_busy_response():
    """Return the encoded response to a connection above the limit."""
    request_id = uuid.uuid4().hex
    refusal = errors.make_refusal(
        'QUEUE_FULL', 'too many connections', retry_after=1.0
    )
    body = refusals.make_response(refusal, request_id).get_data()
    head = (
        'HTTP/1.1 503 Service Unavailable\r\n'
        'Content-Type: application/json\r\n'
        f'X-Request-Id: {request_id}\r\nRetry-After: 1\r\n'
        f'Connection: close\r\nContent-Length: {len(body)}\r\n\r\n'
    )
    return head.encode() + body
