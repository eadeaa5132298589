"""Tests of the detection of endpoints that fail for several hosts."""

import random

import pytest

from rhubarbreach.fleet import suspicion

SERVICES = {'s': [f'e{n}' for n in range(6)]}


@pytest.fixture
def outcomes():
    return suspicion.Suspicion()


def test_endpoint_that_fails_for_two_hosts_is_a_suspect(outcomes):
    outcomes.add('e1', 'a', 1, 0, 0.0)
    assert not outcomes.list_suspects(SERVICES, 0.0)
    outcomes.add('e1', 'b', 1, 0, 0.1)
    assert outcomes.list_suspects(SERVICES, 0.1) == {'e1'}


def test_failures_of_a_single_host_make_no_suspects(outcomes):
    # A partitioned host would otherwise make all endpoints suspects.
    for endpoint_id in SERVICES['s']:
        outcomes.add(endpoint_id, 'a', 9, 0, 0.0)
    assert not outcomes.list_suspects(SERVICES, 0.0)


def test_suspect_is_tried_again_after_the_half_life(outcomes):
    for host_id in 'ab':
        outcomes.add('e1', host_id, 1, 0, 0.0)
    assert outcomes.list_suspects(SERVICES, 1.0) == {'e1'}
    assert not outcomes.list_suspects(SERVICES, 3.0)


def test_rare_failures_of_a_busy_endpoint_are_tolerated(outcomes):
    # Avoiding it because of 3 of 100 requests would cost a sixth of the slots.
    rng = random.Random(1)
    now = 0.0
    for _ in range(400):
        now += 0.05
        failed = rng.random() < 0.03
        outcomes.add('e1', rng.choice('abcde'), failed, not failed, now)
        assert not outcomes.list_suspects(SERVICES, now)


def test_endpoint_that_fails_four_of_ten_is_mostly_avoided(outcomes):
    # Each of 23 hosts sends the endpoint a request every few seconds, so none
    # would observe two consecutive failures alone.
    rng = random.Random(2)
    now = sent = failures = 0
    while now < 30.0:
        now += 0.2
        if 'e1' in outcomes.list_suspects(SERVICES, now):
            continue
        sent += 1
        failed = rng.random() < 0.4
        failures += failed
        outcomes.add('e1', f'h{rng.randrange(23)}', failed, not failed, now)
    assert sent < 75


def test_at_most_a_third_of_the_endpoints_are_suspects(outcomes):
    # If all fail, the cause is elsewhere, and any may recover first.
    for endpoint_id in SERVICES['s']:
        for host_id in 'ab':
            outcomes.add(endpoint_id, host_id, 3, 0, 0.0)
    assert len(outcomes.list_suspects(SERVICES, 0.0)) == 2


def test_counts_of_removed_endpoints_are_dropped(outcomes):
    outcomes.add('old', 'a', 1, 0, 0.0)
    outcomes.list_suspects(SERVICES, 0.0)
    assert not outcomes.counts
