"""Tests of hedges and of overdue endpoints, beside hosts that do not hedge."""

import dataclasses
import queue
import random
import statistics
import time
import types

import pytest

from rhubarbreach.balancing import hedging
from rhubarbreach.balancing import overdue
from rhubarbreach.balancing.tests import hosts
from rhubarbreach.balancing.tests import replay
from rhubarbreach.balancing.tests import test_replays as replays
from rhubarbreach import clock
from rhubarbreach.fleet import view
from rhubarbreach.hosts import zone_news
from rhubarbreach.protocol import fleetmessages

FIRST = replays.FIRST
# Endpoints stand still for 8 % of the time.
STALLS = {
    '3 hosts': dataclasses.replace(
        FIRST, hosts=3, endpoints=12, rate=40.0, stall_rate=0.16
    ),
    '26 hosts': dataclasses.replace(FIRST, rate=150.0, stall_rate=0.16),
    '300 hosts': replay.Pattern(hosts=300, rate=180.0, stall_rate=0.16),
}
# Pattern, and the hedges that it may cause as a part of its requests.
WITHOUT_STALLS = {
    'calm': (FIRST, 0.01),
    'overload': (dataclasses.replace(FIRST, rate=420.0), 0.01),
    'speed changes': (replays.UNEVEN_SPEED, 0.05),
}
KINDS = (hosts.WeighingHost, hosts.HedgingHost)


@pytest.mark.parametrize('name', STALLS)
def test_fewer_requests_are_late_at_stalled_endpoints(name, monkeypatch):
    """Guards against requests that wait for an endpoint that stands still.

    Hedges stay within their budget, and no other request pays for them.
    """
    before, after = (
        replays.run(STALLS[name], kind, monkeypatch) for kind in KINDS
    )
    print(before.format(), after.format(), sep='\n')
    assert before.late > 0.02 * before.total
    assert after.late <= 0.5 * before.late
    assert after.refused <= before.refused
    assert 0 < after.hedged <= 0.1 * after.total


@pytest.mark.parametrize('name', WITHOUT_STALLS)
def test_load_without_stalls_is_served_as_before(name, monkeypatch):
    """Guards against hedges that add to an overload, taken for stalls."""
    pattern, part = WITHOUT_STALLS[name]
    before, after = (replays.run(pattern, kind, monkeypatch) for kind in KINDS)
    print(before.format(), after.format(), sep='\n')
    assert after.bad <= before.bad + 0.005 * before.total
    assert after.hedged <= part * after.total


def test_hedges_of_any_window_stay_within_the_budget():
    """Guards against a burst of hedges when all endpoints are late at once."""
    rng = random.Random(1)
    budget = hedging.Budget(0.1)
    requests, hedges = [], []
    now = 0.0
    while now < 60.0:
        now += rng.expovariate(20.0 if now % 20 < 10 else 1.0)
        requests.append(now)
        budget.record_request(now)
        while budget.has_rest(now):
            budget.spend(now)
            hedges.append(now)
    for end in hedges:
        since = end - hedging.WINDOW_SECONDS
        sent = sum(since <= at <= end for at in hedges)
        served = sum(since <= at <= end for at in requests)
        assert sent <= max(1, 0.1 * served)
    assert 0 < len(hedges) <= 1 + 0.1 * len(requests)


def test_hedge_is_sent_as_late_as_the_objective_allows():
    """Guards against hedges of usual requests, and of those that are lost."""
    policy = hedging.HedgingPolicy(0.1)
    for _ in range(300):
        policy.record_first('s', 0.3, 0.05)
    plan = policy.plan('s', 0.3, 10.0, 10.0)
    # The objective is met if the other endpoint takes the usual time.
    assert 10.15 < plan.due_at < plan.give_up_at < 10.3 - 0.04
    # It was sent late, as it waited for a slot.
    late = policy.plan('s', 0.3, 10.0, 10.25)
    assert late.due_at >= 10.25 + 0.04
    assert policy.judge(late, late.due_at, False) is (hedging.Verdict.TOO_LATE)
    # The process was suspended.
    woken_at = plan.due_at + hedging.LATE_SECONDS / 2
    assert not plan.is_late(woken_at)
    assert plan.is_late(plan.due_at + 0.04)
    assert plan.postpone(plan.due_at + 0.04).due_at > plan.due_at + 0.04
    assert plan.postpone(plan.due_at + 1.0).due_at == float('inf')


