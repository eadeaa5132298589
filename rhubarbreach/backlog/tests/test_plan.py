"""Tests of scheduling, with replays of load peaks of online requests."""

import dataclasses

import pytest

from rhubarbreach.backlog import plan

ENDPOINTS = 5
TOTAL = 8
EVENTS = 190
INTERVAL = 0.026
STEP = 0.1


def slots(online=0, batch=0, endpoint_id='e'):
    return plan.EndpointSlots(endpoint_id, 's', TOTAL, online, batch)


def waiting(name, slack=5.0, event_count=0, due=100.0):
    return plan.WaitingItem(('j', name), 's', due, slack, event_count)


def running(name, slack=5.0, event_count=0, due=100.0, endpoint_id='e'):
    return plan.RunningItem(
        ('j', name), endpoint_id, 's', due, slack, event_count
    )


def names(keys):
    return [name for _, name in keys]


def test_started_items_come_first_and_late_items_last():
    items = [
        waiting('late', slack=-1.0, event_count=100),
        waiting('fresh', due=50.0),
        waiting('begun', event_count=10, due=90.0),
        waiting('later', due=60.0),
    ]
    starts = plan.plan_starts(items, [slots()])
    assert names(item.key for item, _ in starts) == [
        'begun',
        'fresh',
        'later',
        'late',
    ]


def test_one_slot_stays_free_under_online_load():
    items = [waiting(str(n)) for n in range(20)]
    assert len(plan.plan_starts(items, [slots(online=5)])) == 2
    # In quiet periods waiting items use all slots.
    assert len(plan.plan_starts(items, [slots(online=1)])) == 7


def test_items_are_spread_over_endpoints():
    items = [waiting(str(n)) for n in range(4)]
    both = [slots(endpoint_id='a'), slots(endpoint_id='b')]
    placed = [endpoint_id for _, endpoint_id in plan.plan_starts(items, both)]
    assert placed.count('a') == placed.count('b') == 2


def test_items_yield_slots_that_online_requests_need():
    runs = [running(str(n), event_count=n) for n in range(5)]
    assert plan.plan_yields(runs, [slots(online=3, batch=5)]) == []
    yields = plan.plan_yields(runs, [slots(online=5, batch=5)])
    assert names(yields) == ['0', '1']
    # More online requests than slots do not cancel more items than there are.
    yields = plan.plan_yields(runs, [slots(online=12, batch=5)])
    assert len(yields) == 5


def test_late_items_are_displaced_by_items_in_time():
    runs = [running('late', slack=-2.0), running('in_time')]
    unplaced = [waiting('x'), waiting('y', slack=-1.0)]
    assert names(plan.plan_displacements(runs, unplaced)) == ['late']
    assert plan.plan_displacements(runs, unplaced[1:]) == []


def replay(jobs, seconds=60.0):
    """Return the number of items completed in time under load peaks.

    `jobs` are pairs of submission time and number of items, which are due
    18 s later. The load peaks of online requests are those of the recorded
    load. An item that has yielded or was displaced cannot start for 0.15 s,
    the time to process its prompt and its events again.
    """
    items = {}
    placed = {}
    done = 0
    now = 0.0
    estimator = plan.RunTimeEstimator(EVENTS, INTERVAL)
    jobs = list(jobs)
    while now < seconds:
        while jobs and jobs[0][0] <= now:
            time, count = jobs.pop(0)
            for _ in range(count):
                items[('j', str(len(items)))] = [0.0, time + 18.0, 0.0]
        online = 9 if now % 5.8 > 3.4 else 1
        for key in list(placed):
            event_count, due, _ = items[key]
            items[key][0] = event_count + STEP / INTERVAL
            if items[key][0] >= EVENTS:
                done += now <= due
                items[key][0] = float('inf')
                del placed[key]
        slot_use = [
            slots(
                online,
                sum(e == str(n) for e in placed.values()),
                str(n),
            )
            for n in range(ENDPOINTS)
        ]
        estimator.update_availability(slot_use, now)
        running_items = [
            plan.RunningItem(
                key,
                endpoint_id,
                's',
                items[key][1],
                items[key][1] - now - estimator.predict(items[key][0]),
                int(items[key][0]),
            )
            for key, endpoint_id in placed.items()
        ]
        queue = [
            plan.WaitingItem(
                key,
                's',
                due,
                due - now - estimator.predict(event_count),
                int(event_count),
            )
            for key, (event_count, due, free) in items.items()
            if key not in placed and event_count < EVENTS and free <= now
        ]
        started = plan.plan_starts(queue, slot_use)
        placed.update({item.key: e for item, e in started})
        unplaced = [q for q in queue if q.key not in placed]
        cancelled = plan.plan_yields(running_items, slot_use)
        cancelled += plan.plan_displacements(running_items, unplaced)
        for key in cancelled:
            placed.pop(key, None)
            items[key][2] = now + 0.15
        now += STEP
    return done


