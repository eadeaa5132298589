"""Server processes of the relay benchmark: paced endpoint and entry."""

import collections
import concurrent.futures
import contextlib
import dataclasses
import heapq
import pathlib
import resource
import select
import socket
import sys
import time

import msgspec

from rhubarbreach import clock
from rhubarbreach.dispatch import executor
from rhubarbreach.dispatch import loop
from rhubarbreach.entry import app
from rhubarbreach.entry import online
from rhubarbreach.entry import server
from rhubarbreach.entry import status
from rhubarbreach.membership import model as membership_model
from rhubarbreach.observe import metrics
from rhubarbreach.observe import timeline
from rhubarbreach.scheduling import work
from rhubarbreach.settings import model as settings_model
from rhubarbreach.state import model

__all__ = ['HOST', 'LAST_CHUNK', 'RECEIVE_BYTES', 'run_endpoint', 'run_entry']

HOST = '127.0.0.1'
BACKLOG = 2048
NANOSECONDS = 1e9
RECEIVE_BYTES = 65536
HEAD_END = b'\r\n\r\n'
LAST_CHUNK = b'0\r\n\r\n'
RESPONSE_HEAD = (
    b'HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n'
    b'X-Attempt-Id: %b\r\nTransfer-Encoding: chunked\r\n\r\n'
)
EVENT_TEMPLATE = (
    b'data: {"id":"%b","index":%d,"object":"chat.completion.chunk",'
    b'"model":"rota","choices":[{"index":0,"delta":{"content":"heron "}}]}'
    b'\n\n'
)
LAST_EVENT = b'e\r\ndata: [DONE]\n\n\r\n' + LAST_CHUNK


class PacedStream:
    """Stream of the paced endpoint, ordered by the time of its next token."""

    def __init__(self, connection, attempt_id, tokens, due_at):
        self.connection = connection
        self.attempt_id = attempt_id
        self.tokens = tokens
        self.due_at = due_at
        self.index = 0

    def __lt__(self, other):
        return self.due_at < other.due_at


class PacedEndpoint:
    """Endpoint that sends a token of each stream every `1 / rate` seconds.

    Parameters
    ----------
    rate : float
        Tokens per second and stream.
    """

    def __init__(self, rate):
        self.interval = 1 / rate
        self.socket = socket.create_server((HOST, 0), backlog=BACKLOG)
        self.socket.setblocking(False)
        self.epoll = select.epoll()
        self.epoll.register(self.socket.fileno(), select.EPOLLIN)
        self.connections = {}
        self.buffers = {}
        self.heap = []

    def run(self):
        """Serve until the process ends."""
        while True:
            timeout = 1.0
            if self.heap:
                timeout = max(0.0, self.heap[0].due_at - time.monotonic())
            for fd, _ in self.epoll.poll(timeout):
                if fd == self.socket.fileno():
                    self.accept()
                else:
                    self.receive(fd)
            now = time.monotonic()
            while self.heap and self.heap[0].due_at <= now:
                self.send_token(heapq.heappop(self.heap))

    def accept(self):
        """Accept one connection."""
        connection, _ = self.socket.accept()
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        connection.settimeout(1.0)
        fd = connection.fileno()
        self.connections[fd] = connection
        self.buffers[fd] = b''
        self.epoll.register(fd, select.EPOLLIN)

    def receive(self, fd):
        """Read from a connection and handle a complete request."""
        try:
            data = self.connections[fd].recv(RECEIVE_BYTES)
        except OSError:
            data = b''
        if not data:
            self.epoll.unregister(fd)
            self.connections.pop(fd).close()
            return
        data = self.buffers[fd] + data
        head_end = data.find(HEAD_END)
        self.buffers[fd] = data
        if head_end < 0:
            return
        headers = dict(
            line.lower().split(b': ', 1)
            for line in data[:head_end].split(b'\r\n')[1:]
            if b': ' in line
        )
        request_end = (
            head_end + len(HEAD_END) + int(headers[b'content-length'])
        )
        if len(data) >= request_end:
            self.buffers[fd] = data[request_end:]
            body = data[head_end + len(HEAD_END) : request_end]
            self.handle_request(self.connections[fd], headers, body)

    def handle_request(self, connection, headers, body):
        """Start a stream, or send an empty object without `max_tokens`."""
        tokens = msgspec.json.decode(body).get('max_tokens')
        if tokens is None:
            connection.sendall(
                b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}'
            )
            return
        attempt_id = headers.get(b'x-attempt-id', b'direct')
        connection.sendall(RESPONSE_HEAD % attempt_id)
        stream = PacedStream(connection, attempt_id, tokens, time.monotonic())
        heapq.heappush(self.heap, stream)

    def send_token(self, stream):
        """Send one token; after the last one, end the stream."""
        event = EVENT_TEMPLATE % (stream.attempt_id, stream.index)
        data = b'%x\r\n%b\r\n' % (len(event), event)
        stream.index += 1
        ended = stream.index >= stream.tokens
        try:
            stream.connection.sendall(data + LAST_EVENT if ended else data)
        except OSError:
            return
        if not ended:
            stream.due_at += self.interval
            heapq.heappush(self.heap, stream)


