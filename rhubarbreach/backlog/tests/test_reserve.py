"""Tests of the forecast, the reserve, and the choice of items that yield."""

import types

import pytest

from rhubarbreach.backlog import forecast
from rhubarbreach.backlog import plan
from rhubarbreach.backlog import reserve
from rhubarbreach.backlog import residence
from rhubarbreach.backlog import yield_counts
from rhubarbreach.backlog import yields
from rhubarbreach.observe import metrics


def make_slots(*uses, zones=('z',)):
    """Return endpoints of 8 slots for pairs of online requests and items."""
    return [
        plan.EndpointSlots(
            f'e{n}',
            's',
            8,
            online,
            batch,
            availability_zone=zones[n % len(zones)],
        )
        for n, (online, batch) in enumerate(uses)
    ]


def feed(planner, seconds, find_online, begun=0.0):
    """Step a planner for some seconds; return the last reserve."""
    for step in range(round(seconds * 10)):
        now = begun + step / 10
        slots = make_slots(*[(find_online(now) // 10, 5)] * 10)
        kept = planner.plan(slots, {}, now)
    return kept


def find_peaks(now):
    """Return 10 online requests, and 60 in peaks that grow within 0.6 s."""
    phase = now % 5.8
    return 10 + min(50, max(0, round((phase - 3.4) / 0.6 * 50)))


@pytest.fixture
def planner():
    return reserve.ReservePlanner()


def test_reserve_follows_growth_of_last_peaks(planner):
    """Guards against a reserve that does not cover the start of a peak."""
    kept = feed(planner, 60.0, find_peaks)
    demand = planner.forecast.services['s']
    # The peaks grow by 25 in the time of a yield.
    assert 15 <= demand.peak_growth <= 30
    assert kept.total == demand.need


def test_reserve_ends_without_peaks(planner):
    """Guards against slots that stay free for requests that do not come."""
    feed(planner, 60.0, find_peaks)
    kept = feed(planner, 40.0, lambda now: 0, begun=60.0)
    assert not kept.starts and not kept.yields and not kept.max_starts


def test_fluctuations_are_no_peaks(planner):
    """Guards against a reserve under steady load."""
    kept = feed(planner, 60.0, lambda now: 40 + 10 * (int(now * 10) % 2))
    assert not kept.starts and not kept.closed


def test_new_leader_keeps_a_slot_of_each_endpoint(planner):
    """Guards against a leader that learns only from requests that wait."""
    kept = planner.plan(make_slots(*[(1, 7)] * 10), {}, 0.0)
    assert set(kept.starts.values()) == {1}
    # No item has to yield for it.
    assert not kept.yields


def test_forecast_is_bounded():
    """Guards against memory that grows with the time or the steps."""
    demand = forecast.ServiceDemand(10, 80, 0.0)
    for step in range(100_000):
        demand.update(step % 60, step * 0.001)
    assert len(demand.samples) <= 20
    assert len(demand.periods) <= forecast.MAX_PERIODS


def test_items_yield_early_only_while_requests_grow(planner):
    """Guards against cuts by fluctuations, and against late yields."""
    feed(planner, 63.4, find_peaks)
    before = planner.plan(make_slots(*[(1, 6)] * 10), {}, 63.5)
    assert not before.closed
    grown = make_slots(*[(2, 5), (3, 5)] * 5)
    after = planner.plan(grown, {}, 63.7)
    assert len(after.closed) == 10
    assert sum(after.yields.values()) > sum(before.yields.values())


def test_items_short_of_time_get_the_slots_of_the_reserve(planner):
    """Guards against items that are late for slots kept free."""
    feed(planner, 60.0, find_peaks)
    slots = make_slots(*[(1, 5)] * 10)
    kept = planner.plan(slots, {'s': 70.0}, 60.0)
    assert kept.total == 80 * reserve.MIN_FRACTION
    assert kept.max_starts['s'] >= 70


def test_no_item_starts_where_one_has_just_yielded(planner):
    """Guards against runs that are cut before their first event."""
    slots = make_slots((1, 2), (1, 2))
    planner.record_yields(['e0'], 0.0)
    items = [plan.WaitingItem(('j', str(n)), 's', 9, 5) for n in range(9)]
    kept = planner.plan(slots, {'s': 9.0}, 0.1)
    starts = plan.plan_starts(items, slots, None, kept)
    assert {endpoint_id for _, endpoint_id in starts} == {'e1'}
    assert not planner.plan(slots, {}, 0.2).closed


def test_need_is_divided_evenly_among_zones_and_endpoints():
    """Guards against free slots at a few endpoints, which draw all requests.

    One endpoint of the first zone is full; its zone takes its part.
    """
    slots = make_slots((8, 0), (1, 7), (1, 7), (1, 7), zones=('a', 'b'))
    assert reserve.divide_need(4, slots) == {'e2': 2, 'e1': 1, 'e3': 1}
    assert reserve.divide_need(99, slots) == {'e1': 7, 'e2': 7, 'e3': 7}


def test_wanted_slots_are_those_of_the_tightest_time():
    """Guards against a mean over items that are due at different times."""
    estimator = plan.RunTimeEstimator(100.0, 0.047, availability=1.0)
    items = [
        plan.WaitingItem(('j', str(n)), 's', 0.0, slack)
        for n, slack in enumerate([0.0, 0.0, 5.0, 45.0])
    ]
    # Two items have to run now, and a third within their time and 5 s.
    wanted = reserve.measure_wanted(items, estimator)
    assert wanted == {'s': pytest.approx(2.0)}


def choose(counts, online, kept=reserve.EMPTY, slack=9.0, lengths=(100,)):
    """Return the yields at an endpoint by numbers of events of its items."""
    completed = yields.CompletedLengths()
    for length in lengths:
        completed.add(length)
    running = [
        plan.RunningItem(('j', n), 'e0', 's', 99.0, slack, count)
        for n, count in enumerate(counts)
    ]
    slots = make_slots((online, len(counts)))
    estimator = plan.RunTimeEstimator(100.0, 0.05)
    reasons = yields.plan_yields(running, slots, kept, estimator, completed)
    return {counts[n]: reason for (_, n), reason in reasons.items()}


def test_item_near_its_end_does_not_yield_ahead():
    """Guards against cuts of items that free their slots themselves."""
    kept = reserve.Reserve(yields={'e0': 3})
    assert choose([50, 95], 6, kept) == {50: 'ahead'}
    # A request that waits already comes first, except at the last events.
    assert choose([95], 8) == {95: 'online'}
    assert choose([99], 8) == {}


def test_item_longer_than_all_others_yields():
    """Guards against a long item that keeps its slot from online requests."""
    assert choose([150], 8) == {150: 'online'}


def test_item_that_would_be_late_yields_last():
    """Guards against cuts that cost a whole item."""
    estimator = plan.RunTimeEstimator()
    costs = [
        yields.compute_cut_cost(
            plan.RunningItem(('j', 'a'), 'e', 's', 0.0, slack, count),
            estimator,
        )
        for slack, count in ((-1.0, 50), (9.0, 0), (9.0, 50), (1.0, 0))
    ]
    assert costs[1] < costs[0] < costs[2] < costs[3]


def test_item_resumes_where_its_prompt_is_cached():
    """Guards against prompts that are read again at other endpoints."""
    endpoints = {
        f'e{n}': types.SimpleNamespace(endpoint_id=f'e{n}', born=1)
        for n in range(4)
    }
    known = residence.Residence()
    known.record(('j', 'a'), endpoints['e1'])
    a, b = ('j', 'a'), ('j', 'b')
    homes = known.find([a, b], endpoints)
    assert homes == {a: ('e1', ('e1',)), b: (None, ('e1',))}
    slots = make_slots((0, 3), (0, 6), (0, 3), (0, 4))
    items = [
        plan.WaitingItem(('j', 'a'), 's', 1, 5, 9, home='e1'),
        plan.WaitingItem(('j', 'b'), 's', 2, 5, nearby=('e1', 'e3')),
    ]
    placed = [endpoint_id for _, endpoint_id in plan.plan_starts(items, slots)]
    assert placed == ['e1', 'e3']
    # Another process has not cached it.
    endpoints['e1'].born = 2
    assert known.find([a], endpoints) == {a: (None, ())}


def test_requests_behind_items_are_counted_once():
    """Guards against a count that grows with the steps of the planner."""
    registry = metrics.Metrics()
    counts = yield_counts.YieldCounts(registry)
    for uses in (((2, 8), (1, 5)), ((2, 8), (1, 5)), ((3, 8), (9, 0))):
        counts.record_slots(make_slots(*uses), reserve.EMPTY)
    assert registry.get_count('requests_behind_items_total') == 3
