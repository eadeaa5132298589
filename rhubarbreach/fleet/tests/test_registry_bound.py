"""Tests of the bound on the endpoints that a store knows."""

import pytest

from rhubarbreach.fleet import registry as registries
from rhubarbreach.protocol import fleetmessages

INTERVAL = 1.2
READY = registries.EndpointState.READY
COUNT = 5


def make_row(number, **changes):
    fields = {
        'endpoint_id': f'e{number}',
        'service': 's',
        'address': f'10.0.0.1:{number + 1}',
        'availability_zone': 'z',
        'slots': 8,
        'state': READY,
        'born': 1,
        'sequence': 1,
    }
    return fleetmessages.EndpointNotice(**{**fields, **changes})


@pytest.fixture
def registry():
    """Registry with room for no further endpoint."""
    size = registries.get_size(make_row(0))
    full = registries.Registry(INTERVAL, COUNT * size)
    for number in range(COUNT):
        assert full.record_announcement(make_row(number), 0.0)
    return full


def test_known_endpoints_stay_when_others_are_refused(registry):
    """Guards against a crowd of announcements that drives endpoints out."""
    assert not registry.make_room(make_row(7))
    assert not registry.record_announcement(make_row(7), 1.0)
    assert registry.record_announcement(make_row(3, sequence=2), 1.0)
    assert len(registry.entries) == COUNT
    # Nor may one of them take the room of others.
    grown = make_row(3, sequence=3, service='s' * 200)
    assert not registry.record_announcement(grown, 1.0)
    assert registry.entries['e3'].row.service == 's'


def test_endpoints_that_have_left_give_way(registry):
    """Guards against departures that keep new endpoints out for minutes."""
    registry.leave('e1', 1.0)
    registry.leave('e2', 2.0)
    assert registry.record_announcement(make_row(7), 3.0)
    assert set(registry.entries) == {'e0', 'e2', 'e3', 'e4', 'e7'}


def test_room_returns_with_what_is_removed(registry):
    """Guards against a registry that fills up for good."""
    registry.record_announcement(make_row(0, born=2), 5.0)
    later = make_row(9, address='10.0.0.1:1', born=3)
    assert not registry.make_room(later)
    registry.expire(10.0)
    assert set(registry.entries) == {'e0'}
    assert registry.record_announcement(later, 11.0)
    # The process that uses the address now has superseded the other one.
    assert set(registry.entries) == {'e9'}
    assert registry.used_bytes == registries.get_size(later)
    assert not registry.is_superseded(make_row(0, born=4))
    assert registry.is_superseded(make_row(0, born=2))
