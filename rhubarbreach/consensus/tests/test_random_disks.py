"""Random series of disks that fail, with kills and losses of power."""

import contextlib
import os
import threading
import time

import pytest

from rhubarbreach import codes
from rhubarbreach.consensus import state as states
from rhubarbreach.consensus.tests import cluster
from rhubarbreach.consensus.tests import disks as disk_faults
from rhubarbreach.protocol import link
from rhubarbreach.protocol import logmessages

SEED = int(os.environ.get('RHUBARBREACH_SEED', '1'))
EXAMPLES = int(os.environ.get('RHUBARBREACH_EXAMPLES', '3'))
ROUNDS = 8
# Time in which a group accepts a change after the last disk works again.
RECOVERY_SECONDS = 5.0


class Election:
    """Votes and leaders by term; each may have one value only."""

    def __init__(self, patch):
        self.values = {}
        self.conflicts = []
        send, become_leader = link.Link.send, states.become_leader

        def record_vote(sender, peer_id, message):
            match message:
                case logmessages.VoteReply(granted=True, pre_vote=False):
                    self.record(sender.host_id, message.term, peer_id)
                case logmessages.VoteRequest(pre_vote=False):
                    self.record(sender.host_id, message.term, sender.host_id)
            return send(sender, peer_id, message)

        def record_leader(state, now):
            become_leader(state, now)
            self.record('', state.store.term, state.settings.host_id)

        patch.setattr(link.Link, 'send', record_vote)
        patch.setattr(states, 'become_leader', record_leader)

    def record(self, voter, term, candidate):
        """Record a vote, or the leader of a term, and any second one."""
        known = self.values.setdefault((voter, term), candidate)
        if known != candidate:
            self.conflicts.append((voter, term, known, candidate))


class Writer:
    """Thread that commits commands and keeps those that were accepted."""

    def __init__(self, test_cluster):
        self.cluster = test_cluster
        self.accepted = []
        self.stopping = threading.Event()
        self.thread = threading.Thread(target=self.run)
        self.thread.start()

    def run(self):
        """Commit commands until stopped."""
        number = 0
        while not self.stopping.is_set():
            number += 1
            command = f'{number}'.encode()
            hosts = list(self.cluster.links)
            with contextlib.suppress(KeyError):
                result = self.cluster.propose(
                    cluster.make_operation(command),
                    hosts[number % len(hosts)],
                    seconds=0.5,
                )
                if not isinstance(result, codes.Refusal):
                    self.accepted.append(command)

    def stop(self):
        """Stop the thread."""
        self.stopping.set()
        self.thread.join()


def fail_disks(test_cluster, disks, random):
    """Let one or two disks fail, and kill a store at times."""
    hosts = random.sample(cluster.HOSTS, random.choice((1, 1, 2)))
    for host in hosts:
        operation = random.choice(disk_faults.OPERATIONS)
        disks.fail(host, operation, random.choice(disk_faults.ERRNOS))
    time.sleep(random.uniform(0.1, 0.6))
    killed = random.choice((None, *cluster.HOSTS))
    if killed:
        test_cluster.stop(killed)
        disks.lose_power(killed, random)
        time.sleep(random.uniform(0.0, 0.2))
    for host in hosts:
        disks.heal(host)
        time.sleep(random.uniform(0.0, 0.2))
    if killed:
        test_cluster.start(killed)


@pytest.mark.parametrize('seed', range(SEED, SEED + EXAMPLES))
def test_nothing_accepted_is_lost_when_disks_fail(tmp_path, monkeypatch, seed):
    """Guards against lost entries, second votes and a group that stays out."""
    random = cluster.make_random(seed)
    disks = disk_faults.Disks(monkeypatch)
    election = Election(monkeypatch)
    entries = random.choice((15, 3000))
    with cluster.running(tmp_path, snapshot_entries=entries) as test_cluster:
        test_cluster.commit(b'first')
        writer = Writer(test_cluster)
        try:
            for _ in range(ROUNDS):
                fail_disks(test_cluster, disks, random)
        finally:
            writer.stop()
        test_cluster.commit(b'last', seconds=RECOVERY_SECONDS)
        test_cluster.wait_equal()
        assert not election.conflicts
        commands = set(test_cluster.get('host-1').machine.commands)
        assert writer.accepted
        assert not set(writer.accepted) - commands
