"""Software versions that were in service recently, on the leader."""

import threading

from rhubarbreach.backlog import commands
from rhubarbreach import eventlog
from rhubarbreach.streams import table

__all__ = ['VersionHistory']

LOG = eventlog.Logger('versions')

COMMIT_TIMEOUT_SECONDS = 3.0


class VersionHistory:
    """Software versions of each service, of which streams may still exist.

    They are a part of the ledger, so that they are known after a restart of
    all stores.

    Parameters
    ----------
    ledger : Ledger
        Replicated state, which holds the versions.
    propose : callable
        Commits a command; takes the command and a deadline, and returns a
        future.
    list_rows : callable
        Returns the last notice of each endpoint that has not left.
    """

    def __init__(self, ledger, propose, list_rows):
        self.ledger = ledger
        self.propose = propose
        self.list_rows = list_rows
        self.lock = threading.Lock()
        # Monotonic time at which each version was last in service.
        self.seen_at = {}
        self.pending = None

    def reset(self):
        """Forget when versions were seen in an earlier time as the leader."""
        with self.lock:
            self.seen_at = {}

    def list_present(self):
        """Return the versions in service, as pairs with their service."""
        return {
            (row.service, row.software_version) for row in self.list_rows()
        }

    def find_versions(self, services):
        """Return the software versions of some services, sorted."""
        known = self.ledger.get_versions() | self.list_present()
        return tuple(
            sorted({version for name, version in known if name in services})
        )

    def advance(self, now):
        """Commit the versions that came into service or left long ago.

        Parameters
        ----------
        now : float
            Seconds of the monotonic clock.
        """
        if self.pending is not None and not self.pending.done():
            return
        recorded = self.ledger.get_versions()
        present = self.list_present()
        with self.lock:
            for key in recorded | present:
                if key in present or key not in self.seen_at:
                    self.seen_at[key] = now
            outdated = {
                key
                for key, seen_at in self.seen_at.items()
                if now - seen_at > table.MAX_STREAM_SECONDS
            }
            for key in outdated:
                del self.seen_at[key]
        command = None
        added = tuple(sorted(present - recorded))
        removed = tuple(sorted(outdated & recorded))
        if added:
            command = commands.AddVersions(added)
            LOG.info('event=versions_added versions={}', added)
        elif removed:
            command = commands.RemoveVersions(removed)
            LOG.info('event=versions_removed versions={}', removed)
        if command is not None:
            self.pending = self.propose(
                commands.FAMILY.encode(command), now + COMMIT_TIMEOUT_SECONDS
            )
