"""Tests of groups whose disks take long to sync."""

import os
import time

import pytest

from rhubarbreach.consensus.tests import cluster
from rhubarbreach.storage import files

ELECTION_TIMEOUT_SECONDS = 0.3


class SlowDisk:
    """Delay of all syncs; `delay` is in seconds."""

    def __init__(self):
        self.delay = 0.0

    def make_sync(self, sync):
        """Return a function that syncs a file after the delay."""

        def sync_slowly(descriptor):
            time.sleep(self.delay)
            sync(descriptor)

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
    slow_disk.delay = share * ELECTION_TIMEOUT_SECONDS
    with cluster.running(
        tmp_path, election_timeout=ELECTION_TIMEOUT_SECONDS
    ) as test_cluster:
        test_cluster.commit(b'first')
        test_cluster.stop(test_cluster.leader().settings.host_id)
        test_cluster.commit(b'second')
        slow_disk.delay = 0.0
