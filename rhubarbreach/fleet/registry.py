"""Endpoints as they announce themselves, late, reordered and restarted."""

import dataclasses
import enum

from rhubarbreach.protocol import fleetmessages

__all__ = ['EndpointState', 'Registry']

# Announcements that may fail in a row before an endpoint counts as gone. An
# endpoint may announce itself to a store that is cut off or stopped, and hosts
# notice by themselves when one does not answer.
MISSED_ANNOUNCEMENTS = 6
# How long the end of an endpoint is remembered, in seconds, so that a late
# announcement does not bring it back. Partitions delay them by some seconds.
TOMBSTONE_SECONDS = 120.0


class EndpointState(enum.StrEnum):
    """Whether an endpoint takes new requests."""

    READY = 'ready'
    DRAINING = 'draining'
    GONE = 'gone'


@dataclasses.dataclass(frozen=True, slots=True)
class Entry:
    """An announcement and when it was heard."""

    row: fleetmessages.EndpointNotice
    heard: float


class Registry:
    """Newest announcement of each endpoint.

    Parameters
    ----------
    interval : float
        Seconds between two announcements of an endpoint.
    """

    def __init__(self, interval):
        self.interval = interval
        self.entries = {}
        self.revision = 0

    def hear(self, row, now):
        """Take an announcement into account.

        Parameters
        ----------
        row : EndpointNotice
            Announcement; `age` tells how long ago it was heard elsewhere.
        now : float
            Seconds of the monotonic clock.

        Returns
        -------
        bool
            Whether it is newer than what was known.
        """
        known = self.entries.get(row.endpoint_id)
        heard = now - row.age
        if known is not None and not is_newer(row, known.row):
            return False
        if row.state != EndpointState.GONE and self.is_replaced(row):
            return False
        row = dataclasses.replace(row, age=0.0)
        if known is None or is_changed(row, known.row):
            self.revision += 1
        self.entries[row.endpoint_id] = Entry(row, heard)
        self.drop_replaced(row)
        return True

    def leave(self, endpoint_id, now):
        """Note that an endpoint has said that it leaves; return its row."""
        known = self.entries.get(endpoint_id)
        if known is None:
            return None
        row = dataclasses.replace(known.row, state=EndpointState.GONE)
        if known.row.state != EndpointState.GONE:
            self.revision += 1
        self.entries[endpoint_id] = Entry(row, now)
        return row

    def is_replaced(self, row):
        """Return whether a later process has the address of an endpoint."""
        return any(
            entry.row.address == row.address
            and entry.row.endpoint_id != row.endpoint_id
            and entry.row.born > row.born
            for entry in self.entries.values()
        )

    def drop_replaced(self, row):
        """Forget earlier processes at the address of an endpoint."""
        replaced = [
            endpoint_id
            for endpoint_id, entry in self.entries.items()
            if entry.row.address == row.address
            and endpoint_id != row.endpoint_id
            and entry.row.born < row.born
        ]
        for endpoint_id in replaced:
            del self.entries[endpoint_id]
            self.revision += 1

    def expire(self, now):
        """Forget endpoints that fell silent; return their ids."""
        silent = self.interval * MISSED_ANNOUNCEMENTS
        gone = []
        for endpoint_id, entry in list(self.entries.items()):
            limit = silent
            if entry.row.state == EndpointState.GONE:
                limit = TOMBSTONE_SECONDS
            if now - entry.heard > limit:
                del self.entries[endpoint_id]
                gone.append(endpoint_id)
        self.revision += bool(gone)
        return gone

    def list_rows(self, now, with_gone=False):
        """Return what is known of endpoints, with its age.

        Parameters
        ----------
        now : float
            Seconds of the monotonic clock.
        with_gone : bool
            Whether those that have left are included.
        """
        return tuple(
            dataclasses.replace(entry.row, age=max(0.0, now - entry.heard))
            for entry in self.entries.values()
            if with_gone or entry.row.state != EndpointState.GONE
        )


def is_newer(row, known):
    """Return whether an announcement follows another of the same id."""
    if row.born != known.born:
        return row.born > known.born
    if known.state == EndpointState.GONE:
        return False
    if row.state == EndpointState.GONE:
        return True
    return row.sequence > known.sequence


def is_changed(row, known):
    """Return whether hosts that forward requests have to know."""
    fields = ('service', 'address', 'slots', 'state', 'born')
    return any(getattr(row, f) != getattr(known, f) for f in fields)
