"""Atomic replacement of files with a checksum."""

import errno
import os
import pathlib
import struct
import zlib

from rhubarbreach import exceptions

__all__ = [
    'StoredBytes',
    'is_disk_full',
    'open_bytes',
    'publish_file',
    'read_file',
    'replace_file',
    'sync_data',
    'sync_folder',
    'write_file',
]

CHECKSUM = struct.Struct('>I')
TEMPORARY_SUFFIX = '.new'
DISK_FULL_ERRNOS = (errno.ENOSPC, errno.EDQUOT)

sync_data = os.fdatasync


def is_disk_full(error):
    """Return whether an OSError reports a full file system or quota."""
    return error.errno in DISK_FULL_ERRNOS


def sync_folder(folder):
    """Make the directory entries of a folder durable."""
    descriptor = os.open(folder, os.O_RDONLY | os.O_DIRECTORY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)


def replace_file(path, *parts):
    """Replace a file atomically; a crash keeps the old or the new content.

    Parameters
    ----------
    path : pathlib.Path or str
        File in an existing folder.
    *parts : bytes
        New content, one part after the other.

    Raises
    ------
    DiskFullError
        If the file system is full. The old content is kept.
    """
    path = pathlib.Path(path)
    temporary = path.with_name(path.name + TEMPORARY_SUFFIX)
    write_file(temporary, *parts)
    publish_file(temporary, path)


def write_file(path, *parts):
    """Write and sync a file with its checksum, for `publish_file`.

    Parameters
    ----------
    path : pathlib.Path
        File in an existing folder.
    *parts : bytes
        Content, one part after the other.

    Raises
    ------
    DiskFullError
        If the file system is full.
    """
    checksum = 0
    for part in parts:
        checksum = zlib.crc32(part, checksum)
    try:
        with path.open('wb') as file:
            file.write(CHECKSUM.pack(checksum))
            for part in parts:
                file.write(part)
            file.flush()
            os.fsync(file.fileno())
    except OSError as error:
        if is_disk_full(error):
            path.unlink(missing_ok=True)
            raise exceptions.DiskFullError(str(path.name)) from error
        raise


def publish_file(temporary, path):
    """Rename a synced file to its final name and make that durable."""
    os.replace(temporary, path)
    sync_folder(path.parent)


class StoredBytes:
    """Bytes of a file that are read when they are needed.

    They stay the same when another file takes the name of this one.

    Parameters
    ----------
    path : pathlib.Path
        File of `write_file`.
    start, size : int
        Position in its content, and number of bytes.
    """

    def __init__(self, path, start, size):
        self.file = path.open('rb')
        self.start = CHECKSUM.size + start
        self.size = size

    def __len__(self):
        return self.size

    def __getitem__(self, part):
        """Return the bytes of a slice."""
        first, end, _ = part.indices(self.size)
        return os.pread(
            self.file.fileno(), max(0, end - first), self.start + first
        )

    def __bytes__(self):
        return self[:]

    def __eq__(self, other):
        return bytes(self) == bytes(other)

    __hash__ = None


def open_bytes(path, start, size):
    """Return the `StoredBytes` of a part of a file."""
    return StoredBytes(path, start, size)


def read_file(path):
    """Return the content of a file without its checksum, None if missing.

    Returns
    -------
    memoryview or None

    Raises
    ------
    CorruptLogError
        If the checksum does not match the content.
    """
    path = pathlib.Path(path)
    try:
        content = path.read_bytes()
    except FileNotFoundError:
        return None
    header = content[: CHECKSUM.size]
    # Not copied, as the content may be large.
    data = memoryview(content)[CHECKSUM.size :]
    if len(header) < CHECKSUM.size or CHECKSUM.unpack(header) != (
        zlib.crc32(data),
    ):
        raise exceptions.CorruptLogError(
            f'{path.name}: checksum does not match the content'
        )
    return data
