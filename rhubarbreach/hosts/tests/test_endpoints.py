"""Tests of departures that a store learns from responses."""

import threading
import types

import pytest

from rhubarbreach import clock
from rhubarbreach.hosts import endpoints as host_endpoints
from rhubarbreach.protocol import fleetmessages


class Link:
    """Link that keeps the messages that were sent."""

    def __init__(self):
        self.messages = []

    def register(self, *_, **__):
        pass

    def send(self, _, message):
        self.messages.append(message)


@pytest.fixture
def store():
    """Return the endpoints of a store, with its link."""
    link = Link()
    endpoints = host_endpoints.Endpoints(
        'store-1', 1.0, link, lambda: ['store-2'], threading.Event()
    )
    return types.SimpleNamespace(endpoints=endpoints, link=link)


def make_notice(born, sequence=1):
    return fleetmessages.EndpointNotice(
        'e', 's', '127.0.0.1:1', 'z', 8, 'ready', born, sequence
    )


def test_late_response_does_not_drain_the_process_that_started_since(store):
    """Guards against an endpoint that gets no requests for good.

    The host that relayed the response may have been suspended since.
    """
    store.endpoints.record_announcement(make_notice(1))
    store.endpoints.record_announcement(make_notice(2))
    store.endpoints.record_departure('e', 1)
    store.endpoints.record_announcement(make_notice(2, 2))
    (row,) = store.endpoints.list_rows()
    assert row.state == 'ready'


def test_announcement_does_not_displace_the_news_of_a_departure(store):
    """Guards against stores that disagree about an endpoint that leaves."""
    store.endpoints.record_announcement(make_notice(1))
    store.endpoints.send_updates()
    store.endpoints.record_departure('e', 1)
    store.endpoints.record_announcement(make_notice(1, 2))
    store.endpoints.send_updates()
    (row,) = store.link.messages[-1].rows
    assert row.state == 'draining'


def test_store_that_stood_still_keeps_its_endpoints(store, monkeypatch):
    """Guards against hosts without endpoints after a pause of the stores."""
    now = clock.monotonic()
    monkeypatch.setattr(clock, 'monotonic', lambda: now)
    store.endpoints.record_announcement(make_notice(1))
    store.endpoints.expire()
    now += 10.0
    store.endpoints.expire()
    assert store.endpoints.list_rows()
    # The endpoint is removed if it stays silent.
    for _ in range(40):
        now += 0.1
        store.endpoints.expire()
    assert not store.endpoints.list_rows()


def test_process_that_does_not_announce_itself_again_has_not_survived(
    store, monkeypatch
):
    """Guards against the end of a crash that counts as orderly."""
    now = store.endpoints.started
    monkeypatch.setattr(clock, 'monotonic', lambda: now)
    endpoints = store.endpoints
    endpoints.record_announcement(make_notice(1))
    assert endpoints.has_survived('other', 1, now) is None
    ended_at = now
    now += 0.5
    endpoints.record_announcement(make_notice(1, 2))
    assert endpoints.has_survived('e', 1, ended_at) is None
    now += 1.0
    endpoints.record_announcement(make_notice(1, 3))
    assert endpoints.has_survived('e', 1, ended_at) is True
    assert endpoints.has_survived('e', 1, now) is None
    endpoints.record_announcement(make_notice(2))
    assert endpoints.has_survived('e', 1, ended_at) is False
    now += host_endpoints.LEARN_ANNOUNCEMENTS + 1.0
    assert endpoints.has_survived('other', 1, now) is False


def test_process_that_leaves_in_order_has_survived(store):
    """Guards against a whole output that its endpoint takes with it."""
    now = store.endpoints.started
    store.endpoints.record_announcement(make_notice(1))
    store.endpoints.record_departure('e', 1)
    assert store.endpoints.has_survived('e', 1, now) is True
    store.endpoints.leave('e', 1)
    assert store.endpoints.has_survived('e', 1, now) is True


@pytest.mark.parametrize('is_gone', [False, True])
def test_only_the_process_that_leaves_is_avoided(store, is_gone):
    """Guards against items at an endpoint that leaves, or none after it."""
    assert not store.endpoints.has_left('e', 1)
    store.endpoints.record_announcement(make_notice(1))
    assert not store.endpoints.has_left('e', 1)
    if is_gone:
        store.endpoints.leave('e', 1)
    else:
        store.endpoints.record_departure('e', 1)
    assert store.endpoints.has_left('e', 1)
    store.endpoints.record_announcement(make_notice(2))
    assert not store.endpoints.has_left('e', 2)
