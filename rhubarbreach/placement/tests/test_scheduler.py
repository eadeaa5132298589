"""Tests of the scheduler with its dispatch thread."""

import concurrent.futures
import dataclasses
import threading
import time

import pytest

from rhubarbreach import clock
from rhubarbreach import codes
from rhubarbreach.limits import home
from rhubarbreach.placement.tests import conftest
from rhubarbreach.scheduling import work

WAIT_SECONDS = 10
DONE = work.Outcome(work.OutcomeStatus.COMPLETED, 10, 0.1, 0.02)


def fill_with_batch(scheduler, count):
    """Submit batch work and return the futures that were placed."""
    futures = [
        scheduler.submit(conftest.make_work(f'b{i}', work.Lane.BATCH))
        for i in range(count)
    ]
    end = clock.monotonic() + WAIT_SECONDS
    while sum(f.done() for f in futures) < 2 and clock.monotonic() < end:
        time.sleep(0.01)
    return [future for future in futures if future.done()]


def test_online_work_preempts_batch(start_scheduler):
    """An online request must not wait for a batch item to finish."""
    scheduler = start_scheduler()
    preempted = []
    scheduler.set_preempt(preempted.append)
    assert fill_with_batch(scheduler, 8)
    placed = [
        scheduler.submit(conftest.make_work(f'o{i}')).result(WAIT_SECONDS)
        for i in range(4)
    ]
    assert {p.work.work_id for p in placed} == {'o0', 'o1', 'o2', 'o3'}
    assert all(p.work.lane == work.Lane.BATCH for p in preempted)
    for placement in [*preempted, *placed]:
        scheduler.release(placement, DONE)
    assert scheduler.slots.get_use('e1').count() <= 2


def test_waiting_work_is_withdrawn_only_once(start_scheduler):
    """A withdrawn request must not be placed, and must get a refusal."""
    scheduler = start_scheduler()
    futures = [
        scheduler.submit(conftest.make_work(f'b{i}', work.Lane.BATCH))
        for i in range(8)
    ]
    assert scheduler.withdraw('b7')
    assert not scheduler.withdraw('b7')
    assert futures[7].result(WAIT_SECONDS).code == codes.ResultCode.CANCELLED


def test_baseline_serves_in_order_without_preemption(start_scheduler):
    """The baseline policy must not use preemption or fair queueing."""
    scheduler = start_scheduler('baseline')
    called = threading.Event()
    scheduler.set_preempt(lambda placement: called.set())
    futures = [
        scheduler.submit(conftest.make_work(f'b{i}', work.Lane.BATCH))
        for i in range(5)
    ]
    online = scheduler.submit(conftest.make_work('o'))
    placed = [future.result(WAIT_SECONDS) for future in futures[:4]]
    assert not online.done()
    scheduler.release(placed[0], DONE)
    futures[4].result(WAIT_SECONDS)
    scheduler.release(placed[1], DONE)
    assert online.result(WAIT_SECONDS).work.work_id == 'o'
    assert not called.is_set()


def test_close_refuses_waiting_work(start_scheduler):
    """A caller must not wait forever on a host that has stopped."""
    scheduler = start_scheduler('baseline')
    futures = [
        scheduler.submit(conftest.make_work(f'b{i}', work.Lane.BATCH))
        for i in range(6)
    ]
    scheduler.close()
    assert futures[5].result(WAIT_SECONDS).code == codes.ResultCode.DRAINING
    refused = scheduler.submit(conftest.make_work('late')).result(WAIT_SECONDS)
    assert refused.ran == codes.Ran.NO


