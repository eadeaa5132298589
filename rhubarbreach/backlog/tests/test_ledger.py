"""Replicated state of the configuration and the batch jobs."""

import msgspec
import pytest

from rhubarbreach.backlog import commands
from rhubarbreach.backlog import jobs
from rhubarbreach.backlog import ledger as ledgers


@pytest.fixture
def ledger():
    return ledgers.Ledger()


def apply(ledger, command):
    reply = ledger.apply(1, commands.FAMILY.encode(command))
    return commands.FAMILY.decode(reply)


def query(ledger, request):
    return commands.FAMILY.decode(
        ledger.query(commands.FAMILY.encode(request))
    )


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


def test_catalog_with_highest_version_is_in_force(ledger):
    apply(ledger, commands.PutCatalog(5, b'five'))
    # An older version and other content of the same version are acknowledged
    # without effect.
    for version, document in ((3, b'three'), (5, b'other')):
        put = commands.PutCatalog(version, document)
        assert apply(ledger, put) == commands.Done()
        catalog = query(ledger, commands.ReadCatalog())
        assert catalog == commands.CatalogReply(5, b'five')


def test_repeated_job_is_accepted_once(ledger):
    assert apply(ledger, make_job()) == commands.Done()
    apply(ledger, commands.AddResults((('j', complete('j-0')),)))
    assert apply(ledger, make_job()) == commands.Done()
    assert len(read(ledger).results) == 1
    assert read(ledger).total == 3


def test_results_keep_their_position_and_output(ledger):
    apply(ledger, make_job())
    apply(ledger, commands.AddResults((('j', complete('j-2', 'first')),)))
    # The run of a former leader ends after the item has a result.
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


def test_job_is_not_found_by_other_account(ledger):
    apply(ledger, make_job())
    assert read(ledger, account='b') == commands.JobNotFound()
    ended = apply(ledger, commands.EndJob('j', 'b'))
    assert ended == commands.JobNotFound()
    body = query(ledger, commands.ReadBody('j', 'b', 'j-0'))
    assert body == commands.JobNotFound()
    assert apply(ledger, make_job(account='b')) == commands.JobNotFound()


def test_body_is_readable_until_item_has_result(ledger):
    apply(ledger, make_job())
    request = commands.ReadBody('j', 'a', 'j-1')
    assert query(ledger, request) == commands.Body(b'b1')
    apply(ledger, commands.AddResults((('j', complete('j-1')),)))
    assert query(ledger, request) == commands.JobNotFound(is_item_missing=True)


def test_waiting_tokens_are_limited_per_account(ledger):
    assert apply(ledger, make_job('j', limit=50)) == commands.Done()
    full = apply(ledger, make_job('k', limit=50))
    assert full == commands.WaitingFull(30)
    other = make_job('l', account='b', limit=50)
    assert apply(ledger, other) == commands.Done()
    # Items with results do not count, and a repeated job that was accepted is
    # not refused.
    done = tuple(('j', complete(f'j-{n}')) for n in (0, 1))
    apply(ledger, commands.AddResults(done))
    assert apply(ledger, make_job('k', limit=50)) == commands.Done()
    assert apply(ledger, make_job('j', limit=50)) == commands.Done()


def test_reply_is_bounded_and_never_empty(ledger):
    apply(ledger, make_job())
    big = 'x' * jobs.MAX_REPLY_BYTES
    results = tuple(('j', complete(f'j-{n}', big)) for n in range(3))
    apply(ledger, commands.AddResults(results))
    assert len(read(ledger).results) == 1


def test_snapshot_restores_state(ledger):
    apply(ledger, commands.PutCatalog(5, b'five'))
    apply(ledger, make_job())
    apply(ledger, commands.AddResults((('j', complete('j-1')),)))
    apply(ledger, commands.RetireStore('s'))
    apply(ledger, commands.QuarantinePart('p', 60.0))
    other = ledgers.Ledger()
    other.restore(ledger.snapshot())
    assert other.get_catalog() == (5, b'five')
    assert other.get_quarantine() == (1, {'p': 60.0})
    assert read(other) == read(ledger)
    assert other.retiring == {'s'}
    assert other.list_open() == ledger.list_open()


def test_quarantine_is_bounded(ledger):
    count = ledgers.MAX_QUARANTINED_PARTS
    for number in range(count + 1):
        apply(ledger, commands.QuarantinePart(f'p{number}', float(number)))
    revision, parts = ledger.get_quarantine()
    assert revision == count + 1
    assert len(parts) == count
    assert 'p0' not in parts
    apply(ledger, commands.ReleaseParts(('p1', 'unknown')))
    assert ledger.get_quarantine() == (
        count + 2,
        {f'p{number}': float(number) for number in range(2, count + 1)},
    )


