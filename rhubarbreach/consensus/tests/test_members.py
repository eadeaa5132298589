"""Tests of membership changes and of leadership."""

import contextlib
import dataclasses
import itertools

from rhubarbreach import clock
from rhubarbreach import codes
from rhubarbreach.consensus import changes
from rhubarbreach.consensus import client
from rhubarbreach.consensus import leading
from rhubarbreach.consensus import model
from rhubarbreach.consensus.tests import cluster
from rhubarbreach.protocol import logmessages

FOUR = (*cluster.HOSTS, 'host-4')


def make_deadline():
    return clock.monotonic() + cluster.WAIT_SECONDS


def change(test_cluster, name, host):
    """Retry a membership change on the leader until it is committed."""

    def attempt():
        leader = test_cluster.leader()
        result = getattr(leader, name)(host, make_deadline()).result()
        if isinstance(result, codes.Refusal):
            assert result.code != codes.ResultCode.INVALID_CHANGE, result
            return False
        return True

    cluster.wait_until(attempt)


def test_learner_votes_only_after_promotion(tmp_path):
    """Guards against a new voter that does not hold the log."""
    with cluster.running(tmp_path) as test_cluster:
        for number in range(20):
            test_cluster.commit(f'{number}'.encode())
        test_cluster.start('host-4')
        change(test_cluster, 'add_learner', 'host-4')
        assert not test_cluster.find_member('host-4').voter
        change(test_cluster, 'promote', 'host-4')
        test_cluster.wait_joined('host-4')
        change(test_cluster, 'remove', 'host-1')
        test_cluster.stop('host-1')
        test_cluster.stop('host-2')
        test_cluster.commit(b'last', host='host-4')
        test_cluster.wait_equal()
        assert len(test_cluster.get('host-4').machine.commands) == 21


def drop_replies(sender_id, receiver_id, message):
    return [] if isinstance(message, logmessages.AppendReply) else [0.0]


def change_without_replies(test_cluster, name, host):
    """Start a membership change that no peer of the leader acknowledges."""

    def attempt():
        test_cluster.set_fault(None)
        leader = test_cluster.leader()
        peer = leader.state.peers.get(host)
        if peer is not None and peer.match_index < leader.state.commit_index:
            return False
        test_cluster.set_fault(drop_replies)
        deadline = clock.monotonic() + 0.2
        result = getattr(leader, name)(host, deadline).result()
        return getattr(result, 'ran', None) == codes.Ran.UNKNOWN

    cluster.wait_until(attempt)
    test_cluster.set_fault(None)


def test_membership_change_that_has_run_may_be_repeated(tmp_path):
    """Guards against a refusal, with ran NO, of a change that has run."""
    with cluster.running(tmp_path) as test_cluster:
        test_cluster.start('host-4')
        store_id = test_cluster.get('host-4').store.store_id
        change_without_replies(test_cluster, 'add_learner', 'host-4')
        change(test_cluster, 'add_learner', 'host-4')
        learner = logmessages.Member('host-4', store_id, False)
        assert test_cluster.find_member('host-4') == learner
        change_without_replies(test_cluster, 'promote', 'host-4')
        change(test_cluster, 'promote', 'host-4')
        voter = logmessages.Member('host-4', store_id, True)
        assert test_cluster.find_member('host-4') == voter
        change_without_replies(test_cluster, 'remove', 'host-4')
        change(test_cluster, 'remove', 'host-4')
        assert test_cluster.find_member('host-4') is None
        assert len(test_cluster.leader().members) == 3


def test_member_with_another_store_is_not_added(tmp_path):
    """Guards against a learner that counts under the identity of a voter."""
    with cluster.running(tmp_path) as test_cluster:
        hello = logmessages.StoreHello('g', 'other', False, ())

        def find_refusal():
            leader = test_cluster.leader()
            leader_id = leader.settings.host_id
            future = model.make_future()
            leader.post(
                changes.finish_add_learner,
                leader.state,
                next(host for host in cluster.HOSTS if host != leader_id),
                hello,
                make_deadline(),
                future,
            )
            refusal = future.result(timeout=cluster.WAIT_SECONDS)
            return None if refusal.code in client.RETRIED_CODES else refusal

        refusal = cluster.wait_until(find_refusal)
        assert refusal.code == codes.ResultCode.INVALID_CHANGE
        assert refusal.ran == codes.Ran.NO


def test_last_voter_is_not_removed(tmp_path):
    """Guards against a group that can never change again."""
    with cluster.running(tmp_path, ('host-1',)) as test_cluster:
        leader = test_cluster.leader()
        refusal = leader.remove('host-1', make_deadline()).result()
        assert refusal.code == codes.ResultCode.INVALID_CHANGE