def test_crash_suspect_runs_alone_and_is_quarantined(start_scheduler):
    """A request that crashes endpoints must run alone, then be refused."""
    scheduler = start_scheduler()
    lost = work.Outcome(work.OutcomeStatus.ENDPOINT_LOST)
    first = scheduler.submit(conftest.make_work('w1', digest=b'x'))
    scheduler.release(first.result(WAIT_SECONDS), lost)
    for incarnation in (2, 3):
        for name in ('e1', 'e2'):
            row = conftest.make_row(name, sequence=incarnation)
            row = dataclasses.replace(row, incarnation=incarnation)
            scheduler.registry.announce(row, clock.monotonic())
        item = conftest.make_work(f'w{incarnation}', digest=b'x')
        placement = scheduler.submit(item).result(WAIT_SECONDS)
        assert placement.alone
        assert scheduler.slots.count_running(placement.endpoint.endpoint_id)
        scheduler.release(placement, lost)
    item = conftest.make_work('w4', digest=b'x')
    refusal = scheduler.submit(item).result(WAIT_SECONDS)
    assert refusal.code == codes.ResultCode.QUARANTINED


def test_isolated_batch_suspect_is_not_preempted(start_scheduler):
    """Guards against preemption of a suspect on each attempt.

    Under steady online load it would never be cleared or quarantined.
    """
    scheduler = start_scheduler()
    preempted = []
    scheduler.set_preempt(preempted.append)
    suspect = {'lane': work.Lane.BATCH, 'digest': b'x'}
    first = scheduler.submit(conftest.make_work('b1', **suspect))
    lost = work.Outcome(work.OutcomeStatus.ENDPOINT_LOST)
    scheduler.release(first.result(WAIT_SECONDS), lost)
    for name in ('e1', 'e2'):
        row = conftest.make_row(name, sequence=2)
        row = dataclasses.replace(row, incarnation=2)
        scheduler.registry.announce(row, clock.monotonic())
    isolated = scheduler.submit(conftest.make_work('b2', **suspect)).result(
        WAIT_SECONDS
    )
    assert isolated.alone
    online = [
        scheduler.submit(conftest.make_work(f'o{number}'))
        for number in range(6)
    ]
    online[0].result(WAIT_SECONDS)
    assert preempted == []


def test_batch_item_is_not_refused_after_unrelated_endpoint_losses(
    start_scheduler,
):
    # Several endpoints may crash by coincidence while an item runs alone.
    scheduler = start_scheduler()
    lost = work.Outcome(work.OutcomeStatus.ENDPOINT_LOST)
    item = {'lane': work.Lane.BATCH, 'digest': b'x'}
    for incarnation in (1, 2, 3, 4):
        for name in ('e1', 'e2'):
            row = conftest.make_row(name, sequence=incarnation)
            row = dataclasses.replace(row, incarnation=incarnation)
            scheduler.registry.announce(row, clock.monotonic())
        placement = scheduler.submit(
            conftest.make_work(f'b{incarnation}', **item)
        ).result(WAIT_SECONDS)
        assert isinstance(placement, work.Placement)
        assert placement.alone == (incarnation > 1)
        scheduler.release(placement, DONE if incarnation == 4 else lost)
    assert not scheduler.core.suspects.is_suspect(b'x', clock.monotonic())


def test_suspect_without_endpoint_does_not_block_other_suspects(
    start_scheduler,
):
    # The first suspect waits up to its deadline for an endpoint of its model.
    scheduler = start_scheduler()
    now = clock.monotonic()
    endpoint = scheduler.registry.usable('m', now)[0]
    scheduler.core.suspects.report_loss(endpoint, [b'x', b'y'], False, now)
    first = conftest.make_work('b1', work.Lane.BATCH, digest=b'x')
    scheduler.submit(dataclasses.replace(first, model_id='without endpoint'))
    second = conftest.make_work('b2', work.Lane.BATCH, digest=b'y')
    placement = scheduler.submit(second).result(WAIT_SECONDS)
    assert placement.alone


