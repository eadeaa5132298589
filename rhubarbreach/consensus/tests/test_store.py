"""Tests of the durable state of a replica."""

import msgspec
import pytest

from rhubarbreach.consensus import model
from rhubarbreach.consensus import store as stores
from rhubarbreach import exceptions
from rhubarbreach.protocol import logmessages
from rhubarbreach.storage import files


@pytest.fixture
def store(tmp_path):
    new_store = stores.Store(tmp_path / 'group')
    yield new_store
    new_store.close()


def make_entries(first, last, term):
    return [
        logmessages.LogEntry(index, term, model.ENTRY_COMMAND, b'x')
        for index in range(first, last + 1)
    ]


def reopen(store):
    store.close()
    return stores.Store(store.path)


@pytest.mark.parametrize('crash', [False, True])
def test_log_replaced_by_a_snapshot_does_not_come_back(
    tmp_path, monkeypatch, crash
):
    """Guards against loss of entries that follow an installed snapshot.

    Segments of the replaced log must not be read again after a restart.
    """
    store = stores.Store(tmp_path / 'g')
    store.append(make_entries(1, 20, 1))
    store.sync()
    snapshot = model.Snapshot(10, 2, 0, (), b'')
    if crash:
        store.prepare_snapshot(snapshot)
        path = store.path / stores.SNAPSHOT_NAME
        files.publish_file(store.path / stores.PREPARED_NAME, path)
    else:
        store.install_snapshot(snapshot)
    store = reopen(store)
    assert (store.last_index, store.last_term) == (10, 2)
    store.append(make_entries(11, 13, 2))
    store.sync()
    store = reopen(store)
    assert (store.last_index, store.last_term) == (13, 2)
    store.close()


def test_entries_that_replace_others_survive_a_restart(tmp_path):
    """Guards against replaced entries that are read from an old record."""
    store = stores.Store(tmp_path / 'g')
    store.append(make_entries(1, 9, 1))
    store.append(make_entries(5, 6, 3))
    store.sync()
    store = reopen(store)
    assert [store.get_term(n) for n in range(1, 8)] == [1] * 4 + [3, 3, None]
    store.close()


def test_full_disk_during_an_installation_loses_no_later_entry(
    tmp_path, monkeypatch
):
    """Guards against a replaced log that is kept beside its successor.

    The leader sends the snapshot again once the disk has space.
    """
    store = stores.Store(tmp_path / 'g')
    store.append(make_entries(1, 20, 1))
    store.sync()
    snapshot = model.Snapshot(10, 2, 0, (), b'')

    def refuse():
        raise exceptions.DiskFullError('log segment')

    with monkeypatch.context() as patch:
        patch.setattr(store.log, 'roll', refuse)
        with pytest.raises(exceptions.DiskFullError):
            store.install_snapshot(snapshot)
    store.install_snapshot(snapshot)
    store.append(make_entries(11, 13, 2))
    store.sync()
    store = reopen(store)
    assert (store.last_index, store.last_term) == (13, 2)
    store.close()


@pytest.mark.parametrize('size', [5, 300, 70_000])
def test_snapshot_of_an_earlier_release_is_read(store, size):
    """Guards against a store that cannot be opened after an update."""
    data = bytes(size)
    content = msgspec.msgpack.encode((10, 2, 0, (), data))
    files.replace_file(store.path / stores.SNAPSHOT_NAME, content)
    snapshot = stores.read_snapshot(store.path / stores.SNAPSHOT_NAME)
    assert (snapshot.last_index, snapshot.last_term) == (10, 2)
    assert snapshot.data == data
    assert snapshot.data[2:4] == data[2:4]


def test_snapshot_is_read_after_another_one_takes_its_name(store):
    """Guards against a transfer that mixes the bytes of two snapshots."""
    store.install_snapshot(model.Snapshot(10, 2, 0, (), b'first'))
    first = store.snapshot.data
    store.install_snapshot(model.Snapshot(20, 2, 0, (), b'second'))
    assert first[1:] == b'irst'
    assert bytes(store.snapshot.data) == b'second'
