"""Tests of the segment log."""

import errno

import pytest

from rhubarbreach import exceptions
from rhubarbreach.storage import files
from rhubarbreach.storage import segments


def write_log(folder, count):
    log = segments.SegmentLog(folder)
    for number in range(count):
        log.append(f'record {number}'.encode())
        log.sync()
    log.close()
    return log.get_path(log.number)


def read_log(folder):
    log = segments.SegmentLog(folder)
    log.close()
    return [payload for _, payload in log.payloads]


@pytest.mark.parametrize('cut', range(1, 29))
def test_torn_tail_is_truncated(tmp_path, cut):
    """Guards against a log that cannot be opened after a power loss."""
    path = write_log(tmp_path, 3)
    path.write_bytes(path.read_bytes()[:-cut])
    assert read_log(tmp_path) == [b'record 0', b'record 1']


@pytest.mark.parametrize('offset', range(0, 56))
def test_damage_before_the_last_record_raises_corrupt_log_error(
    tmp_path, offset
):
    """Guards against synced records that are lost without an error."""
    path = write_log(tmp_path, 3)
    content = bytearray(path.read_bytes())
    content[offset] ^= 0x40
    path.write_bytes(content)
    with pytest.raises(exceptions.CorruptLogError):
        segments.SegmentLog(tmp_path)


def test_pages_lost_out_of_order_are_a_torn_tail(tmp_path):
    """Guards against a corruption error after a crash between syncs.

    The file system may lose a page and keep later pages that were not synced.
    """
    path = write_log(tmp_path, 2)
    synced = path.stat().st_size
    log = segments.SegmentLog(tmp_path)
    for _ in range(3):
        log.append(b'not synced')
    log.close()
    content = bytearray(path.read_bytes())
    content[synced + 5] ^= 1
    path.write_bytes(content)
    assert read_log(tmp_path) == [b'record 0', b'record 1']


def test_full_disk_keeps_earlier_records(tmp_path, monkeypatch):
    """Guards against a partial write on a full disk that damages the log."""
    log = segments.SegmentLog(tmp_path)
    log.append(b'kept')
    log.sync()

    def write_partly(data):
        log.file.write(data[:5])
        raise OSError(errno.ENOSPC, 'no space')

    with monkeypatch.context() as patch:
        patch.setattr(log, 'write_all', write_partly)
        with pytest.raises(exceptions.DiskFullError):
            log.append(b'refused')
    log.append(b'after')
    log.sync()
    log.close()
    assert read_log(tmp_path) == [b'kept', b'after']


def test_records_continue_across_segments(tmp_path):
    """Guards against records lost at the end of a segment."""
    log = segments.SegmentLog(tmp_path, segment_bytes=50)
    expected = [f'{number}'.encode() for number in range(20)]
    for payload in expected:
        log.append(payload)
    log.sync()
    log.close()
    assert len(log.numbers) > 2
    assert read_log(tmp_path) == expected


def test_segment_whose_name_was_not_synced_is_removed(tmp_path, monkeypatch):
    """Guards against a torn tail that counts as damage to a full segment."""
    log = segments.SegmentLog(tmp_path)
    log.append(b'kept')
    log.sync()

    def refuse(folder):
        raise OSError(errno.ENOSPC, 'no space')

    with monkeypatch.context() as patch:
        patch.setattr(files, 'sync_folder', refuse)
        with pytest.raises(OSError):
            log.roll()
    log.rewind()
    log.append(b'torn')
    log.close()
    path = log.get_path(log.number)
    path.write_bytes(path.read_bytes()[:-1])
    assert read_log(tmp_path) == [b'kept']


def test_records_that_may_not_be_synced_are_written_again(
    tmp_path, monkeypatch
):
    """Guards against records that only the page cache holds after a kill."""
    path = write_log(tmp_path, 2)
    synced = path.stat().st_size
    log = segments.SegmentLog(tmp_path)
    for _ in range(2):
        log.append(b'not synced')
    log.close()
    content = path.read_bytes()
    written = []
    write_all = segments.SegmentLog.write_all

    def record(opened, data):
        written.append((opened.file.tell(), data))
        write_all(opened, data)

    monkeypatch.setattr(segments.SegmentLog, 'write_all', record)
    segments.SegmentLog(tmp_path).close()
    assert written == [(synced, content[synced:])]
    assert path.read_bytes() == content
