"""Append-only log in segment files with checksums.

A record is a header and its payload. The header holds the offset up to
which the segment was synced when the record was written. A damaged record
is a torn tail, which no sync has covered, unless a whole record that was
written after its sync follows.
"""

import os
import pathlib
import struct
import zlib

from rhubarbreach import exceptions
from rhubarbreach.storage import files

__all__ = ['SegmentLog', 'read_segment']

MAGIC = b'RbR1'
# Magic, payload bytes, synced offset, checksum of all that and the payload.
HEADER = struct.Struct('>4sIQI')
CHECKED = struct.Struct('>IQ')
SUFFIX = '.segment'
SEGMENT_BYTES = 64 * 1024 * 1024


def compute_checksum(length, synced, payload):
    """Return the checksum of a record."""
    return zlib.crc32(payload, zlib.crc32(CHECKED.pack(length, synced)))


def encode_record(payload, synced):
    """Return the bytes of a record."""
    length = len(payload)
    checksum = compute_checksum(length, synced, payload)
    return HEADER.pack(MAGIC, length, synced, checksum) + payload


def decode_record(content, offset):
    """Return payload, synced offset and end of a record, None if damaged."""
    start = offset + HEADER.size
    if start > len(content):
        return None
    magic, length, synced, checksum = HEADER.unpack_from(content, offset)
    end = start + length
    if magic != MAGIC or end > len(content):
        return None
    payload = content[start:end]
    if compute_checksum(length, synced, payload) != checksum:
        return None
    return payload, synced, end


def is_damage_synced(content, damaged):
    """Return whether a later record shows that `damaged` was synced."""
    offset = content.find(MAGIC, damaged + 1)
    while offset >= 0:
        record = decode_record(content, offset)
        if record is not None and record[1] > damaged:
            return True
        offset = content.find(MAGIC, offset + 1)
    return False


def read_segment(path, is_last):
    """Read the records of a segment.

    Parameters
    ----------
    path : pathlib.Path
        Segment file.
    is_last : bool
        Whether it is the segment in which a torn tail may be.

    Returns
    -------
    tuple of list of bytes and int
        Payloads and the offset at which they end.

    Raises
    ------
    CorruptLogError
        If a record that was synced is damaged.
    """
    content = path.read_bytes()
    payloads = []
    offset = 0
    while offset < len(content):
        record = decode_record(content, offset)
        if record is None:
            if not is_last or is_damage_synced(content, offset):
                raise exceptions.CorruptLogError(
                    f'{path.name}: damaged record at offset {offset}'
                )
            break
        payloads.append(record[0])
        offset = record[2]
    return payloads, offset


class SegmentLog:
    """Log of payloads; `append` writes, `sync` makes it durable.

    Parameters
    ----------
    folder : str or pathlib.Path
        Folder of the segments; it is made when missing.
    segment_bytes : int
        Size at which a segment is followed by the next one.

    Notes
    -----
    Appends that are followed by one `sync` share its cost. One thread may
    append and sync; `payloads` holds what was found when the log was opened
    and may be cleared by the caller.
    """

    def __init__(self, folder, segment_bytes=SEGMENT_BYTES):
        self.folder = pathlib.Path(folder)
        self.folder.mkdir(parents=True, exist_ok=True)
        files.sync_folder(self.folder.parent)
        self.segment_bytes = segment_bytes
        self.payloads = []
        self.numbers = sorted(
            int(path.stem) for path in self.folder.glob(f'*{SUFFIX}')
        )
        self.check_numbers()
        self.file = None
        self.offset = 0
        self.synced = 0
        self.syncs = 0
        self.load()

    def check_numbers(self):
        """Raise if a segment between the first and the last is missing."""
        if not self.numbers:
            return
        expected = range(self.numbers[0], self.numbers[-1] + 1)
        if list(expected) != self.numbers:
            raise exceptions.CorruptLogError('a segment is missing')

    def get_path(self, number):
        """Return the path of a segment."""
        return self.folder / f'{number:012d}{SUFFIX}'

    def load(self):
        """Read all segments and open the last one."""
        for number in self.numbers:
            is_last = number == self.numbers[-1]
            found, end = read_segment(self.get_path(number), is_last)
            self.payloads.extend((number, payload) for payload in found)
            self.offset = end
        if not self.numbers:
            self.start_segment(1)
            return
        path = self.get_path(self.numbers[-1])
        self.file = open(path, 'r+b', buffering=0)
        self.file.truncate(self.offset)
        self.file.seek(self.offset)
        os.fsync(self.file.fileno())
        self.synced = self.offset

    def start_segment(self, number):
        """Open a new, empty segment."""
        try:
            file = open(self.get_path(number), 'w+b', buffering=0)
            files.sync_folder(self.folder)
        except OSError as error:
            if files.is_disk_full(error):
                raise exceptions.DiskFullError('new segment') from error
            raise
        if self.file is not None:
            self.file.close()
        self.file = file
        self.numbers.append(number)
        self.offset = 0
        self.synced = 0

    @property
    def number(self):
        """Number of the segment that is appended to."""
        return self.numbers[-1]

    @property
    def is_synced(self):
        """Whether all that was appended is durable."""
        return self.synced == self.offset

    def append(self, payload):
        """Write a record without making it durable.

        Parameters
        ----------
        payload : bytes
            Content of the record.

        Returns
        -------
        int
            Number of the segment that holds it.

        Raises
        ------
        DiskFullError
            If the file system is full; earlier records are kept.
        """
        if self.offset >= self.segment_bytes:
            self.roll()
        data = encode_record(payload, self.synced)
        try:
            self.write_all(data)
        except OSError as error:
            self.file.truncate(self.offset)
            self.file.seek(self.offset)
            if files.is_disk_full(error):
                raise exceptions.DiskFullError('log segment') from error
            raise
        self.offset += len(data)
        return self.number

    def write_all(self, data):
        """Write all bytes at the end of the segment."""
        view = memoryview(data)
        while view:
            view = view[self.file.write(view) :]

    def sync(self):
        """Make all appended records durable.

        Raises
        ------
        OSError
            If the disk fails. What is durable is then unknown, and the log
            must not be used until it was opened again.
        """
        end = self.offset
        files.sync_data(self.file.fileno())
        self.synced = end
        self.syncs += 1

    def roll(self):
        """Start the next segment."""
        if not self.is_synced:
            self.sync()
        self.start_segment(self.number + 1)

    def remove_before(self, number):
        """Delete the segments before a segment."""
        removed = [found for found in self.numbers if found < number]
        for found in removed:
            # In order, so that a crash leaves no gap between segments.
            self.get_path(found).unlink()
        self.numbers = [found for found in self.numbers if found >= number]
        if removed:
            files.sync_folder(self.folder)

    def close(self):
        """Close the segment without a sync."""
        if self.file is not None:
            self.file.close()
            self.file = None
