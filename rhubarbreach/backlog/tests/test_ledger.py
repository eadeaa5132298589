"""The replicated state of configurations and batch jobs."""

import pytest

from rhubarbreach.backlog import commands
from rhubarbreach.backlog import ledger as ledgers


@pytest.fixture
def ledger():
    return ledgers.Ledger()


def apply(ledger, command):
    reply = ledger.apply(1, commands.FAMILY.encode(command))
    return commands.FAMILY.decode(reply)


def query(ledger, asked):
    return commands.FAMILY.decode(ledger.query(commands.FAMILY.encode(asked)))


def make_job(job_id='j', account='a', count=3, limit=0):
    items = tuple(
        commands.Item(f'{job_id}-{n}', '/p', (('h', 'v'),), b'b%d' % n, 10)
        for n in range(count)
    )
    return commands.AddJob(
        job_id, account, 'host', '/p/', 100.0, 118.0, 160.0, 3, limit, items
    )


def complete(item_id, output='text'):
    return commands.ItemResult(item_id, commands.ItemState.COMPLETED, output)


def read(ledger, after=0, account='a'):
    return query(ledger, commands.ReadResults('j', account, after))


def test_highest_version_is_in_force(ledger):
    apply(ledger, commands.PutCatalog(5, b'five'))
    # Neither an older change that arrives again nor other content under the
    # same version changes anything, and both are acknowledged.
    for version, document in ((3, b'three'), (5, b'other')):
        put = commands.PutCatalog(version, document)
        assert apply(ledger, put) == commands.Done()
        known = query(ledger, commands.ReadCatalog())
        assert known == commands.CatalogReply(5, b'five')


def test_job_is_accepted_once(ledger):
    assert apply(ledger, make_job()) == commands.Done()
    apply(ledger, commands.AddResults((('j', complete('j-0')),)))
    assert apply(ledger, make_job()) == commands.Done()
    assert len(read(ledger).results) == 1
    assert read(ledger).total == 3


def test_positions_and_results_never_change(ledger):
    apply(ledger, make_job())
    apply(ledger, commands.AddResults((('j', complete('j-2', 'first')),)))
    # The run of a former leader ends after the item was listed.
    apply(ledger, commands.AddResults((('j', complete('j-2', 'second')),)))
    apply(ledger, commands.AddResults((('j', complete('j-0')),)))
    listed = [(r.item_id, r.output) for r in read(ledger).results]
    assert listed == [('j-2', 'first'), ('j-0', 'text')]
    assert [r.item_id for r in read(ledger, 1).results] == ['j-0']
    assert read(ledger, 7).results == ()


def test_ended_job_keeps_its_results_and_runs_nothing(ledger):
    apply(ledger, make_job())
    apply(ledger, commands.AddResults((('j', complete('j-1')),)))
    for _ in range(2):
        assert apply(ledger, commands.EndJob('j', 'a')) == commands.Done()
    apply(ledger, commands.AddResults((('j', complete('j-0')),)))
    assert [r.item_id for r in read(ledger).results] == ['j-1']
    assert ledger.list_open() == []
    assert not ledger.is_open('j', 'j-0')


def test_other_account_finds_nothing(ledger):
    apply(ledger, make_job())
    assert read(ledger, account='b') == commands.JobNotFound()
    ended = apply(ledger, commands.EndJob('j', 'b'))
    assert ended == commands.JobNotFound()
    body = query(ledger, commands.ReadBody('j', 'b', 'j-0'))
    assert body == commands.JobNotFound()
    assert apply(ledger, make_job(account='b')) == commands.JobNotFound()


def test_body_is_readable_until_its_result_is_listed(ledger):
    apply(ledger, make_job())
    asked = commands.ReadBody('j', 'a', 'j-1')
    assert query(ledger, asked) == commands.Body(b'b1')
    apply(ledger, commands.AddResults((('j', complete('j-1')),)))
    assert query(ledger, asked) == commands.JobNotFound()


def test_waiting_tokens_are_bounded_by_account(ledger):
    assert apply(ledger, make_job('j', limit=50)) == commands.Done()
    full = apply(ledger, make_job('k', limit=50))
    assert full == commands.WaitingFull(30)
    other = make_job('l', account='b', limit=50)
    assert apply(ledger, other) == commands.Done()
    # What is listed does not wait any more; a repeat of what was accepted
    # is not refused.
    done = tuple(('j', complete(f'j-{n}')) for n in (0, 1))
    apply(ledger, commands.AddResults(done))
    assert apply(ledger, make_job('k', limit=50)) == commands.Done()
    assert apply(ledger, make_job('j', limit=50)) == commands.Done()


def test_answer_is_bounded_and_never_empty(ledger):
    apply(ledger, make_job())
    big = 'x' * ledgers.RESULT_BYTES
    results = tuple(('j', complete(f'j-{n}', big)) for n in range(3))
    apply(ledger, commands.AddResults(results))
    assert len(read(ledger).results) == 1


def test_snapshot_restores_everything(ledger):
    apply(ledger, commands.PutCatalog(5, b'five'))
    apply(ledger, make_job())
    apply(ledger, commands.AddResults((('j', complete('j-1')),)))
    apply(ledger, commands.RetireStore('s'))
    other = ledgers.Ledger()
    other.restore(ledger.snapshot())
    assert other.get_catalog() == (5, b'five')
    assert read(other) == read(ledger)
    assert other.retiring == {'s'}
    assert other.list_open() == ledger.list_open()


def test_progress_outlives_its_leader(ledger):
    apply(ledger, make_job())
    for first, texts in ((1, (b'a', b'b')), (2, (b'b', b'c')), (9, (b'x',))):
        # News come twice, overlap, or leave a gap that nothing may fill.
        news = commands.ItemProgress('j', 'j-0', first, texts, 'o', 0)
        apply(ledger, commands.AddProgress((news,)))
    other = ledgers.Ledger()
    other.restore(ledger.snapshot())
    assert other.get_made('j', 'j-0') == ([b'a', b'b', b'c'], ('o', 0))
    apply(other, commands.AddResults((('j', complete('j-0')),)))
    late = commands.ItemProgress('j', 'j-0', 1, (b'a',), 'o', 0)
    apply(other, commands.AddProgress((late,)))
    assert other.get_made('j', 'j-0') == ([], None)


def test_progress_of_a_run_that_went_on_elsewhere_is_left_out(ledger):
    # A leader that did not know event 2 had the item run on after event 1;
    # the events of that run behind number 2 were joined to the others.
    apply(ledger, make_job())
    for first, texts, order_id, begun in (
        (1, (b'a',), 'first', 0),
        (2, (b'b',), 'second', 1),
        (2, (b'B', b'C'), 'third', 1),
        (3, (b'C',), 'third', 1),
    ):
        news = commands.ItemProgress('j', 'j-0', first, texts, order_id, begun)
        apply(ledger, commands.AddProgress((news,)))
    made = ledger.get_made('j', 'j-0')
    assert made == ([b'a', b'b'], ('second', 1))


def test_old_closed_jobs_are_forgotten(ledger):
    apply(ledger, make_job('j'))
    apply(ledger, make_job('k'))
    apply(ledger, commands.EndJob('j', 'a'))
    apply(ledger, commands.PruneJobs(101.0))
    assert set(ledger.jobs) == {'k'}
