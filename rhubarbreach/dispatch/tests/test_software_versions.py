"""Streams that resume among endpoints of several software versions."""

import random
import types

import pytest

from rhubarbreach import clock
from rhubarbreach import codes
from rhubarbreach.daemon import announce
from rhubarbreach.dispatch.tests import fakes
from rhubarbreach.membership import endpoints
from rhubarbreach.placement import scheduler
from rhubarbreach.settings import model


@pytest.fixture
def registry():
    """Return an empty registry of endpoints."""
    return endpoints.EndpointRegistry()


@pytest.fixture
def announce_endpoint(registry):
    """Return a function that announces an endpoint as it does itself."""
    membership = types.SimpleNamespace(alive=lambda: ())
    handler = announce.AnnouncementHandler(registry, membership)

    def announce_one(endpoint_id, endpoint, software_version, draining=False):
        body = {
            'endpoint_id': endpoint_id,
            'address': f'127.0.0.1:{endpoint.port}',
            'zone': 'zone-1',
            'kind': 'engine',
            'models': ['rota'],
            'incarnation': 1,
            'sequence': 2 if draining else 1,
            'software_version': software_version,
            'draining': draining,
            'load': {'slots': 8},
        }
        assert 'announce_to' in handler.handle(body, '127.0.0.1')

    return announce_one


@pytest.fixture(params=['full', 'baseline'])
def executor(request, registry, start_executor):
    """Return an executor with the scheduler of a host."""
    host_scheduler = scheduler.Scheduler(
        'h1',
        'zone-1',
        registry,
        model.PolicySettings(request.param, 2),
        random=random.Random(1),
    )
    host_scheduler.start()
    new_executor = start_executor()
    new_executor.scheduler = host_scheduler
    host_scheduler.set_preempt(new_executor.preempt)
    yield new_executor
    host_scheduler.close()


def break_off(request):
    """Send three tokens and reset the connection."""
    request.begin()
    for index in range(3):
        request.send(fakes.make_event(request.attempt_id, index))
    request.reset_connection()


def finish(request):
    """Send a complete stream of six tokens."""
    request.stream(6)


def test_stream_resumes_at_its_software_version(
    start_endpoint, announce_endpoint, executor, make_call
):
    """Guards against a stream joined from two software versions."""
    first = start_endpoint(break_off)
    announce_endpoint('e0', first, 'v1')
    other, same = start_endpoint(finish), start_endpoint(finish)

    def break_late(request):
        if 'resume_from' not in request.json():
            announce_endpoint('e1', other, 'v2')
            announce_endpoint('e2', same, 'v1')
        break_off(request)

    first.handle = break_late
    result = executor.execute(make_call())
    assert (result.tokens, result.endpoint_id) == (6, 'e2')
    assert not other.requests


def test_stream_ends_if_its_software_version_has_left(
    start_endpoint, announce_endpoint, executor, make_call
):
    """Guards against a stream that goes on after its version has left."""
    first, other = start_endpoint(break_off), start_endpoint(finish)
    announce_endpoint('e0', first, 'v1')

    def leave(request):
        announce_endpoint('e1', other, 'v2')
        announce_endpoint('e0', first, 'v1', draining=True)
        break_off(request)

    first.handle = leave
    started_at = clock.monotonic()
    result = executor.execute(make_call())
    assert result.tokens == 3
    assert result.refusal.code is codes.ResultCode.STREAM_BROKEN
    assert result.refusal.ran is codes.Ran.YES
    assert not other.requests
    assert clock.monotonic() - started_at < 5.0
