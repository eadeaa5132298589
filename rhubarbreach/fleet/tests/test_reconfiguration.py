"""Tests of the planning of membership changes."""

import pytest

from rhubarbreach.fleet import reconfiguration
from rhubarbreach.protocol import logmessages


def make_member(host_id, voter=True):
    return logmessages.Member(host_id, f'disk-{host_id}', voter)


def make_store(host_id, present=True, retiring=False, expired=False):
    return reconfiguration.Store(
        host_id, f'zone-{host_id}', present, retiring, expired
    )


@pytest.fixture
def three_voters():
    return tuple(make_member(h) for h in 'abc')


def plan(members, stores, listening_seconds=60.0, silent=frozenset()):
    return reconfiguration.plan_step(
        'a', members, stores, 3, listening_seconds, silent=silent
    )


def test_healthy_group_is_not_changed(three_voters):
    assert plan(three_voters, tuple(make_store(h) for h in 'abc')) is None


def test_lost_store_without_a_replacement_is_kept(three_voters):
    # With two voters left, the loss of one would lose the quorum.
    assert (
        plan(
            three_voters,
            (make_store('a'), make_store('b'), make_store('c', False)),
        )
        is None
    )


def test_new_leader_waits_to_hear_from_all_stores(three_voters):
    # After a restart of all stores, a voter that had not been heard from yet
    # was replaced by a learner.
    members = (*three_voters, make_member('d', voter=False))
    stores = (make_store('a'), make_store('b'), make_store('d'))
    assert plan(members, stores, 0.4) is None
    assert plan(members, stores, 4.0) == reconfiguration.Promote('d')


def test_learner_gets_the_log_before_a_voter_is_known_to_be_lost(three_voters):
    """Guards against a replacement that starts to sync only after the wait."""
    members = (*three_voters, *(make_member(h, False) for h in 'de'))
    stores = tuple(make_store(h) for h in 'abde')
    seconds = reconfiguration.PREPARE_SECONDS
    assert plan(members, stores, seconds) == reconfiguration.Prepare('d')
    assert plan(members, (*stores, make_store('c')), seconds) is None


def test_voter_that_was_silent_before_a_restart_is_not_waited_for(
    three_voters,
):
    """Guards against a wait that starts anew with each restart."""
    members = (*three_voters, make_member('d', False))
    stores = tuple(make_store(h) for h in 'ad')
    silent = frozenset('c')
    seconds = reconfiguration.CONFIRM_SECONDS
    assert plan(members, stores, 0.0, silent) == reconfiguration.Prepare('d')
    assert plan(members, stores, seconds, silent) == reconfiguration.Promote(
        'd'
    )
    assert plan(members, stores, seconds) is None
    # The other voter that is not heard yet may still be starting.
    members = (*three_voters, make_member('d'))
    assert plan(members, stores, seconds, silent) == reconfiguration.Remove(
        'c'
    )


def test_voter_that_was_silent_before_a_restart_stays_once_heard(three_voters):
    """Guards against the removal of a store that has started again."""
    members = (*three_voters, make_member('d'))
    stores = tuple(make_store(h) for h in 'abcd')
    for seconds in (reconfiguration.CONFIRM_SECONDS, 60.0):
        assert plan(members, stores, seconds, frozenset('c')) is None


def test_new_leader_adds_a_new_store_at_once(three_voters):
    # After the loss of a leader, the replacement voted 0.4 s later.
    stores = tuple(make_store(h) for h in 'abd')
    assert plan(three_voters, stores, 0.4) == reconfiguration.AddLearner('d')


def test_replacement_votes_before_the_lost_store_is_removed(three_voters):
    stores = (
        make_store('a'),
        make_store('b'),
        make_store('c', False),
        make_store('d'),
    )
    assert plan(three_voters, stores) == reconfiguration.AddLearner('d')
    members = (*three_voters, make_member('d', voter=False))
    assert plan(members, stores) == reconfiguration.Promote('d')
    members = (*three_voters, make_member('d'))
    assert plan(members, stores) == reconfiguration.Remove('c')


def test_retiring_store_is_removed_once_another_votes(three_voters):
    stores = (make_store('a'), make_store('b'), make_store('c', retiring=True))
    assert plan(three_voters, stores) is None
    stores = (*stores, make_store('d'))
    members = (*three_voters, make_member('d'))
    assert plan(members, stores) == reconfiguration.Remove('c')


def test_retired_store_is_not_added_again():
    members = tuple(make_member(h) for h in 'abd')
    stores = (*(make_store(h) for h in 'abd'), make_store('c', retiring=True))
    assert plan(members, stores) is None


def test_retiring_leader_transfers_leadership(three_voters):
    stores = (make_store('a', retiring=True), *(make_store(h) for h in 'bcd'))
    members = (*three_voters, make_member('d'))
    assert plan(members, stores) == reconfiguration.HandOver('b')


def test_lost_store_is_removed_before_a_retiring_one(three_voters):
    members = (*three_voters, make_member('d'), make_member('e'))
    stores = (
        make_store('a'),
        make_store('b'),
        make_store('c', retiring=True),
        make_store('d', False),
        make_store('e'),
    )
    assert plan(members, stores) == reconfiguration.Remove('d')


def test_lost_store_is_removed_while_another_one_cannot_retire(three_voters):
    """Guards against a lost voter that stays while a store is to retire."""
    members = (*three_voters, make_member('d'))
    stores = (
        make_store('a'),
        make_store('b', retiring=True),
        make_store('c', False),
        make_store('d'),
    )
    assert plan(members, stores) == reconfiguration.Remove('c')


def test_new_store_does_not_hold_up_a_replacement(three_voters):
    """Guards against a wait for a new store that cannot be reached."""
    members = (*three_voters, *(make_member(h, False) for h in 'de'))
    stores = (make_store('c', False), *(make_store(h) for h in 'abdef'))
    steps = [
        reconfiguration.Promote('d'),
        reconfiguration.Promote('e'),
        reconfiguration.AddLearner('f'),
        None,
    ]
    for count, step in enumerate(steps):
        assert step == reconfiguration.plan_step(
            'a', members, stores, 3, 60.0, refused=steps[:count]
        )


def test_learner_in_another_zone_is_preferred():
    members = (
        make_member('a'),
        make_member('b'),
        *(make_member(h, False) for h in 'cd'),
    )
    stores = (
        make_store('a'),
        make_store('b'),
        reconfiguration.Store('c', 'zone-a', True),
        make_store('d'),
    )
    assert plan(members, stores) == reconfiguration.Promote('d')


@pytest.mark.parametrize(('tolerated', 'voters'), [(1, 3), (2, 5)])
def test_voters_match_the_tolerated_losses(tolerated, voters):
    assert reconfiguration.count_voters(tolerated) == voters


def test_leader_with_a_full_disk_transfers_leadership(three_voters):
    # A leader kept its role and refused all changes until its disk had space.
    stores = tuple(make_store(h) for h in 'abc')
    step = reconfiguration.plan_step(
        'a', three_voters, stores, 3, 60.0, disk_full=True
    )
    assert step == reconfiguration.HandOver('b')
    step = reconfiguration.plan_step(
        'a', three_voters, stores, 3, 0.1, disk_full=True
    )
    assert step == reconfiguration.HandOver('b')
    alone = (make_store('a'), make_store('b', False), make_store('c', False))
    assert (
        reconfiguration.plan_step('a', three_voters, alone, 3, 60.0, True)
        is None
    )
