"""Tests of batch jobs on three hosts with replicated groups."""

import contextlib
import dataclasses
import threading

import pytest

from rhubarbreach.batch import runner
from rhubarbreach.batch import store
from rhubarbreach.batch.tests import fakes
from rhubarbreach.batch.tests import test_runner
from rhubarbreach.batch import ticker
from rhubarbreach import clock
from rhubarbreach.consensus import client
from rhubarbreach.consensus.tests import cluster
from rhubarbreach.observe import metrics
from rhubarbreach.state import jobcommands
from rhubarbreach.state import jobs

GROUP_IDS = ('jobs-0', 'jobs-1')
SETTINGS = dataclasses.replace(test_runner.SETTINGS, claim_timeout=1.5)
LEADER_CHANGES = 4
MILLISECONDS_PER_SECOND = 1000


class Deployment:
    """Three hosts with tickers; runners are started individually."""

    def __init__(self, running, stack):
        self.running = running
        self.stack = stack
        for host in cluster.HOSTS:
            ticked = [
                ticker.TickedGroup(group, group.machine, jobcommands.COMMANDS)
                for group in running.group_sets[host].groups.values()
            ]
            group_ticker = ticker.Ticker(ticked)
            group_ticker.start()
            stack.callback(group_ticker.close)

    def open_store(self, host):
        """Return a store client on a host."""
        groups_client = client.Client(self.running.links[host], cluster.HOSTS)
        return store.Store(groups_client, len(GROUP_IDS))

    def start(self, host, executor, settings=SETTINGS):
        """Start the runner of a host."""
        batch_runner = runner.Runner(
            self.open_store(host),
            executor,
            f'{host}#1',
            settings,
            metrics.Metrics(),
        )
        batch_runner.start()
        self.stack.callback(batch_runner.close)
        return batch_runner


@pytest.fixture
def deployment(tmp_path):
    """Return three hosts with two job groups and frequent snapshots."""
    with contextlib.ExitStack() as stack:
        running = stack.enter_context(
            cluster.running(
                tmp_path,
                group_ids=GROUP_IDS,
                machine_type=jobs.JobsMachine,
                snapshot_entries=20,
            )
        )
        yield Deployment(running, stack)


def submit(jobs_store, job_id, count, **fields):
    """Store a job."""
    names = [f'c{number}' for number in range(count)]
    bodies = [b'{"model":"m","n":%d}' % number for number in range(count)]
    begin = test_runner.make_begin(job_id, count, **fields)
    deadline = clock.monotonic() + test_runner.TIMEOUT
    return jobs_store.submit(begin, names, bodies, deadline)


def wait_state(jobs_store, job_id, state):
    """Wait until a job is in a state and return its status."""

    def find_status():
        deadline = clock.monotonic() + 2
        status = jobs_store.get_job(job_id, 'a', deadline)
        return status if getattr(status, 'state', None) == state else None

    return test_runner.wait_for(find_status)


def test_items_survive_lost_hosts_and_leaders(deployment):
    """Each item must end although a host stops with its runner and leaders.

    Idempotent items must all succeed; the others must run at most once.
    """
    first, second, third = cluster.HOSTS
    gate = threading.Event()
    blocked_executor = fakes.FakeExecutor(
        lambda item_call: gate.wait(60) and None
    )
    third_store = deployment.open_store(third)
    for job_id in ('job-a', 'job-b'):
        assert submit(deployment.open_store(first), job_id, 120).total == 120
    for number, job_id in enumerate(('once-a', 'once-b')):
        submit(third_store, job_id, 8 + number, idempotent=False)
    lost_runner = deployment.start(first, blocked_executor)
    test_runner.wait_for(lambda: len(blocked_executor.futures) >= 120)
    lost_runner.close()
    deployment.running.stop(first)
    gate.set()
    for job_id in ('job-a', 'job-b'):
        assert submit(third_store, job_id, 120).total == 120
    executor = fakes.FakeExecutor()
    deployment.start(second, executor)
    for job_id in ('job-a', 'job-b'):
        assert wait_state(third_store, job_id, 'completed').done == 120
    for number, job_id in enumerate(('once-a', 'once-b')):
        status = wait_state(third_store, job_id, 'completed')
        assert status.done + status.unknown == 8 + number
        ran = [
            item_call.item
            for item_call in (*blocked_executor.executed, *executor.executed)
            if item_call.job_id == job_id
        ]
        assert len(ran) == len(set(ran))


