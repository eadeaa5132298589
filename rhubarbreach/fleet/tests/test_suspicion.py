"""Endpoints that fail for several hosts, and those that only seem to."""

import random

import pytest

from rhubarbreach.fleet import suspicion

SERVICES = {'s': [f'e{n}' for n in range(6)]}


@pytest.fixture
def seen():
    return suspicion.Suspicion()


def test_endpoint_that_fails_for_two_hosts_is_left_out(seen):
    seen.add('e1', 'a', 1, 0, 0.0)
    assert not seen.list_suspects(SERVICES, 0.0)
    seen.add('e1', 'b', 1, 0, 0.1)
    assert seen.list_suspects(SERVICES, 0.1) == {'e1'}


def test_host_that_cannot_reach_endpoints_convicts_none(seen):
    # A host that is cut off would otherwise empty the fleet.
    for endpoint_id in SERVICES['s']:
        seen.add(endpoint_id, 'a', 9, 0, 0.0)
    assert not seen.list_suspects(SERVICES, 0.0)


def test_endpoint_is_tried_again_after_a_while(seen):
    for host_id in 'ab':
        seen.add('e1', host_id, 1, 0, 0.0)
    assert seen.list_suspects(SERVICES, 1.0) == {'e1'}
    assert not seen.list_suspects(SERVICES, 3.0)


def test_rare_failures_of_a_busy_endpoint_are_borne(seen):
    # Leaving it out would cost a sixth of the slots for 3 of 100 requests.
    chance = random.Random(1)
    now = 0.0
    for _ in range(400):
        now += 0.05
        failed = chance.random() < 0.03
        seen.add('e1', chance.choice('abcde'), failed, not failed, now)
        assert not seen.list_suspects(SERVICES, now)


def test_endpoint_that_fails_four_of_ten_is_mostly_left_out(seen):
    # 23 hosts, each with a request to it every few seconds: alone none of
    # them would see two failures in a row.
    chance = random.Random(2)
    now = sent = failures = 0
    while now < 30.0:
        now += 0.2
        if 'e1' in seen.list_suspects(SERVICES, now):
            continue
        sent += 1
        failed = chance.random() < 0.4
        failures += failed
        seen.add('e1', f'h{chance.randrange(23)}', failed, not failed, now)
    assert sent < 75


def test_third_of_the_endpoints_at_most_is_left_out(seen):
    # When all fail the cause lies elsewhere, and any may be the first back.
    for endpoint_id in SERVICES['s']:
        for host_id in 'ab':
            seen.add(endpoint_id, host_id, 3, 0, 0.0)
    assert len(seen.list_suspects(SERVICES, 0.0)) == 2


def test_endpoints_that_are_gone_are_forgotten(seen):
    seen.add('old', 'a', 1, 0, 0.0)
    seen.list_suspects(SERVICES, 0.0)
    assert not seen.counts
