"""Tests of the fair queue."""

import collections

import pytest

from rhubarbreach import codes
from rhubarbreach.protocol import hostmessages
from rhubarbreach.scheduling import fair
from rhubarbreach.scheduling import work


def make_entry(name, account, cost=10.0, queued_at=0.0, **fields):
    """Return a batch entry."""
    fields.setdefault('deadline', 1e6)
    lane = fields.pop('lane', work.Lane.BATCH)
    model = fields.pop('model', 'm')
    item = work.Work(name, account, model, lane, cost, **fields)
    return fair.Entry(item, queued_at)


@pytest.fixture
def queue():
    """Return a queue with entries of three accounts, one of weight 2."""
    fair_queue = fair.FairQueue()
    for index in range(100):
        for account, weight in (('a', 1.0), ('b', 1.0), ('c', 2.0)):
            entry = make_entry(f'{account}{index}', account, weight=weight)
            assert fair_queue.push(entry) is None
    return fair_queue


def count_served(queue, number, now=0.0):
    """Pop entries and return their number by account."""
    return collections.Counter(
        queue.pop(now).work.account_id for _ in range(number)
    )


def test_service_follows_the_weights(queue):
    """A large backlog must not give an account more than its share."""
    assert count_served(queue, 80) == {'a': 20, 'b': 20, 'c': 40}


def test_service_on_other_hosts_is_charged(queue):
    """Service on other hosts must reduce the share of an account here."""
    for served in (0.0, 200.0):
        counter = hostmessages.ServiceCounter('a', served)
        queue.merge_remote('h2', hostmessages.ServiceCounters((counter,)))
    assert count_served(queue, 60) == {'b': 20, 'c': 40}


def test_repeated_counters_are_charged_once(queue):
    """A repeated or older message must not be charged again."""
    for served in (0.0, 200.0, 200.0, 100.0):
        counter = hostmessages.ServiceCounter('a', served)
        queue.merge_remote('h2', hostmessages.ServiceCounters((counter,)))
    assert count_served(queue, 64)['a'] == 1


def test_idle_account_accumulates_no_service(queue):
    """An account must not delay others after it was idle."""
    count_served(queue, 200)
    for index in range(50):
        queue.push(make_entry(f'd{index}', 'd'))
    assert count_served(queue, 30)['d'] <= 11


def test_measured_cost_corrects_the_estimate(queue):
    """An account with more tokens than estimated must be served less."""
    served = collections.Counter()
    for _ in range(70):
        account = queue.pop(0.0).work.account_id
        served[account] += 1
        if account == 'a':
            queue.charge('a', 10.0)
    assert served == {'a': 10, 'b': 20, 'c': 40}


def test_online_is_served_first_and_unavailable_models_are_skipped(queue):
    """Online must not wait for batch work, nor one model for another."""
    queue.push(make_entry('o', 'a', lane=work.Lane.ONLINE, model='x'))
    assert queue.pop(0.0, model_ids={'m'}).work.lane == work.Lane.BATCH
    assert queue.pop(0.0).work.work_id == 'o'


def test_unreachable_deadline_is_refused_on_arrival(queue):
    """Work that cannot be served in time must not be queued."""
    for step in range(20):
        queue.pop(step * 0.1)
    urgent = make_entry('late', 'a', queued_at=2.0, deadline=2.5)
    refusal = queue.push(urgent)
    assert refusal.code == codes.ResultCode.DEADLINE_TOO_SHORT
    assert refusal.ran == codes.Ran.NO and refusal.retry_after > 0
    assert (
        queue.push(make_entry('ok', 'a', queued_at=2.0, deadline=60.0)) is None
    )


def test_queue_is_bounded(queue):
    """Memory must not grow with the number of requests from callers."""
    lane = queue.lanes[work.Lane.BATCH]
    lane.max_entries = len(lane)
    refusal = queue.push(make_entry('more', 'a'))
    assert refusal.code == codes.ResultCode.QUEUE_FULL
    assert queue.withdraw('a0') and not queue.withdraw('a0')
    assert queue.push(make_entry('more', 'a')) is None


def test_totals_include_started_work_and_never_decrease(queue):
    """Other hosts must learn of long items before the items have ended."""
    first = queue.pop(0.0).work
    counters = queue.totals.pop_changed().counters
    assert [(c.account_id, c.served) for c in counters] == [
        (first.account_id, 10.0)
    ]
    queue.charge(first.account_id, -4.0)
    assert queue.totals.pop_changed() is None
    queue.charge(first.account_id, 10.0)
    assert queue.totals.pop_changed().counters[0].served == 16.0