def test_endpoint_is_avoided_until_its_next_event():
    """Guards against a sound endpoint that is avoided for a past stall.

    More than a third of the endpoints are not avoided: the cause is elsewhere.
    """
    rows = tuple(
        fleetmessages.EndpointNotice(
            f'e{n}', 's', f'{n}', 'z', 8, 'ready', 1, 1
        )
        for n in range(6)
    )
    host = view.View('z')
    host.update_endpoints(rows, True)
    host.counts.update_peers(('h2',))
    host.note_event('e0', 9.9)

    def list_avoided(now):
        host.health.update_suspects(host.directory, now)
        return host.health.suspects

    assert not host.mark_overdue('e0', 9.8, 10.0)
    assert host.mark_overdue('e1', 9.8, 10.0)
    host.report_peer('h2', {}, 10.0, {}, {'e2': 50, 'e0': 200})
    host.report_peer('stranger', {}, 10.0, {}, {'e3': 0})
    assert list_avoided(10.1) == {'e1', 'e2'}
    host.note_event('e2', 10.1)
    assert list_avoided(10.1) == {'e1'}
    assert host.health.list_overdue(10.1) == {'e1': 100}
    host.note_event('e1', 10.2)
    assert not list_avoided(10.2)
    assert not host.health.list_overdue(10.2)
    for number in range(6):
        host.mark_overdue(f'e{number}', 10.3, 10.4)
    assert not list_avoided(10.4)
    assert not list_avoided(10.4 + overdue.BASE_SECONDS)


def test_zone_is_told_of_overdue_endpoints():
    """Guards against a zone whose hosts each find a stall out themselves."""
    row = fleetmessages.EndpointNotice('e', 's', '1', 'z', 8, 'ready', 1, 1)
    sent = queue.Queue()
    told, teller = view.View('z'), view.View('z')
    link = types.SimpleNamespace(
        register=lambda *_, **__: None,
        send=lambda _, message: sent.put(message),
    )
    for host, peer in ((told, 'teller'), (teller, 'told')):
        host.update_endpoints(
            (row, dataclasses.replace(row, endpoint_id='f')), True
        )
        host.counts.update_peers((peer,))
    news = [zone_news.ZoneNews(link, host) for host in (teller, told)]
    now = clock.monotonic()
    teller.mark_overdue('e', now, now)
    while not (message := sent.get(timeout=5)).overdue:
        pass
    news[1].apply_news('teller', message)
    for task in news:
        task.close()
    assert told.health.overdue.reports['teller'].keys() == {'e'}


@pytest.mark.parametrize('count', [100, 1000])
def test_decision_is_fast(count):
    """Guards against hedges that take an entry host's processor time.

    Most endpoints are full, and the machine may be busy.
    """
    rows = tuple(
        fleetmessages.EndpointNotice(
            f'e{n}', 's', f'{n}', f'z{n % 3}', 8, 'ready', 1, 1
        )
        for n in range(count)
    )
    host = view.View('z0')
    host.update_endpoints(rows, True)
    host.update_loads({}, {f'e{n}': 8 for n in range(count) if n % 8})
    policy = hedging.HedgingPolicy(0.1)
    plan = policy.plan('s', 0.3, 0.0, 0.0)
    seconds = []
    for _ in range(500):
        began_at = time.perf_counter()
        policy.judge(plan, plan.due_at, host.is_busy('s'))
        endpoint = host.acquire_spare('s', ('e0',), None, None, 1.0)
        seconds.append(time.perf_counter() - began_at)
        host.release(endpoint.endpoint_id)
    print(f'{statistics.median(seconds) * 1e6:.0f} us')
    assert statistics.median(seconds) < (50e-6 if count == 100 else 200e-6)
