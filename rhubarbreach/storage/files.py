"""Files that are replaced as a whole, with a checksum."""

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
FULL_ERRORS = (errno.ENOSPC, errno.EDQUOT)

sync_data = os.fdatasync


def is_disk_full(error):
    """Return whether an OSError reports a full file system or quota."""
    return error.errno in FULL_ERRORS


def sync_folder(folder):
    """Make the names of a folder durable."""
    descriptor = os.open(folder, os.O_RDONLY | os.O_DIRECTORY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)


def replace_file(path, data):
    """Replace a file so that a crash leaves the old or the new content.

    Parameters
    ----------
    path : pathlib.Path or str
        File; its folder exists.
    data : bytes
        New content.

    Raises
    ------
    DiskFullError
        If the file system is full; the old content is kept.
    """
    path = pathlib.Path(path)
    temporary = path.with_name(path.name + TEMPORARY_SUFFIX)
    write_file(temporary, data)
    publish_file(temporary, path)


def write_file(path, data):
    """Write a file with its checksum and sync it, for `publish_file`.

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
    """Rename a file that was written and synced to its durable name."""
    os.replace(temporary, path)
    sync_folder(path.parent)


def read_file(path):
    """Return the content of a replaced file, None if there is none.

    Raises
    ------
    CorruptLogError
        If the checksum does not match.
    """
    path = pathlib.Path(path)
    try:
        content = path.read_bytes()
    except FileNotFoundError:
        return None
    head, data = content[: CHECKSUM.size], content[CHECKSUM.size :]
    if len(head) < CHECKSUM.size or CHECKSUM.unpack(head) != (
        zlib.crc32(data),
    ):
        raise exceptions.CorruptLogError(f'checksum of {path.name} differs')
    return data
