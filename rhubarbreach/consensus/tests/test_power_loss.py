"""Tests of all states in which a loss of power may leave the files."""

import itertools
import os
import pathlib
import shutil

import pytest

from rhubarbreach.consensus import model
from rhubarbreach.consensus import store as stores
from rhubarbreach.protocol import logmessages
from rhubarbreach.storage import files


class Disk:
    """Folder tree that records which content and which names are durable.

    Names that were created, replaced or removed since the last sync of their
    folder are kept or lost independently of each other. Bytes that were
    appended since the last sync of their file are present, torn or missing. A
    new file is durable after its own sync.

    Parameters
    ----------
    root : pathlib.Path
        Root of the tree.
    patch : pytest.MonkeyPatch
        Patch of the functions that sync, rename and remove.
    check : callable
        Called with this disk before each of these operations.
    """

    def __init__(self, root, patch, check):
        self.root = root
        self.check = check
        self.contents = {}
        # Open files, so that the number of no removed inode is used again.
        self.handles = {}
        self.names = {}
        self.is_paused = False
        patch.setattr(os, 'fsync', self.wrap(os.fsync, self.record_sync))
        patch.setattr(
            files, 'sync_data', self.wrap(files.sync_data, self.record_sync)
        )
        patch.setattr(os, 'replace', self.wrap(os.replace))
        patch.setattr(pathlib.Path, 'unlink', self.wrap(pathlib.Path.unlink))

    def wrap(self, function, record=None):
        """Return a function with a possible loss of power before it."""

        def run(*arguments, **options):
            if self.is_paused:
                return None if record else function(*arguments, **options)
            self.is_paused = True
            self.check(self)
            self.is_paused = False
            result = function(*arguments, **options)
            if record is not None:
                record(*arguments)
            return result

        return run

    def record_sync(self, descriptor):
        """Record the names or the content that a sync has made durable."""
        path = pathlib.Path(os.readlink(f'/proc/self/fd/{descriptor}'))
        if path.is_dir():
            self.names[path] = {
                child.name: self.read_durable(child)
                for child in path.iterdir()
                if child.is_file()
            }
            return
        content = path.read_bytes()
        inode = path.stat().st_ino
        if inode not in self.handles:
            self.handles[inode] = path.open('rb')
        self.contents[inode] = content
        names = self.names.setdefault(path.parent, {})
        if names.get(path.name, (inode,))[0] == inode:
            names[path.name] = (inode, content)

    def read_durable(self, path):
        """Return the inode of a file and its content that is durable."""
        inode = path.stat().st_ino
        return inode, self.contents.get(inode, b'')

    def close(self):
        """Close the files that were kept open."""
        for handle in self.handles.values():
            handle.close()

    def list_states(self):
        """Yield the possible contents by path after a loss of power."""
        choices = []
        for folder in sorted({self.root, *self.names}):
            durable = self.names.get(folder, {})
            current = {
                path.name: path for path in folder.iterdir() if path.is_file()
            }
            for name in sorted({*durable, *current}):
                choices.append(
                    self.list_outcomes(
                        folder / name, durable.get(name), current.get(name)
                    )
                )
        for outcome in itertools.product(*choices):
            yield {path: data for path, data in outcome if data is not None}

    def list_outcomes(self, path, durable, current):
        """Return the possible contents of a name; None if it is missing."""
        outcomes = [None] if durable is None else []
        if current is None or (
            durable and durable[0] != current.stat().st_ino
        ):
            outcomes.append(durable[1])
        if current is None:
            outcomes.append(None)
        else:
            synced = self.contents.get(current.stat().st_ino, b'')
            content = current.read_bytes()
            outcomes.append(synced)
            if content.startswith(synced) and content != synced:
                middle = (len(synced) + len(content)) // 2
                outcomes.extend((content[:middle], content))
        return [(path, data) for data in outcomes]


@pytest.fixture
def crashes(tmp_path, monkeypatch):
    """Return a store that is opened after each possible loss of power."""
    crashes = Crashes(tmp_path, monkeypatch)
    yield crashes
    crashes.disk.close()


