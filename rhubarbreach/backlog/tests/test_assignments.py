"""Runs of items on stores whose messages are lost, late or repeated."""

from rhubarbreach.backlog import assignments

KEY = ('job', 'a')


def test_stores_of_the_endpoints_zone_run_its_items(bench, make_report):
    # Events would cross availability zones twice.
    bench.take('far', make_report(zone='z2'))
    bench.take('near', make_report(zone='z1'))
    assert bench.assign('a', 'e1') == 'near'
    assert bench.assign('b', 'e2') == 'far'


def test_runs_spread_over_the_stores_of_a_zone(bench, make_report):
    bench.take('one', make_report())
    bench.take('two', make_report())
    assert {bench.assign('a'), bench.assign('b')} == {'one', 'two'}


def test_store_that_ends_gets_no_orders(bench, make_report):
    bench.take('one', make_report(takes_orders=False))
    assert bench.assign('a') is None


def test_order_whose_answer_was_lost_is_sent_again(
    bench, make_report, make_run
):
    bench.take('one', make_report())
    bench.assign('a')
    for _ in range(2):
        reply, _ = bench.take('one', make_report())
        assert [order.item_id for order in reply.orders] == ['a']
    reply, _ = bench.take('one', make_report(make_run('a', 1)))
    assert not reply.orders


def test_store_that_restarts_does_not_repeat_its_run(
    bench, make_report, make_run
):
    # The store was killed and came back before it counted as silent; the
    # order was sent again, and the events of its second run were taken for
    # the next ones of the first (jssca-cutdesk trouble-3, --vary, seed
    # 1094896698990).
    bench.take('one', make_report())
    bench.assign('a')
    bench.take('one', make_report(make_run('a', 1, b'1', b'2')))
    reply, ended = bench.take('one', make_report())
    assert [one.outcome for one in ended] == ['lost']
    assert not reply.orders
    bench.assign('a')
    reply, _ = bench.take('one', make_report())
    assert [order.last_id for order in reply.orders] == [2]


def test_events_that_are_reported_twice_count_once(
    bench, make_report, make_run
):
    # The answer to a report was lost, and the store sends it again.
    bench.take('one', make_report())
    bench.assign('a')
    bench.take('one', make_report(make_run('a', 1, b'1', b'2')))
    again = make_run('a', 1, b'1', b'2', b'3', outcome='completed')
    reply, ended = bench.take('one', make_report(again))
    assert bench.made.progress[KEY].texts == [b'1', b'2', b'3']
    assert reply.known == (('o1', 3),)
    assert [(one.outcome, one.made) for one in ended] == [('completed', 3)]


def test_end_of_a_run_with_a_gap_is_not_taken(bench, make_report, make_run):
    # Otherwise a result would lack the events that a former leader had.
    bench.take('one', make_report())
    bench.assign('a')
    late = make_run('a', 5, b'5', outcome='completed')
    reply, ended = bench.take('one', make_report(late))
    assert not ended
    assert reply.known == (('o1', 0),)
    assert KEY in bench.made.runs


def test_new_leader_goes_on_with_runs_of_the_former_one(
    bench, make_report, make_run
):
    # Items were begun anew after each loss of a leader.
    bench.kept[KEY] = [b'1', b'2']
    reply, _ = bench.take('one', make_report(make_run('a', 0, begun=2)))
    assert reply.known == (('o1', 2),)
    rest = make_run('a', 3, b'3', begun=2, outcome='completed')
    _, ended = bench.take('one', make_report(rest))
    assert [one.outcome for one in ended] == ['completed']
    assert bench.made.progress[KEY].texts == [b'1', b'2', b'3']


def test_new_leader_goes_on_with_a_run_that_made_what_is_kept(
    bench, make_report, make_run
):
    # A long item was run from its last kept event again after each loss of
    # a leader.
    bench.kept[KEY] = [b'1', b'2']
    bench.makers[KEY] = ('o7', 0)
    reply, _ = bench.take('one', make_report(make_run('a', 0, order=7)))
    assert reply.known == (('o7', 2),)
    rest = make_run('a', 3, b'3', order=7)
    bench.take('one', make_report(rest))
    (kept,) = bench.made.take_unkept((), 9.0)
    assert (kept.first, kept.texts) == (3, (b'3',))
    assert (kept.order_id, kept.begun) == ('o7', 0)


def test_events_of_two_runs_are_committed_apart(bench, make_report, make_run):
    # The ledger has to see at which event the second run was to go on.
    bench.take('one', make_report())
    bench.assign('a')
    bench.take('one', make_report(make_run('a', 1, b'1', outcome='failed')))
    bench.assign('a')
    rest = make_run('a', 2, b'2', b'3', order=2, begun=1)
    bench.take('one', make_report(rest))
    kept = bench.made.take_unkept((), 9.0)
    assert [(k.order_id, k.begun, k.first) for k in kept] == [
        ('o1', 0, 1),
        ('o2', 1, 2),
    ]
    assert [k.texts for k in kept] == [(b'1',), (b'2', b'3')]


