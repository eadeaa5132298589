"""Tests of membership change and of leadership."""

from rhubarbreach import clock
from rhubarbreach import codes
from rhubarbreach.consensus.tests import cluster

FOUR = (*cluster.HOSTS, 'host-4')


def soon():
    return clock.monotonic() + cluster.WAIT_SECONDS


def change(three, name, host):
    """Try a change at the leader until it is not refused as early."""

    def attempt():
        leader = three.leader()
        result = getattr(leader, name)(host, soon()).result()
        if isinstance(result, codes.Refusal):
            assert result.code != codes.ResultCode.INVALID_CHANGE, result
            return False
        return True

    cluster.wait_until(attempt)


def test_learner_votes_only_after_promotion(tmp_path):
    """Guards against a new voter that does not hold the log."""
    with cluster.running(tmp_path) as three:
        for number in range(20):
            three.commit(f'{number}'.encode())
        three.start('host-4')
        change(three, 'add_learner', 'host-4')
        assert not three.find_member('host-4').voter
        change(three, 'promote', 'host-4')
        three.wait_joined('host-4')
        change(three, 'remove', 'host-1')
        three.stop('host-1')
        three.stop('host-2')
        three.commit(b'last', host='host-4')
        three.wait_equal()
        assert len(three.get('host-4').machine.commands) == 21


def test_transfer_hands_leadership_to_the_peer(tmp_path):
    """Guards against a drain that waits for an election timeout."""
    with cluster.running(tmp_path) as three:
        leader = three.leader()
        peer = next(
            host for host in cluster.HOSTS if host != leader.settings.host_id
        )
        assert leader.transfer(peer).result(timeout=cluster.WAIT_SECONDS)
        cluster.wait_until(lambda: three.get(peer).is_leader)


def test_isolated_leader_steps_down_and_refuses(tmp_path):
    """Guards against a silent partition that vouches for stale state."""
    with cluster.running(tmp_path) as three:
        leader = three.leader()
        name = leader.settings.host_id

        def cut(sender_id, receiver_id, message):
            return [] if name in (sender_id, receiver_id) else [0]

        three.set_fault(cut)
        last = leader.quorum_contact
        proposed = leader.propose(b'lost', soon())
        cluster.wait_until(lambda: not leader.is_leader)
        assert proposed.result().ran == codes.Ran.UNKNOWN
        assert leader.quorum_contact < last
        refusal = leader.propose(b'refused', soon()).result()
        assert refusal.code == codes.ResultCode.NOT_LEADER
        assert refusal.ran == codes.Ran.NO


def test_paused_leader_does_not_serve_an_old_state(tmp_path):
    """Guards against a leader that resumes after others took over."""
    with cluster.running(tmp_path) as three:
        three.commit(b'one')
        leader = three.leader()
        others = [
            host for host in cluster.HOSTS if host != leader.settings.host_id
        ]
        with leader.lock:
            three.leader(hosts=others)
            three.commit(b'two', host=others[0])
            read = leader.read(soon())
        result = read.result()
        if not isinstance(result, codes.Refusal):
            assert leader.machine.commands == [b'one', b'two']
        three.wait_equal()
