"""Fixtures that compose an entry from fakes."""

import dataclasses
import http.client
import threading

import msgspec
import pytest

from rhubarbreach import clock
from rhubarbreach import codes
from rhubarbreach.dispatch import executor
from rhubarbreach.dispatch import loop
from rhubarbreach.dispatch.tests import fakes
from rhubarbreach.entry import app
from rhubarbreach.entry import online
from rhubarbreach.entry import records
from rhubarbreach.entry import server
from rhubarbreach.entry import status
from rhubarbreach.observe import metrics
from rhubarbreach.observe import timeline
from rhubarbreach.settings import model as settings_model
from rhubarbreach.state import model

CONFIG = model.Config(
    accounts=(model.Account('a1', 100, 100), model.Account('a2', 1, 1)),
    models=(model.Model('rota'),),
    routes=(
        model.Route('confirm', '/swaps', 'service', 'swaps', idempotent=False),
        model.Route('open', '/open', 'service', 'open', open=True),
        model.Route(
            'private', '/private', 'service', 'open', accounts=('a2',)
        ),
    ),
)


@dataclasses.dataclass(frozen=True)
class Identity:
    """Whom a key belongs to."""

    account_id: str


class FakeView:
    """Keys and configuration that tests change."""

    def __init__(self):
        self.snapshot = CONFIG
        self.keys = {'k1': 'a1', 'k2': 'a2'}

    def authenticate(self, key, now):
        """Look a key up."""
        if key not in self.keys:
            return codes.Refusal(codes.ResultCode.KEY_REVOKED, 'revoked')
        return Identity(self.keys[key])


class FakeLimiter:
    """Refuses the accounts in a set."""

    def __init__(self):
        self.over = set()

    def acquire(self, account_id, cost, now):
        """Refuse or not."""
        if account_id in self.over:
            return codes.Refusal(
                codes.ResultCode.RATE_EXCEEDED, 'over', retry_after=2.5
            )
        return None


class FakeRecords:
    """Records in memory."""

    def __init__(self):
        self.lock = threading.Lock()
        self.found = {}
        self.prints = {}

    def reserve(self, account_id, key, fingerprint, deadline):
        """Reserve or return what is there."""
        with self.lock:
            name = (account_id, key)
            if name not in self.found:
                self.found[name] = records.Running()
                self.prints[name] = fingerprint
                return records.Reserved('token')
            if self.prints[name] != fingerprint:
                return codes.Refusal(
                    codes.ResultCode.IDEMPOTENCY_CONFLICT, 'other body'
                )
            return self.found[name]

    def complete(self, account_id, key, token, completed, deadline):
        """Keep an answer."""
        self.found[account_id, key] = completed

    def abandon(self, account_id, key, token):
        """Forget a reservation."""
        del self.found[account_id, key]

    def mark_unknown(self, account_id, key, token):
        """End a reservation."""
        self.found[account_id, key] = codes.Refusal(
            codes.ResultCode.OUTCOME_UNKNOWN, 'unknown', codes.Ran.UNKNOWN
        )

    def get(self, account_id, key):
        """Return what is there."""
        missing = codes.Refusal(codes.ResultCode.NOT_FOUND, 'no record')
        return self.found.get((account_id, key), missing)


class Entry:
    """An entry over fake endpoints, with a small client."""

    def __init__(self, *endpoints):
        self.metrics = metrics.Metrics()
        self.view = FakeView()
        self.limiter = FakeLimiter()
        self.records = FakeRecords()
        self.announced = []
        self.loop = loop.Loop(self.metrics)
        self.scheduler = fakes.FakeScheduler(*endpoints)
        self.executor = executor.Executor(
            self.scheduler,
            self.loop,
            timeline.Recorder('h1', clock.HybridClock()),
            self.metrics,
        )
        self.app = app.Application(self.metrics)
        online.OnlineHandlers(
            self.app,
            self.view,
            self.limiter,
            self.executor,
            self.records,
            settings_model.RequestSettings(4096, 64, 0.5, 20, 20),
        )
        status.StatusHandlers(self.app, self.metrics, self.announce)
        self.server = server.Server('127.0.0.1:0', self.app, self.metrics)
        self.server.start()

    def announce(self, announcement, address):
        """Note an announcement."""
        self.announced.append(announcement)
        return {'announce_to': []}

    def connect(self):
        """Return a new client connection."""
        return http.client.HTTPConnection(
            '127.0.0.1', self.server.port, timeout=20
        )

    def ask(self, method, path, body=None, key='k1', client=None, **headers):
        """Send one request; return status, headers and body."""
        client = client or self.connect()
        headers = {
            name.replace('_', '-'): value for name, value in headers.items()
        }
        if key:
            headers['Authorization'] = f'Bearer {key}'
        client.request(method, path, body, headers)
        response = client.getresponse()
        return response.status, response.headers, response.read()

    def chat(self, stream=False, **options):
        """Send a chat completion."""
        body = msgspec.json.encode(
            {'model': 'rota', 'messages': [], 'stream': stream}
        )
        return self.ask('POST', '/v1/chat/completions', body, **options)

    def close(self):
        """Stop all threads."""
        self.server.close()
        self.loop.close()


@pytest.fixture
def start_entry():
    """Return a function that starts an entry over answer functions."""
    opened = []

    def start(handle, **options):
        endpoint = fakes.FakeEndpoint(handle, **options)
        entry = Entry(endpoint)
        entry.endpoint = endpoint
        opened.extend((endpoint, entry))
        return entry

    yield start
    for one in reversed(opened):
        one.close()
