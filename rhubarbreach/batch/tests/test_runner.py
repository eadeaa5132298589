"""Tests of the batch runner with fakes of the groups and the executor."""

import threading

import pytest

from rhubarbreach.batch import runner
from rhubarbreach.batch import store
from rhubarbreach.batch.tests import fakes
from rhubarbreach import clock
from rhubarbreach import codes
from rhubarbreach.dispatch import attempt
from rhubarbreach.dispatch import budget
from rhubarbreach.dispatch import call
from rhubarbreach.dispatch import decide
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
    """Return the command that creates a job."""
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


class Harness:
    """Store and runners over fakes."""

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
        batch_runner = runner.Runner(
            self.store, executor, name, SETTINGS, metrics.Metrics()
        )
        batch_runner.start()
        self.runners.append(batch_runner)
        return batch_runner

    def get_status(self, job_id, account_id='a'):
        """Return the status of a job."""
        deadline = clock.monotonic() + TIMEOUT
        return self.store.get_job(job_id, account_id, deadline)

    def wait_state(self, job_id, state='completed'):
        """Wait until a job is in a state and return its status."""
        return wait_for(
            lambda: (
                value
                if (value := self.get_status(job_id)).state == state
                else None
            )
        )


def wait_for(condition):
    """Wait until a condition is true and return its value."""
    deadline = clock.monotonic() + TIMEOUT
    while clock.monotonic() < deadline:
        value = condition()
        if value:
            return value
        threading.Event().wait(0.01)
    pytest.fail('the condition did not become true in time')


@pytest.fixture
def harness():
    """Return a harness whose runners are closed after the test.

    No exchange of a runner may have raised an exception.
    """
    instance = Harness()
    yield instance
    for batch_runner in instance.runners:
        batch_runner.close()
        assert not batch_runner.metrics.get_count(
            'batch_exchange_errors_total'
        )


def test_jobs_of_all_groups_complete(harness):
    """Each item of all groups must run once, and its result must be stored."""
    executor = fakes.FakeExecutor()
    for number in range(4):
        harness.submit(f'job-{number}', 50)
    harness.start(executor)
    for number in range(4):
        assert harness.wait_state(f'job-{number}').done == 50
    assert (
        len({item_call.request_id for item_call in executor.executed}) == 200
    )
    assert len(executor.executed) == 200


def test_lost_replies_do_not_repeat_items(harness):
    """Commands repeated after lost replies must not run items twice."""
    calls = []

    def lose(command):
        calls.append(command)
        return len(calls) % 3 == 0

    executor = fakes.FakeExecutor()
    harness.submit('job-1', 40)
    harness.client.lose_reply = lose
    harness.start(executor)
    assert harness.wait_state('job-1').done == 40
    assert len(executor.executed) == 40


def test_poison_item_ends_and_others_complete(harness):
    """An item that fails at each attempt must not block its job."""

    def answer(item_call):
        if item_call.item == 7:
            return codes.Refusal(
                codes.ResultCode.ENDPOINT_FAILED, 'died', codes.Ran.YES
            )
        return fakes.answer_ok(item_call)

    harness.submit('job-1', 20)
    harness.start(fakes.FakeExecutor(answer))
    status = harness.wait_state('job-1')
    assert (status.done, status.failed) == (19, 1)


def test_non_idempotent_item_is_not_repeated(harness):
    """A non-idempotent item of unknown outcome must end without a retry."""

    def answer(item_call):
        if item_call.item % 2:
            return codes.Refusal(
                codes.ResultCode.STREAM_BROKEN, 'lost', codes.Ran.UNKNOWN
            )
        return fakes.answer_ok(item_call)

    executor = fakes.FakeExecutor(answer)
    harness.submit('job-1', 10, idempotent=False)
    harness.start(executor)
    status = harness.wait_state('job-1')
    assert (status.done, status.unknown) == (5, 5)
    assert len(executor.executed) == 10


def test_preempted_items_run_again(harness):
    """A preempted item must be released without using up an attempt."""
    seen = {}

    def answer(item_call):
        seen[item_call.item] = seen.get(item_call.item, 0) + 1
        if seen[item_call.item] <= 5:
            return codes.Refusal(
                codes.ResultCode.CANCELLED, 'preempted', codes.Ran.YES
            )
        return fakes.answer_ok(item_call)

    harness.submit('job-1', 5)
    harness.start(fakes.FakeExecutor(answer))
    assert harness.wait_state('job-1').done == 5