def test_text_does_not_go_on_with_a_run_that_began_before_another(
    bench, make_report, make_run
):
    # Two runs of an item, the second one after event 1 of the first; a new
    # leader that heard of the first one joined their texts (jssca-cutdesk
    # hunt-5e34-7).
    bench.kept[KEY] = [b'1', b'2 of the second run']
    bench.makers[KEY] = ('second', 1)
    reply, _ = bench.take('one', make_report(make_run('a', 0, order=7)))
    assert not reply.known
    bench.assign('a')
    again = make_run(
        'a', 3, b'3 of the first run', order=7, outcome='completed'
    )
    reply, ended = bench.take('one', make_report(again))
    assert not ended
    assert [order.last_id for order in reply.orders] == [2]


def test_new_leader_ends_runs_whose_first_events_are_lost(
    bench, make_report, make_run
):
    # The run began after event 9, of which the ledger has two.
    bench.kept[KEY] = [b'1', b'2']
    reply, _ = bench.take('one', make_report(make_run('a', 0, begun=9)))
    assert not reply.known
    assert not bench.made.runs


def test_run_of_a_former_order_is_not_taken_for_the_new_one(
    bench, make_report, make_run
):
    # The answer that ended the run of a former leader was lost, and its item
    # was ordered again on the same store and endpoint: its events would
    # have been taken for earlier ones.
    bench.kept[KEY] = [b'1', b'2']
    former = make_run('a', 0, order=7, begun=9)
    bench.take('one', make_report(former))
    bench.assign('a')
    reply, _ = bench.take('one', make_report(former))
    assert not reply.known
    assert [order.last_id for order in reply.orders] == [2]
    late = make_run('a', 3, b'10', order=7, begun=9, outcome='completed')
    reply, ended = bench.take('one', make_report(late))
    assert not ended
    assert bench.made.progress[KEY].texts == [b'1', b'2']


def test_run_of_an_item_that_is_not_open_is_not_known(
    bench, make_report, make_run
):
    # Its job was ended; the store stops what the answer does not name.
    reply, _ = bench.take('one', make_report(make_run('other', 1)))
    assert not reply.known


def test_item_that_runs_elsewhere_is_not_known_to_a_second_store(
    bench, make_report, make_run
):
    # A store comes back after a cut while another one runs its item.
    bench.take('one', make_report())
    bench.assign('a')
    reply, _ = bench.take('two', make_report(make_run('a', 1, b'1')))
    assert not reply.known
    assert bench.made.runs[KEY].worker_id == 'one'


def test_cancelled_run_keeps_its_events(bench, make_report, make_run):
    bench.take('one', make_report())
    bench.assign('a')
    bench.take('one', make_report(make_run('a', 1)))
    bench.made.runs[KEY].cancelled = True
    reply, ended = bench.take('one', make_report(make_run('a', 1, b'1')))
    assert reply.cancels == ('o1',)
    assert not ended
    last = make_run('a', 2, b'2', outcome='cancelled')
    _, ended = bench.take('one', make_report(last))
    assert [one.outcome for one in ended] == ['cancelled']
    assert bench.made.progress[KEY].texts == [b'1', b'2']


def test_order_withdrawn_before_it_arrived_ends(bench, make_report):
    bench.take('one', make_report())
    bench.assign('a')
    bench.made.runs[KEY].cancelled = True
    reply, ended = bench.take('one', make_report())
    assert not reply.orders
    assert [one.outcome for one in ended] == ['cancelled']


def test_runs_of_a_silent_store_are_given_to_others(bench, make_report):
    bench.take('one', make_report(), now=0.0)
    bench.assign('a', now=0.0)
    bench.take('two', make_report(), now=1.0)
    assert not bench.made.drop_silent(1.0)
    later = assignments.SILENT_SECONDS + 0.1
    ended = bench.made.drop_silent(later)
    assert [one.outcome for one in ended] == ['lost']
    assert bench.assign('a', now=later) == 'two'


def test_events_of_waiting_items_are_committed_at_once(
    bench, make_report, make_run
):
    # Each byte of progress goes to all stores and comes again in the result.
    bench.take('one', make_report())
    bench.assign('a', now=0.0)
    bench.take('one', make_report(make_run('a', 1, b'1')))
    assert not bench.made.take_unkept((), 1.0)
    late = assignments.KEEP_SECONDS + 0.1
    (kept,) = bench.made.take_unkept((), late)
    assert (kept.first, kept.texts) == (1, (b'1',))
    assert not bench.made.take_unkept((), late)
    last = make_run('a', 2, b'2', outcome='cancelled')
    bench.take('one', make_report(last))
    (kept,) = bench.made.take_unkept((), late + 0.1)
    assert (kept.first, kept.texts) == (2, (b'2',))


def test_events_of_listed_items_are_not_committed(
    bench, make_report, make_run
):
    bench.take('one', make_report())
    bench.assign('a')
    done = make_run('a', 1, b'1', outcome='completed')
    bench.take('one', make_report(done))
    assert not bench.made.take_unkept((KEY,), 9.0)
