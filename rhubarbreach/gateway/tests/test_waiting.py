"""Tests of threads whose requests wait for a slot."""

import threading
import time
import types

import pytest

from rhubarbreach import clock
from rhubarbreach import codes
from rhubarbreach.fleet import choice
from rhubarbreach.fleet import view
from rhubarbreach.gateway import admission
from rhubarbreach.gateway import model
from rhubarbreach.gateway import waiting
from rhubarbreach.observe import metrics
from rhubarbreach.protocol import fleetmessages

OBJECTIVE = 2.0
JOIN_SECONDS = 5.0


@pytest.fixture
def endpoints():
    """Return a view of one endpoint with two slots."""
    known = view.View('z')
    row = fleetmessages.EndpointNotice(
        'e1', 's', 'e1:1', 'z', 2, 'ready', 1, 1
    )
    known.update_endpoints((row,), True)
    known.performance.record_run('s', 0.2)
    return known


@pytest.fixture
def client():
    return types.SimpleNamespace(
        get_queue=lambda *_: fleetmessages.QueueState(),
        has_queues=lambda _: True,
        has_complete_loads=True,
        first_reply_at=None,
        schedule=types.SimpleNamespace(entry_host_count=1, interval=0.15),
    )


@pytest.fixture
def control(endpoints, client):
    return waiting.AdmissionControl(endpoints, client, metrics.Metrics())


@pytest.fixture
def submit(control):
    """Return a function that lets a thread acquire a slot."""
    threads = []

    def start(objective=OBJECTIVE, account='a', is_gone=lambda: False):
        now = clock.monotonic()
        limits = admission.compute_limits(now, objective, now + 9.0, False)
        call = waiting.Call('s', account, limits, False, (), True, is_gone)
        call.seconds = None

        def run():
            control.acquire(call)
            call.seconds = clock.monotonic() - now

        call.thread = threading.Thread(target=run, daemon=True)
        call.thread.start()
        threads.append(call.thread)
        time.sleep(0.02)
        return call

    yield start
    for thread in threads:
        thread.join(JOIN_SECONDS)
        assert not thread.is_alive()


def test_slot_of_an_ended_request_is_handed_to_the_next_one(
    endpoints, control, submit
):
    """Guards against slots that are idle while requests wait at the host."""
    running = [submit(), submit()]
    assert all(isinstance(call.result, choice.Endpoint) for call in running)
    first, second = submit(), submit()
    assert first.result is None
    endpoints.release('e1')
    endpoints.notify_free('e1')
    first.thread.join(JOIN_SECONDS)
    assert first.result.endpoint_id == 'e1'
    assert second.result is None
    # An endpoint that fails is left to requests that can be retried there.
    endpoints.release('e1')
    endpoints.record_failure('e1', clock.monotonic())
    control.handle_free('e1')
    assert second.result is None
    endpoints.record_recovery('e1')
    endpoints.update_loads({}, {})
    second.thread.join(JOIN_SECONDS)
    assert second.result.endpoint_id == 'e1'


def test_waiting_request_is_sent_when_loads_show_a_free_slot(
    endpoints, submit
):
    """Guards against requests that wait for slots of this host only."""
    endpoints.update_loads({'e1': 2}, {})
    call = submit()
    assert call.result is None
    endpoints.update_loads({'e1': 1}, {})
    call.thread.join(JOIN_SECONDS)
    assert isinstance(call.result, choice.Endpoint)


def test_waiting_request_is_sent_without_a_leader(endpoints, client, submit):
    """Guards against requests that wait for loads of a lost leader."""
    endpoints.counts.update_peers(('h2',))
    endpoints.report_peer('h2', {'e1': 2}, clock.monotonic())
    client.has_queues = lambda _: False
    call = submit()
    assert call.result is None
    endpoints.report_peer('h2', {}, clock.monotonic())
    call.thread.join(JOIN_SECONDS)
    assert isinstance(call.result, choice.Endpoint)


def test_waiting_request_is_refused_when_its_time_is_over(endpoints, submit):
    """Guards against requests that are held until their deadline."""
    endpoints.update_loads({'e1': 2}, {})
    call = submit(objective=0.4)
    call.thread.join(JOIN_SECONDS)
    assert call.result.code == codes.ResultCode.QUEUE_FULL
    assert call.result.ran == codes.Ran.NO
    assert call.result.retry_after > 0
    assert call.seconds < 0.4


def test_waiting_request_ends_when_its_caller_disconnects(endpoints, submit):
    """Guards against slots for requests whose callers have left."""
    endpoints.update_loads({'e1': 2}, {})
    gone = threading.Event()
    call = submit(is_gone=gone.is_set)
    time.sleep(0.15)
    gone.set()
    began_at = clock.monotonic()
    call.thread.join(JOIN_SECONDS)
    assert clock.monotonic() - began_at < 0.5
    assert isinstance(call.result, model.CallerGone)
    endpoints.update_loads({}, {})
    assert endpoints.counts.copy_running() == {}


def test_host_that_has_just_started_sends_its_share(endpoints, client, submit):
    """Guards against hosts that fill all engines before loads are known."""
    client.has_complete_loads = False
    client.schedule.entry_host_count = 2
    client.first_reply_at = clock.monotonic() - 0.15
    first, second = submit(), submit()
    assert isinstance(first.result, choice.Endpoint)
    assert second.result is None
    # The bound ends once the loads of all hosts are known.
    time.sleep(0.2)
    endpoints.update_loads({}, {})
    second.thread.join(JOIN_SECONDS)
    assert isinstance(second.result, choice.Endpoint)


def test_report_to_the_leader(endpoints, control, submit):
    """Guards against demands that are counted twice, or not at all."""
    endpoints.update_loads({'e1': 1}, {})
    submit(account='a')
    call = submit(account='b', objective=4.0)
    control.handle_free('e1')
    reports = control.collect_queues()
    call.thread.join(JOIN_SECONDS)
    assert reports == {
        's': fleetmessages.QueueReport({'a': 1, 'b': 1}, 1, 1, 1)
    }
    assert control.collect_queues()['s'].unmet == 1
    assert control.collect_queues() == {}


def test_endpoint_of_a_refusal_without_retry_after(control):
    """Guards against refused take-ups that return at a fixed time."""
    refusal = codes.Refusal(codes.ResultCode.QUEUE_FULL, 'full')
    assert control.add_retry_after('s', refusal).retry_after > 0
    refusal = codes.Refusal(codes.ResultCode.NO_ENDPOINT, 'none')
    assert control.add_retry_after('s', refusal) is refusal


def test_request_without_an_endpoint_is_refused_at_once(
    endpoints, control, submit
):
    """Guards against requests that are held although nobody can serve them."""
    endpoints.update_endpoints((), True)
    for _ in range(5):
        call = submit()
        call.thread.join(JOIN_SECONDS)
        assert call.result.code == codes.ResultCode.NO_ENDPOINT
        assert call.seconds < OBJECTIVE / 2
