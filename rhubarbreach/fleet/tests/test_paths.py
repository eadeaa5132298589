"""Tests of the choice between the direct way and a relay."""

import pytest

from rhubarbreach.fleet import paths


@pytest.fixture
def table():
    return paths.Paths()


def cut_off(table, endpoint_ids='ab', now=0.0):
    """Let relays reach endpoints that this host does not reach."""
    for endpoint_id in endpoint_ids:
        table.record_missed(endpoint_id)
        table.record_relayed(endpoint_id, now)


def test_single_endpoint_that_is_down_needs_no_relay(table):
    """Guards against relays for each endpoint that crashes."""
    for _ in range(5):
        table.record_missed('a')
    assert not table.is_doubtful
    assert table.choose('a', 0.0) is paths.Route.DIRECT
    table.record_reached('b')
    table.record_missed('c')
    assert not table.is_doubtful


def test_host_that_reaches_no_endpoint_tries_relays_first(table):
    """Guards against requests that wait for links that are lost."""
    table.record_missed('a')
    table.record_missed('b')
    assert table.is_doubtful
    assert not table.is_cut_off
    cut_off(table)
    assert table.is_cut_off
    for endpoint_id in 'abc':
        assert table.choose(endpoint_id, 0.5) is paths.Route.RELAYED


def test_lost_links_are_tried_once_in_an_interval(table):
    """Guards against a host that never uses its links again."""
    cut_off(table)
    due = paths.PROBE_SECONDS
    assert table.choose('c', due) is paths.Route.DIRECT
    assert table.choose('a', due) is paths.Route.RELAYED
    assert table.choose('c', 2 * due) is paths.Route.DIRECT


def test_endpoint_that_is_reached_ends_the_doubt(table):
    """Guards against relays after a cut has healed."""
    cut_off(table)
    table.record_reached('c')
    assert not table.is_cut_off
    assert not table.is_doubtful
    assert table.choose('d', 0.0) is paths.Route.DIRECT
    # Those that needed a relay are tried when they are due.
    assert table.choose('a', 0.5) is paths.Route.RELAYED
    assert table.choose('a', paths.PROBE_SECONDS) is paths.Route.DIRECT
    table.record_reached('a')
    assert table.choose('a', paths.PROBE_SECONDS) is paths.Route.DIRECT


def test_outage_of_all_endpoints_is_no_cut(table):
    """Guards against relays that are tried first although nobody serves."""
    for endpoint_id in 'abcdef':
        table.record_missed(endpoint_id)
    assert table.is_doubtful
    assert not table.is_cut_off
    assert table.choose('a', 9.0) is paths.Route.DIRECT


def test_late_success_of_a_relay_does_not_renew_the_doubt(table):
    """Guards against a cut that ends and is inferred again at once."""
    cut_off(table)
    table.record_reached('c')
    table.record_relayed('d', 0.0)
    assert table.choose('d', 0.0) is paths.Route.DIRECT


def test_endpoints_behind_a_partial_cut_keep_their_relay(table):
    """Guards against one reached endpoint that hides the lost ones."""
    cut_off(table, 'abc')
    table.record_reached('d')
    table.record_missed('a')
    assert table.choose('b', 0.5) is paths.Route.RELAYED
    assert table.choose('d', 0.5) is paths.Route.DIRECT
