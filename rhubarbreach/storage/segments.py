"""Append-only log in segment files with checksums.

A record consists of a header and a payload. The header holds the offset up
to which the segment was synced when the record was written. A damaged record
is treated as a torn tail, which was never synced, unless an intact record
follows that was written after the damaged one was synced.
"""

import os
import pathlib
import struct
import zlib

from rhubarbreach import exceptions
from rhubarbreach.storage import files

__all__ = ['SegmentLog', 'read_segment']

MAGIC = b'RbR1'
# Magic, payload bytes, synced offset, checksum of both numbers and payload.
HEADER = struct.Struct('>4sIQI')
CHECKED_FIELDS = struct.Struct('>IQ')
SUFFIX = '.segment'
SEGMENT_BYTES = 64 * 1024 * 1024


def compute_checksum(length, synced, payload):
    """Return the checksum of the fields and the payload of a record."""
    return zlib.crc32(payload, zlib.crc32(CHECKED_FIELDS.pack(length, synced)))


def encode_record(payload, synced):
    """Return the header and the payload of a record as bytes."""
    length = len(payload)
    checksum = compute_checksum(length, synced, payload)
    return HEADER.pack(MAGIC, length, synced, checksum) + payload


def decode_record(content, offset):
    """Return payload, synced offset and end of a record; None if damaged."""
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


def is_damage_synced(content, damaged_offset):
    """Return whether a later record shows that a damaged one was synced."""
    offset = content.find(MAGIC, damaged_offset + 1)
    while offset >= 0:
        record = decode_record(content, offset)
        if record is not None and record[1] > damaged_offset:
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
        Whether it is the last segment, which may end with a torn tail.

    Returns
    -------
    tuple of list of bytes, int and int
        Payloads, the offset at which the last record ends, and the one up to
        which the segment is known to be synced.

    Raises
    ------
    CorruptLogError
        If a synced record is damaged.
    """
    content = path.read_bytes()
    payloads = []
    offset = 0
    synced = 0
    while offset < len(content):
        record = decode_record(content, offset)
        if record is None:
            if not is_last or is_damage_synced(content, offset):
                raise exceptions.CorruptLogError(
                    f'{path.name}: damaged record at offset {offset}'
                )
            break
        payload, synced, offset = record
        payloads.append(payload)
    return payloads, offset, synced


class SegmentLog:
    """Log of payloads; `append` writes a record, `sync` makes it durable.

    Parameters
    ----------
    folder : str or pathlib.Path
        Folder of the segments; created if missing.
    segment_bytes : int
        Size in bytes at which the next segment is started.

    Notes
    -----
    Several appends can share the cost of one `sync`. Only one thread may
    append and sync. `payloads` holds pairs of segment number and payload, as
    read when the log was opened; the caller may clear it.
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
        self.sync_count = 0
        self.load()

    def check_numbers(self):
        """Raise if a segment between the first and the last is missing."""
        if not self.numbers:
            return
        expected = range(self.numbers[0], self.numbers[-1] + 1)
        if list(expected) != self.numbers:
            raise exceptions.CorruptLogError(
                f'log {self.folder.name}: segment files are missing'
            )

    def get_path(self, number):
        """Return the path of a segment file."""
        return self.folder / f'{number:012d}{SUFFIX}'

    def load(self):
        """Read all segments and open the last one."""
        for number in self.numbers:
            is_last = number == self.numbers[-1]
            payloads, end, synced = read_segment(
                self.get_path(number), is_last
            )
            self.payloads.extend((number, payload) for payload in payloads)
            self.offset = end
        if not self.numbers:
            self.start_segment(1)
            return
        path = self.get_path(self.numbers[-1])
        self.file = open(path, 'r+b', buffering=0)
        self.file.truncate(self.offset)
        # A failed sync of the process before may have left records that can
        # be read, but that no later sync covers unless they are written again.
        self.file.seek(synced)
        tail = self.file.read(self.offset - synced)
        self.file.seek(synced)
        self.write_all(tail)
        os.fsync(self.file.fileno())
        self.synced = self.offset

    def start_segment(self, number):
        """Create an empty segment and append to it from now on.

        Raises
        ------
        DiskFullError
            If the file system is full; nothing has changed.
        OSError
            If the disk fails. It is then unknown whether the segment exists,
            and the log must be rewound before further use.
        """
        try:
            file = open(self.get_path(number), 'w+b', buffering=0)
        except OSError as error:
            if files.is_disk_full(error):
                raise exceptions.DiskFullError('new segment') from error
            raise
        try:
            files.sync_folder(self.folder)
        except OSError:
            file.close()
            raise
        if self.file is not None:
            self.file.close()
        self.file = file
        self.numbers.append(number)
        self.offset = 0
        self.synced = 0

    @property
    def number(self):
        """Number of the segment to which records are appended."""
        return self.numbers[-1]

    @property
    def is_synced(self):
        """Whether all appended records are durable."""
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
            Number of the segment that holds the record.

        Raises
        ------
        DiskFullError
            If the file system is full. Earlier records are kept.
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
            If the disk fails. It is then unknown which records are durable,
            and the log must be rewound before further use.
        """
        end = self.offset
        files.sync_data(self.file.fileno())
        self.synced = end
        self.sync_count += 1

    def rewind(self):
        """Drop all records that are not certain to be durable.

        A later sync does not cover the pages that a failed one has dropped.
        The caller appends the lost records again.

        Raises
        ------
        OSError
            If the disk still fails; the log must be rewound again.
        """
        self.remove_after(self.number)
        self.file.truncate(self.synced)
        self.file.seek(self.synced)
        os.fsync(self.file.fileno())
        self.offset = self.synced

    def remove_after(self, number):
        """Delete the segments that were created without effect."""
        for path in self.folder.glob(f'*{SUFFIX}'):
            if int(path.stem) > number:
                path.unlink()
        files.sync_folder(self.folder)

    def roll(self):
        """Sync the segment and start the next one."""
        if not self.is_synced:
            self.sync()
        self.start_segment(self.number + 1)

    def remove_before(self, number):
        """Delete the segments before a segment."""
        removed = [segment for segment in self.numbers if segment < number]
        for segment in removed:
            # One at a time, because a loss of power may keep some of the
            # removals that are not synced, and leave a gap.
            self.get_path(segment).unlink()
            self.numbers.remove(segment)
            files.sync_folder(self.folder)

    def close(self):
        """Close the segment without syncing it."""
        if self.file is not None:
            self.file.close()
            self.file = None
