"""Tests of groups whose disks refuse writes, syncs, renames and removals."""

import random

import pytest

from rhubarbreach import codes
from rhubarbreach.consensus import applying
from rhubarbreach.consensus import following
from rhubarbreach.consensus import leading
from rhubarbreach.consensus import model
from rhubarbreach.consensus import state as states
from rhubarbreach.consensus import store as stores
from rhubarbreach.consensus.tests import cluster
from rhubarbreach.consensus.tests import disks as disk_faults
from rhubarbreach import exceptions
from rhubarbreach.protocol import logmessages


@pytest.fixture
def disks(monkeypatch):
    return disk_faults.Disks(monkeypatch)


@pytest.mark.parametrize('operation', disk_faults.OPERATIONS)
def test_disks_that_fail_one_after_another(tmp_path, disks, operation):
    """Guards against replicas that stay away after their disk has failed."""
    with cluster.running(tmp_path, snapshot_entries=10) as test_cluster:
        test_cluster.commit(b'first')
        for host in cluster.HOSTS:
            disks.fail(host, operation)
            for _ in range(15):
                test_cluster.propose(
                    cluster.make_operation(b'during'), seconds=0.1
                )
            disks.heal(host)
            test_cluster.commit(b'after', seconds=8)
        cluster.wait_until(
            lambda: not any(g.failure for g in test_cluster.groups())
        )
        test_cluster.commit(b'last', seconds=8)
        test_cluster.wait_equal()


def make_entries(first, last, term):
    return [
        logmessages.LogEntry(index, term, model.ENTRY_COMMAND, b'x')
        for index in range(first, last + 1)
    ]


@pytest.fixture
def store(tmp_path, disks):
    """Store with three synced entries and two that a failed sync has lost."""
    opened = stores.Store(tmp_path / 'host-1' / 'g')
    opened.save_vote(1, 'host-1')
    opened.append(make_entries(1, 3, 1))
    opened.sync()
    opened.synced_index = 3
    opened.append(make_entries(4, 5, 1))
    disks.fail('host-1', 'sync')
    with pytest.raises(OSError):
        opened.sync()
    disks.heal('host-1')
    yield opened
    opened.close()


def test_entries_of_a_failed_sync_are_written_again(store):
    """Guards against entries that a later sync does not cover."""
    store.recover()
    store.append(make_entries(6, 6, 1))
    store.sync()
    store.close()
    reopened = stores.Store(store.path)
    reopened.close()
    assert [entry.index for entry in reopened.entries] == [1, 2, 3, 4, 5, 6]


def test_vote_whose_folder_was_not_synced_counts(store, disks):
    """Guards against a second vote in a term in which one may be durable."""
    store.recover()
    disks.fail('host-1', 'folder')
    with pytest.raises(OSError):
        store.save_vote(2, 'host-2')
    disks.heal('host-1')
    store.recover()
    assert (store.term, store.vote) == (2, 'host-2')


def test_command_during_a_failure_is_refused_as_not_run(tmp_path, disks):
    """Guards against callers that wait for a replica whose disk fails."""
    with cluster.running(tmp_path) as test_cluster:
        test_cluster.commit(b'first')
        replica = test_cluster.leader()
        host = replica.settings.host_id
        disks.fail(host, 'sync')
        test_cluster.propose(cluster.make_operation(b'lost'), seconds=0.2)
        cluster.wait_until(lambda: replica.failure)
        deadline = cluster.clock.monotonic() + cluster.WAIT_SECONDS
        refusal = replica.propose(b'refused', deadline).result(5)
        assert refusal.ran == codes.Ran.NO
        disks.heal(host)
        cluster.wait_until(lambda: not replica.failure)


def find_follower(test_cluster):
    leader = test_cluster.leader()
    return next(g for g in test_cluster.groups() if g is not leader)


def test_mark_of_a_full_disk_ends_when_a_follower_leads(tmp_path):
    """Guards against leadership that goes back and forth without need."""
    with cluster.running(tmp_path) as test_cluster:
        test_cluster.commit(b'first')
        follower = find_follower(test_cluster)
        with follower.lock:
            follower.state.disk_full = True
            follower.state.disk_check_due = float('inf')
        test_cluster.leader().transfer(follower.settings.host_id)
        cluster.wait_until(lambda: follower.is_leader)
        assert not follower.state.disk_full