def set_election_timeout(test_cluster, seconds):
    for replica in test_cluster.groups():
        with replica.lock:
            replica.settings = replica.state.settings = dataclasses.replace(
                replica.settings, election_timeout=seconds
            )


def is_followed(test_cluster, leader):
    """Return whether all others will follow a leader for a long time."""
    leader_id = leader.settings.host_id
    due = clock.monotonic() + cluster.WAIT_SECONDS
    return leader.is_leader and all(
        other.leader_id == leader_id and other.state.election_deadline > due
        for other in test_cluster.groups()
        if other is not leader
    )


def hold_elections(test_cluster):
    """Return a leader whose peers start no election by themselves."""

    def attempt():
        set_election_timeout(test_cluster, cluster.ELECTION_TIMEOUT_SECONDS)
        leader = test_cluster.leader()
        set_election_timeout(test_cluster, 3 * cluster.WAIT_SECONDS)
        with contextlib.suppress(AssertionError):
            cluster.wait_until(lambda: is_followed(test_cluster, leader), 2.0)
            return leader
        return None

    return cluster.wait_until(attempt)


def hand_over(test_cluster, leader, host):
    """Transfer leadership; fails if that waits for an election timeout."""
    future = leader.transfer(host)
    assert future.result(timeout=cluster.WAIT_SECONDS)
    cluster.wait_until(lambda: test_cluster.get(host).is_leader)


def make_leader(test_cluster, host):
    """Make a host the leader."""
    leader = hold_elections(test_cluster)
    if leader.settings.host_id != host:
        hand_over(test_cluster, leader, host)
    set_election_timeout(test_cluster, cluster.ELECTION_TIMEOUT_SECONDS)


def test_transfer_hands_leadership_to_the_peer(tmp_path):
    """Guards against a drain that waits for an election timeout."""
    with cluster.running(tmp_path) as test_cluster:
        leader = hold_elections(test_cluster)
        peer = next(
            host for host in cluster.HOSTS if host != leader.settings.host_id
        )
        hand_over(test_cluster, leader, peer)


def test_isolated_leader_steps_down_and_refuses(tmp_path):
    """Guards against an isolated leader that still confirms stale state."""
    with cluster.running(tmp_path) as test_cluster:
        leader = test_cluster.leader()
        name = leader.settings.host_id

        def cut(sender_id, receiver_id, message):
            return [] if name in (sender_id, receiver_id) else [0]

        test_cluster.set_fault(cut)
        last = leader.quorum_contact
        proposed = leader.propose(b'lost', make_deadline())
        cluster.wait_until(lambda: not leader.is_leader)
        assert proposed.result().ran == codes.Ran.UNKNOWN
        assert leader.quorum_contact < last
        refusal = leader.propose(b'refused', make_deadline()).result()
        assert refusal.code == codes.ResultCode.NOT_LEADER
        assert refusal.ran == codes.Ran.NO


def test_paused_leader_does_not_serve_an_old_state(tmp_path):
    """Guards against stale reads on a leader that resumes after a pause."""
    with cluster.running(tmp_path) as test_cluster:
        test_cluster.commit(b'one')
        leader = test_cluster.leader()
        others = [
            host for host in cluster.HOSTS if host != leader.settings.host_id
        ]
        with leader.lock:
            test_cluster.leader(hosts=others)
            test_cluster.commit(b'two', host=others[0])
            read = leader.read(make_deadline())
        result = read.result()
        if not isinstance(result, codes.Refusal):
            assert leader.machine.commands == [b'one', b'two']
        test_cluster.wait_equal()


def count_entries(test_cluster, host):
    """Return the entries that the log of a host holds."""
    return test_cluster.get(host).store.last_index


def test_learner_gets_no_log_until_it_is_to_vote(tmp_path):
    """Guards against a log that is sent to every store of a large fleet.

    Of 15 stores five vote; the log was 204 MB of the 240 MB that the leader
    sent in 35 s, most of it to the ten others.
    """
    with cluster.running(tmp_path, has_standbys=True) as test_cluster:
        test_cluster.start('host-4')
        change(test_cluster, 'add_learner', 'host-4')
        for number in range(20):
            test_cluster.commit(f'{number}'.encode(), host='host-1')
        standby = test_cluster.get('host-4')
        cluster.wait_until(lambda: standby.is_standby)
        assert count_entries(test_cluster, 'host-4') == 0
        assert standby.leader_id is not None
        # A read of a standby is refused at once, and a client asks the leader.
        refusal = standby.read(make_deadline()).result(timeout=1.0)
        assert refusal.code == codes.ResultCode.NOT_LEADER
        change(test_cluster, 'promote', 'host-4')
        test_cluster.wait_joined('host-4')
        assert not standby.is_standby
        leader_id = test_cluster.leader().settings.host_id
        test_cluster.stop(leader_id)
        others = [host for host in FOUR if host != leader_id]
        test_cluster.leader(hosts=others)
        test_cluster.commit(b'last', host='host-4')
        cluster.wait_until(lambda: b'last' in standby.machine.commands)
        assert len(standby.machine.commands) >= 21


