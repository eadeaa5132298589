"""Tests of groups whose disks take long to sync."""

import os
import time

import pytest

from rhubarbreach.consensus import store as stores
from rhubarbreach.consensus.tests import cluster
from rhubarbreach.consensus import voting
from rhubarbreach.protocol import logmessages
from rhubarbreach.storage import files

FIVE_HOSTS = (*cluster.HOSTS, 'host-4', 'host-5')


class SlowDisk:
    """Delay of all syncs; `delay` is in seconds."""

    def __init__(self):
        self.delay = 0.0
        self.ended_at = float('-inf')

    def make_sync(self, sync):
        """Return a function that syncs a file after the delay."""

        def sync_slowly(descriptor):
            time.sleep(self.delay)
            sync(descriptor)
            self.ended_at = time.monotonic()

        return sync_slowly


@pytest.fixture
def slow_disk(monkeypatch):
    disk = SlowDisk()
    sync_data = disk.make_sync(files.sync_data)
    monkeypatch.setattr(files, 'sync_data', sync_data)
    monkeypatch.setattr(os, 'fsync', disk.make_sync(os.fsync))
    return disk


@pytest.mark.parametrize('share', [1 / 3, 2 / 3])
def test_group_with_slow_disks_elects_a_leader(tmp_path, slow_disk, share):
    """Guards against elections that never end.

    `share` is the time of a sync in election timeouts.
    """
    slow_disk.delay = share * cluster.ELECTION_TIMEOUT_SECONDS
    with cluster.running(tmp_path) as test_cluster:
        test_cluster.commit(b'first')
        test_cluster.stop(test_cluster.leader().settings.host_id)
        test_cluster.commit(b'second')
        slow_disk.delay = 0.0


@pytest.mark.parametrize('hosts', [cluster.HOSTS, FIVE_HOSTS])
def test_group_leads_again_after_a_loss_of_power(tmp_path, slow_disk, hosts):
    """Guards against stores that all start on slow disks and never lead."""
    timeout = cluster.ELECTION_TIMEOUT_SECONDS
    with cluster.running(
        tmp_path, hosts, first_timeout=timeout / 2
    ) as test_cluster:
        test_cluster.commit(b'before')
        test_cluster.wait_equal()
        for host in hosts:
            test_cluster.stop(host)
        slow_disk.delay = timeout / 2
        for host in hosts:
            test_cluster.start(host)
        test_cluster.commit(b'after')
        slow_disk.delay = 0.0
        test_cluster.wait_equal()
        commands = test_cluster.get(hosts[0]).machine.commands
        assert commands == [b'before', b'after']


def test_election_timeout_does_not_pass_during_a_write(
    tmp_path, slow_disk, monkeypatch
):
    """Guards against candidates that disturb the election they voted in."""
    path = tmp_path / 'host-1' / 'g'
    path.mkdir(parents=True)
    store = stores.Store(path)
    members = [
        logmessages.Member(host, store.store_id, True)
        for host in cluster.HOSTS
    ]
    store.save_formation(True, tuple(members))
    store.close()
    pre_votes = []
    start_pre_vote = voting.start_pre_vote

    def record(state, now):
        pre_votes.append(now)
        start_pre_vote(state, now)

    monkeypatch.setattr(voting, 'start_pre_vote', record)
    with cluster.running(
        tmp_path,
        ('host-1',),
        initial=cluster.HOSTS,
    ) as test_cluster:
        replica = test_cluster.get('host-1')
        # The write takes longer than the longest election timeout.
        slow_disk.delay = 2.5 * cluster.ELECTION_TIMEOUT_SECONDS
        request = logmessages.VoteRequest(
            'g', 9, 'host-2', 'store', 0, 0, False
        )
        replica.deliver('host-2', request)
        cluster.wait_until(lambda: replica.store.vote == 'host-2')
        written_at = slow_disk.ended_at
        slow_disk.delay = 0.0
        cluster.wait_until(lambda: pre_votes and pre_votes[-1] > written_at)
        first = min(start for start in pre_votes if start > written_at)
        assert first - written_at >= cluster.ELECTION_TIMEOUT_SECONDS
