"""Replays of a zone whose endpoints come back cold under full load."""

import pytest

from rhubarbreach.hosts.tests import coldfleet

HOST_COUNTS = (3, 26, 300)


@pytest.mark.parametrize('seed', (1, 2))
@pytest.mark.parametrize('link_seconds', (0.002, 0.06))
@pytest.mark.parametrize('host_count', HOST_COUNTS)
def test_no_cold_endpoint_gets_more_than_its_limit(
    host_count, link_seconds, seed
):
    """Guards against endpoints that crash again as soon as they return.

    Some hosts are cut off, and the leader changes in between.
    """
    replay = coldfleet.Replay(host_count, seed, link_seconds=link_seconds)
    replay.run()
    busiest = replay.count_busiest_second()
    assert 0 < busiest <= coldfleet.LIMIT


@pytest.mark.parametrize('host_count', HOST_COUNTS)
def test_limit_is_exceeded_without_permits(host_count):
    """Guards against a replay whose load does not reach the limit."""
    replay = coldfleet.Replay(host_count, 1, is_limited=False)
    replay.run()
    assert replay.count_busiest_second() > coldfleet.LIMIT


@pytest.mark.parametrize('host_count', HOST_COUNTS)
def test_more_is_served_than_by_waiting_until_endpoints_are_warm(host_count):
    """Guards against cold endpoints that stay idle under load."""
    served = coldfleet.Replay(host_count, 1).run()
    waiting = coldfleet.Replay(host_count, 1, asks=False).run()
    print(f'hosts={host_count} served={served:.3f} waiting={waiting:.3f}')
    assert served > waiting + 0.1
