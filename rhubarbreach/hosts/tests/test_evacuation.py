"""Calls of operators that start and end evacuations at stores."""

import dataclasses

import pytest

from rhubarbreach.backlog import commands
from rhubarbreach.backlog import ledger as ledgers
from rhubarbreach import codes
from rhubarbreach.consensus.tests import cluster
from rhubarbreach.hosts import evacuation
from rhubarbreach.hosts.tests import conftest
from rhubarbreach.protocol import fleetmessages


def is_there():
    return True


class Group:
    """Ledger of one store, whose next commit may be delayed or fail.

    `before_commit` is called before each command is applied.
    """

    def __init__(self):
        self.ledger = ledgers.Ledger()
        self.before_commit = lambda: None
        self.read_refusal = None
        self.commit_refusal = None
        self.zones = (frozenset({'z1', 'z2'}), True)
        self.commits = 0

    def query(self, query, _):
        return self.read_refusal or self.ledger.answer_query(query)

    def propose(self, command, _):
        self.before_commit()
        self.commits += 1
        return self.commit_refusal or self.ledger.apply_command(command)

    def make_calls(self):
        return evacuation.EvacuationCalls(
            self.query, self.propose, lambda: self.zones
        )

    @property
    def evacuated(self):
        return self.ledger.get_evacuated()


@pytest.fixture
def group():
    return Group()


@pytest.fixture
def calls(group):
    return group.make_calls()


def test_repeated_calls_are_acknowledged_without_a_change(group, calls):
    """Guards against the refusal of a call whose response was lost."""
    for _ in range(3):
        assert calls.start('z1', is_there) is None
    assert group.evacuated == (1, {'z1'})
    for _ in range(3):
        assert calls.end('z1', is_there) is None
    assert group.evacuated == (2, frozenset())
    assert group.commits == 2


def test_end_without_a_start_is_refused(group, calls):
    """Guards against an operator who names the wrong zone unnoticed."""
    calls.start('z1', is_there)
    refusal = calls.end('z2', is_there)
    assert refusal.code is codes.ResultCode.REVISION_CONFLICT
    assert group.evacuated == (1, {'z1'})


def test_zone_is_unknown_only_when_all_zones_are_known(group, calls):
    """Guards against a permanent refusal by a store that has just started."""
    code = calls.start('z9', is_there).code
    assert code is codes.ResultCode.NOT_FOUND
    group.zones = (frozenset(), False)
    code = calls.start('z1', is_there).code
    assert code is codes.ResultCode.UNAVAILABLE
    assert group.evacuated == (0, frozenset())


@pytest.mark.parametrize('name', ['read_refusal', 'commit_refusal'])
def test_failed_read_or_commit_is_no_acknowledgement(group, calls, name):
    """Guards against an acknowledgement without a commit."""
    refusal = codes.Refusal(
        codes.ResultCode.UNAVAILABLE, '', codes.Ran.UNKNOWN
    )
    setattr(group, name, refusal)
    assert calls.start('z1', is_there) is refusal


def test_withdrawal_that_is_committed_late_changes_nothing(group, calls):
    """Guards against a delayed commit that undoes a new evacuation."""
    calls.start('z1', is_there)
    others = group.make_calls()

    def change_meanwhile():
        group.before_commit = lambda: None
        others.end('z1', is_there)
        others.start('z1', is_there)

    group.before_commit = change_meanwhile
    late = [True]
    # Its caller gives up while the commit is delayed.
    refusal = calls.end('z1', lambda: late.pop() if late else False)
    assert refusal.code is codes.ResultCode.CANCELLED
    assert group.evacuated == (3, {'z1'})


def test_call_of_a_caller_that_has_given_up_changes_nothing(group, calls):
    """Guards against a call that waited in a store that stood still."""
    calls.start('z1', is_there)
    refusal = calls.end('z1', lambda: False)
    assert refusal.code is codes.ResultCode.CANCELLED
    assert group.evacuated == (1, {'z1'})


def test_call_that_races_with_another_is_tried_again(group, calls):
    """Guards against a refusal because another operator was faster."""
    calls.start('z1', is_there)
    others = group.make_calls()

    def change_meanwhile():
        group.before_commit = lambda: None
        others.end('z1', is_there)
        others.start('z1', is_there)

    group.before_commit = change_meanwhile
    assert calls.end('z1', is_there) is None
    assert group.evacuated == (4, frozenset())


def send_exchange(store, revision):
    message = fleetmessages.Exchange(
        0, '', {}, {}, {}, evacuation_revision=revision
    )
    return store.exchanges.answer('entry', message)


def test_hosts_get_the_zones_only_when_their_revision_differs(stores):
    """Guards against hosts that miss a change, or are sent it for ever."""
    leader = conftest.find_leader(stores)
    follower = next(store for store in stores if store is not leader)
    cluster.wait_until(
        lambda: follower.evacuations.start('z1', is_there) is None
    )
    leader = conftest.find_leader(stores)
    reply = cluster.wait_until(
        lambda: reply if (reply := send_exchange(leader, 0)).is_leader else 0
    )
    assert (reply.evacuation_revision, reply.evacuated) == (1, ('z1',))
    assert send_exchange(leader, 1).evacuated is None
    command = commands.ReadEvacuation('z1')
    assert leader.ledger.answer_query(command).is_evacuated
    # The zone has lost its last host, and is still to be brought back.
    leader.evacuated_zones.settings = dataclasses.replace(
        leader.settings, zones=('z7',)
    )
    assert leader.evacuated_zones.find_zones() == ({'z1', 'z7'}, True)


def test_restored_zone_counts_as_cold_before_hosts_learn_of_it(stores):
    """Guards against a zone that gets full traffic while it is cold."""
    leader = conftest.find_leader(stores)
    cluster.wait_until(
        lambda: leader.evacuations.start('z1', is_there) is None
    )
    treated = []
    leader.endpoints.treat_zone_as_cold = lambda zone, _: treated.append(zone)
    cluster.wait_until(
        lambda: send_exchange(leader, 0).evacuation_revision == 1
    )
    assert treated == []
    cluster.wait_until(lambda: leader.evacuations.end('z1', is_there) is None)
    reply = cluster.wait_until(
        lambda: (
            reply
            if (reply := send_exchange(leader, 1)).evacuated == ()
            else None
        )
    )
    assert reply.evacuation_revision == 2
    assert treated == ['z1']
