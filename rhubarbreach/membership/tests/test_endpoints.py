"""Tests of the endpoint registry of one host."""

import dataclasses
import threading
import types

import pytest

from rhubarbreach import clock
from rhubarbreach import exceptions
from rhubarbreach.membership import endpoints
from rhubarbreach.protocol import membermessages

ROW = membermessages.EndpointRow(
    'engine-1',
    '127.0.0.1:1',
    'zone-1',
    'engine',
    ('rota',),
    5,
    1,
    False,
    True,
    0,
    0,
    8,
    0.0,
    0.0,
)


@pytest.fixture
def registry():
    return endpoints.EndpointRegistry()


def list_ids(registry, now):
    return [info.endpoint_id for info in registry.usable('rota', now)]


def test_draining_endpoint_gets_no_new_work(registry):
    """Guards against new work for an endpoint that shuts down."""
    registry.announce(ROW, 10.0)
    assert list_ids(registry, 10.1) == ['engine-1']
    draining = dataclasses.replace(ROW, sequence=2, draining=True)
    registry.announce(draining, 10.2)
    assert list_ids(registry, 10.3) == []
    assert registry.get('engine-1').draining


def test_silent_endpoint_expires(registry):
    """Guards against new work for an endpoint that no longer runs."""
    registry.announce(ROW, 10.0)
    assert list_ids(registry, 60.0) == []


def test_older_announcement_never_wins(registry):
    """Guards against a delayed announcement that ends a drain."""
    draining = dataclasses.replace(ROW, sequence=2, draining=True)
    registry.announce(draining, 10.0)
    registry.announce(ROW, 10.1)
    earlier = dataclasses.replace(ROW, incarnation=4, sequence=9)
    registry.announce(earlier, 10.2)
    assert list_ids(registry, 10.3) == []


def test_restarted_endpoint_serves_again(registry):
    """Guards against an endpoint that stays excluded after a restart."""
    draining = dataclasses.replace(ROW, sequence=7, draining=True)
    registry.announce(draining, 10.0)
    registry.announce(dataclasses.replace(ROW, incarnation=6), 10.1)
    assert list_ids(registry, 10.2) == ['engine-1']


def test_failed_batch_does_not_end_the_batches():
    """Guards against one row that stops the announcements of all others."""
    sent = threading.Event()
    batches = []

    def send(host_id, batch):
        batches.append(batch)
        if len(batches) == 1:
            raise exceptions.MessageError('a number is out of range')
        sent.set()

    host = types.SimpleNamespace(host_id='h2', region='r', zone='z')
    membership = types.SimpleNamespace(
        host_id='h1', region='r', zone='z', alive=lambda: [host]
    )
    link = types.SimpleNamespace(register=lambda *_, **__: None, send=send)
    registry = endpoints.EndpointRegistry(membership, link)
    registry.start()
    try:
        registry.announce(ROW, clock.monotonic())
        for sequence in range(2, 200):
            row = dataclasses.replace(ROW, sequence=sequence)
            registry.announce(row, clock.monotonic())
            if sent.wait(0.05):
                break
        assert sent.is_set()
    finally:
        registry.close()


def test_endpoint_of_an_evacuated_zone_gets_no_new_work(registry):
    """Guards against work for a zone that an operator has evacuated.

    Its endpoints go on to announce themselves, and may be new.
    """
    changes = []
    registry.subscribe(lambda: changes.append(None))
    registry.set_evacuated_zones(('zone-1',))
    registry.announce(ROW, 10.0)
    other = dataclasses.replace(ROW, endpoint_id='engine-2', zone='zone-2')
    registry.announce(other, 10.0)
    assert list_ids(registry, 10.1) == ['engine-2']
    assert not registry.get('engine-1').draining
    count = len(changes)
    registry.set_evacuated_zones(())
    assert list_ids(registry, 10.1) == ['engine-1', 'engine-2']
    assert len(changes) == count + 1
