"""Fixtures that build an entry host from fakes."""

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
    """Owner of a key."""

    account_id: str


class FakeView:
    """Configuration and keys, which tests may change."""

    def __init__(self):
        self.snapshot = CONFIG
        self.keys = {'k1': 'a1', 'k2': 'a2'}

    def authenticate(self, key, now):
        """Return the identity of a key, or a refusal."""
        if key not in self.keys:
            return codes.Refusal(codes.ResultCode.KEY_REVOKED, 'revoked')
        return Identity(self.keys[key])


class FakeLimiter:
    """Rate limiter that refuses the accounts in a set."""

    def __init__(self):
        self.limited_accounts = set()

    def acquire(self, account_id, cost, now):
        """Return a refusal for a limited account, else None."""
        if account_id in self.limited_accounts:
            return codes.Refusal(
                codes.ResultCode.RATE_EXCEEDED, 'over', retry_after=2.5
            )
        return None


class FakeRecords:
    """Request records in memory."""

    def __init__(self):
        self.lock = threading.Lock()
        self.stored = {}
        self.fingerprints = {}

    def reserve(self, account_id, key, fingerprint, deadline):
        """Reserve a key, or return its record."""
        with self.lock:
            record_id = (account_id, key)
            if record_id not in self.stored:
                self.stored[record_id] = records.Running()
                self.fingerprints[record_id] = fingerprint
                return records.Reserved('token')
            if self.fingerprints[record_id] != fingerprint:
                return codes.Refusal(
                    codes.ResultCode.IDEMPOTENCY_CONFLICT, 'other body'
                )
            return self.stored[record_id]

    def complete(self, account_id, key, token, completed, deadline):
        """Store a response."""
        self.stored[account_id, key] = completed

    def abandon(self, account_id, key, token):
        """Delete a reservation."""
        del self.stored[account_id, key]

    def mark_unknown(self, account_id, key, token):
        """End a reservation with an unknown outcome."""
        self.stored[account_id, key] = codes.Refusal(
            codes.ResultCode.OUTCOME_UNKNOWN, 'unknown', codes.Ran.UNKNOWN
        )

    def get(self, account_id, key):
        """Return a record, or a refusal."""
        not_found = codes.Refusal(codes.ResultCode.NOT_FOUND, 'no record')
        return self.stored.get((account_id, key), not_found)


class Entry:
    """Entry host with fake endpoints and a simple client."""

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
        """Record an announcement."""
        self.announced.append(announcement)
        return {'announce_to': []}

    def connect(self):
        """Return a new client connection."""
        return http.client.HTTPConnection(
            '127.0.0.1', self.server.port, timeout=20
        )

    def send_request(
        self, method, path, body=None, key='k1', client=None, **headers
    ):
        """Send a request; return the status, headers and body."""
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
        return self.send_request(
            'POST', '/v1/chat/completions', body, **options
        )

    def close(self):
        """Stop all threads."""
        self.server.close()
        self.loop.close()


@pytest.fixture
def start_entry():
    """Return a function that starts an entry host with one endpoint.

    The function takes the handler of the requests to the endpoint.
    """
    resources = []

    def start(handle, **options):
        endpoint = fakes.FakeEndpoint(handle, **options)
        entry = Entry(endpoint)
        entry.endpoint = endpoint
        resources.extend((endpoint, entry))
        return entry

    yield start
    for resource in reversed(resources):
        resource.close()
