"""Assignment of items when messages are lost, delayed or repeated."""

import dataclasses

from rhubarbreach.backlog import assignments
from rhubarbreach.backlog import commands
from rhubarbreach.consensus import group
from rhubarbreach.protocol import codec

KEY = ('job', 'a')


def test_store_in_zone_of_endpoint_is_preferred(leader, make_report):
    # Otherwise events cross availability zones twice.
    leader.receive('far', make_report(zone='z2'))
    leader.receive('near', make_report(zone='z1'))
    assert leader.assign('a', 'e1') == 'near'
    assert leader.assign('b', 'e2') == 'far'


def test_runs_are_spread_over_stores_of_a_zone(leader, make_report):
    leader.receive('one', make_report())
    leader.receive('two', make_report())
    assert {leader.assign('a'), leader.assign('b')} == {'one', 'two'}


def test_draining_store_gets_no_orders(leader, make_report):
    leader.receive('one', make_report(takes_orders=False))
    assert leader.assign('a') is None


def test_order_in_lost_reply_is_sent_again(leader, make_report, make_run):
    leader.receive('one', make_report())
    leader.assign('a')
    for _ in range(2):
        reply, _ = leader.receive('one', make_report())
        assert [order.item_id for order in reply.orders] == ['a']
    reply, _ = leader.receive('one', make_report(make_run('a', 1)))
    assert not reply.orders


def test_restarted_store_does_not_repeat_its_run(
    leader, make_report, make_run
):
    # A killed store came back before it counted as silent. Its order was sent
    # again, and the events of the second run were appended to those of the
    # first (jssca-cutdesk trouble-3, --vary, seed 1094896698990).
    leader.receive('one', make_report())
    leader.assign('a')
    leader.receive('one', make_report(make_run('a', 1, b'1', b'2')))
    reply, ended = leader.receive('one', make_report())
    assert [run.outcome for run in ended] == ['lost']
    assert not reply.orders
    leader.assign('a')
    reply, _ = leader.receive('one', make_report())
    assert [order.last_id for order in reply.orders] == [2]


def test_events_reported_twice_count_once(leader, make_report, make_run):
    # The reply to a report was lost, and the store repeats the report.
    leader.receive('one', make_report())
    leader.assign('a')
    leader.receive('one', make_report(make_run('a', 1, b'1', b'2')))
    again = make_run('a', 1, b'1', b'2', b'3', outcome='completed')
    reply, ended = leader.receive('one', make_report(again))
    assert leader.assignments.progress[KEY].texts == [b'1', b'2', b'3']
    assert reply.known == (('o1', 3),)
    assert [(run.outcome, run.event_count) for run in ended] == [
        ('completed', 3)
    ]


def test_outcome_with_missing_events_is_not_accepted(
    leader, make_report, make_run
):
    # Otherwise the result lacks events that only a former leader had.
    leader.receive('one', make_report())
    leader.assign('a')
    late = make_run('a', 5, b'5', outcome='completed')
    reply, ended = leader.receive('one', make_report(late))
    assert not ended
    assert reply.known == (('o1', 0),)
    assert KEY in leader.assignments.runs


def test_new_leader_adopts_run_of_former_leader(leader, make_report, make_run):
    # Otherwise each change of the leader restarts all items.
    leader.committed[KEY] = [b'1', b'2']
    reply, _ = leader.receive('one', make_report(make_run('a', 0, begun=2)))
    assert reply.known == (('o1', 2),)
    rest = make_run('a', 3, b'3', begun=2, outcome='completed')
    _, ended = leader.receive('one', make_report(rest))
    assert [run.outcome for run in ended] == ['completed']
    assert leader.assignments.progress[KEY].texts == [b'1', b'2', b'3']


def test_new_leader_adopts_run_that_produced_committed_events(
    leader, make_report, make_run
):
    # Otherwise each change of the leader restarts a long item after its last
    # committed event.
    leader.committed[KEY] = [b'1', b'2']
    leader.sources[KEY] = ('o7', 0)
    reply, _ = leader.receive('one', make_report(make_run('a', 0, order=7)))
    assert reply.known == (('o7', 2),)
    rest = make_run('a', 3, b'3', order=7)
    leader.receive('one', make_report(rest))
    (committed,) = leader.assignments.take_uncommitted((), 9.0)
    assert (committed.first, committed.texts) == (3, (b'3',))
    assert (committed.order_id, committed.begun) == ('o7', 0)


