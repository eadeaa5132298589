"""Fixtures that build an executor with fake endpoints."""

import pytest

from rhubarbreach import clock
from rhubarbreach.dispatch import call
from rhubarbreach.dispatch import executor
from rhubarbreach.dispatch import loop
from rhubarbreach.dispatch import run
from rhubarbreach.dispatch.tests import fakes
from rhubarbreach.observe import metrics
from rhubarbreach.observe import timeline
from rhubarbreach.scheduling import work


@pytest.fixture
def start_endpoint():
    """Return a function that starts a fake endpoint."""
    started = []

    def start(handle, **options):
        started.append(fakes.FakeEndpoint(handle, **options))
        return started[-1]

    yield start
    for endpoint in started:
        endpoint.close()


@pytest.fixture
def start_executor():
    """Return a function that builds an executor for some endpoints."""
    loops = []

    def start(*endpoints, **policy):
        counters = metrics.Metrics()
        loops.append(loop.Loop(counters))
        recorder = timeline.Recorder('h1', clock.HybridClock())
        return executor.Executor(
            fakes.FakeScheduler(*endpoints),
            loops[-1],
            recorder,
            counters,
            run.Policy(**policy),
        )

    yield start
    for event_loop in loops:
        event_loop.close()


@pytest.fixture
def make_call():
    """Return a function that makes a call."""

    def make(**changes):
        fields = {
            'request_id': 'r1',
            'account_id': 'a1',
            'lane': work.Lane.ONLINE,
            'model_id': 'rota',
            'method': 'POST',
            'path': '/v1/chat/completions',
            'body': b'{"model":"rota","messages":[],"stream":true}',
            'stream': True,
            'idempotent': True,
            'deadline': clock.monotonic() + 20,
        }
        return call.Call(**{**fields, **changes})

    return make
