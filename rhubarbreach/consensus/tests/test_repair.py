"""Tests of damaged logs and of their repair."""

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


def start_link_only(three, host):
    """Start a host whose group cannot be opened."""
    three.group_ids = ()
    three.start(host)
    three.group_ids = ('g',)


def wipe_replica(three, host):
    deadline = clock.monotonic() + 2
    settings = three.make_settings(host, 'g')
    return repair.wipe_replica(settings, three.links[host], deadline)


def test_damaged_log_is_repaired_and_survives_a_second_loss(tmp_path):
    """Guards against accepted commands lost right after a repair."""
    with cluster.running(tmp_path) as three:
        for number in range(30):
            three.commit(f'{number}'.encode())
        three.wait_equal()
        three.stop('host-1')
        damage_log(tmp_path / 'host-1')
        start_link_only(three, 'host-1')
        with pytest.raises(exceptions.CorruptLogError):
            three.start_group('host-1', 'g')
        cluster.wait_until(
            lambda: (
                not isinstance(wipe_replica(three, 'host-1'), codes.Refusal)
            )
        )
        three.start_group('host-1', 'g')
        three.wait_joined('host-1')
        three.stop('host-2')
        cluster.wipe(tmp_path / 'host-2')
        three.commit(b'after', host='host-3')
        three.start('host-2')
        three.wait_joined('host-2')
        three.wait_equal()
        assert len(three.get('host-1').machine.commands) == 31


def test_repair_that_would_lose_the_quorum_is_refused(tmp_path):
    """Guards against a wipe of the last copies of accepted commands."""
    with cluster.running(tmp_path) as three:
        three.commit(b'one')
        three.wait_equal()
        three.stop('host-1')
        three.stop('host-2')
        damage_log(tmp_path / 'host-1')
        start_link_only(three, 'host-1')
        result = wipe_replica(three, 'host-1')
        assert isinstance(result, codes.Refusal)
        assert (tmp_path / 'host-1' / 'g' / 'vote').exists()


def test_wipe_of_a_running_replica_is_refused(tmp_path):
    """Guards against the loss of a sound log in use."""
    with cluster.running(tmp_path) as three:
        three.leader()
        with pytest.raises(exceptions.DataFolderError):
            wipe_replica(three, 'host-1')