@pytest.mark.parametrize(
    'place', ['core.pop_reports', 'registry.list_all'], ids=str
)
def test_error_does_not_end_a_thread(start_scheduler, monkeypatch, place):
    """No work would be placed, or the slots of the host would expire."""
    scheduler = start_scheduler()
    scheduler.submit(conftest.make_work('first')).result(WAIT_SECONDS)
    name, method = place.split('.')
    part = getattr(scheduler, name)
    function = getattr(part, method)
    failures = [RuntimeError('no memory')]
    called = threading.Event()

    def call_later(*arguments):
        if failures:
            raise failures.pop()
        called.set()
        return function(*arguments)

    monkeypatch.setattr(part, method, call_later)
    scheduler.wake()
    assert called.wait(WAIT_SECONDS)
    placed = scheduler.submit(conftest.make_work('second'))
    assert placed.result(WAIT_SECONDS).work.work_id == 'second'


@pytest.mark.parametrize('lane', list(work.Lane))
def test_second_attempt_takes_no_slot_where_the_first_one_runs(
    start_scheduler, lane
):
    """A batch item must not yield to a search that finds no other endpoint."""
    scheduler = start_scheduler()
    preempted = []
    scheduler.set_preempt(preempted.append)
    assert fill_with_batch(scheduler, 8)
    item = conftest.make_work('second', lane, in_use=frozenset(('e1', 'e2')))
    refused = scheduler.submit(item).result(WAIT_SECONDS)
    assert refused.code == codes.ResultCode.NO_ENDPOINT
    assert not preempted


def test_batch_items_go_on_while_the_home_host_is_silent(start_scheduler):
    """An item must not be given up for a lease that is renewed late."""
    scheduler = start_scheduler()
    preempted = []
    scheduler.set_preempt(preempted.append)
    assert fill_with_batch(scheduler, 8)
    scheduler.exchange.close()
    time.sleep(1.5 * home.LEASE_DURATION_SECONDS)
    assert not preempted
    now = clock.monotonic()
    assert not any(
        scheduler.slots.has_free(name, work.Lane.BATCH, now)
        for name in ('e1', 'e2')
    )
    scheduler.exchange.report(now)
    scheduler.step()
    assert not preempted


@pytest.mark.parametrize('mode', ['full', 'baseline'])
@pytest.mark.parametrize('lane', [work.Lane.ONLINE, work.Lane.BATCH])
def test_work_for_an_evacuated_zone_goes_elsewhere_or_waits(
    start_scheduler, mode, lane
):
    """Guards against work that overflows into an evacuated zone."""
    scheduler = start_scheduler(mode)
    other = conftest.make_row('e3', zone='z2')
    scheduler.registry.announce(other, clock.monotonic())
    scheduler.registry.set_evacuated_zones(('z1',))
    futures = [
        scheduler.submit(conftest.make_work(f'w{n}', lane)) for n in range(4)
    ]
    # Items wait for the first lease of a slot.
    concurrent.futures.wait(
        futures, WAIT_SECONDS, concurrent.futures.FIRST_COMPLETED
    )
    done, _ = concurrent.futures.wait(futures, 0.5)
    assert done
    assert {f.result().endpoint.endpoint_id for f in done} == {'e3'}
    waiting = [future for future in futures if future not in done]
    scheduler.registry.set_evacuated_zones(())
    first, _ = concurrent.futures.wait(
        waiting, WAIT_SECONDS, concurrent.futures.FIRST_COMPLETED
    )
    for future in first:
        assert future.result().endpoint.endpoint_id in ('e1', 'e2')
    assert bool(first) == bool(waiting)


def test_request_that_only_an_evacuated_zone_could_serve_is_refused_at_once(
    start_scheduler,
):
    """Guards against callers that wait although no endpoint can come."""
    scheduler = start_scheduler()
    scheduler.registry.set_evacuated_zones(('z1',))
    started_at = time.monotonic()
    refusal = scheduler.submit(conftest.make_work('w')).result(WAIT_SECONDS)
    assert time.monotonic() - started_at < 1.0
    assert refusal.code is codes.ResultCode.NO_ENDPOINT
    assert refusal.ran is codes.Ran.NO
    batch = scheduler.submit(conftest.make_work('b', work.Lane.BATCH))
    time.sleep(0.3)
    assert not batch.done()