def test_events_of_two_runs_are_committed_separately(
    leader, make_report, make_run
):
    # The ledger needs to know after which event the second run resumed.
    leader.receive('one', make_report())
    leader.assign('a')
    leader.receive(
        'one', make_report(make_run('a', 1, b'1', outcome='failed'))
    )
    leader.assign('a')
    rest = make_run('a', 2, b'2', b'3', order=2, begun=1)
    leader.receive('one', make_report(rest))
    committed = leader.assignments.take_uncommitted((), 9.0)
    assert [(item.order_id, item.begun, item.first) for item in committed] == [
        ('o1', 0, 1),
        ('o2', 1, 2),
    ]
    assert [item.texts for item in committed] == [(b'1',), (b'2', b'3')]


def test_run_superseded_by_another_run_is_not_adopted(
    leader, make_report, make_run
):
    # The second run of an item resumed after event 1 of the first. A new
    # leader that received a report of the first run joined the events of both
    # (jssca-cutdesk hunt-5e34-7).
    leader.committed[KEY] = [b'1', b'2 of the second run']
    leader.sources[KEY] = ('second', 1)
    reply, _ = leader.receive('one', make_report(make_run('a', 0, order=7)))
    assert not reply.known
    leader.assign('a')
    again = make_run(
        'a', 3, b'3 of the first run', order=7, outcome='completed'
    )
    reply, ended = leader.receive('one', make_report(again))
    assert not ended
    assert [order.last_id for order in reply.orders] == [2]


def test_run_whose_first_events_are_lost_is_not_adopted(
    leader, make_report, make_run
):
    # The run resumed after event 9, and the ledger has only two events.
    leader.committed[KEY] = [b'1', b'2']
    reply, _ = leader.receive('one', make_report(make_run('a', 0, begun=9)))
    assert not reply.known
    assert not leader.assignments.runs


def test_events_of_former_order_do_not_count_for_new_order(
    leader, make_report, make_run
):
    # The reply that ended the run of a former leader was lost, and the item
    # was ordered again on the same store and endpoint. Events of the former
    # run must not count as events of the new one.
    leader.committed[KEY] = [b'1', b'2']
    former = make_run('a', 0, order=7, begun=9)
    leader.receive('one', make_report(former))
    leader.assign('a')
    reply, _ = leader.receive('one', make_report(former))
    assert not reply.known
    assert [order.last_id for order in reply.orders] == [2]
    late = make_run('a', 3, b'10', order=7, begun=9, outcome='completed')
    reply, ended = leader.receive('one', make_report(late))
    assert not ended
    assert leader.assignments.progress[KEY].texts == [b'1', b'2']


def test_run_of_closed_item_is_not_acknowledged(leader, make_report, make_run):
    # The job has ended. The store stops runs that the reply does not name.
    reply, _ = leader.receive('one', make_report(make_run('other', 1)))
    assert not reply.known


def test_run_of_item_that_runs_elsewhere_is_not_acknowledged(
    leader, make_report, make_run
):
    # A store is reachable again while another one runs its item.
    leader.receive('one', make_report())
    leader.assign('a')
    reply, _ = leader.receive('two', make_report(make_run('a', 1, b'1')))
    assert not reply.known
    assert leader.assignments.runs[KEY].worker_id == 'one'


def test_cancelled_run_keeps_its_events(leader, make_report, make_run):
    leader.receive('one', make_report())
    leader.assign('a')
    leader.receive('one', make_report(make_run('a', 1)))
    leader.assignments.runs[KEY].cancelled = True
    reply, ended = leader.receive('one', make_report(make_run('a', 1, b'1')))
    assert reply.cancels == ('o1',)
    assert not ended
    last = make_run('a', 2, b'2', outcome='cancelled')
    _, ended = leader.receive('one', make_report(last))
    assert [run.outcome for run in ended] == ['cancelled']
    assert leader.assignments.progress[KEY].texts == [b'1', b'2']


def test_order_cancelled_before_delivery_ends(leader, make_report):
    leader.receive('one', make_report())
    leader.assign('a')
    leader.assignments.runs[KEY].cancelled = True
    reply, ended = leader.receive('one', make_report())
    assert not reply.orders
    assert [run.outcome for run in ended] == ['cancelled']


def test_runs_of_silent_store_are_reassigned(leader, make_report):
    leader.receive('one', make_report(), now=0.0)
    leader.assign('a', now=0.0)
    leader.receive('two', make_report(), now=1.0)
    assert not leader.assignments.drop_silent_workers(1.0)
    later = assignments.SILENT_SECONDS + 0.1
    ended = leader.assignments.drop_silent_workers(later)
    assert [run.outcome for run in ended] == ['lost']
    assert leader.assign('a', now=later) == 'two'


