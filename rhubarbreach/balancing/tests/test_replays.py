"""Replays of load, beside the policy of b218eb7.

Requests count as bad if they are late or refused. The bounds compare the two
policies over the same arrivals and speeds.
"""

import dataclasses
import random

import pytest

from rhubarbreach.balancing.tests import baseline
from rhubarbreach.balancing.tests import hosts
from rhubarbreach.balancing.tests import replay
from rhubarbreach.fleet import choice

# The second deployment with the part of the slots in use that was measured.
UNEVEN_SPEED = replay.Pattern(
    rate=232.0, slow_fraction=0.15, zone_weights=(1.3, 1.1, 0.9, 0.7)
)
FIRST = replay.Pattern(
    hosts=26,
    zones=3,
    zone_delay=0.0005,
    rate=178.0,
    step=0.00227,
    step_per_request=0.00009,
    first=0.045,
    read_per_second=123000.0,
    event_tokens=14,
    events=18.0,
    objective=0.303,
)
PATTERNS = {
    'speed changes': UNEVEN_SPEED,
    'speed changes ten times a second': dataclasses.replace(
        UNEVEN_SPEED, slow_seconds=0.1
    ),
    'some endpoints slow for 12 s': dataclasses.replace(
        FIRST, slow_engines=7, slow_factor=3.0, rate=200.0, seconds=12.0
    ),
    'some endpoints slow beyond the objective': dataclasses.replace(
        FIRST, rate=150.0, slow_engines=6, slow_factor=5.0
    ),
    'the same without reports of speed': dataclasses.replace(
        FIRST,
        rate=150.0,
        slow_engines=6,
        slow_factor=5.0,
        has_speed=False,
    ),
    'prompts of 20 and 4,000 tokens': dataclasses.replace(
        UNEVEN_SPEED, prompts=((20, 0.8), (4000, 0.2))
    ),
    'overlapping peaks of zones': dataclasses.replace(
        UNEVEN_SPEED,
        rate=190.0,
        zone_weights=(2, 1, 1, 1),
        zone_offsets=(0.0, 1.2, 2.4, 0.6),
    ),
}
# Patterns in which all is in time, and in which nothing may get worse.
CALM = {
    'first deployment': FIRST,
    'five hosts': replay.Pattern(
        hosts=5, zones=3, zone_delay=0.0015, endpoints=6, rate=25.0
    ),
}
SEEDS = (1, 2, 3)


def run(pattern, make_host, monkeypatch):
    """Return the sum of the outcomes over all seeds."""
    total = replay.Outcome()
    for seed in SEEDS:
        random.seed(seed)
        outcome = replay.Replay(pattern, make_host, seed, monkeypatch).run()
        total.merge(outcome)
    return total


def compare(pattern, monkeypatch):
    """Return the outcomes without and with the choice by cost, and print."""
    before, after = (
        run(pattern, make_host, monkeypatch)
        for make_host in (hosts.CountingHost, hosts.WeighingHost)
    )
    for outcome in (before, after):
        print(outcome.format())
    assert before.total == after.total
    return before, after


@pytest.mark.parametrize('name', PATTERNS)
def test_fewer_requests_are_late_than_by_counts_alone(name, monkeypatch):
    """Guards against requests that queue while slots are free elsewhere.

    No zone may pay for the others.
    """
    before, after = compare(PATTERNS[name], monkeypatch)
    assert after.bad <= 0.85 * before.bad
    assert after.refused <= before.refused + 0.001 * before.total
    for zone, row in before.by_zone.items():
        worse = after.count_bad(zone) - before.count_bad(zone)
        assert worse <= 0.005 * sum(row.values())


@pytest.mark.parametrize('name', CALM)
def test_calm_fleets_are_served_as_before(name, monkeypatch):
    """Guards against harm where the choice by counts is good enough."""
    before, after = compare(CALM[name], monkeypatch)
    assert after.bad <= before.bad + 0.002 * before.total


def test_slow_endpoints_get_proportionally_less(monkeypatch):
    """Guards against starving slow endpoints, whose slots are then lost.

    Each place there takes 2.5 times as long, so the proportional part is 0.4
    of what the others get.
    """
    slow_count = 9
    pattern = replay.Pattern(
        slow_engines=slow_count, slow_factor=2.5, rate=200.0
    )
    random.seed(1)
    played = replay.Replay(pattern, hosts.WeighingHost, 1, monkeypatch)
    played.run()
    received = [engine.received for engine in played.engines.values()]
    slow = sum(received[:slow_count]) / slow_count
    usual = sum(received[slow_count:]) / (len(received) - slow_count)
    assert 0.8 * 0.4 <= slow / usual < 0.9


def test_burst_does_not_meet_at_the_same_endpoints(monkeypatch):
    """Guards against herding: hosts that choose by the same outdated counts.

    All 58 hosts send a request at once and hear of each other afterwards. Two
    endpoints of each zone are idle, and the others have half of their slots
    free.
    """
    for seed in range(5):
        random.seed(seed)
        played = replay.Replay(
            UNEVEN_SPEED, hosts.WeighingHost, seed, monkeypatch
        )
        counts = {
            endpoint_id: 0 if number < 8 else 4
            for number, endpoint_id in enumerate(played.engines)
        }
        total = dict(counts)
        for host in played.hosts:
            host.apply_exchange(counts, 0.07)
            request = replay.Request(host, 0.0, 450, 200, 200)
            assert host.acquire(request, 0.0)
            total[request.endpoint_id] += 1
        assert max(total.values()) <= UNEVEN_SPEED.slots


def test_without_reports_and_tokens_endpoints_are_chosen_as_before(
    monkeypatch,
):
    """Guards against a change for deployments that state nothing."""
    pattern = dataclasses.replace(
        UNEVEN_SPEED, has_speed=False, has_tokens=False, seconds=2.0
    )
    chosen = []
    for choose in (choice.choose_endpoint, baseline.choose_endpoint):
        monkeypatch.setattr(choice, 'choose_endpoint', choose)
        random.seed(5)
        outcome = run(pattern, hosts.PlainHost, monkeypatch)
        chosen.append((outcome.late, outcome.refused, outcome.crossed))
    assert chosen[0] == chosen[1]