def test_leader_finds_out_that_its_disk_has_room(tmp_path, disks):
    """Guards against a mark of a full disk that only a command ends."""
    with cluster.running(tmp_path, heartbeat=0.02) as test_cluster:
        test_cluster.commit(b'first')
        leader = test_cluster.leader()
        disks.fail(leader.settings.host_id, 'write')
        test_cluster.propose(cluster.make_operation(b'refused'), seconds=0.1)
        assert leader.state.disk_full
        disks.heal(leader.settings.host_id)
        cluster.wait_until(lambda: not leader.state.disk_full, 3)
        assert leader.is_leader


def change_store(state, last, term):
    """Yield the steps of a follower; each may be repeated if it fails."""
    store = state.store
    yield lambda: store.save_vote(2, 'host-2')
    yield lambda: append_synced(store, store.last_index + 1, 4, 1)
    yield lambda: publish(store, 2)
    yield lambda: append_synced(store, store.last_index + 1, 9, 1)
    yield lambda: install(state, last, term)
    yield lambda: append_synced(store, store.last_index + 1, 14, 2)
    yield lambda: publish(store, last + 1)


def append_synced(store, first, last, term):
    if first <= last:
        store.append(make_entries(first, last, term))
    store.sync()
    store.synced_index = store.last_index


def publish(store, last):
    snapshot = model.Snapshot(last, store.get_term(last), 0, (), b'state')
    store.prepare_snapshot(snapshot)
    store.publish_snapshot(snapshot)


def install(state, last, term):
    message = logmessages.InstallSnapshot(
        'g',
        2,
        'host-2',
        last,
        term,
        stores.encode_members(()),
        0,
        b'data',
        True,
    )
    following.handle_install(state, 'host-2', message, 0.0)


def run_step(step, state, disks, last):
    """Run a step until it succeeds, as a group with a failing disk does."""
    try:
        step()
    except (OSError, exceptions.DiskFullError):
        disks.failing_count = None
        is_installed = state.store.base_index >= last
        assert is_installed == (state.snapshot_to_restore is not None)
        state.store.recover()
        step()


@pytest.mark.parametrize('operation', ['unlink', 'folder'])
def test_older_snapshot_after_a_failed_installation(store, disks, operation):
    """Guards against a store that cannot be opened after both."""
    store.recover()
    prepared = model.Snapshot(2, 1, 0, (), b'older')
    store.prepare_snapshot(prepared)
    remove_before = store.log.remove_before

    def remove(number):
        store.log.remove_before = remove_before
        disks.fail('host-1', operation)
        remove_before(number)

    store.log.remove_before = remove
    with pytest.raises(OSError):
        store.install_snapshot(model.Snapshot(9, 2, 0, (), b'newer'))
    disks.heal('host-1')
    store.recover()
    store.publish_snapshot(prepared)
    append_synced(store, 6, 6, 2)
    store.close()
    reopened = stores.Store(store.path)
    reopened.close()
    assert [entry.index for entry in reopened.entries] == [3, 4, 5, 6]


@pytest.mark.parametrize('last', [6, 9, 12])
@pytest.mark.parametrize('term', [1, 2])
def test_files_agree_with_memory_after_each_failure(
    tmp_path, disks, last, term
):
    """Guards against a store that opens with other content than it had."""
    for failing_count in range(1, 200):
        folder = tmp_path / f'{failing_count}'
        settings = model.GroupSettings('g', 'host-1', str(folder))
        store = stores.Store(folder)
        state = states.State(settings, store, random.Random(1), 0.0)
        disks.count, disks.failing_count = 0, failing_count
        for step in change_store(state, last, term):
            run_step(step, state, disks, last)
        store.close()
        is_complete, disks.failing_count = disks.failing_count, None
        reopened = stores.Store(folder)
        reopened.close()
        assert (reopened.term, reopened.vote) == (2, 'host-2')
        assert reopened.last_index == store.last_index, failing_count
        assert reopened.snapshot == store.snapshot, failing_count
        kept = store.entries[reopened.base_index - store.base_index :]
        assert reopened.entries == kept, failing_count
        if is_complete:
            return
    raise AssertionError('not all operations were reached')


@pytest.mark.parametrize(
    ('module', 'name'),
    [(applying.Applier, 'apply'), (leading, 'build_message')],
)
def test_replica_ends_with_each_of_its_threads(
    tmp_path, monkeypatch, module, name
):
    """Guards against a replica that goes on without one of its threads."""

    def fail(*_):
        raise MemoryError

    with cluster.running(tmp_path) as test_cluster:
        test_cluster.commit(b'first')
        leader = test_cluster.leader()
        monkeypatch.setattr(module, name, fail)
        test_cluster.propose(cluster.make_operation(b'second'), seconds=0.2)
        cluster.wait_until(lambda: leader.has_ended, 5)
