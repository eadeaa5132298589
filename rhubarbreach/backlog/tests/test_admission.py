"""Tests of the bound on the memory of batch jobs."""

import concurrent.futures

import pytest

from rhubarbreach.backlog import admission
from rhubarbreach.backlog import commands
from rhubarbreach.backlog import jobs
from rhubarbreach.backlog import ledger as ledgers
from rhubarbreach import codes

FAMILY = commands.FAMILY


def make_item(number):
    return commands.Item(f'i{number}', '/b', (('a', 'b'),), bytes(1000), 10)


SIZE = jobs.measure_item(make_item(0))


def make_job(number, count=2):
    items = tuple(make_item(i) for i in range(count))
    return commands.AddJob(
        f'j{number}', 'a', 'h', '/b/', 1.0, 2.0, 3.0, 1, 0, items
    )


@pytest.fixture
def ledger():
    return ledgers.Ledger()


@pytest.fixture
def submit(ledger):
    """Return a function that applies a job if it is admitted."""
    gate = admission.JobAdmission(ledger, 4 * SIZE)

    def submit_job(number, is_applied=True):
        command = FAMILY.encode(make_job(number))
        future = concurrent.futures.Future()
        refusal = gate.admit(command, future)
        if refusal is None and is_applied:
            future.set_result(ledger.apply(1, command))
        return refusal

    return submit_job


def apply(ledger, command):
    ledger.apply(1, FAMILY.encode(command))


def test_job_that_the_stores_cannot_keep_is_refused_as_not_run(submit):
    """Guards against accepted jobs that take the stores over their memory."""
    assert submit(1) is None
    assert submit(2) is None
    refusal = submit(3)
    assert refusal.code is codes.ResultCode.QUEUE_FULL
    assert refusal.ran is codes.Ran.NO
    assert refusal.retry_after > 0
    # One that is accepted already gets its answer again.
    assert submit(2) is None


def test_jobs_that_are_not_applied_yet_count(submit):
    """Guards against many jobs that are proposed at the same time."""
    assert submit(1, is_applied=False) is None
    assert submit(2, is_applied=False) is None
    assert submit(3, is_applied=False) is not None


def test_memory_returns_with_results_ends_and_age(ledger, submit):
    """Guards against stores that refuse jobs for good."""
    submit(1)
    submit(2)
    result = commands.ItemResult('i0', commands.ItemState.COMPLETED, 'text')
    apply(ledger, commands.AddResults((('j1', result),)))
    apply(ledger, commands.AddResults((('j1', result),)))
    assert ledger.job_bytes == 3 * SIZE + jobs.measure_result(result)
    restored = ledgers.Ledger()
    restored.restore(ledger.snapshot())
    assert restored.job_bytes == ledger.job_bytes
    apply(ledger, commands.EndJob('j1', 'a'))
    apply(ledger, commands.EndJob('j2', 'a'))
    assert ledger.job_bytes == jobs.measure_result(result)
    assert submit(3) is None
    apply(ledger, commands.PruneJobs(10.0))
    assert ledger.job_bytes == 2 * SIZE


def test_other_commands_are_admitted(ledger):
    """Guards against results that a full store refuses."""
    gate = admission.JobAdmission(ledger, 0)
    for command in (b'odd', FAMILY.encode(commands.AddResults(()))):
        assert gate.admit(command, concurrent.futures.Future()) is None
