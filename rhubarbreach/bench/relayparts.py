"""Parts of the relay benchmark: paced endpoint and entry."""

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
ANSWER_HEAD = (
    b'HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n'
    b'X-Attempt-Id: %b\r\nTransfer-Encoding: chunked\r\n\r\n'
)
EVENT = (
    b'data: {"id":"%b","index":%d,"object":"chat.completion.chunk",'
    b'"model":"rota","choices":[{"index":0,"delta":{"content":"heron "}}]}'
    b'\n\n'
)
DONE = b'e\r\ndata: [DONE]\n\n\r\n' + LAST_CHUNK


class PacedStream:
    """One stream of the paced endpoint."""

    def __init__(self, connection, attempt_id, tokens, due):
        self.connection = connection
        self.attempt_id = attempt_id
        self.tokens = tokens
        self.due = due
        self.index = 0

    def __lt__(self, other):
        return self.due < other.due


class PacedEndpoint:
    """Sends one token of each stream every `1 / rate` seconds.

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
            left = 1.0
            if self.heap:
                left = max(0.0, self.heap[0].due - time.monotonic())
            for fd, _ in self.epoll.poll(left):
                if fd == self.socket.fileno():
                    self.accept()
                else:
                    self.receive(fd)
            now = time.monotonic()
            while self.heap and self.heap[0].due <= now:
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
        """Read and answer requests."""
        try:
            data = self.connections[fd].recv(RECEIVE_BYTES)
        except OSError:
            data = b''
        if not data:
            self.epoll.unregister(fd)
            self.connections.pop(fd).close()
            return
        data = self.buffers[fd] + data
        end = data.find(HEAD_END)
        self.buffers[fd] = data
        if end < 0:
            return
        headers = dict(
            line.lower().split(b': ', 1)
            for line in data[:end].split(b'\r\n')[1:]
            if b': ' in line
        )
        stop = end + len(HEAD_END) + int(headers[b'content-length'])
        if len(data) >= stop:
            self.buffers[fd] = data[stop:]
            body = data[end + len(HEAD_END) : stop]
            self.answer(self.connections[fd], headers, body)

    def answer(self, connection, headers, body):
        """Begin a stream."""
        tokens = msgspec.json.decode(body).get('max_tokens')
        if tokens is None:
            connection.sendall(
                b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}'
            )
            return
        attempt_id = headers.get(b'x-attempt-id', b'direct')
        connection.sendall(ANSWER_HEAD % attempt_id)
        stream = PacedStream(connection, attempt_id, tokens, time.monotonic())
        heapq.heappush(self.heap, stream)

    def send_token(self, stream):
        """Send one token, and the end after the last."""
        event = EVENT % (stream.attempt_id, stream.index)
        data = b'%x\r\n%b\r\n' % (len(event), event)
        stream.index += 1
        ended = stream.index >= stream.tokens
        try:
            stream.connection.sendall(data + DONE if ended else data)
        except OSError:
            return
        if not ended:
            stream.due += self.interval
            heapq.heappush(self.heap, stream)


def run_endpoint(rate):
    """Print the port and serve paced streams."""
    endpoint = PacedEndpoint(rate)
    print(endpoint.socket.getsockname()[1], flush=True)
    endpoint.run()


@dataclasses.dataclass(frozen=True)
class BenchIdentity:
    """Account of the load client."""

    account_id: str = 'bench'


class BenchView:
    """Configuration with one account, whose key is always accepted."""

    snapshot = model.Config(
        accounts=(model.Account('bench', 1e9, 1e9),),
        models=(model.Model('rota'),),
    )

    def authenticate(self, key, now):
        """Accept any key."""
        return BenchIdentity()


class BenchLimiter:
    """Accepts everything."""

    def acquire(self, account_id, cost, now):
        """Return no refusal."""


class BenchScheduler:
    """Places work on the endpoints in turn, at once."""

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
        """Never preempt."""

    def submit(self, item):
        """Place work."""
        self.endpoints.rotate()
        future = concurrent.futures.Future()
        future.set_result(work.Placement(item, self.endpoints[0]))
        return future

    def withdraw(self, work_id):
        """Nothing ever waits."""
        return False

    def release(self, placement, outcome):
        """Keep no slots."""


def run_entry(ports):
    """Print the port, then `read_processor_use` for each line read."""
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
    front = server.Server(f'{HOST}:0', application, counters)
    front.start()
    print(front.port, flush=True)
    for _ in sys.stdin:
        print(*read_processor_use(), flush=True)


def read_processor_use():
    """Return seconds on a processor, and ready but waiting for one.

    Much waiting means that the machine was busy with other processes.
    """
    used = resource.getrusage(resource.RUSAGE_SELF)
    waited = 0
    for file in pathlib.Path('/proc/self/task').glob('*/schedstat'):
        with contextlib.suppress(OSError):
            waited += int(file.read_text().split()[1])
    return used.ru_utime + used.ru_stime, waited / NANOSECONDS
