"""Reports of endpoints whose responses broke off after events."""

import socket
import time
import types

import pytest

from rhubarbreach.fleet import connector as connectors
from rhubarbreach.fleet import paths
from rhubarbreach.fleet import quarantine
from rhubarbreach.gateway import crash_checks

PROMPT = ('part', 'own')
WAIT_SECONDS = 5.0


@pytest.fixture
def listener():
    """Return a socket that accepts connections, as an endpoint does."""
    listener = socket.create_server(('127.0.0.1', 0))
    yield listener
    listener.close()


@pytest.fixture
def make_checks(listener):
    """Return a function that makes checks, and the endpoint to check."""

    def make(has_left=False, is_in_service=True):
        leader_client = types.SimpleNamespace(
            quarantine=quarantine.Quarantine(),
            waits=types.SimpleNamespace(refresh_loads=lambda: None),
        )
        directory = types.SimpleNamespace(
            is_endpoint_in_service=lambda _: is_in_service,
            has_left=lambda _: has_left,
        )
        host, port = listener.getsockname()
        endpoint = types.SimpleNamespace(
            endpoint_id='e1', born=1, service='s', address=f'{host}:{port}'
        )
        connector = connectors.Connector(paths.Paths(), None, 0, None)
        checks = crash_checks.CrashChecks(connector, leader_client, directory)
        return checks, endpoint

    return make


def list_crashes(checks):
    """Return the reported crashes once all checks have ended."""
    deadline = time.monotonic() + WAIT_SECONDS
    while checks.thread is not None:
        assert time.monotonic() < deadline
        time.sleep(0.01)
    crashes, _ = checks.leader_client.quarantine.make_report(2.0)
    return crashes


def test_responses_of_a_crashed_endpoint_are_reported(make_checks, listener):
    """Guards against a crash after an event that is no evidence."""
    checks, endpoint = make_checks()
    listener.close()
    checks.add(endpoint, PROMPT, 1.0, 0.25, True, False)
    checks.add(endpoint, ('part', 'other'), 1.0, 0.5, True, True)
    found = [
        (crash.prompt, crash.age, crash.run_seconds, crash.is_resumed)
        for crash in list_crashes(checks)
    ]
    assert found == [
        (PROMPT, 1.0, 0.25, False),
        (('part', 'other'), 1.0, 0.5, True),
    ]


def test_response_that_breaks_off_at_a_live_endpoint_is_no_crash(make_checks):
    """Guards against parts that are blamed for truncated responses."""
    checks, endpoint = make_checks()
    checks.add(endpoint, PROMPT, 1.0, 0.25, True, False)
    assert list_crashes(checks) == ()


@pytest.mark.parametrize(
    'state', [{'has_left': True}, {'is_in_service': False}]
)
def test_endpoint_that_has_left_has_not_crashed(make_checks, listener, state):
    """Guards against parts that are blamed for a planned exit."""
    checks, endpoint = make_checks(**state)
    listener.close()
    checks.add(endpoint, PROMPT, 1.0, 0.25, True, False)
    assert list_crashes(checks) == ()


def test_pending_checks_are_bounded(make_checks, monkeypatch):
    """Guards against a host that remembers all broken responses."""
    monkeypatch.setattr(crash_checks, 'MAX_PENDING', 3)
    checks, endpoint = make_checks()
    checks.thread = object()
    for number in range(10):
        checks.add(endpoint, ('part', f'{number}'), 1.0, 0.25, True, False)
    assert checks.pending_count == 3


@pytest.mark.parametrize(
    ('state', 'is_early_crash', 'is_late_crash'),
    [
        (connectors.PortState.CLOSED, True, True),
        (connectors.PortState.OPEN, True, False),
        (connectors.PortState.UNKNOWN, True, False),
        (connectors.PortState.OPEN_ELSEWHERE, False, False),
    ],
)
def test_responses_that_break_with_the_links_of_the_host_are_no_crashes(
    make_checks, state, is_early_crash, is_late_crash
):
    """Guards against sound parts that a cut host has held back."""
    checks, endpoint = make_checks()
    checks.connector = types.SimpleNamespace(
        relay_port=1, check_port=lambda *_: state
    )
    checks.add(endpoint, ('early', 'own'), 1.0, None, False, False)
    checks.add(endpoint, ('late', 'own'), 1.0, 0.25, True, False)
    parts = {crash.prompt[0] for crash in list_crashes(checks)}
    assert ('early' in parts) is is_early_crash
    assert ('late' in parts) is is_late_crash


def test_crash_is_reported_at_once_without_relays(make_checks):
    """Guards against evidence that waits for a check that tells no more."""
    checks, endpoint = make_checks()
    checks.thread = object()
    checks.add(endpoint, PROMPT, 1.0, None, False, False)
    crashes, _ = checks.leader_client.quarantine.make_report(2.0)
    assert [crash.prompt for crash in crashes] == [PROMPT]
