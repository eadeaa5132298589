"""Tests of crashes at each sync, of restarts and of full disks."""

import errno
import os

import pytest

from rhubarbreach import clock
from rhubarbreach import codes
from rhubarbreach.consensus import group
from rhubarbreach.consensus import model
from rhubarbreach.consensus.tests import cluster
from rhubarbreach.protocol import link
from rhubarbreach.storage import files

COMMANDS = 14
MAX_POINTS = 200


class Crash(Exception):
    """The process stops here."""


class SyncPoints:
    """Counts syncs and stops the process at one of them."""

    def __init__(self, patch, crash_at):
        self.count = 0
        self.crash_at = crash_at
        patch.setattr(os, 'fsync', self.wrap(os.fsync))
        patch.setattr(files, 'sync_data', self.wrap(files.sync_data))

    def wrap(self, function):
        def sync(descriptor):
            self.count += 1
            if self.count >= self.crash_at:
                raise Crash(f'sync {self.count}')
            function(descriptor)

        return sync


@pytest.fixture
def alone():
    one = link.Link('host-1', cluster.find_address(), {}, None)
    yield one
    one.close()


def open_group(folder, one):
    settings = model.GroupSettings(
        'g', 'host-1', str(folder), ('host-1',), 0.02, 0.02, 4
    )
    return group.Group(settings, one, cluster.ListMachine())


def drop_unsynced(replica):
    """Lose what was written but not synced."""
    log = replica.store.log
    replica.close()
    os.truncate(log.get_path(log.number), log.synced)


def commit_until_crash(folder, one):
    """Return the accepted commands; the last one may be in doubt."""
    accepted = []
    replica = open_group(folder, one)
    try:
        cluster.wait_until(lambda: replica.is_leader or replica.failure)
        for number in range(COMMANDS):
            command = f'{number}'.encode()
            deadline = clock.monotonic() + cluster.WAIT_SECONDS
            result = replica.propose(command, deadline).result()
            if isinstance(result, codes.Refusal):
                break
            accepted.append(command)
    finally:
        drop_unsynced(replica)
    return accepted


def test_crash_at_each_sync_loses_nothing_accepted(tmp_path, alone):
    """Guards against an answer that is sent before its sync."""
    for crash_at in range(1, MAX_POINTS):
        folder = tmp_path / f'{crash_at}'
        accepted = []
        with pytest.MonkeyPatch.context() as patch:
            points = SyncPoints(patch, crash_at)
            try:
                accepted = commit_until_crash(folder, alone)
            except Crash:
                pass
        replica = open_group(folder, alone)
        deadline = clock.monotonic() + cluster.WAIT_SECONDS
        cluster.wait_until(lambda one=replica: one.is_leader)
        replica.read(deadline).result()
        found = replica.machine.commands
        replica.close()
        assert found[: len(accepted)] == accepted, crash_at
        assert len(found) <= len(accepted) + 1, crash_at
        if points.count < crash_at:
            assert len(accepted) == COMMANDS
            return
    raise AssertionError('not all sync points were reached')


def test_restart_after_hundreds_of_commands(tmp_path, alone):
    """Guards against a replay that differs from the first run."""
    expected = [f'{number}'.encode() for number in range(400)]
    for first in range(0, 400, 200):
        replica = open_group(tmp_path, alone)
        cluster.wait_until(lambda one=replica: one.is_leader)
        deadline = clock.monotonic() + cluster.WAIT_SECONDS
        futures = [
            replica.propose(command, deadline)
            for command in expected[first : first + 200]
        ]
        assert futures[-1].result() == str(first + 200).encode()
        assert replica.machine.commands == expected[: first + 200]
        replica.close()


def test_full_disk_refuses_as_not_run_and_recovers(tmp_path, alone):
    """Guards against a full disk that loses or half accepts commands."""
    replica = open_group(tmp_path, alone)
    cluster.wait_until(lambda: replica.is_leader)
    deadline = clock.monotonic() + cluster.WAIT_SECONDS
    assert replica.propose(b'before', deadline).result() == b'1'

    def fill(data):
        raise OSError(errno.ENOSPC, 'no space')

    log = replica.store.log
    write_all, log.write_all = log.write_all, fill
    refusal = replica.propose(b'refused', deadline).result()
    assert refusal.code == codes.ResultCode.DISK_FULL
    assert refusal.ran == codes.Ran.NO
    log.write_all = write_all
    assert replica.propose(b'after', deadline).result() == b'2'
    replica.close()
    again = open_group(tmp_path, alone)
    cluster.wait_until(lambda: again.is_leader)
    again.read(deadline).result()
    assert again.machine.commands == [b'before', b'after']
    again.close()
