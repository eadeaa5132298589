"""Disks of the hosts of a cluster that refuse operations."""

import errno
import os
import pathlib

from rhubarbreach.storage import files
from rhubarbreach.storage import segments

OPERATIONS = ('write', 'sync', 'folder', 'rename', 'unlink')
ERRNOS = (errno.ENOSPC, errno.EDQUOT, errno.EIO)


class Disks:
    """Disks that fail operations, and lose unsynced pages if a sync fails.

    Parameters
    ----------
    patch : pytest.MonkeyPatch
        Patch of the functions that write, sync, rename and remove.
    """

    def __init__(self, patch):
        # Operation that fails and its error by host.
        self.faults = {}
        # Size at the last sync by segment.
        self.synced = {}
        # Former content of the files whose change of name is not synced.
        self.former = {}
        # Number of the next operations, of which one may fail.
        self.count = 0
        self.failing_count = None
        write_all = segments.SegmentLog.write_all

        def write(log, data):
            self.check(log.folder, 'write')
            write_all(log, data)

        patch.setattr(segments.SegmentLog, 'write_all', write)
        patch.setattr(os, 'fsync', self.wrap_sync(os.fsync))
        patch.setattr(files, 'sync_data', self.wrap_sync(files.sync_data))
        replace, unlink = os.replace, pathlib.Path.unlink

        def rename(source, target):
            self.check(target, 'rename')
            self.keep(target)
            replace(source, target)

        def remove(path, **options):
            self.check(path, 'unlink')
            self.keep(path)
            unlink(path, **options)

        patch.setattr(os, 'replace', rename)
        patch.setattr(pathlib.Path, 'unlink', remove)

    def fail(self, host, operation, number=errno.ENOSPC):
        """Make an operation fail on a host until `heal`."""
        self.faults[host] = (operation, number)

    def heal(self, host):
        """End the fault of a host."""
        self.faults.pop(host, None)

    def check(self, path, operation):
        """Raise if an operation fails on the host of a path."""
        self.count += 1
        if self.count == self.failing_count:
            raise OSError(errno.EIO, os.strerror(errno.EIO))
        for host, (failing, number) in list(self.faults.items()):
            if host in pathlib.Path(path).parts and operation == failing:
                raise OSError(number, os.strerror(number))

    def keep(self, path):
        """Keep the content of a file that is replaced or removed."""
        path = pathlib.Path(path)
        if path.exists():
            self.former.setdefault(path, path.read_bytes())

    def lose_power(self, host, random):
        """Drop what is not synced on a host whose process has ended."""
        # The threads of other hosts add files meanwhile.
        for path, size in list(self.synced.items()):
            if host in path.parts and path.exists():
                end = random.randint(size, max(size, path.stat().st_size))
                os.truncate(path, end)
        for path in list(self.former):
            if host in path.parts:
                content = self.former.pop(path)
                if random.random() < 0.5:
                    path.write_bytes(content)

    def wrap_sync(self, sync):
        """Return a sync that may fail, and then drops what it covers."""

        def run(descriptor):
            path = pathlib.Path(os.readlink(f'/proc/self/fd/{descriptor}'))
            if path.is_dir():
                self.check(path, 'folder')
                sync(descriptor)
                for changed in list(self.former):
                    if changed.parent == path:
                        self.former.pop(changed, None)
                return
            size = os.fstat(descriptor).st_size
            try:
                self.check(path, 'sync')
            except OSError:
                if path.suffix == segments.SUFFIX:
                    start = min(self.synced.get(path, 0), size)
                    os.pwrite(descriptor, bytes(size - start), start)
                raise
            sync(descriptor)
            if path.suffix == segments.SUFFIX:
                self.synced[path] = size

        return run
