"""Tests of the batch runner over machines and an executor in process."""

import threading

import pytest

from rhubarbreach.batch import runner
from rhubarbreach.batch import store
from rhubarbreach.batch.tests import fakes
from rhubarbreach import clock
from rhubarbreach import codes
from rhubarbreach.dispatch import call
from rhubarbreach.observe import metrics
from rhubarbreach.settings import model
from rhubarbreach.state import jobcommands

GROUPS = 2
TIMEOUT = 20.0
SETTINGS = model.JobSettings(
    max_items=65000,
    max_body=1 << 28,
    claim_timeout=10.0,
    claim_items=64,
    retention=3600.0,
)


def make_begin(job_id, count, **fields):
    """Return the command that opens a job."""
    values = {'idempotent': True, 'account_id': 'a', 'digest': b'd'}
    values.update(fields)
    return jobcommands.BeginJob(
        job_id=job_id,
        client_id=job_id,
        method='POST',
        path='/v1/chat/completions',
        target='m',
        item_count=count,
        weight=1.0,
        max_attempts=3,
        retry_delay=0,
        retention=60_000,
        created_at=0.0,
        **values,
    )


class Bench:
    """A store with runners over fakes."""

    def __init__(self):
        names = [store.make_group_id(number) for number in range(GROUPS)]
        self.client = fakes.LocalClient(names)
        self.store = store.Store(self.client, GROUPS)
        self.runners = []

    def submit(self, job_id, count, **fields):
        """Store a job."""
        names = [f'c{number}' for number in range(count)]
        bodies = [b'{"model":"m","n":%d}' % n for n in range(count)]
        begin = make_begin(job_id, count, **fields)
        deadline = clock.monotonic() + TIMEOUT
        return self.store.submit(begin, names, bodies, deadline)

    def start(self, executor, name='h1#1'):
        """Start a runner."""
        one = runner.Runner(
            self.store, executor, name, SETTINGS, metrics.Metrics()
        )
        one.start()
        self.runners.append(one)
        return one

    def get_status(self, job_id, account_id='a'):
        """Return the status of a job."""
        deadline = clock.monotonic() + TIMEOUT
        return self.store.get_job(job_id, account_id, deadline)

    def wait_state(self, job_id, state='completed'):
        """Wait until a job is in a state and return its status."""
        return wait_for(
            lambda: (
                found
                if (found := self.get_status(job_id)).state == state
                else None
            )
        )


def wait_for(condition):
    """Wait until a condition is true and return its value."""
    deadline = clock.monotonic() + TIMEOUT
    while clock.monotonic() < deadline:
        found = condition()
        if found:
            return found
        threading.Event().wait(0.01)
    pytest.fail('the condition did not become true in time')


@pytest.fixture
def bench():
    """Return a bench whose runners are closed afterwards."""
    made = Bench()
    yield made
    for one in made.runners:
        one.close()
        assert not one.metrics.get_count('batch_exchange_errors_total')


def test_jobs_of_all_groups_complete(bench):
    """Items of each group must run once and their results be stored."""
    executor = fakes.FakeExecutor()
    for number in range(4):
        bench.submit(f'job-{number}', 50)
    bench.start(executor)
    for number in range(4):
        assert bench.wait_state(f'job-{number}').done == 50
    assert len({one.request_id for one in executor.ran}) == 200
    assert len(executor.ran) == 200


def test_lost_replies_do_not_repeat_items(bench):
    """Repeated commands after lost replies must not run items twice."""
    calls = []

    def lose(command):
        calls.append(command)
        return len(calls) % 3 == 0

    executor = fakes.FakeExecutor()
    bench.submit('job-1', 40)
    bench.client.lose_reply = lose
    bench.start(executor)
    assert bench.wait_state('job-1').done == 40
    assert len(executor.ran) == 40


