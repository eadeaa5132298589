"""Tests of atomic files and of the folder lock."""

import os

import pytest

from rhubarbreach import exceptions
from rhubarbreach.storage import files
from rhubarbreach.storage import folder


def test_crash_before_the_rename_keeps_the_old_content(tmp_path, monkeypatch):
    """Guards against a vote that is partly written."""
    path = tmp_path / 'vote'
    files.replace_file(path, b'old')

    def crash(source, target):
        raise RuntimeError('crash')

    with monkeypatch.context() as patch:
        patch.setattr(os, 'replace', crash)
        with pytest.raises(RuntimeError):
            files.replace_file(path, b'new')
    assert files.read_file(path) == b'old'


def test_damaged_file_raises_corrupt_log_error(tmp_path):
    """Guards against a damaged vote that is read as a different vote."""
    path = tmp_path / 'vote'
    files.replace_file(path, b'content')
    path.write_bytes(path.read_bytes()[:-1] + b'x')
    with pytest.raises(exceptions.CorruptLogError):
        files.read_file(path)


def test_data_folder_in_use_is_refused(tmp_path):
    """Guards against two processes that write the same log."""
    first = folder.DataFolder(tmp_path / 'data')
    with pytest.raises(exceptions.DataFolderError):
        folder.DataFolder(tmp_path / 'data')
    first.close()
    second = folder.DataFolder(tmp_path / 'data')
    second.close()
    assert second.store_id == first.store_id
