"""File with the last configuration revision that a host used."""

import os
import struct
import zlib

__all__ = ['RevisionFile']

SLOT = struct.Struct('<QI')
SLOT_COUNT = 2
FILE_NAME = 'config-revision'
FILE_MODE = 0o600


class RevisionFile:
    """Highest revision that this host has used, durable once written.

    Two slots are written in turn and in place, so that a torn write leaves
    the previous revision and a full disk does not stop the host.

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
        """Return the highest valid revision and the slot to write next."""
        found = (0, 0)
        for place in range(SLOT_COUNT):
            data = os.pread(self.descriptor, SLOT.size, place * SLOT.size)
            revision = parse_slot(data)
            if revision > found[0]:
                found = (revision, (place + 1) % SLOT_COUNT)
        return found

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
    """Return the revision of a slot, 0 when it is torn or empty."""
    if len(data) != SLOT.size:
        return 0
    revision, checksum = SLOT.unpack(data)
    if zlib.crc32(revision.to_bytes(8, 'little')) != checksum:
        return 0
    return revision
