"""Tests of the relays that a leader names, and a host uses."""

import pytest

from rhubarbreach.fleet import relay_list
from rhubarbreach.fleet import relay_pool

ZONES = {'a1': 'a', 'a2': 'a', 'a3': 'a', 'b1': 'b', 'c1': 'c'}


@pytest.fixture
def pool():
    return relay_pool.RelayPool(shuffle=lambda hosts: None)


@pytest.fixture
def relays():
    """Return the relays of a host that has one peer in its zone.

    `requests` holds the exchanges that were asked for.
    """
    requests = []
    relays = relay_list.RelayList(
        lambda: requests.append(1), lambda: ['peer'], lambda hosts: None
    )
    relays.requests = requests
    return relays


def test_hosts_of_the_own_zone_relay_first(pool):
    assert pool.choose('a1', ZONES, 0.0) == ('a2', 'a3', 'b1', 'c1')


def test_host_that_is_cut_off_relays_for_nobody(pool):
    """Guards against cut hosts that ask each other."""
    for host_id in ('a2', 'b1'):
        pool.report(host_id, True, 0.0)
    assert pool.choose('a1', ZONES, 0.5) == ('a3', 'c1')
    pool.report('a2', False, 0.5)
    assert pool.choose('a1', ZONES, 0.5) == ('a2', 'a3', 'c1')
    # A report that is not renewed counts no longer.
    later = relay_pool.REPORT_SECONDS
    assert pool.choose('a1', ZONES, later) == ('a2', 'a3', 'b1', 'c1')


def test_whole_zone_that_is_cut_off_is_served_by_others(pool):
    """Guards against a zone whose hosts know each other only."""
    for host_id in ('a1', 'a2', 'a3'):
        pool.report(host_id, True, 0.0)
    assert pool.choose('a1', ZONES, 0.0) == ('b1', 'c1')


def test_leader_is_asked_once_for_relays(relays):
    """Guards against an exchange for each request that needs a relay."""
    for now in (0.0, 0.01, 0.02):
        assert relays.find(now, True) is None
    assert len(relays.requests) == 1
    assert relays.is_wanted(0.5)
    relays.update(('x', 'y'), 0.5)
    assert relays.find(0.6, True) == ['x', 'y']
    assert not relays.is_wanted(0.7 + relay_list.WANTED_SECONDS)


def test_host_without_a_leader_asks_its_zone(relays):
    """Guards against a cut host that loses its leader as well."""
    assert relays.find(0.0, False) == ['peer']


def test_relays_of_other_zones_outlive_their_leader(relays):
    """Guards against a zone that is cut off while the leader is lost."""
    relays.find(0.0, True)
    relays.update(('x', 'peer'), 0.0)
    now = relay_list.KNOWN_SECONDS
    assert relays.find(now, False) == ['x', 'peer']
    now += relay_list.REMEMBERED_SECONDS
    assert relays.find(now, False) == ['peer']


def test_relay_that_did_not_serve_is_tried_last(relays):
    relays.find(0.0, True)
    relays.update(('x', 'y'), 0.0)
    relays.avoid('x', 0.0)
    assert relays.find(0.1, True) == ['y', 'x']
    relays.update(('x', 'y'), relay_list.AVOID_SECONDS)
    assert relays.find(relay_list.AVOID_SECONDS, True) == ['x', 'y']