def test_snapshot_keeps_progress_until_item_has_result(ledger):
    apply(ledger, make_job())
    for first, texts in ((1, (b'a', b'b')), (2, (b'b', b'c')), (9, (b'x',))):
        # Events may be repeated or overlap; those after a gap are ignored.
        progress = commands.ItemProgress('j', 'j-0', first, texts, 'o', 0)
        apply(ledger, commands.AddProgress((progress,)))
    other = ledgers.Ledger()
    other.restore(ledger.snapshot())
    assert other.get_progress('j', 'j-0') == (
        [b'a', b'b', b'c'],
        ('o', 0),
        '',
    )
    apply(other, commands.AddResults((('j', complete('j-0')),)))
    late = commands.ItemProgress('j', 'j-0', 1, (b'a',), 'o', 0)
    apply(other, commands.AddProgress((late,)))
    assert other.get_progress('j', 'j-0') == ([], None, '')


def test_progress_of_superseded_run_is_ignored(ledger):
    # A leader that did not know event 2 resumed the item after event 1, and
    # events of that run after event 2 were appended to the committed ones.
    apply(ledger, make_job())
    for first, texts, order_id, begun in (
        (1, (b'a',), 'first', 0),
        (2, (b'b',), 'second', 1),
        (2, (b'B', b'C'), 'third', 1),
        (3, (b'C',), 'third', 1),
    ):
        progress = commands.ItemProgress(
            'j', 'j-0', first, texts, order_id, begun
        )
        apply(ledger, commands.AddProgress((progress,)))
    committed = ledger.get_progress('j', 'j-0')
    assert committed == ([b'a', b'b'], ('second', 1), '')


def test_events_of_two_software_versions_are_not_joined(ledger):
    """Guards against an item that resumes at another software version."""
    apply(ledger, make_job())
    for first, texts, order_id, begun, version in (
        (1, (b'a', b'b'), 'first', 0, 'v1'),
        (3, (b'C',), 'second', 2, 'v2'),
        (1, (b'A',), 'third', 0, 'v2'),
        (3, (b'c',), 'first', 0, 'v1'),
        (2, (b'B',), 'third', 0, 'v2'),
    ):
        progress = commands.ItemProgress(
            'j', 'j-0', first, texts, order_id, begun, version
        )
        apply(ledger, commands.AddProgress((progress,)))
    other = ledgers.Ledger()
    other.restore(ledger.snapshot())
    committed = other.get_progress('j', 'j-0')
    assert committed == ([b'A', b'B'], ('third', 0), 'v2')


def test_service_versions_survive_a_snapshot(ledger):
    """Guards against a version that is forgotten while streams exist."""
    versions = (('s', 'v1'), ('s', 'v2'))
    apply(ledger, commands.AddVersions(versions))
    apply(ledger, commands.RemoveVersions(versions[:1]))
    other = ledgers.Ledger()
    other.restore(ledger.snapshot())
    assert other.get_versions() == {('s', 'v2')}


def test_old_closed_jobs_are_deleted(ledger):
    apply(ledger, make_job('j'))
    apply(ledger, make_job('k'))
    apply(ledger, commands.EndJob('j', 'a'))
    apply(ledger, commands.PruneJobs(101.0))
    assert set(ledger.jobs) == {'k'}


def test_dropped_events_are_replaced_by_those_of_a_new_run(ledger):
    # The former events came from a faulty endpoint.
    apply(ledger, make_job())
    faulty = commands.ItemProgress('j', 'j-0', 1, (b'x', b'y'), 'o1', 0)
    apply(ledger, commands.AddProgress((faulty,)))
    apply(ledger, commands.DropProgress('j', 'j-0'))
    apply(ledger, commands.DropProgress('unknown', 'j-0'))
    sound = commands.ItemProgress('j', 'j-0', 1, (b'a',), 'o2', 0)
    apply(ledger, commands.AddProgress((sound,)))
    assert ledger.get_progress('j', 'j-0') == ([b'a'], ('o2', 0), '')


