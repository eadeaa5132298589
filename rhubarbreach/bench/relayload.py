"""Load client of the relay benchmark."""

import dataclasses
import random
import select
import socket
import sys
import time

import msgspec

from rhubarbreach.bench import relayparts

__all__ = ['ClientReport', 'run_client']

PATH = '/v1/chat/completions'
PROMPT_CHARACTERS = 800
EVENT_END = b'\n\n'


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
        self.socket = socket.create_connection((relayparts.HOST, port), 10)
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

    def run_until_told(self, file):
        """Read until there is a line in a file."""
        self.epoll.register(file.fileno(), select.EPOLLIN)
        while True:
            for fd, _ in self.epoll.poll():
                if fd == file.fileno():
                    file.readline()
                    self.epoll.unregister(fd)
                    return
                self.receive(fd, self.callers[fd])

    def receive(self, fd, caller):
        """Count what arrived; send the next request after the end."""
        data = caller.socket.recv(relayparts.RECEIVE_BYTES)
        now = time.monotonic()
        if not data:
            self.broken += 1
            self.epoll.unregister(fd)
            return
        ended = (caller.tail + data).endswith(relayparts.LAST_CHUNK)
        events = (caller.tail[-1:] + data).count(EVENT_END)
        caller.tail = (caller.tail + data)[-len(relayparts.LAST_CHUNK) :]
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


def run_client(port, streams, tokens, seed, warm_up, settle, seconds):
    """Load a port and print a `ClientReport` as JSON."""
    client = LoadClient(port, streams, tokens, seed)
    client.start(warm_up)
    client.run_until(time.monotonic() + settle)
    print('ready', flush=True)
    client.run_until_told(sys.stdin)
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
