"""Tests of retirements while other stores are silent."""

import types
from unittest import mock

import pytest

from rhubarbreach import clock
from rhubarbreach import codes
from rhubarbreach.consensus import model
from rhubarbreach.fleet import reconfiguration
from rhubarbreach.hosts import members
from rhubarbreach.protocol import fleetmessages
from rhubarbreach.protocol import logmessages
from rhubarbreach.settings import role

STORES = ('s1', 's2', 's3', 's4')


@pytest.fixture
def fleet():
    """Return the members of four stores, of which three have to remain."""
    settings = role.RoleSettings(
        name='s1',
        address='s1',
        availability_zone='z1',
        role='store',
        link_port=1,
        seeds=(),
        tolerated_stores=1,
    )
    fleet = members.Members(
        settings,
        types.SimpleNamespace(register=lambda *_, **__: None),
        types.SimpleNamespace(members=(), failure=None),
        types.SimpleNamespace(retiring=set(), silent_stores=frozenset()),
    )
    for host_id in STORES:
        hear(fleet, host_id, 0.0)
    return fleet


def hear(fleet, host_id, silence):
    """Record a store that was last heard some seconds ago."""
    message = fleetmessages.StoreNews(host_id, host_id, 'z1')
    fleet.presence[host_id] = (clock.monotonic() - silence, message)


def test_store_may_retire_while_another_is_frozen(fleet):
    # A frozen or restarting store still remains. The steps of the retirement
    # wait for it; a refusal would end the order of the operator.
    hear(fleet, 's3', members.ABSENT_SECONDS + 1.0)
    assert fleet.check_retirement('s2') is None


@pytest.mark.parametrize('silence', [members.EXPIRY_SECONDS + 1.0, None])
def test_store_may_not_retire_if_too_few_remain(fleet, silence):
    if silence is None:
        fleet.ledger.retiring.add('s3')
    else:
        hear(fleet, 's3', silence)
    refusal = fleet.check_retirement('s2')
    assert refusal.code == codes.ResultCode.REVISION_CONFLICT


def start_leading(fleet):
    """Return the step of a leader that has just been elected."""
    fleet.group = mock.MagicMock()
    fleet.group.members = tuple(
        logmessages.Member(host_id, host_id, host_id != 's4')
        for host_id in STORES
    )
    fleet.group.state.disk_full = False
    fleet.group.failure = None
    fleet.group.list_contacts.return_value = set()
    fleet.link.send = lambda *_: True
    fleet.announce_presence(clock.monotonic())
    fleet.advance_membership(clock.monotonic())
    return fleet.group.promote.called


def test_record_of_a_silent_voter_lasts_until_it_is_heard(fleet):
    """Guards against a record that is lost with the leader that made it."""
    start_leading(fleet)
    assert not fleet.group.propose.called
    fleet.listening_since -= members.SILENT_SECONDS
    hear(fleet, 's2', members.SILENT_SECONDS + 0.1)
    for is_restarted in (False, True):
        if is_restarted:
            del fleet.presence['s2']
            fleet.listening_since = clock.monotonic()
        assert fleet.find_silent_voters(clock.monotonic()) == {'s2'}
        fleet.ledger.silent_stores = frozenset({'s2'})
    hear(fleet, 's2', 0.0)
    assert not fleet.find_silent_voters(clock.monotonic())
    fleet.advance_membership(clock.monotonic())
    assert fleet.group.propose.call_count == 1


def test_store_whose_replica_failed_counts_as_lost(fleet):
    """Guards against a voter that cannot vote and is not replaced."""
    sent = []
    fleet.link.send = lambda host_id, _: sent.append(host_id)
    fleet.group.list_contacts = set
    fleet.group.failure = OSError()
    fleet.announce_presence(clock.monotonic())
    assert not sent
    fleet.group.failure = None
    fleet.announce_presence(clock.monotonic())
    assert sent == ['s2', 's3', 's4']


def test_steps_follow_each_other_at_once(fleet):
    """Guards against a lost voter that stays during a pause between steps."""
    fleet.listening_since -= reconfiguration.SETTLE_SECONDS
    hear(fleet, 's2', members.ABSENT_SECONDS + 0.1)
    assert start_leading(fleet)
    now = clock.monotonic()
    fleet.group.members = tuple(
        logmessages.Member(host_id, host_id, True) for host_id in STORES
    )
    fleet.step_future = model.make_future()
    fleet.advance_membership(now)
    assert not fleet.group.remove.called
    fleet.step_future.set_result(None)
    fleet.advance_membership(now)
    assert fleet.group.remove.called


def test_refused_step_is_repeated_after_a_pause(fleet):
    """Guards against a refused step that holds up the others."""
    fleet.listening_since -= reconfiguration.SETTLE_SECONDS
    hear(fleet, 's2', members.ABSENT_SECONDS + 0.1)
    hear(fleet, 's5', 0.0)
    assert start_leading(fleet)
    now = clock.monotonic()
    for seconds, call in (
        (0.0, fleet.group.add_learner),
        (members.RETRY_INTERVAL_SECONDS + 0.1, fleet.group.promote),
    ):
        fleet.group.reset_mock()
        fleet.step_future = model.make_future()
        fleet.step_future.set_result(
            codes.Refusal(codes.ResultCode.UNAVAILABLE, 'not synced yet')
        )
        fleet.advance_membership(now + seconds)
        assert call.called


def test_addition_without_an_answer_holds_up_no_step(fleet):
    """Guards against a lost voter that stays while a store is added."""
    hear(fleet, 's5', 0.0)
    assert not start_leading(fleet)
    assert fleet.group.add_learner.call_count == 1
    addition = fleet.group.add_learner.return_value = model.make_future()
    fleet.additions = dict.fromkeys(fleet.additions, addition)
    fleet.listening_since -= reconfiguration.SETTLE_SECONDS
    hear(fleet, 's2', members.ABSENT_SECONDS + 0.1)
    now = clock.monotonic()
    fleet.advance_membership(now)
    assert fleet.group.promote.called
    assert fleet.group.add_learner.call_count == 1


def test_leader_replaces_a_voter_lost_before_its_election(fleet):
    """Guards against a wait that starts anew with each leader."""
    fleet.listening_since -= reconfiguration.SETTLE_SECONDS
    hear(fleet, 's2', members.ABSENT_SECONDS + 0.1)
    assert start_leading(fleet)


def test_leader_that_was_suspended_waits_to_hear_from_the_others(fleet):
    """Guards against the replacement of stores that were not heard."""
    fleet.listening_since -= reconfiguration.SETTLE_SECONDS
    for host_id in STORES:
        hear(fleet, host_id, members.ABSENT_SECONDS + 0.1)
    assert not start_leading(fleet)
    hear(fleet, 's4', 0.0)
    assert not start_leading(fleet)


def test_store_that_was_cut_off_since_its_start_listens_first(
    fleet, monkeypatch
):
    """Guards against the replacement of stores that were not heard yet.

    A store that has heard no other one since its start is as deaf as one that
    has not heard them for long.
    """
    start = clock.monotonic()
    fleet.presence.clear()
    fleet.listening_since = start
    now = start + 4 * reconfiguration.SETTLE_SECONDS
    monkeypatch.setattr(clock, 'monotonic', lambda: now)
    fleet.link.send = lambda *_: True
    fleet.group.list_contacts = set
    fleet.announce_presence(now - members.PRESENCE_INTERVAL_SECONDS)
    # The cut ends. Two stores are heard, s3 has not announced itself yet.
    hear(fleet, 's2', 0.0)
    hear(fleet, 's4', 0.0)
    assert not start_leading(fleet)