def test_snapshot_keeps_the_end_of_an_output_until_events_follow(ledger):
    """Guards against a crash that counts as the end of a whole output."""
    apply(ledger, make_job())
    for first, texts, endpoint_id in (
        (1, (b'a', b'b'), 'e1'),
        (3, (), 'e2'),
        (2, (b'b',), ''),
        (3, (), 'e2'),
        (9, (), 'e3'),
    ):
        progress = commands.ItemProgress(
            'j', 'j-0', first, texts, 'o', 0, '', endpoint_id, 7
        )
        apply(ledger, commands.AddProgress((progress,)))
        if not endpoint_id:
            assert ledger.get_end('j', 'j-0') == (2, None)
    other = ledgers.Ledger()
    other.restore(ledger.snapshot())
    assert other.get_end('j', 'j-0') == (2, ('e2', 7))
    more = commands.ItemProgress('j', 'j-0', 3, (b'c',), 'o', 0)
    apply(other, commands.AddProgress((more,)))
    assert other.get_end('j', 'j-0') == (3, None)
    assert other.get_progress('j', 'j-0')[0] == [b'a', b'b', b'c']


def test_evacuations_survive_a_snapshot(ledger):
    """Guards against zones that open when a store restores its state."""
    apply(ledger, commands.StartEvacuation('z1', 0))
    apply(ledger, commands.StartEvacuation('z2', 0))
    apply(ledger, commands.EndEvacuation('z2', 2))
    restored = ledgers.Ledger()
    restored.restore(ledger.snapshot())
    assert restored.get_evacuated() == (3, {'z1'})
    state = query(restored, commands.ReadEvacuation('z2'))
    assert state == commands.EvacuationReply(False, 3)


def test_late_command_on_a_zone_changes_nothing(ledger):
    """Guards against a late command that undoes an acknowledged one."""
    apply(ledger, commands.StartEvacuation('z1', 0))
    apply(ledger, commands.EndEvacuation('z1', 1))
    apply(ledger, commands.StartEvacuation('z1', 2))
    late = apply(ledger, commands.EndEvacuation('z1', 1))
    assert late == commands.Superseded()
    # A change of another zone is no reason to refuse.
    assert apply(ledger, commands.StartEvacuation('z2', 0)) == commands.Done()
    assert ledger.get_evacuated() == (4, {'z1', 'z2'})


def test_snapshot_without_evacuations_is_restored(ledger):
    """Guards against a store that cannot start after an update."""
    data = msgspec.msgpack.decode(ledger.snapshot())
    del data['evacuations'], data['evacuation_revision']
    ledger.restore(msgspec.msgpack.encode(data))
    assert ledger.get_evacuated() == (0, frozenset())


def test_zone_that_was_evacuated_in_between_counts_as_restored(ledger):
    """Guards against full traffic to a zone that a store never saw closed."""
    apply(ledger, commands.StartEvacuation('z1', 0))
    apply(ledger, commands.EndEvacuation('z1', 1))
    apply(ledger, commands.StartEvacuation('z2', 0))
    assert ledger.list_restored(0) == ['z1']
    assert ledger.list_restored(2) == []


def depart(ledger, born, is_gone=True, endpoint_id='e', time=0.0):
    command = commands.AddDeparture(endpoint_id, born, is_gone, time)
    return apply(ledger, command)


def test_departure_of_a_later_process_replaces_the_former_one(ledger):
    """Guards against a late departure that hides a later one."""
    depart(ledger, 1, is_gone=False)
    depart(ledger, 2)
    depart(ledger, 1)
    depart(ledger, 2, is_gone=False)
    departure = ledger.find_departure('e')
    assert (departure.born, departure.is_gone) == (2, True)


def test_departures_are_kept_in_a_snapshot(ledger):
    """Guards against a store that forgets them with its log."""
    depart(ledger, 1)
    other = ledgers.Ledger()
    other.restore(ledger.snapshot())
    assert other.find_departure('e') == ledger.find_departure('e')
    assert other.departure_revision


def test_silent_stores_are_kept_in_a_snapshot(ledger):
    """Guards against a lost voter that is waited for again."""
    for host_ids in (('a', 'b'), ('b',)):
        apply(ledger, commands.RecordSilentStores(host_ids))
    other = ledgers.Ledger()
    other.restore(ledger.snapshot())
    assert other.silent_stores == {'b'}


def test_departures_are_bounded_and_removed(ledger, monkeypatch):
    """Guards against a state that grows with each restart of an endpoint."""
    monkeypatch.setattr(ledgers, 'MAX_DEPARTURES', 3)
    replies = [
        depart(ledger, 1, endpoint_id=f'e{number}', time=float(number))
        for number in range(5)
    ]
    full = commands.DeparturesFull()
    assert replies == [commands.Done()] * 3 + [full] * 2
    # What is known goes on.
    assert depart(ledger, 2, endpoint_id='e0', time=5.0) == commands.Done()
    apply(ledger, commands.RemoveDepartures(2.0))
    known = {departure.endpoint_id for departure in ledger.list_departures()}
    assert known == {'e0', 'e2'}
    assert depart(ledger, 1, endpoint_id='e4') == commands.Done()