def run_endpoint(rate):
    """Print the port and serve paced streams."""
    endpoint = PacedEndpoint(rate)
    print(endpoint.socket.getsockname()[1], flush=True)
    endpoint.run()


@dataclasses.dataclass(frozen=True)
class BenchIdentity:
    """Client account of the load client."""

    account_id: str = 'bench'


class BenchView:
    """Configuration view with one account that accepts any key."""

    snapshot = model.Config(
        accounts=(model.Account('bench', 1e9, 1e9),),
        models=(model.Model('rota'),),
    )

    def authenticate(self, key, now):
        """Accept any key."""
        return BenchIdentity()


class BenchLimiter:
    """Rate limiter that admits all requests."""

    def acquire(self, account_id, cost, now):
        """Return None: the request is admitted."""


class BenchScheduler:
    """Scheduler that places work immediately, on the endpoints in rotation."""

    def __init__(self, ports):
        load = membership_model.Load(0, 0, 0, 0.0, 0.0)
        self.endpoints = collections.deque(
            membership_model.EndpointInfo(
                f'e{port}',
                'zone-1',
                f'{HOST}:{port}',
                'engine',
                ('rota',),
                1,
                False,
                False,
                load,
                float('inf'),
            )
            for port in ports
        )

    def set_preempt(self, function):
        """Ignore the callback: nothing is preempted."""

    def submit(self, item):
        """Place work on the next endpoint."""
        self.endpoints.rotate()
        future = concurrent.futures.Future()
        future.set_result(work.Placement(item, self.endpoints[0]))
        return future

    def withdraw(self, work_id):
        """Return False: no work waits."""
        return False

    def release(self, placement, outcome):
        """Do nothing: no slots are tracked."""


def run_entry(ports):
    """Print the port, then the `get_cpu_times` values for each line read."""
    counters = metrics.Metrics()
    application = app.Application(counters)
    online.OnlineHandlers(
        application,
        BenchView(),
        BenchLimiter(),
        executor.Executor(
            BenchScheduler(ports),
            loop.Loop(counters),
            timeline.Recorder('bench', clock.HybridClock()),
            counters,
        ),
        None,
        settings_model.RequestSettings(1 << 20, 2048, 10, 60, 60),
    )
    status.StatusHandlers(application, counters, lambda *_: {})
    entry_server = server.Server(f'{HOST}:0', application, counters)
    entry_server.start()
    print(entry_server.port, flush=True)
    for _ in sys.stdin:
        print(*get_cpu_times(), flush=True)


def get_cpu_times():
    """Return the CPU time of this process and its wait for a CPU in seconds.

    The wait counts the time in which threads were ready to run. A long wait
    means that other processes kept the CPUs busy.
    """
    used = resource.getrusage(resource.RUSAGE_SELF)
    queued = 0
    for file in pathlib.Path('/proc/self/task').glob('*/schedstat'):
        with contextlib.suppress(OSError):
            queued += int(file.read_text().split()[1])
    return used.ru_utime + used.ru_stime, queued / NANOSECONDS
