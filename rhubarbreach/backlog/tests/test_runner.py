"""The leader's plan of batch items while leaders change."""

import concurrent.futures
import time

import pytest

from rhubarbreach.backlog import assignments
from rhubarbreach.backlog import commands
from rhubarbreach.backlog import ledger as ledgers
from rhubarbreach.backlog import runner as runners

KEY = ('job', 'a')


class FakeLink:
    """Loses all messages."""

    def send(self, *_):
        pass


@pytest.fixture
def ledger():
    """A ledger with a job of one item."""
    made = ledgers.Ledger()
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
    made.carry_out(job)
    return made


@pytest.fixture
def runner(ledger):
    """A runner without endpoints whose commits never end."""
    made = runners.Runner(
        ledger,
        lambda *_: concurrent.futures.Future(),
        FakeLink(),
        lambda _: assignments.Place('s', 'h'),
        lambda: ({}, {}, frozenset()),
        lambda *_: None,
    )
    yield made
    made.close()


def test_leader_that_leads_again_knows_what_was_kept_meanwhile(ledger, runner):
    # A plan that was being made when the lead was lost loaded an item's
    # progress; the next time this store led, the item went on from there.
    runner.lead(True)
    runner.lead(False)
    assert not runner.assignments.get_progress(KEY).texts
    news = commands.ItemProgress(*KEY, 1, (b'1', b'2'), 'o', 0)
    ledger.carry_out(commands.AddProgress((news,)))
    runner.lead(True)
    progress = runner.assignments.get_progress(KEY)
    assert progress.texts == [b'1', b'2']
    assert progress.makers == [('o', 0)]


def test_end_of_a_run_lists_the_text_that_the_run_has_made(
    runner, bench, make_report, make_run
):
    # The lead was lost and gained between the report and its consequences;
    # the text was taken from the ledger then, which has a part of it.
    bench.take('one', make_report())
    bench.assign('a')
    done = make_run('a', 1, b'1', b'2', outcome='completed')
    _, (ended,) = bench.take('one', make_report(done))
    runner.lead(True)
    runner.finish(ended)
    assert runner.results.waiting[KEY].output == '1\n2'
