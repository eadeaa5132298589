"""Scheduling of batch items while the leader changes."""

import concurrent.futures
import dataclasses
import itertools
import time

import pytest

from rhubarbreach.backlog import assignments
from rhubarbreach.backlog import commands
from rhubarbreach.backlog import ledger as ledgers
from rhubarbreach.backlog import runner as runners
from rhubarbreach.fleet import choice

KEY = ('job', 'a')


class FakeLink:
    """Link that loses all messages."""

    def send(self, *_):
        pass


def wait_for(condition):
    """Wait up to 5 s until a condition is true; return whether it is."""
    deadline = time.monotonic() + 5.0
    while not condition() and time.monotonic() < deadline:
        time.sleep(0.01)
    return condition()


@pytest.fixture
def ledger():
    """Return a ledger with a job of one item."""
    new_ledger = ledgers.Ledger()
    job = commands.AddJob(
        'job',
        'account',
        'h',
        '/p/',
        time.time(),
        time.time() + 60,
        time.time() + 120,
        3,
        0,
        (commands.Item('a', '/p/', (), b'', 10),),
    )
    new_ledger.apply_command(job)
    return new_ledger


@pytest.fixture
def runner(ledger):
    """Return a runner without endpoints whose commits never end."""
    new_runner = runners.Runner(
        ledger,
        lambda *_: concurrent.futures.Future(),
        FakeLink(),
        lambda _: assignments.Destination('s', 'h'),
        lambda: ({}, {}, frozenset()),
        lambda *_: None,
        lambda *_: None,
    )
    yield new_runner
    new_runner.close()


def test_reelected_leader_loads_progress_committed_meanwhile(ledger, runner):
    # A scheduling step that was in progress when leadership was lost loads the
    # progress of an item. When the store leads again, the item must not resume
    # from that outdated progress.
    runner.set_leading(True)
    runner.set_leading(False)
    assert not runner.assignments.get_progress(KEY).texts
    events = commands.ItemProgress(*KEY, 1, (b'1', b'2'), 'o', 0)
    ledger.apply_command(commands.AddProgress((events,)))
    runner.set_leading(True)
    progress = runner.assignments.get_progress(KEY)
    assert progress.texts == [b'1', b'2']
    assert progress.sources == [('o', 0)]


def test_result_holds_all_events_of_run(runner, leader, make_report, make_run):
    # Leadership was lost and regained between the report and its processing.
    # The output was then read from the ledger, which has only some events.
    leader.receive('one', make_report())
    leader.assign('a')
    done = make_run('a', 1, b'1', b'2', outcome='completed')
    _, (ended,) = leader.receive('one', make_report(done))
    runner.set_leading(True)
    runner.handle_end(ended)
    assert runner.results.pending[KEY].output == '1\n2'


def test_items_are_placed_after_a_failed_step(
    runner, leader, make_report, monkeypatch
):
    # Without a further event, the scheduler slept for ever after an error.
    monkeypatch.setattr(runners, 'DISCOVERY_SECONDS', 0.0)
    steps = []

    def list_slots():
        steps.append(None)
        if len(steps) == 1:
            raise RuntimeError('first step')
        return leader.endpoints, {}, frozenset()

    runner.list_slots = list_slots
    runner.set_leading(True)
    runner.handle_report('one', make_report())
    assert wait_for(lambda: KEY in runner.assignments.runs)


@pytest.mark.parametrize(
    ('texts', 'others', 'is_cancelled'),
    [
        ((b'1',), ('v1', 'v2'), True),
        ((b'1',), ('v2',), False),
        ((), ('v2',), True),
    ],
)
def test_run_with_events_goes_on_while_the_last_of_its_version_drains(
    runner, leader, make_report, make_run, texts, others, is_cancelled
):
    """Guards against events dropped although their run could still end."""
    old = dataclasses.replace(leader.endpoints['e1'], software_version='v1')
    leader.endpoints['e1'] = old
    leader.receive('one', make_report())
    leader.assign('a')
    leader.receive('one', make_report(make_run('a', 1, *texts)))
    runner.assignments = leader.assignments
    runner.open_items = leader.open_items
    endpoints = {
        version: choice.Endpoint(
            version, 's', 'a', 'z', 8, software_version=version
        )
        for version in others
    }
    endpoints['e1'] = dataclasses.replace(old, is_draining=True)
    runner.cancel_unneeded(endpoints)
    (run,) = leader.assignments.runs.values()
    assert run.cancelled is is_cancelled


