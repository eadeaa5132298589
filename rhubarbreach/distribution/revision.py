"""File with the highest configuration revision that a host has used."""

import os
import struct
import zlib

__all__ = ['RevisionFile']

SLOT = struct.Struct('<QI')
SLOT_COUNT = 2
FILE_NAME = 'config-revision'
FILE_MODE = 0o600


class RevisionFile:
    """Durable storage of the highest revision that this host has used.

    Two slots are overwritten in place by turns. A torn write therefore leaves
    the previous revision, and a full disk does not stop the host.

    Parameters
    ----------
    folder : str
        Data folder of the host.
    """

    def __init__(self, folder):
        self.path = os.path.join(folder, FILE_NAME)
        flags = os.O_RDWR | os.O_CREAT
        self.descriptor = os.open(self.path, flags, FILE_MODE)
        self.revision, self.next_slot = self.read()

    def read(self):
        """Return the highest valid revision and the next slot to write."""
        latest = (0, 0)
        for slot in range(SLOT_COUNT):
            data = os.pread(self.descriptor, SLOT.size, slot * SLOT.size)
            revision = parse_slot(data)
            if revision > latest[0]:
                latest = (revision, (slot + 1) % SLOT_COUNT)
        return latest

    def write(self, revision):
        """Store a revision durably if it is higher than the stored one."""
        if revision <= self.revision:
            return
        number = revision.to_bytes(8, 'little')
        data = SLOT.pack(revision, zlib.crc32(number))
        os.pwrite(self.descriptor, data, self.next_slot * SLOT.size)
        os.fsync(self.descriptor)
        self.revision = revision
        self.next_slot = (self.next_slot + 1) % SLOT_COUNT

    def close(self):
        """Close the file."""
        os.close(self.descriptor)


def parse_slot(data):
    """Return the revision in a slot, 0 if it is torn or empty."""
    if len(data) != SLOT.size:
        return 0
    revision, checksum = SLOT.unpack(data)
    if zlib.crc32(revision.to_bytes(8, 'little')) != checksum:
        return 0
    return revision
