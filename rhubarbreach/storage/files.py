"""Atomic replacement of files with a checksum."""

import errno
import os
import pathlib
import struct
import zlib

from rhubarbreach import exceptions

__all__ = [
    'is_disk_full',
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


def replace_file(path, data):
    """Replace a file atomically; a crash keeps the old or the new content.

    Parameters
    ----------
    path : pathlib.Path or str
        File in an existing folder.
    data : bytes
        New content.

    Raises
    ------
    DiskFullError
        If the file system is full. The old content is kept.
    """
    path = pathlib.Path(path)
    temporary = path.with_name(path.name + TEMPORARY_SUFFIX)
    write_file(temporary, data)
    publish_file(temporary, path)


def write_file(path, data):
    """Write and sync a file with its checksum, for `publish_file`.

    Raises
    ------
    DiskFullError
        If the file system is full.
    """
    try:
        with path.open('wb') as file:
            file.write(CHECKSUM.pack(zlib.crc32(data)))
            file.write(data)
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


def read_file(path):
    """Return the content of a file without its checksum, None if missing.

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
    header, data = content[: CHECKSUM.size], content[CHECKSUM.size :]
    if len(header) < CHECKSUM.size or CHECKSUM.unpack(header) != (
        zlib.crc32(data),
    ):
        raise exceptions.CorruptLogError(
            f'{path.name}: checksum does not match the content'
        )
    return data