def test_cancel_stops_dispatch(harness):
    """No further item may be dispatched after a cancel is committed."""
    gate = threading.Event()

    def answer(item_call):
        gate.wait(TIMEOUT)
        return fakes.answer_ok(item_call)

    executor = fakes.FakeExecutor(answer, workers=2)
    harness.submit('job-1', 100)
    harness.start(executor)
    wait_for(lambda: len(executor.executed) == 2)
    deadline = clock.monotonic() + TIMEOUT
    reply = harness.store.cancel('job-1', 'a', deadline)
    assert reply.holders == ('h1#1',)
    wait_for(lambda: executor.cancelled)
    gate.set()
    wait_for(
        lambda: all(future.done() for future in executor.futures.values())
    )
    assert len(executor.executed) == 2
    assert harness.get_status('job-1').cancelled == 100


def test_drain_releases_items(harness):
    """Items of a drained host must not wait for their claims to expire."""
    gate = threading.Event()

    def answer(item_call):
        gate.wait(TIMEOUT)
        return fakes.answer_ok(item_call)

    executor = fakes.FakeExecutor(answer, workers=1)
    harness.submit('job-1', 30)
    first = harness.start(executor)
    wait_for(lambda: executor.executed)
    drain_thread = threading.Thread(
        target=first.drain,
        args=(clock.monotonic(), clock.monotonic() + TIMEOUT),
    )
    drain_thread.start()
    wait_for(lambda: executor.cancelled)
    gate.set()
    drain_thread.join(TIMEOUT)
    other = fakes.FakeExecutor()
    harness.start(other, 'h2#1')
    assert harness.wait_state('job-1').done == 30
    assert len(other.executed) == 30 - len(executor.executed)


def test_refused_target_is_left_to_other_hosts(harness):
    """A host without endpoints must not claim the same items in a loop."""
    refusal = codes.Refusal(codes.ResultCode.NO_ENDPOINT, 'none')
    executor = fakes.FakeExecutor(lambda item_call: refusal)
    harness.submit('job-1', 40)
    harness.start(executor)
    wait_for(lambda: executor.executed)
    harness.start(fakes.FakeExecutor(), 'h2#1')
    assert harness.wait_state('job-1').done == 40
    assert len(executor.executed) <= 80


def test_restarted_host_resumes_its_items_immediately(harness):
    """Items of a killed process must not wait for their claims to expire."""
    gate = threading.Event()
    blocked_executor = fakes.FakeExecutor(
        lambda item_call: gate.wait(TIMEOUT) and None
    )
    harness.submit('job-1', 30)
    killed_runner = harness.start(blocked_executor)
    wait_for(lambda: len(blocked_executor.futures) == 30)
    killed_runner.close()
    # Claims never expire in this test, since no ticker advances the time.
    harness.start(fakes.FakeExecutor(), 'h1#2')
    assert harness.wait_state('job-1').done == 30
    gate.set()


def test_rejected_item_fails_without_retry(harness):
    """An item that the endpoint rejects must fail at its first attempt."""

    def answer(item_call):
        return call.CallResult(400, 'application/json', b'{}', 'e', 1)

    executor = fakes.FakeExecutor(answer)
    harness.submit('job-1', 2)
    harness.start(executor)
    assert harness.wait_state('job-1').failed == 2
    assert len(executor.executed) == 2


def test_item_does_not_fail_because_its_endpoints_crashed(harness):
    # Crashes are no answers, so they do not count towards `max_attempts`.
    lost_endpoints = iter(range(4))

    def answer(item_call):
        if next(lost_endpoints, None) is None:
            return fakes.answer_ok(item_call)
        progress = decide.Progress(
            idempotent=True,
            attempts=decide.MAX_ATTEMPTS,
            resumes=0,
            tokens=0,
            begun=False,
            cancelled=False,
            preempted=False,
            engine=True,
            ran=codes.Ran.UNKNOWN,
            deadline=item_call.deadline,
        )
        result = attempt.AttemptResult(attempt.AttemptEnd.BROKEN, sent=True)
        now = clock.monotonic()
        retry_budget = budget.RetryBudget(now)
        return decide.decide_next(progress, result, retry_budget, now).refusal

    harness.submit('job-1', 1)
    harness.start(fakes.FakeExecutor(answer))
    status = harness.wait_state('job-1')
    assert (status.done, status.failed) == (1, 0)


def test_runner_goes_on_once_threads_can_be_started(harness, monkeypatch):
    """Guards against a runner whose exchanges wait for a thread for ever."""
    failures = [RuntimeError("can't start new thread")] * 2 * GROUPS
    start = threading.Thread.start

    def start_later(thread):
        if failures and thread.name.startswith('batch_'):
            raise failures.pop()
        start(thread)

    monkeypatch.setattr(threading.Thread, 'start', start_later)
    harness.submit('job', 4)
    harness.start(fakes.FakeExecutor())
    assert harness.wait_state('job').done == 4
    assert not failures
