"""HTTP server: accepts, keeps idle connections, hands requests to threads."""

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

__all__ = ['BACKLOG', 'Server']

LOG = logbook.Logger('entry')
BACKLOG = 4096
ACCEPTS_PER_PASS = 64
IDLE_SECONDS = 75.0
POLL_SECONDS = 0.5


class Server:
    """Serves HTTP/1.1 with keep-alive on a bounded pool of threads.

    Only connections with a request take a thread; idle ones wait in a
    selector.

    Parameters
    ----------
    address : str
        `IP:port` to listen on; port 0 takes a free one.
    application : app.Application
        Answers the requests.
    metrics : observe.metrics.Metrics
        Counters.
    max_connections : int
        Connections and requests served at once.
    """

    ssl_context = None
    multithread = True
    multiprocess = False
    passthrough_errors = False

    def __init__(self, address, application, metrics, max_connections=2048):
        self.application = application
        self.metrics = metrics
        self.max_connections = max_connections
        host, _, port = address.rpartition(':')
        family = socket.AF_INET6 if ':' in host else socket.AF_INET
        self.socket = socket.socket(family, socket.SOCK_STREAM)
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.socket.bind((host.strip('[]'), int(port)))
        self.socket.listen(BACKLOG)
        self.socket.setblocking(False)
        self.server_address = self.socket.getsockname()
        self.port = self.server_address[1]
        self.address = f'{host}:{self.port}'
        self.pool = concurrent.futures.ThreadPoolExecutor(
            max_connections, thread_name_prefix='entry-request'
        )
        self.epoll = select.epoll()
        self.wake_fd = os.eventfd(0, os.EFD_NONBLOCK | os.EFD_CLOEXEC)
        self.returned = collections.deque()
        self.idle = {}
        self.lock = threading.Lock()
        self.open_connections = 0
        self.running = 0
        self.quiet = threading.Condition(self.lock)
        self.closing = False
        self.thread = threading.Thread(
            target=self.run, name='entry-accept', daemon=True
        )

    def start(self):
        """Accept connections."""
        self.epoll.register(self.socket.fileno(), select.EPOLLIN)
        self.epoll.register(self.wake_fd, select.EPOLLIN)
        self.thread.start()

    def wait_quiet(self, deadline):
        """Wait until no request runs; return whether that was reached.

        Parameters
        ----------
        deadline : float
            Monotonic seconds.
        """
        with self.lock:
            while self.running:
                left = deadline - time.monotonic()
                if left <= 0:
                    return False
                self.quiet.wait(left)
        return True

    def close(self):
        """Stop accepting and close idle connections."""
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
        """Accept and watch until closed."""
        while not self.closing:
            for fd, _ in self.epoll.poll(POLL_SECONDS):
                if fd == self.socket.fileno():
                    self.accept()
                elif fd == self.wake_fd:
                    os.eventfd_read(self.wake_fd)
                elif fd in self.idle:
                    self.begin(self.take_idle(fd))
            while self.returned:
                self.keep_idle(self.returned.popleft())
            self.close_old()
        # Requests that have just arrived still get an answer.
        for fd, _ in self.epoll.poll(0):
            if fd in self.idle:
                self.begin(self.take_idle(fd))
        for fd in tuple(self.idle):
            self.drop(self.take_idle(fd))

    def accept(self):
        """Accept connections that wait."""
        for _ in range(ACCEPTS_PER_PASS):
            try:
                accepted, address = self.socket.accept()
            except OSError:
                return
            accepted.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            if self.open_connections >= self.max_connections:
                self.refuse(accepted)
                continue
            with self.lock:
                self.open_connections += 1
            handler = connection_module.ConnectionHandler(
                accepted, address, self
            )
            self.keep_idle(handler)

    def refuse(self, accepted):
        """Tell a caller that there are too many connections."""
        self.metrics.count('entry_connections_refused_total')
        try:
            accepted.setblocking(False)
            accepted.send(make_busy())
        except OSError:
            pass
        accepted.close()

    def keep_idle(self, handler):
        """Wait for the next request of a connection."""
        self.idle[handler.fd] = handler
        self.epoll.register(handler.fd, select.EPOLLIN | select.EPOLLRDHUP)

    def take_idle(self, fd):
        """Stop waiting for a connection."""
        self.epoll.unregister(fd)
        return self.idle.pop(fd)

    def begin(self, handler):
        """Hand a connection with a request to a thread."""
        with self.lock:
            self.running += 1
        self.pool.submit(self.serve, handler)

    def serve(self, handler):
        """Serve the requests that are there; runs on a thread."""
        keep = False
        try:
            keep = handler.handle_one()
            while keep and handler.has_buffered():
                keep = handler.handle_one()
        except Exception as error:
            self.metrics.count('entry_faults_total')
            LOG.error('event=connection_fault type={}', type(error).__name__)
        finally:
            with self.lock:
                self.running -= 1
                if not self.running:
                    self.quiet.notify_all()
        if keep and not self.closing:
            self.returned.append(handler)
            os.eventfd_write(self.wake_fd, 1)
        else:
            self.drop(handler)

    def drop(self, handler):
        """Close a connection."""
        handler.close()
        with self.lock:
            self.open_connections -= 1

    def close_old(self):
        """Close connections that were idle for too long."""
        before = time.monotonic() - IDLE_SECONDS
        for fd, handler in tuple(self.idle.items()):
            if handler.last_used < before:
                self.drop(self.take_idle(fd))


def make_busy():
    """Return the whole answer to a connection too many."""
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