def test_run_of_silent_store_goes_on_if_it_is_ahead(
    leader, make_report, make_run
):
    """Guards against a run replaced by one that has not produced an event."""
    leader.receive('one', make_report(), now=0.0)
    leader.assign('a', now=0.0)
    leader.receive('one', make_report(make_run('a', 1, b'1', b'2')))
    later = assignments.SILENT_SECONDS + 0.1
    leader.receive('two', make_report(), now=later)
    leader.assignments.drop_silent_workers(later)
    assert leader.assign('a', now=later) == 'two'
    second = make_run('a', 3, order=2, begun=2)
    leader.receive('two', make_report(second), now=later)
    rest = make_run('a', 3, b'3', outcome='completed')
    reply, ended = leader.receive('one', make_report(rest), now=later)
    assert reply.known == (('o1', 3),)
    assert [(run.assignment.order_id, run.outcome) for run in ended] == [
        ('o2', 'cancelled'),
        ('o1', 'completed'),
    ]
    assert leader.assignments.progress[KEY].texts == [b'1', b'2', b'3']
    reply, _ = leader.receive('two', make_report(second), now=later)
    assert not reply.known and not reply.orders


def lose_and_assign_again(leader, make_report, make_run, *texts):
    """Let a store fall silent, and another one run its item."""
    leader.receive('one', make_report(), now=0.0)
    leader.assign('a', now=0.0)
    leader.receive('one', make_report(make_run('a', 1, *texts)))
    later = assignments.SILENT_SECONDS + 0.1
    leader.receive('two', make_report(), now=later)
    leader.assignments.drop_silent_workers(later)
    assert leader.assign('a', now=later) == 'two'
    second = make_run('a', len(texts) + 1, order=2, begun=len(texts))
    leader.receive('two', make_report(second), now=later)
    return later


def test_run_of_silent_store_goes_on_before_its_first_event(
    leader, make_report, make_run
):
    """Guards against a run given up before another one has an event."""
    now = lose_and_assign_again(leader, make_report, make_run)
    first = make_run('a', 1)
    reply, ended = leader.receive('one', make_report(first), now=now)
    assert reply.known == (('o1', 0),)
    assert [(run.assignment.order_id, run.outcome) for run in ended] == [
        ('o2', 'cancelled')
    ]
    second = make_run('a', 1, b'1 of the second run', order=2)
    reply, _ = leader.receive('two', make_report(second), now=now)
    assert not reply.known and not reply.orders
    reply, _ = leader.receive('one', make_report(first), now=now)
    assert reply.known == (('o1', 0),)


def test_run_of_silent_store_ends_after_the_first_event_of_another(
    leader, make_report, make_run
):
    """Guards against events of two runs in one result."""
    now = lose_and_assign_again(leader, make_report, make_run)
    second = make_run('a', 1, b'1 of the second run', order=2)
    leader.receive('two', make_report(second), now=now)
    first = make_run('a', 1, b'1')
    reply, ended = leader.receive('one', make_report(first), now=now)
    assert not reply.known and not ended


def test_unproven_end_at_a_silent_store_is_not_lost(
    leader, make_report, make_run
):
    """Guards against a whole output that another run has to repeat."""
    now = lose_and_assign_again(leader, make_report, make_run, b'1')
    rest = make_run('a', 2, b'2', outcome='unproven')
    reply, ended = leader.receive('one', make_report(rest), now=now)
    assert [run.outcome for run in ended] == ['cancelled', 'unproven']
    assert leader.assignments.progress[KEY].texts == [b'1', b'2']


def test_run_of_silent_store_ends_if_another_is_ahead(
    leader, make_report, make_run
):
    """Guards against events of two runs in one result."""
    leader.receive('one', make_report(), now=0.0)
    leader.assign('a', now=0.0)
    leader.receive('one', make_report(make_run('a', 1, b'1', b'2')))
    later = assignments.SILENT_SECONDS + 0.1
    leader.receive('two', make_report(), now=later)
    leader.assignments.drop_silent_workers(later)
    leader.assign('a', now=later)
    ahead = make_run('a', 3, b'3 of the second run', order=2, begun=2)
    leader.receive('two', make_report(ahead), now=later)
    rest = make_run('a', 3, b'3', b'4', outcome='completed')
    reply, ended = leader.receive('one', make_report(rest), now=later)
    assert not reply.known and not ended
    assert leader.assignments.runs[KEY].worker_id == 'two'