def test_order_that_may_not_have_begun_is_cancelled_at_a_draining_endpoint(
    runner, leader, make_report
):
    """Guards against an order that is sent again to an evacuated zone.

    The item has events and cannot resume elsewhere, so that its run would go
    on if it had begun.
    """
    old = dataclasses.replace(leader.endpoints['e1'], software_version='v1')
    leader.endpoints['e1'] = old
    leader.committed[KEY] = (b'1',)
    leader.receive('one', make_report())
    leader.assign('a')
    runner.assignments = leader.assignments
    runner.open_items = leader.open_items
    runner.cancel_unneeded({'e1': dataclasses.replace(old, is_draining=True)})
    (run,) = leader.assignments.runs.values()
    assert run.cancelled
    reply, _ = leader.receive('one', make_report())
    assert not reply.orders


@pytest.fixture
def end_run(runner, leader, make_report, make_run):
    """Return a function that ends a run of the item at an endpoint."""
    runner.assignments = leader.assignments
    runner.open_items = leader.open_items
    leader.receive('one', make_report())
    proposed = []

    def propose(command, _):
        proposed.append(commands.FAMILY.decode(command))
        return concurrent.futures.Future()

    runner.propose = propose

    def end(number, *texts, outcome):
        leader.assign('a', f'e{number}')
        report = make_run('a', 1, *texts, order=number, outcome=outcome)
        _, (ended,) = leader.receive('one', make_report(report))
        runner.handle_end(ended)
        return proposed

    return end


def test_item_whose_output_fits_no_commit_runs_again(runner, end_run):
    # Its result stayed in the queue, so that the item was never listed.
    proposed = end_run(1, b'1', b'2', outcome='oversized')
    progress = runner.assignments.progress[KEY]
    assert (progress.texts, progress.committed) == ([], 0)
    assert proposed == [commands.DropProgress(*KEY)]
    assert not runner.results
    assert runner.health.is_ejected('e1', time.monotonic())


def test_output_that_grows_by_its_decoding_does_not_block_its_item(
    runner, end_run
):
    # Each byte that is not UTF-8 takes three in the result.
    proposed = end_run(1, b'\xff' * 600_000, outcome='completed')
    assert proposed == [commands.DropProgress(*KEY)]
    assert not runner.results
    assert not runner.assignments.progress[KEY].texts


def test_item_with_too_much_output_everywhere_ejects_one_endpoint(
    runner, end_run
):
    # Otherwise one item takes sound endpoints away from all others.
    end_run(1, outcome='oversized')
    end_run(2, outcome='oversized')
    now = time.monotonic()
    assert runner.health.is_ejected('e1', now)
    assert not runner.health.is_ejected('e2', now)


@pytest.fixture
def end_unproven_run(runner, leader, make_report, make_run):
    """Return a function that ends a run without a length at an endpoint.

    It returns whether the item has a result then.
    """
    runner.assignments = leader.assignments
    runner.open_items = leader.open_items
    leader.receive('one', make_report())
    orders = itertools.count(1)

    def end(endpoint, *texts):
        known = len(leader.assignments.get_progress(KEY).texts)
        leader.assign('a', endpoint)
        report = make_run(
            'a',
            known + 1,
            *texts,
            order=next(orders),
            begun=known,
            outcome='unproven',
        )
        _, (ended,) = leader.receive('one', make_report(report))
        runner.handle_end(ended)
        return KEY in runner.results.list_keys()

    return end


def test_resumed_item_without_an_event_is_not_complete(
    leader, end_unproven_run
):
    # The endpoint crashed before the first event; the item had yielded.
    leader.committed[KEY] = [b'1']
    assert not end_unproven_run('e1')
    assert not end_unproven_run('e2', b'2')
    assert end_unproven_run('e1')


def test_item_to_which_two_endpoints_add_nothing_is_complete(
    runner, end_unproven_run
):
    # All endpoints may answer without a length.
    assert not end_unproven_run('e1', b'1', b'2')
    assert end_unproven_run('e2')
    assert runner.results.pending[KEY].output == '1\n2'
    assert not runner.health.entries


def test_item_completes_at_the_only_endpoint(end_unproven_run):
    assert not end_unproven_run('e1', b'1')
    assert not end_unproven_run('e1')
    assert end_unproven_run('e1')


def test_run_whose_permit_ended_before_it_began_has_no_backoff(
    runner, end_run
):
    """Guards against an item that waits for seconds for a late order.

    Each permit for a cold endpoint that ended in time counted as a failure.
    """
    for number in (1, 2):
        end_run(number, outcome='expired')
    progress = runner.assignments.progress[KEY]
    assert (progress.failures, progress.not_before) == (0, 0.0)
    assert not runner.health.is_ejected('e1', time.monotonic())
