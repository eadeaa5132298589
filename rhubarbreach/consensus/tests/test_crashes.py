"""Tests of crashes at each sync, restarts and full disks."""

import errno
import os

import pytest

from rhubarbreach import clock
from rhubarbreach import codes
from rhubarbreach.consensus import group
from rhubarbreach.consensus import model
from rhubarbreach.consensus.tests import cluster
from rhubarbreach.consensus.tests import ports
from rhubarbreach.protocol import link
from rhubarbreach.storage import files

COMMANDS = 14
MAX_POINTS = 200


class Crash(Exception):
    """Simulated crash of the process."""


class SyncPoints:
    """Counter of syncs that simulates a crash at one of them."""

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
def host_link():
    """Return a link without peers."""
    host_link = link.Link('host-1', ports.find_address(), {}, None)
    yield host_link
    host_link.close()


def open_group(folder, host_link):
    settings = model.GroupSettings(
        'g', 'host-1', str(folder), ('host-1',), 0.02, 0.02, 4
    )
    return group.Group(settings, host_link, cluster.ListMachine())


def drop_unsynced(replica):
    """Close a replica and drop bytes that were written but not synced."""
    log = replica.store.log
    replica.close()
    os.truncate(log.get_path(log.number), log.synced)


def commit_until_crash(folder, host_link):
    """Return the accepted commands; one more may have been written."""
    accepted = []
    replica = open_group(folder, host_link)
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


def test_crash_at_each_sync_loses_nothing_accepted(tmp_path, host_link):
    """Guards against a reply that is sent before the log is synced."""
    for crash_at in range(1, MAX_POINTS):
        folder = tmp_path / f'{crash_at}'
        accepted = []
        with pytest.MonkeyPatch.context() as patch:
            points = SyncPoints(patch, crash_at)
            try:
                accepted = commit_until_crash(folder, host_link)
            except Crash:
                pass
        replica = open_group(folder, host_link)
        deadline = clock.monotonic() + cluster.WAIT_SECONDS
        cluster.wait_until(lambda opened=replica: opened.is_leader)
        replica.read(deadline).result()
        recovered = replica.machine.commands
        replica.close()
        assert recovered[: len(accepted)] == accepted, crash_at
        assert len(recovered) <= len(accepted) + 1, crash_at
        if points.count < crash_at:
            assert len(accepted) == COMMANDS
            return
    raise AssertionError('not all sync points were reached')


def test_restart_after_hundreds_of_commands(tmp_path, host_link):
    """Guards against a replay whose result differs from the first run."""
    expected = [f'{number}'.encode() for number in range(400)]
    for first in range(0, 400, 200):
        replica = open_group(tmp_path, host_link)
        cluster.wait_until(lambda opened=replica: opened.is_leader)
        deadline = clock.monotonic() + cluster.WAIT_SECONDS
        futures = [
            replica.propose(command, deadline)
            for command in expected[first : first + 200]
        ]
        assert futures[-1].result() == str(first + 200).encode()
        assert replica.machine.commands == expected[: first + 200]
        replica.close()


def test_full_disk_refuses_as_not_run_and_recovers(tmp_path, host_link):
    """Guards against commands that a full disk loses or partly accepts."""
    replica = open_group(tmp_path, host_link)
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
    reopened = open_group(tmp_path, host_link)
    cluster.wait_until(lambda: reopened.is_leader)
    reopened.read(deadline).result()
    assert reopened.machine.commands == [b'before', b'after']
    reopened.close()
