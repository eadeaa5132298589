"""Tests of the leader's permits for cold endpoints across its changes."""

import types

import pytest

from rhubarbreach.fleet import cold_permits
from rhubarbreach.hosts.tests import coldfleet
from rhubarbreach.protocol import fleetmessages

ELECTED_AT = 10.0


@pytest.fixture
def endpoint():
    """Return an endpoint that stays cold."""
    endpoint = coldfleet.Endpoint(0)
    endpoint.cold_until = 30.0
    return endpoint


@pytest.fixture
def start_leader(endpoint):
    """Return a function that starts a leader which knows the endpoint."""

    def start(name, now):
        leader = coldfleet.Leader(name, now)
        leader.registry.record_announcement(endpoint.make_notice(9.5), 9.5)
        return leader

    return start


def answer(leader, now, confirmed_at=None, stamp=''):
    """Return the permits, the list and the stamp for a host."""
    message = fleetmessages.Exchange(
        0, '', {}, {}, cold_wanted={'endpoint-000': 50}, cold_stamp=stamp
    )
    confirmed_at = now if confirmed_at is None else confirmed_at
    return leader.manager.answer(message, 26, confirmed_at, now)


def test_two_leaders_together_stay_within_the_limit(start_leader):
    """Guards against a new leader that grants beside permits of the old one.

    The old one does not know yet that a majority has elected another one.
    """
    old = start_leader('old', 0.0)
    new = start_leader('new', ELECTED_AT)
    grants = []
    for step in range(400):
        now = 8.0 + step * 0.01
        confirmed_at = min(now, ELECTED_AT)
        for leader, at in ((old, confirmed_at), (new, now)):
            granted, _, _ = answer(leader, now, at)
            grants += [(leader, now)] * sum(granted.values())
    assert {leader for leader, _ in grants} == {old, new}
    latest = cold_permits.PERMIT_SECONDS + cold_permits.ARRIVAL_SECONDS
    busiest = max(
        sum(start - latest < at < start + 1.0 for _, at in grants)
        for start in (8.5 + step * 0.01 for step in range(250))
    )
    assert busiest <= coldfleet.LIMIT


def test_new_leader_names_no_endpoints_before_hosts_have_reported(
    start_leader,
):
    """Guards against endpoints that count as warm after an election.

    Only the old leader knew the failures that hosts had seen.
    """
    new = start_leader('new', ELECTED_AT)
    assert answer(new, ELECTED_AT + 0.4) == ({}, None, '')
    _, cold, stamp = answer(new, ELECTED_AT + 0.6)
    assert stamp
    assert cold == pytest.approx({'endpoint-000': 19.4})
    assert answer(new, ELECTED_AT + 0.7, stamp=stamp)[1:] == (None, stamp)


def test_leader_without_a_majority_grants_nothing(start_leader):
    leader = start_leader('old', 0.0)
    answer(leader, 9.6)
    assert answer(leader, 11.0)[0]
    assert answer(leader, 12.0, confirmed_at=11.7) == ({}, None, '')


def test_no_permits_until_all_hosts_know_that_an_endpoint_is_cold(
    start_leader, endpoint
):
    """Guards against permits beside requests of hosts that know it as warm."""
    leader = start_leader('old', 0.0)
    endpoint.cold_until = 0.0
    leader.registry.record_announcement(endpoint.make_notice(11.0), 11.0)
    assert answer(leader, 11.1)[1] == {}
    leader.manager.record_failures({'endpoint-000': 0.0}, 11.5)
    granted, cold, _ = answer(leader, 11.5)
    assert cold == {'endpoint-000': -1.0}
    assert not granted
    assert not answer(leader, 11.8)[0]
    assert answer(leader, 12.2)[0]


def test_items_leave_a_permit_to_online_requests(start_leader):
    """Guards against items that hold up requests of callers."""
    leader = start_leader('old', 0.0)
    manager = leader.manager
    manager.count_item_starts(26, 9.6, 9.6)
    assert manager.count_item_starts(26, 12.0, 12.0) == {'endpoint-000': 4}
    until = manager.take_item_start('endpoint-000', 12.0, 12.0)
    assert until == pytest.approx(12.3)
    assert manager.count_item_starts(26, 11.0, 12.0) == {'endpoint-000': 0}
    assert manager.take_item_start('endpoint-000', 11.0, 12.0) is None


def test_part_that_is_off_adds_nothing_to_replies(start_leader):
    leader = start_leader('old', 0.0)
    leader.manager.find_index = lambda: types.SimpleNamespace(
        catalog=types.SimpleNamespace(services=())
    )
    assert answer(leader, 11.0) == ({}, None, '')
    assert leader.manager.take_item_start('endpoint-000', 11.0, 11.0) == (
        float('inf')
    )