def test_poison_item_ends_and_others_complete(bench):
    """An item that fails on each attempt must not hold up its job."""

    def answer(one):
        if one.item == 7:
            return codes.Refusal(
                codes.ResultCode.ENDPOINT_FAILED, 'died', codes.Ran.YES
            )
        return fakes.answer_ok(one)

    bench.submit('job-1', 20)
    bench.start(fakes.FakeExecutor(answer))
    status = bench.wait_state('job-1')
    assert (status.done, status.failed) == (19, 1)


def test_non_idempotent_item_is_not_repeated(bench):
    """An item with unknown effect must end and not run again."""

    def answer(one):
        if one.item % 2:
            return codes.Refusal(
                codes.ResultCode.STREAM_BROKEN, 'lost', codes.Ran.UNKNOWN
            )
        return fakes.answer_ok(one)

    executor = fakes.FakeExecutor(answer)
    bench.submit('job-1', 10, idempotent=False)
    bench.start(executor)
    status = bench.wait_state('job-1')
    assert (status.done, status.unknown) == (5, 5)
    assert len(executor.ran) == 10


def test_preempted_items_run_again(bench):
    """A preempted item must be handed back without using an attempt."""
    seen = {}

    def answer(one):
        seen[one.item] = seen.get(one.item, 0) + 1
        if seen[one.item] <= 5:
            return codes.Refusal(
                codes.ResultCode.CANCELLED, 'preempted', codes.Ran.YES
            )
        return fakes.answer_ok(one)

    bench.submit('job-1', 5)
    bench.start(fakes.FakeExecutor(answer))
    assert bench.wait_state('job-1').done == 5


def test_cancel_stops_work(bench):
    """After a cancel is committed no further item may be dispatched."""
    gate = threading.Event()

    def answer(one):
        gate.wait(TIMEOUT)
        return fakes.answer_ok(one)

    executor = fakes.FakeExecutor(answer, workers=2)
    bench.submit('job-1', 100)
    bench.start(executor)
    wait_for(lambda: len(executor.ran) == 2)
    deadline = clock.monotonic() + TIMEOUT
    reply = bench.store.cancel('job-1', 'a', deadline)
    assert reply.holders == ('h1#1',)
    wait_for(lambda: executor.cancelled)
    gate.set()
    wait_for(lambda: all(one.done() for one in executor.futures.values()))
    assert len(executor.ran) == 2
    assert bench.get_status('job-1').cancelled == 100


def test_drain_hands_claims_back(bench):
    """A drained host must leave its items to another host at once."""
    gate = threading.Event()

    def answer(one):
        gate.wait(TIMEOUT)
        return fakes.answer_ok(one)

    executor = fakes.FakeExecutor(answer, workers=1)
    bench.submit('job-1', 30)
    first = bench.start(executor)
    wait_for(lambda: executor.ran)
    drained = threading.Thread(
        target=first.drain,
        args=(clock.monotonic(), clock.monotonic() + TIMEOUT),
    )
    drained.start()
    wait_for(lambda: executor.cancelled)
    gate.set()
    drained.join(TIMEOUT)
    other = fakes.FakeExecutor()
    bench.start(other, 'h2#1')
    assert bench.wait_state('job-1').done == 30
    assert len(other.ran) == 30 - len(executor.ran)


def test_refused_target_is_left_to_other_hosts(bench):
    """A host without endpoints must not claim the same items in a loop."""
    refusal = codes.Refusal(codes.ResultCode.NO_ENDPOINT, 'none')
    executor = fakes.FakeExecutor(lambda one: refusal)
    bench.submit('job-1', 40)
    bench.start(executor)
    wait_for(lambda: executor.ran)
    bench.start(fakes.FakeExecutor(), 'h2#1')
    assert bench.wait_state('job-1').done == 40
    assert len(executor.ran) <= 80


def test_rejected_item_ends_with_its_answer(bench):
    """A rejected item must not be repeated and must name its reason."""

    def answer(one):
        return call.CallResult(400, 'application/json', b'{}', 'e', 1)

    executor = fakes.FakeExecutor(answer)
    bench.submit('job-1', 2)
    bench.start(executor)
    assert bench.wait_state('job-1').failed == 2
    assert len(executor.ran) == 2