class Crashes:
    """Store whose every state after a loss of power is opened and checked."""

    def __init__(self, folder, patch):
        self.folder = folder
        self.synced = []
        self.vote = (0, '')
        self.states = 0
        self.opened = set()
        (folder / 'live').mkdir()
        self.disk = Disk(folder / 'live' / 'g', patch, self.check)
        self.store = None

    def check(self, disk):
        """Open each possible state and compare it with what was synced."""
        if self.store is None or not disk.root.exists():
            return
        for state in disk.list_states():
            key = frozenset((str(p), hash(d)) for p, d in state.items())
            if (key, len(self.synced), self.vote) in self.opened:
                continue
            self.opened.add((key, len(self.synced), self.vote))
            self.states += 1
            copy = self.folder / 'copy'
            shutil.rmtree(copy, ignore_errors=True)
            (copy / 'log').mkdir(parents=True)
            for path, data in state.items():
                (copy / path.relative_to(disk.root)).write_bytes(data)
            names = sorted(str(p.relative_to(disk.root)) for p in state)
            try:
                opened = stores.Store(copy)
            except Exception as error:
                raise AssertionError(f'not opened: {names}') from error
            try:
                self.compare(opened, names)
            finally:
                opened.close()

    def compare(self, opened, names):
        """Assert that a store holds each synced entry and the vote."""
        assert (opened.term, opened.vote) >= self.vote, names
        for index, term in self.synced:
            if index >= opened.base_index:
                assert opened.get_term(index) == term, (index, names)

    def open(self):
        """Open the store, as after a restart of the process."""
        self.store = stores.Store(self.folder / 'live' / 'g')

    def append(self, first, last, term):
        """Append entries and sync them."""
        self.store.append(
            [
                logmessages.LogEntry(index, term, model.ENTRY_COMMAND, b'x')
                for index in range(first, last + 1)
            ]
        )
        self.synced = [pair for pair in self.synced if pair[0] < first]
        self.store.sync()
        self.synced += [(index, term) for index in range(first, last + 1)]

    def publish(self, last):
        """Take a snapshot of the entries up to an index."""
        snapshot = model.Snapshot(
            last, self.store.get_term(last), 0, (), b'state'
        )
        self.store.prepare_snapshot(snapshot)
        self.store.publish_snapshot(snapshot)

    def install(self, last, term):
        """Install the snapshot of a leader."""
        if self.store.get_term(last) != term:
            self.synced = []
        self.store.install_snapshot(
            model.Snapshot(last, term, 0, (), b'other')
        )

    def finish(self):
        """Check the last states and close the store."""
        self.disk.is_paused = True
        self.check(self.disk)
        self.store.close()
        assert self.states


def test_power_loss_keeps_synced_entries_and_votes(crashes):
    """Guards against a store that cannot be opened after a power loss."""
    crashes.open()
    for term in (1, 2):
        crashes.store.save_vote(term, 'host-1')
        crashes.vote = (term, 'host-1')
        crashes.append(1, 3, term)
        crashes.append(3, 6, term)
    crashes.finish()


def test_power_loss_during_a_removal_of_segments(crashes):
    """Guards against removed segments of which only the first come back."""
    crashes.open()
    crashes.append(1, 4, 1)
    crashes.publish(3)
    crashes.append(5, 6, 1)
    crashes.publish(6)
    crashes.append(7, 8, 1)
    crashes.finish()


@pytest.mark.parametrize('last', range(3, 10))
def test_power_loss_while_a_snapshot_replaces_the_log(crashes, last):
    """Guards against a replaced log of which some segments remain."""
    crashes.open()
    crashes.append(1, 4, 1)
    crashes.publish(2)
    crashes.append(5, 9, 1)
    crashes.install(last, 2)
    crashes.append(last + 1, last + 2, 2)
    crashes.publish(last + 1)
    crashes.append(last + 3, last + 5, 2)
    crashes.finish()


def test_power_loss_after_a_restart_of_the_process(crashes):
    """Guards against files of a killed process that were never synced."""
    crashes.open()
    crashes.append(1, 4, 1)
    crashes.store.close()
    crashes.open()
    crashes.append(5, 6, 1)
    crashes.install(9, 2)
    crashes.append(10, 11, 2)
    crashes.publish(10)
    crashes.finish()
