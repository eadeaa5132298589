"""Tests of damaged logs and their repair."""

import pytest

from rhubarbreach import clock
from rhubarbreach import codes
from rhubarbreach.consensus import repair
from rhubarbreach.consensus.tests import cluster
from rhubarbreach import exceptions


def damage_log(folder):
    """Change one byte in the first record."""
    path = sorted((folder / 'g' / 'log').iterdir())[0]
    content = bytearray(path.read_bytes())
    content[25] ^= 1
    path.write_bytes(content)


def start_link_only(test_cluster, host):
    """Start a host whose group cannot be opened."""
    test_cluster.group_ids = ()
    test_cluster.start(host)
    test_cluster.group_ids = ('g',)


def reset_replica(test_cluster, host):
    deadline = clock.monotonic() + 2
    settings = test_cluster.make_settings(host, 'g')
    return repair.reset_replica(settings, test_cluster.links[host], deadline)


def test_damaged_log_is_repaired_and_survives_a_second_loss(tmp_path):
    """Guards against accepted commands lost right after a repair."""
    with cluster.running(tmp_path) as test_cluster:
        for number in range(30):
            test_cluster.commit(f'{number}'.encode())
        test_cluster.wait_equal()
        test_cluster.stop('host-1')
        damage_log(tmp_path / 'host-1')
        start_link_only(test_cluster, 'host-1')
        with pytest.raises(exceptions.CorruptLogError):
            test_cluster.start_group('host-1', 'g')
        cluster.wait_until(
            lambda: (
                not isinstance(
                    reset_replica(test_cluster, 'host-1'), codes.Refusal
                )
            )
        )
        test_cluster.start_group('host-1', 'g')
        test_cluster.wait_joined('host-1')
        test_cluster.stop('host-2')
        cluster.wipe(tmp_path / 'host-2')
        test_cluster.commit(b'after', host='host-3')
        test_cluster.start('host-2')
        test_cluster.wait_joined('host-2')
        test_cluster.wait_equal()
        assert len(test_cluster.get('host-1').machine.commands) == 31


def test_repair_that_would_lose_the_quorum_is_refused(tmp_path):
    """Guards against a reset of the last copies of accepted commands."""
    with cluster.running(tmp_path) as test_cluster:
        test_cluster.commit(b'one')
        test_cluster.wait_equal()
        test_cluster.stop('host-1')
        test_cluster.stop('host-2')
        damage_log(tmp_path / 'host-1')
        start_link_only(test_cluster, 'host-1')
        result = reset_replica(test_cluster, 'host-1')
        assert isinstance(result, codes.Refusal)
        assert (tmp_path / 'host-1' / 'g' / 'vote').exists()


def test_wipe_of_a_running_replica_is_refused(tmp_path):
    """Guards against the loss of an intact log that is in use."""
    with cluster.running(tmp_path) as test_cluster:
        test_cluster.leader()
        with pytest.raises(exceptions.DataFolderError):
            reset_replica(test_cluster, 'host-1')
