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
    """Result of one load client.

    Parameters
    ----------
    tokens, requests : int
        Tokens received and requests completed.
    broken : int
        Connections that were closed before the end of the stream.
    seconds : float
        Duration of the measurement.
    first, gaps : list of float
        Times to first token and times between tokens in seconds.
    """

    tokens: int
    requests: int
    broken: int
    seconds: float
    first: list[float]
    gaps: list[float]


class Caller:
    """Connection of the load client that runs one stream at a time."""

    def __init__(self, port, random_source):
        self.random = random_source
        self.socket = socket.create_connection((relayparts.HOST, port), 10)
        self.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.last_bytes = b''
        self.sent_at = 0.0
        self.last_token_at = None

    def send_request(self, tokens):
        """Send a request for a stream of `tokens` tokens."""
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
        self.last_token_at = None
        self.last_bytes = b''
        self.sent_at = time.monotonic()
        self.socket.sendall(head.encode() + body)


class LoadClient:
    """Load client that keeps a number of streams running on one port.

    Parameters
    ----------
    port : int
        Port of the entry or of an endpoint.
    streams : int
        Concurrent streams.
    tokens : int
        Tokens of a stream. The first stream of each caller has a random
        shorter length, so that the streams do not end together.
    seed : int
        Seed of the prompts and of the lengths of the first streams.
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
        """Reset the counters."""
        self.token_count = self.requests = self.broken = 0
        self.first = []
        self.gaps = []

    def start(self, seconds):
        """Start all callers, evenly spread over `seconds`."""
        pause = seconds / len(self.callers)
        for caller in tuple(self.callers.values()):
            caller.send_request(self.random.randint(10, self.tokens))
            self.run_until(time.monotonic() + pause)

    def run_until(self, end):
        """Receive data until a time on the monotonic clock."""
        while (remaining := end - time.monotonic()) > 0:
            for fd, _ in self.epoll.poll(remaining):
                self.receive(fd, self.callers[fd])

    def run_until_line(self, file):
        """Receive data until a line arrives from a file, and consume it."""
        self.epoll.register(file.fileno(), select.EPOLLIN)
        while True:
            for fd, _ in self.epoll.poll():
                if fd == file.fileno():
                    file.readline()
                    self.epoll.unregister(fd)
                    return
                self.receive(fd, self.callers[fd])

    def receive(self, fd, caller):
        """Count received tokens; after the last one, send the next request."""
        data = caller.socket.recv(relayparts.RECEIVE_BYTES)
        now = time.monotonic()
        if not data:
            self.broken += 1
            self.epoll.unregister(fd)
            return
        ended = (caller.last_bytes + data).endswith(relayparts.LAST_CHUNK)
        events = (caller.last_bytes[-1:] + data).count(EVENT_END)
        caller.last_bytes = (caller.last_bytes + data)[
            -len(relayparts.LAST_CHUNK) :
        ]
        events -= ended
        if events:
            self.record_tokens(caller, events, now)
        if ended:
            self.requests += 1
            caller.send_request(self.tokens)

    def record_tokens(self, caller, events, now):
        """Record received tokens and the times between them."""
        self.token_count += events
        if caller.last_token_at is None:
            self.first.append(now - caller.sent_at)
        else:
            self.gaps.append(now - caller.last_token_at)
        self.gaps.extend([0.0] * (events - 1))
        caller.last_token_at = now


def run_client(port, streams, tokens, seed, warm_up, settle, seconds):
    """Apply load to a port and print a `ClientReport` as JSON.

    The client prints `ready` after `warm_up` and `settle` seconds, and begins
    to measure when it reads a line from standard input.
    """
    client = LoadClient(port, streams, tokens, seed)
    client.start(warm_up)
    client.run_until(time.monotonic() + settle)
    print('ready', flush=True)
    client.run_until_line(sys.stdin)
    client.reset()
    started_at = time.monotonic()
    client.run_until(started_at + seconds)
    elapsed = time.monotonic() - started_at
    report = ClientReport(
        client.token_count,
        client.requests,
        client.broken,
        elapsed,
        client.first,
        client.gaps,
    )
    print(msgspec.json.encode(report).decode(), flush=True)