def test_events_of_waiting_items_are_committed_at_once(
    leader, make_report, make_run
):
    # Events of running items are committed less often: all stores receive
    # them, and the result contains them again.
    leader.receive('one', make_report())
    leader.assign('a', now=0.0)
    leader.receive('one', make_report(make_run('a', 1, b'1')))
    assert not leader.assignments.take_uncommitted((), 1.0)
    late = assignments.RUNNING_COMMIT_SECONDS + 0.1
    (committed,) = leader.assignments.take_uncommitted((), late)
    assert (committed.first, committed.texts) == (1, (b'1',))
    assert not leader.assignments.take_uncommitted((), late)
    last = make_run('a', 2, b'2', outcome='cancelled')
    leader.receive('one', make_report(last))
    (committed,) = leader.assignments.take_uncommitted((), late + 0.1)
    assert (committed.first, committed.texts) == (2, (b'2',))


def test_events_of_items_with_results_are_not_committed(
    leader, make_report, make_run
):
    leader.receive('one', make_report())
    leader.assign('a')
    done = make_run('a', 1, b'1', outcome='completed')
    leader.receive('one', make_report(done))
    assert not leader.assignments.take_uncommitted((KEY,), 9.0)


def test_failure_in_lost_reply_counts_once(leader, make_report, make_run):
    # A store reports the end of a run again if it did not get the reply. An
    # item would be given up before it has failed `max_attempts` times.
    leader.receive('one', make_report())
    leader.assign('a')
    failed = make_report(make_run('a', 1, outcome='attempted'))
    _, (first,) = leader.receive('one', failed)
    assert first.outcome == 'attempted'
    reply, ended = leader.receive('one', failed)
    assert not ended
    assert reply.known == (('o1', 0),)


def test_large_items_are_ordered_in_several_replies(
    leader, make_report, make_run
):
    # A reply beyond the limit of a message is never sent, and the store gets
    # no orders at all.
    body = b'x' * (codec.MAX_MESSAGE_BYTES * 2 // 3)
    for name, item in leader.items.items():
        leader.items[name] = dataclasses.replace(item, body=body)
    leader.receive('one', make_report())
    leader.assign('a')
    leader.assign('b')
    ordered = []
    runs = []
    for _ in range(2):
        reply, _ = leader.receive('one', make_report(*runs))
        codec.encode(codec.Envelope('one', 1, True, None, reply))
        ordered += [order.item_id for order in reply.orders]
        runs = [
            make_run(order.item_id, 1, order=order.order_id[1:])
            for order in reply.orders
        ]
    assert ordered == ['a', 'b']


def test_run_of_another_software_version_is_not_adopted(
    leader, make_report, make_run
):
    """Guards against an item that a new leader joins from two versions."""
    leader.committed[KEY] = [b'1', b'2']
    leader.versions[KEY] = 'v1'
    run = make_run('a', 3, b'3', begun=2)
    later = dataclasses.replace(run, software_version='v2')
    reply, _ = leader.receive('one', make_report(later))
    assert not reply.known
    same = dataclasses.replace(run, software_version='v1')
    reply, _ = leader.receive('one', make_report(same))
    assert reply.known == (('o1', 3),)


def test_events_beyond_a_commit_are_committed_one_after_the_other(
    leader, make_report, make_run
):
    # One command with all of them was refused, and the events were lost.
    leader.receive('one', make_report())
    leader.assign('a')
    texts = [b'x' * 500_000] * 7
    leader.receive('one', make_report(make_run('a', 1, *texts)))
    firsts = []
    now = 9.0
    while items := leader.assignments.take_uncommitted((), now):
        command = commands.FAMILY.encode(commands.AddProgress(tuple(items)))
        assert len(command) <= group.MAX_COMMAND_BYTES
        firsts += [item.first for item in items]
        now += 9.0
    assert firsts == [1, 4, 7]


def test_order_is_not_sent_after_its_permit_has_ended(leader, make_report):
    """Guards against items that reach a cold endpoint beyond its limit.

    The reply to the first report was lost.
    """
    cold = dataclasses.replace(leader.endpoints['e1'], start_before=0.3)
    leader.endpoints['e1'] = cold
    leader.receive('one', make_report(), 0.0)
    leader.assign('a')
    reply, _ = leader.receive('one', make_report(), 0.2)
    (order,) = reply.orders
    assert 0 < order.start_within <= 0.3 - 0.2 + 0.001
    reply, ended = leader.receive('one', make_report(), 0.4)
    assert not reply.orders
    assert [run.outcome for run in ended] == ['cancelled']