def test_cancel_at_another_host_stops_dispatch(deployment):
    """The host that holds the items must learn of a cancel by itself.

    The test does not call `Runner.cancel_job`, so the runner has to detect
    the cancelled job when it renews its claims.
    """
    first, second, third = cluster.HOSTS
    gate = threading.Event()
    executor = fakes.FakeExecutor(lambda item_call: gate.wait(60) and None, 2)
    assert submit(deployment.open_store(second), 'job-a', 100).total == 100
    deployment.start(first, executor)
    test_runner.wait_for(lambda: len(executor.executed) == 2)
    deadline = clock.monotonic() + test_runner.TIMEOUT
    reply = deployment.open_store(third).cancel('job-a', 'a', deadline)
    assert reply.status.cancelled == 100
    # All futures are cancelled except the two whose calls already run.
    test_runner.wait_for(
        lambda: (
            len(executor.cancelled) == 2
            and sum(future.done() for future in executor.futures.values())
            >= len(executor.futures) - 2
        )
    )
    gate.set()
    assert len(executor.executed) == 2


class LogicalTime:
    """Comparison of the logical time of a group with the real time.

    A tick that is proposed after `started_at` ends before `base` is read, so
    that all later ticks count time after `started_at`.
    """

    def __init__(self, deployment, group_id):
        self.deployment = deployment
        self.group_id = group_id
        self.started_at = clock.monotonic()
        for _ in range(2):
            self.wait_for_tick()
        self.base = self.read()

    def read(self):
        """Return the logical time, in milliseconds."""
        replicas = self.deployment.running.groups(self.group_id)
        return max(replica.machine.time for replica in replicas)

    def wait_for_tick(self):
        """Wait until the logical time has advanced."""
        previous = self.read()
        test_runner.wait_for(lambda: self.read() > previous)

    def is_ahead(self):
        """Return whether more logical than real time has passed."""
        advance = self.read() - self.base
        elapsed = clock.monotonic() - self.started_at
        return advance > elapsed * MILLISECONDS_PER_SECOND


def test_claims_outlive_a_change_of_the_leader(deployment):
    """A new leader must not expire the claims of running items.

    Claims end by logical time, which must not advance faster than real time
    however often the leader changes.
    """
    first, second, _ = cluster.HOSTS
    gate = threading.Event()

    def answer(item_call):
        gate.wait(60)
        return fakes.answer_ok(item_call)

    executor = fakes.FakeExecutor(answer, 20)
    jobs_store = deployment.open_store(second)
    submit(jobs_store, 'job-a', 20)
    group_id = store.make_group_id(jobs_store.get_group('job-a'))
    batch_runner = deployment.start(first, executor, test_runner.SETTINGS)
    test_runner.wait_for(lambda: len(executor.executed) == 20)
    logical_time = LogicalTime(deployment, group_id)
    for _ in range(LEADER_CHANGES):
        leader = deployment.running.leader(group_id)
        other = next(h for h in cluster.HOSTS if h != leader.settings.host_id)
        leader.transfer(other)
        test_runner.wait_for(lambda old=leader: not old.is_leader)
        deployment.running.leader(group_id)
        logical_time.wait_for_tick()
        assert not logical_time.is_ahead()
    gate.set()
    assert wait_state(jobs_store, 'job-a', 'completed').done == 20
    assert len(executor.executed) == 20
    assert not batch_runner.metrics.get_count('batch_results_dropped_total')
