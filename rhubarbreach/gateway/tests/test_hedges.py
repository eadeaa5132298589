"""Tests of hedged requests with real sockets."""

import threading
import time

import pytest

from rhubarbreach import clock
from rhubarbreach.gateway import attempt as attempts
from rhubarbreach.gateway import responses
from rhubarbreach.gateway.tests import test_forward as forwarding
from rhubarbreach.gateway.tests import test_silent_endpoints as silent
from rhubarbreach.web import sockets

forward_to = forwarding.forward_to

HEAD = forwarding.HEAD
END = forwarding.END
RESET = forwarding.RESET
REFUSAL = silent.REFUSAL
OBJECTIVE = 0.4
# Longest time for which two endpoints may both work on a request.
MAX_OVERLAP_SECONDS = 0.4
make_events = silent.make_events
respond = silent.respond
ERROR = b'HTTP/1.1 400 X\r\nContent-Length: 3\r\n\r\nbad'


@pytest.fixture
def hedge(forward_to):
    """Return a function that forwards a stream whose first endpoint is slow.

    It returns the view, the ids of the events, the endpoint and the seconds.
    """

    def run(first, later, **options):
        views = []

        def keep(loads):
            views.append(loads)
            options.pop('on_view', lambda _: None)(loads)

        options.setdefault('count', 2)
        settings = {
            'timeout': 5.0,
            'resumable': True,
            'longest_pause': 0.4,
            'objective': OBJECTIVE,
            'hedge_fraction': 0.1,
            **options,
            'on_view': keep,
        }
        refusal, data, endpoint, seconds = forward_to(
            first, 0.0, later=later, **settings
        )
        assert refusal is None
        assert data.endswith((responses.LAST_CHUNK, b'bad'))
        assert not views[0].counts.running
        return views[0], silent.list_ids(data), endpoint, seconds

    return run


def get_failures(loads):
    return sum(failed for failed, _ in loads.health.pop_outcomes().values())


def count(forward_to, name, **labels):
    return forward_to.metrics.get_count(name, **labels)


def test_second_endpoint_that_is_first_serves_the_stream(hedge, forward_to):
    """Guards against a late stream while another endpoint has a free slot.

    The stall is no failure, and the endpoint is avoided for a while.
    """
    loads, ids, endpoint, seconds = hedge([2.0, *respond(1)], respond(1))
    assert ids == [1, 2, 3]
    assert endpoint.count == 2
    assert seconds < OBJECTIVE
    assert count(forward_to, 'hedges_won_total') == 1
    assert get_failures(loads) == 0
    assert not loads.health.table.entries
    assert len(loads.health.list_overdue(clock.monotonic())) == 1


def test_first_endpoint_that_is_first_serves_the_stream(hedge, forward_to):
    """Guards against a hedge that replaces an endpoint that goes on.

    Its endpoint is not avoided any more.
    """
    loads, ids, endpoint, seconds = hedge(
        [0.45, *respond(1)], [2.0, *respond(1)]
    )
    assert ids == [1, 2, 3]
    assert endpoint.count == 2
    assert seconds < 0.8
    assert count(forward_to, 'hedges_total') == 1
    assert count(forward_to, 'hedges_won_total') == 0
    assert get_failures(loads) == 0
    assert not loads.health.list_overdue(clock.monotonic())


FAILING = {
    'declines': [REFUSAL],
    'breaks off': [b'HTTP/1.1 200 OK\r\n'],
    'resets': [RESET],
    'error': [ERROR],
    'breaks off after its head': [HEAD, RESET],
}


@pytest.mark.parametrize('later', FAILING)
@pytest.mark.parametrize('max_attempts', [2, 3])
def test_hedge_that_fails_changes_nothing(
    hedge, forward_to, later, max_attempts
):
    """Guards against a stream that is cut or sent on as its hedge failed."""
    loads, ids, endpoint, _ = hedge(
        [0.7, *respond(1)],
        FAILING[later],
        max_attempts=max_attempts,
        count=3,
        last=[3.0],
    )
    assert ids == [1, 2, 3]
    assert endpoint.count == 2
    assert get_failures(loads) == (later not in ('declines', 'error'))
    assert not forward_to.caller.status


def test_error_of_the_first_endpoint_is_delivered(hedge, forward_to):
    """Guards against a failure counted for a request that is not valid."""
    loads, _, endpoint, _ = hedge([0.5, ERROR], [2.0, *respond(1)])
    assert endpoint.count == 2
    assert forward_to.caller.status == 400
    assert get_failures(loads) == 0