def test_snapshot_is_not_postponed_for_a_standby(tmp_path):
    """Guards against a log that grows while a learner has no need of it."""
    with cluster.running(
        tmp_path, has_standbys=True, snapshot_entries=40
    ) as test_cluster:
        test_cluster.start('host-4')
        change(test_cluster, 'add_learner', 'host-4')
        numbers = itertools.count()

        def needs_snapshot():
            """Return whether the log no longer reaches back to the standby.

            A new leader counts the standby from the start of its own term.
            """
            number = next(numbers)
            test_cluster.commit(f'{number}'.encode(), host='host-1')
            leader = test_cluster.leader()
            with leader.lock:
                peer = leader.state.peers.get('host-4')
                now = clock.monotonic()
                if (
                    peer is None
                    or peer.next_index > leader.store.base_index
                    or peer.last_contact < now - 0.5
                ):
                    return False
                assert peer.is_standby
                assert not leading.is_installing(leader.state, now)
            return number >= 100

        cluster.wait_until(needs_snapshot)
        change(test_cluster, 'promote', 'host-4')
        test_cluster.wait_joined('host-4')
        machine = test_cluster.get('host-4').machine
        cluster.wait_until(lambda: len(machine.commands) > 100)


def test_replaced_voter_is_no_standby(tmp_path):
    """Guards against a lost copy of the log that is not made again."""
    with cluster.running(tmp_path, has_standbys=True) as test_cluster:
        test_cluster.commit(b'one')
        test_cluster.wait_equal()
        test_cluster.stop('host-2')
        cluster.wipe(tmp_path / 'host-2')
        test_cluster.start('host-2')
        test_cluster.wait_joined('host-2')
        test_cluster.wait_equal()


def test_wiped_voter_that_knows_only_followers_is_replaced(tmp_path):
    """Guards against a lost copy of the log that is never made again.

    The contacts of a store are the seeds of its settings, and the leader may
    be a store that joined later.
    """
    with cluster.running(
        tmp_path, initial=cluster.HOSTS, contacts=cluster.HOSTS
    ) as test_cluster:
        test_cluster.commit(b'one')
        test_cluster.start('host-4')
        change(test_cluster, 'add_learner', 'host-4')
        change(test_cluster, 'promote', 'host-4')
        make_leader(test_cluster, 'host-4')
        change(test_cluster, 'remove', 'host-1')
        test_cluster.stop('host-1')
        test_cluster.stop('host-2')
        cluster.wipe(tmp_path / 'host-2')
        # Only the first start of a fleet may form a group.
        test_cluster.initial = ()
        test_cluster.start('host-2')
        test_cluster.wait_joined('host-2')
        assert test_cluster.leader().settings.host_id == 'host-4'


def test_new_store_that_knows_only_a_standby_finds_the_leader(tmp_path):
    """Guards against a store that never joins, as its contacts do not vote."""
    with cluster.running(tmp_path, has_standbys=True) as test_cluster:
        test_cluster.start('host-4')
        change(test_cluster, 'add_learner', 'host-4')
        cluster.wait_until(lambda: test_cluster.get('host-4').is_standby)
        test_cluster.initial = ()
        test_cluster.options['contacts'] = ('host-4',)
        test_cluster.start('host-5')
        leader_id = test_cluster.leader().settings.host_id
        new = test_cluster.get('host-5')
        cluster.wait_until(lambda: leader_id in new.list_contacts())


def test_removed_store_with_an_old_log_finds_the_leader(tmp_path):
    """Guards against a store that never joins again with its old disk.

    Its log does not hold its removal, nor the store that leads since.
    """
    with cluster.running(
        tmp_path, initial=cluster.HOSTS, contacts=cluster.HOSTS
    ) as test_cluster:
        for host in ('host-4', 'host-5'):
            test_cluster.start(host)
            change(test_cluster, 'add_learner', host)
            change(test_cluster, 'promote', host)
            if host == 'host-4':
                test_cluster.commit(b'one')
                test_cluster.wait_equal()
                test_cluster.stop('host-4')
        make_leader(test_cluster, 'host-5')
        change(test_cluster, 'remove', 'host-4')
        test_cluster.start('host-4')
        leader = test_cluster.get('host-5')
        cluster.wait_until(lambda: 'host-4' in leader.state.hellos)
