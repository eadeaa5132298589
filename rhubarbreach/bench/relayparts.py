"""Parts of the relay benchmark: paced endpoint, entry, load client."""

import collections
import concurrent.futures
import dataclasses
import heapq
import random
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

__all__ = ['ClientReport', 'run_client', 'run_endpoint', 'run_entry']

HOST = '127.0.0.1'
PATH = '/v1/chat/completions'
PROMPT_CHARACTERS = 800
BACKLOG = 2048
RECEIVE_BYTES = 65536
HEAD_END = b'\r\n\r\n'
EVENT_END = b'\n\n'
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
    """Print the port, then the processor seconds for each line read."""
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
        used = resource.getrusage(resource.RUSAGE_SELF)
        print(used.ru_utime + used.ru_stime, flush=True)


@dataclasses.dataclass(frozen=True)
class ClientReport:
    """What one load client saw; times in seconds."""

    tokens: int
    requests: int
    broken: int
    seconds: float
    first: list[float]
    gaps: list[float]


class Caller:
    """One connection of the load client, with one stream at a time."""

    def __init__(self, port, random_source):
        self.random = random_source
        self.socket = socket.create_connection((HOST, port), 10)
        self.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.tail = b''
        self.sent_at = 0.0
        self.last_at = None

    def ask(self, tokens):
        """Send a request."""
        words = [str(self.random.random()) for _ in range(4)]
        prompt = ' '.join(words).ljust(PROMPT_CHARACTERS, '.')
        body = msgspec.json.encode(
            {
                'model': 'rota',
                'stream': True,
                'max_tokens': tokens,
                'messages': [{'role': 'user', 'content': prompt}],
            }
        )
        head = (
            f'POST {PATH} HTTP/1.1\r\nHost: bench\r\n'
            'Authorization: Bearer bench\r\nContent-Type: application/json'
            f'\r\nContent-Length: {len(body)}\r\n\r\n'
        )
        self.last_at = None
        self.tail = b''
        self.sent_at = time.monotonic()
        self.socket.sendall(head.encode() + body)


class LoadClient:
    """Keeps a number of streams running against one port.

    Parameters
    ----------
    port : int
        Entry or endpoint.
    streams : int
        Streams at once.
    tokens : int
        Tokens of a whole stream; the first one of each caller is shorter,
        so that the ends are spread.
    seed : int
        Seed of prompts and first lengths.
    """

    def __init__(self, port, streams, tokens, seed):
        self.tokens = tokens
        self.random = random.Random(seed)
        self.epoll = select.epoll()
        self.callers = {}
        for _ in range(streams):
            caller = Caller(port, self.random)
            fd = caller.socket.fileno()
            self.callers[fd] = caller
            self.epoll.register(fd, select.EPOLLIN)
        self.reset()

    def reset(self):
        """Begin to count anew."""
        self.counted = self.requests = self.broken = 0
        self.first = []
        self.gaps = []

    def start(self, seconds):
        """Start all callers, spread over some seconds."""
        pause = seconds / len(self.callers)
        for caller in tuple(self.callers.values()):
            caller.ask(self.random.randint(10, self.tokens))
            self.run_until(time.monotonic() + pause)

    def run_until(self, end):
        """Read until a time of the monotonic clock."""
        while (left := end - time.monotonic()) > 0:
            for fd, _ in self.epoll.poll(left):
                self.receive(fd, self.callers[fd])

    def receive(self, fd, caller):
        """Count what arrived; send the next request after the end."""
        data = caller.socket.recv(RECEIVE_BYTES)
        now = time.monotonic()
        if not data:
            self.broken += 1
            self.epoll.unregister(fd)
            return
        ended = (caller.tail + data).endswith(LAST_CHUNK)
        events = (caller.tail[-1:] + data).count(EVENT_END)
        caller.tail = (caller.tail + data)[-len(LAST_CHUNK) :]
        events -= ended
        if events:
            self.count(caller, events, now)
        if ended:
            self.requests += 1
            caller.ask(self.tokens)

    def count(self, caller, events, now):
        """Note tokens and their times."""
        self.counted += events
        if caller.last_at is None:
            self.first.append(now - caller.sent_at)
        else:
            self.gaps.append(now - caller.last_at)
        self.gaps.extend([0.0] * (events - 1))
        caller.last_at = now


def run_client(port, streams, tokens, seed, warm_up, seconds):
    """Load a port and print a `ClientReport` as JSON."""
    client = LoadClient(port, streams, tokens, seed)
    client.start(warm_up)
    print('ready', flush=True)
    sys.stdin.readline()
    client.reset()
    began = time.monotonic()
    client.run_until(began + seconds)
    spent = time.monotonic() - began
    report = ClientReport(
        client.counted,
        client.requests,
        client.broken,
        spent,
        client.first,
        client.gaps,
    )
    print(msgspec.json.encode(report).decode(), flush=True)
