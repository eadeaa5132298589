"""Disks in memory that a loss of power may cut off at any operation."""

import uuid

__all__ = ['Disk', 'Disks', 'PowerLoss']


class PowerLoss(BaseException):
    """Loss of power or end of the process at an operation of the disk.

    It is not an `Exception`, so that no handler continues after it.
    """


class Disk:
    """Files and log segments of one host.

    `sync_seconds` is the time of an operation that makes something durable.
    `countdown` is the number of operations until a loss of power, None for
    no loss. `busy_until` is when the disk has finished its operations.
    """

    def __init__(self, sync_seconds):
        self.files = {}
        self.segments = {}
        self.synced_records = {}
        self.countdown = None
        self.sync_seconds = sync_seconds
        self.busy_seconds = 0.0

    def operate(self):
        """Count an operation that makes something durable."""
        self.busy_seconds += self.sync_seconds
        if self.countdown is None:
            return
        self.countdown -= 1
        if self.countdown <= 0:
            self.countdown = None
            raise PowerLoss

    def lose_power(self, random):
        """Lose a random part of the records that are not synced."""
        for number, records in self.segments.items():
            synced = self.synced_records[number]
            del records[random.randint(synced, len(records)) :]
            self.synced_records[number] = len(records)


class Disks:
    """Disks by data folder; they replace the modules of `storage`."""

    def __init__(self):
        self.by_folder = {}

    def find(self, path):
        """Return the disk of the data folder that holds a path."""
        return self.by_folder[str(path).split('/')[0]]

    # Functions of `storage.files`.

    def read_file(self, path):
        return self.find(path).files.get(str(path))

    def open_bytes(self, path, start, size):
        return self.read_file(path)[start : start + size]

    def write_file(self, path, *parts):
        self.find(path).files[str(path)] = b''.join(parts)

    def replace_file(self, path, *parts):
        disk = self.find(path)
        disk.operate()
        disk.files[str(path)] = b''.join(parts)
        disk.operate()

    def publish_file(self, temporary, path):
        files = self.find(path).files
        self.replace_file(path, files[str(temporary)])
        del files[str(temporary)]

    def open_folder(self, path):
        """Return a replacement of `storage.folder.DataFolder`."""
        return DataFolder(self.find(path))

    def open_log(self, path):
        """Return a replacement of `storage.segments.SegmentLog`."""
        return SegmentLog(self.find(path))


class DataFolder:
    """Identity of a store on a disk."""

    def __init__(self, disk):
        self.store_id = disk.files.setdefault('store-id', uuid.uuid4().hex)

    def close(self):
        """Do nothing: a disk has only one process."""


class SegmentLog:
    """Log of payloads on a disk."""

    def __init__(self, disk):
        self.disk = disk
        self.payloads = [
            (number, payload)
            for number, records in sorted(disk.segments.items())
            for payload in records
        ]
        if not disk.segments:
            self.start_segment(1)

    @property
    def numbers(self):
        """Numbers of the segments."""
        return sorted(self.disk.segments)

    @property
    def number(self):
        """Number of the segment to which records are appended."""
        return max(self.disk.segments)

    @property
    def is_synced(self):
        """Whether all appended records are durable."""
        disk = self.disk
        return disk.synced_records[self.number] == len(
            disk.segments[self.number]
        )

    def start_segment(self, number):
        """Create an empty segment."""
        self.disk.segments[number] = []
        self.disk.synced_records[number] = 0

    def append(self, payload):
        """Write a record without making it durable."""
        self.disk.segments[self.number].append(payload)
        return self.number

    def sync(self):
        """Make all appended records durable."""
        self.disk.operate()
        number = self.number
        self.disk.synced_records[number] = len(self.disk.segments[number])
        self.disk.operate()

    def roll(self):
        """Sync the segment and start the next one."""
        if not self.is_synced:
            self.sync()
        self.start_segment(self.number + 1)

    def remove_before(self, number):
        """Delete the segments before a segment, one at a time."""
        for removed in self.numbers:
            if removed < number:
                del self.disk.segments[removed]
                del self.disk.synced_records[removed]
                self.disk.operate()

    def close(self):
        """Do nothing."""