def limit_cold_endpoint(forwarder):
    """Make the second endpoint cold, with a permit for another request."""
    app = forwarder.app
    app.view.cold.limit_services(('s',))
    app.view.cold.state.new_ids = {'e2'}
    app.view.cold.state.permits['e2'] = [float('inf')]
    app.leader_client.waits.wait_for_permit = lambda *_: None
    app.dialect.is_cold = lambda head: False


def begin_at_other_version(forwarder):
    forwarder.search.software_version = ''


NEVER = {
    'route that may run once': {'resumable': False},
    'one attempt': {'max_attempts': 1},
    'disabled': {'hedge_fraction': 0.0},
    'no free slot but the own': {
        'on_view': lambda loads: loads.update_loads({}, {'e2': 8}),
        'others': [respond(1)],
    },
    'high utilization': {
        'on_view': lambda loads: loads.update_loads({'e1': 7, 'e2': 7}, {}),
    },
    'cold endpoint': {
        'others': [respond(1)],
        'on_request': limit_cold_endpoint,
    },
    'evacuated zone': {
        'others': [respond(1)],
        'on_view': lambda loads: loads.directory.set_evacuated_zones(('z2',)),
    },
    'suspected part': {
        'on_quarantine': lambda quarantine: setattr(
            quarantine, 'suspects', frozenset(('part',))
        ),
    },
    'version of the stream': {
        'on_request': begin_at_other_version,
        'versions': ['', 'v2'],
        'others': [respond(1)],
    },
}


@pytest.mark.parametrize('name', NEVER)
def test_request_that_may_not_be_hedged_is_not(hedge, forward_to, name):
    """Guards against a second run that no other attempt would be allowed."""
    _, ids, endpoint, _ = hedge(
        [0.6, *respond(1)], respond(1), **dict(NEVER[name])
    )
    assert ids == [1, 2, 3]
    assert endpoint.count == 1
    assert all(not other.count for other in forward_to.others)
    assert count(forward_to, 'hedges_total') == 0


def test_loser_is_closed_at_once(hedge, monkeypatch):
    """Guards against two endpoints that both work on a request."""
    closed = []
    ended = threading.Event()
    first_event = []
    answer = forwarding.FakeEndpoint.answer

    def watch(self, connection, parts):
        if parts is not stalled:
            first_event.append(time.monotonic())
            answer(self, connection, parts)
            return
        with connection:
            self.receive(connection)
            while connection.recv(65_536):
                pass
            closed.append(time.monotonic())
            ended.set()

    stalled = [5.0]
    monkeypatch.setattr(forwarding.FakeEndpoint, 'answer', watch)
    # The stream goes on long after its first event.
    begin, *rest = respond(1)[1:]
    hedge(stalled, [HEAD, begin, 0.7, *rest])
    assert ended.wait(2.0)
    assert closed[0] - first_event[0] < MAX_OVERLAP_SECONDS


def test_host_that_stood_still_reads_before_it_hedges(
    hedge, forward_to, monkeypatch
):
    """Guards against hedges of all requests of a host that was suspended.

    The event has arrived while it stood still, and the objective could still
    be met by a hedge.
    """
    wait_readable = sockets.wait_readable
    is_asleep = []

    def oversleep(watched, until, *arguments):
        ready = wait_readable(watched, until, *arguments)
        if not ready and not is_asleep:
            is_asleep.append(True)
            time.sleep(0.1)
        return ready

    monkeypatch.setattr(sockets, 'wait_readable', oversleep)
    # The hedge is due after 0.74 s and useless after 0.89 s.
    loads, ids, endpoint, _ = hedge(
        [0.78, *respond(1)], respond(1), objective=1.2
    )
    assert is_asleep
    assert ids == [1, 2, 3]
    assert endpoint.count == 1
    assert not loads.health.list_overdue(clock.monotonic())


def test_hedge_does_not_postpone_a_takeover(hedge):
    """Guards against a silent stream that is left later for its hedge."""
    times = []

    def watch(forwarder):
        start_hedge = forwarder.start_hedge

        def start():
            times.append(forwarder.takeover_at)
            outcome = start_hedge()
            times.append(forwarder.takeover_at)
            return outcome

        forwarder.start_hedge = start

    hedge([0.5, *respond(1)], [2.0], on_request=watch)
    assert len(times) == 2
    assert times[0] == times[1]


def test_slow_connection_of_a_hedge_holds_no_events_back(hedge, monkeypatch):
    """Guards against events that wait for a host that does not respond."""
    opened = []
    open_call = attempts.Attempt.open

    def open_late(self, data, connect_deadline, *arguments):
        opened.append(connect_deadline - clock.monotonic())
        return open_call(self, data, connect_deadline, *arguments)

    monkeypatch.setattr(attempts.Attempt, 'open', open_late)
    hedge([0.5, *respond(1)], [REFUSAL])
    assert len(opened) == 2
    assert opened[1] <= 0.05
