"""Changes of members, one safe step at a time."""

import pytest

from rhubarbreach.fleet import steward
from rhubarbreach.protocol import logmessages


def member(host_id, voter=True):
    return logmessages.Member(host_id, f'disk-{host_id}', voter)


def store(host_id, present=True, retiring=False, forgotten=False):
    return steward.Store(
        host_id, f'zone-{host_id}', present, retiring, forgotten
    )


@pytest.fixture
def three():
    return tuple(member(h) for h in 'abc')


def plan(members, stores, led=60.0):
    return steward.plan_step('a', members, stores, 3, led)


def test_settled_group_stays(three):
    assert plan(three, tuple(store(h) for h in 'abc')) is None


def test_lost_store_without_a_successor_stays(three):
    # With two voters left the loss of one would stop the group.
    assert plan(three, (store('a'), store('b'), store('c', False))) is None


def test_new_leader_waits_until_it_has_heard_all(three):
    # After a restart of all stores a voter that had not been heard yet was
    # replaced by a learner.
    members = (*three, member('d', voter=False))
    stores = (store('a'), store('b'), store('d'))
    assert plan(members, stores, 0.4) is None
    assert plan(members, stores, 4.0) == steward.Promote('d')


def test_successor_votes_before_the_lost_store_goes(three):
    stores = (store('a'), store('b'), store('c', False), store('d'))
    assert plan(three, stores) == steward.AddLearner('d')
    members = (*three, member('d', voter=False))
    assert plan(members, stores) == steward.Promote('d')
    members = (*three, member('d'))
    assert plan(members, stores) == steward.Remove('c')


def test_retiring_store_goes_when_another_votes(three):
    stores = (store('a'), store('b'), store('c', retiring=True))
    assert plan(three, stores) is None
    stores = (*stores, store('d'))
    members = (*three, member('d'))
    assert plan(members, stores) == steward.Remove('c')


def test_retired_store_is_not_added_again():
    members = tuple(member(h) for h in 'abd')
    stores = (*(store(h) for h in 'abd'), store('c', retiring=True))
    assert plan(members, stores) is None


def test_retiring_leader_hands_over(three):
    stores = (store('a', retiring=True), *(store(h) for h in 'bcd'))
    members = (*three, member('d'))
    assert plan(members, stores) == steward.HandOver('b')


def test_lost_store_goes_before_a_retiring_one(three):
    members = (*three, member('d'), member('e'))
    stores = (
        store('a'),
        store('b'),
        store('c', retiring=True),
        store('d', False),
        store('e'),
    )
    assert plan(members, stores) == steward.Remove('d')


def test_learner_in_another_zone_is_preferred():
    members = (member('a'), member('b'), *(member(h, False) for h in 'cd'))
    stores = (
        store('a'),
        store('b'),
        steward.Store('c', 'zone-a', True),
        store('d'),
    )
    assert plan(members, stores) == steward.Promote('d')


@pytest.mark.parametrize(('tolerated', 'voters'), [(1, 3), (2, 5)])
def test_copies_follow_the_losses_to_bear(tolerated, voters):
    assert steward.count_voters(tolerated) == voters


def test_leader_with_a_full_disk_hands_over(three):
    # It refused all changes until its disk had space again.
    stores = tuple(store(h) for h in 'abc')
    step = steward.plan_step('a', three, stores, 3, 60.0, disk_full=True)
    assert step == steward.HandOver('b')
    step = steward.plan_step('a', three, stores, 3, 0.1, disk_full=True)
    assert step == steward.HandOver('b')
    alone = (store('a'), store('b', False), store('c', False))
    assert steward.plan_step('a', three, alone, 3, 60.0, True) is None