def test_burst_beyond_capacity_completes_items_in_time():
    # Recorded load: 190 items within 4 s, and load peaks that take all slots
    # for 2.4 s of every 5.8 s. There are three quiet periods of 3.4 s before
    # the first items are due; in each, 35 slots complete 22 items of 4.9 s.
    done = replay([(0.0, 60), (2.0, 70), (4.0, 60)])
    assert done >= 3 * 22


@pytest.mark.parametrize(
    ('every', 'count', 'least'), [(1.4, 40, 220), (1.0, 50, 190)]
)
def test_lasting_overload_completes_what_slots_allow(every, count, least):
    # Without an estimate that includes load peaks, items are started that
    # would be in time only without the next peak, and are displaced when it
    # comes. Only 175 and 115 items then complete in time.
    jobs = [(every * n, 10) for n in range(count)]
    assert replay(jobs, seconds=80.0) >= least


def test_light_load_completes_all_items_in_time():
    jobs = [(3.0 * n, 10) for n in range(12)]
    assert replay(jobs) == 120


def test_estimate_follows_slots_free_of_online_load():
    estimator = plan.RunTimeEstimator(100.0, 0.02)
    for tick in range(600):
        online = 8 if tick % 60 > 30 else 2
        estimator.update_availability([slots(online=online)], tick / 10)
    assert estimator.predict(0) == pytest.approx(2.0 / 0.5, rel=0.3)
    for tick in range(600, 1200):
        estimator.update_availability([slots(online=8)], tick / 10)
    assert estimator.availability == plan.MIN_AVAILABILITY
    estimator.update_availability([], 120.0)
    assert estimator.availability == plan.MIN_AVAILABILITY


def test_estimate_follows_run_time_of_items():
    estimator = plan.RunTimeEstimator(100.0, 0.02, availability=1.0)
    assert estimator.predict(100) == pytest.approx(plan.RESULT_DELAY_SECONDS)
    for _ in range(100):
        estimator.add_item(200, 200, 8.0)
    assert estimator.predict(0) == pytest.approx(8.0, rel=0.1)


def test_started_item_resumes_only_at_its_software_version():
    """Guards against an item that resumes at another software version."""
    endpoints = [
        dataclasses.replace(slots(endpoint_id=e), software_version=v)
        for e, v in (('e1', 'v1'), ('e2', 'v2'))
    ]
    items = [
        dataclasses.replace(waiting(name), software_version=version)
        for name, version in (('a', 'v1'), ('b', 'v2'), ('c', 'v3'))
    ]
    starts = plan.plan_starts(items, endpoints)
    assert {(item.key[1], e) for item, e in starts} == {
        ('a', 'e1'),
        ('b', 'e2'),
    }


def test_items_start_at_cold_endpoints_only_with_permits():
    """Guards against items that crash endpoints which have just started."""
    items = [waiting(str(n)) for n in range(8)]
    both = [slots(endpoint_id='a'), slots(endpoint_id='b', online=5)]
    starts = plan.plan_starts(items, both, {'a': 1})
    placed = [endpoint_id for _, endpoint_id in starts]
    assert sorted(placed) == ['a', 'b', 'b']
