"""Registry of endpoints, built from their announcements.

Announcements may arrive late or reordered, and endpoints may restart.
"""

import dataclasses
import enum

from rhubarbreach.fleet import coldness
from rhubarbreach.protocol import fleetmessages

__all__ = ['EndpointState', 'Registry']

# Consecutive announcements that may be missing before an endpoint is removed.
# An endpoint may announce itself to a store that is partitioned or stopped,
# and hosts detect by themselves that an endpoint does not answer.
MISSED_ANNOUNCEMENTS = 6
# The record of an endpoint that has left is kept for this time, so that a late
# announcement does not restore it. Partitions delay announcements by a few
# seconds.
TOMBSTONE_SECONDS = 120.0


class EndpointState(enum.StrEnum):
    """State of an endpoint; only a ready one takes new requests."""

    READY = 'ready'
    DRAINING = 'draining'
    GONE = 'gone'


@dataclasses.dataclass(frozen=True, slots=True)
class Entry:
    """An announcement and the monotonic time at which it was received."""

    row: fleetmessages.EndpointNotice
    received_at: float


class Registry:
    """Latest announcement of each endpoint.

    Parameters
    ----------
    interval : float
        Seconds between two announcements of an endpoint.
    """

    def __init__(self, interval):
        self.interval = interval
        self.entries = {}
        self.coldness = coldness.Coldness(interval)
        self.revision = 0

    def record_announcement(self, row, now):
        """Store an announcement unless it is outdated.

        Parameters
        ----------
        row : EndpointNotice
            Announcement; `age` is the time since another store received it.
        now : float
            Seconds of the monotonic clock.

        Returns
        -------
        bool
            Whether the announcement was stored.
        """
        entry = self.entries.get(row.endpoint_id)
        received_at = now - row.age
        if entry is not None and not is_newer(row, entry.row):
            return False
        if entry is not None and is_drained_again(row, entry.row):
            row = dataclasses.replace(row, state=EndpointState.DRAINING)
        if row.state != EndpointState.GONE and self.is_superseded(row):
            return False
        row = dataclasses.replace(row, age=0.0)
        if entry is None or is_changed(row, entry.row):
            self.revision += 1
        self.entries[row.endpoint_id] = Entry(row, received_at)
        self.coldness.record_announcement(row, received_at)
        self.remove_superseded(row)
        return True

    def start_drain(self, endpoint_id, born):
        """Mark a process as draining that has said so elsewhere.

        Parameters
        ----------
        endpoint_id : str
            Endpoint.
        born : int
            Start of its process, in Unix milliseconds.

        Returns
        -------
        EndpointNotice or None
            The changed announcement, None if nothing has changed.
        """
        entry = self.entries.get(endpoint_id)
        if entry is None or entry.row.state != EndpointState.READY:
            return None
        if born != entry.row.born:
            return None
        row = dataclasses.replace(entry.row, state=EndpointState.DRAINING)
        self.entries[endpoint_id] = dataclasses.replace(entry, row=row)
        self.revision += 1
        return row

    def leave(self, endpoint_id, now):
        """Mark an endpoint as gone; return its row, or None if unknown."""
        entry = self.entries.get(endpoint_id)
        if entry is None:
            return None
        row = dataclasses.replace(entry.row, state=EndpointState.GONE)
        if entry.row.state != EndpointState.GONE:
            self.revision += 1
        self.entries[endpoint_id] = Entry(row, now)
        return row

    def is_superseded(self, row):
        """Return whether a later process uses the address of an endpoint."""
        return any(
            entry.row.address == row.address
            and entry.row.endpoint_id != row.endpoint_id
            and entry.row.born > row.born
            for entry in self.entries.values()
        )

    def remove_superseded(self, row):
        """Remove earlier processes at the address of an endpoint."""
        superseded = [
            endpoint_id
            for endpoint_id, entry in self.entries.items()
            if entry.row.address == row.address
            and endpoint_id != row.endpoint_id
            and entry.row.born < row.born
        ]
        for endpoint_id in superseded:
            del self.entries[endpoint_id]
            self.revision += 1

    def expire(self, now):
        """Remove endpoints without recent announcements; return their ids."""
        max_silence = self.interval * MISSED_ANNOUNCEMENTS
        expired = []
        for endpoint_id, entry in list(self.entries.items()):
            limit = max_silence
            if entry.row.state == EndpointState.GONE:
                limit = TOMBSTONE_SECONDS
            if now - entry.received_at > limit:
                del self.entries[endpoint_id]
                expired.append(endpoint_id)
        self.revision += bool(expired)
        return expired

    def treat_zone_as_cold(self, zone, now):
        """Count the endpoints of a zone as cold until they announce again.

        Parameters
        ----------
        zone : str
            Availability zone, to which nothing was sent for some time.
        now : float
            Seconds of the monotonic clock.
        """
        self.coldness.treat_zone_as_cold(zone, now)
        # The leader reads the cold endpoints again before its next reply.
        self.revision += 1

    def record_failures(self, ages, now):
        """Count endpoints as cold that have failed since they announced.

        Parameters
        ----------
        ages : dict of str to float
            Seconds since the last failure of each endpoint.
        now : float
            Seconds of the monotonic clock.

        Returns
        -------
        bool
            Whether one of the failures was not known.
        """
        is_new = False
        for endpoint_id, age in ages.items():
            is_new |= self.coldness.record_failure(endpoint_id, now - age)
        return is_new

    def list_cold(self, cold_starts, now):
        """Return the cold endpoints that take new requests.

        Parameters
        ----------
        cold_starts : dict of str to float
            Services with a limit on requests to cold endpoints, and the
            seconds for which their endpoints are cold after a start.
        now : float
            Seconds of the monotonic clock.

        Returns
        -------
        dict of str to tuple of str and float
            Service, and remaining seconds, by endpoint.
        """
        self.coldness.keep(self.entries)
        cold = {}
        for endpoint_id, entry in self.entries.items():
            service = entry.row.service
            cold_start = cold_starts.get(service)
            if cold_start is None or entry.row.state != EndpointState.READY:
                continue
            remaining = self.coldness.get_remaining(
                endpoint_id, cold_start, now
            )
            if remaining > 0:
                cold[endpoint_id] = (service, remaining)
        return cold

    def list_rows(self, now, with_gone=False):
        """Return the announcement of each endpoint with its current age.

        Parameters
        ----------
        now : float
            Seconds of the monotonic clock.
        with_gone : bool
            Whether endpoints that have left are included.
        """
        return tuple(
            dataclasses.replace(
                entry.row, age=max(0.0, now - entry.received_at)
            )
            for entry in self.entries.values()
            if with_gone or entry.row.state != EndpointState.GONE
        )


def is_newer(row, stored):
    """Return whether an announcement is newer than one of the same id."""
    if row.born != stored.born:
        return row.born > stored.born
    if stored.state == EndpointState.GONE:
        return False
    if row.state == EndpointState.GONE:
        return True
    if (row.state, stored.state) == (
        EndpointState.DRAINING,
        EndpointState.READY,
    ):
        # A process never returns from a drain, so even a late announcement of
        # one is true, and one learned from a response has an old number.
        return True
    return row.sequence > stored.sequence


def is_drained_again(row, stored):
    """Return whether a process that drains announces that it is ready."""
    return (
        row.born == stored.born
        and row.state == EndpointState.READY
        and stored.state == EndpointState.DRAINING
    )


def is_changed(row, stored):
    """Return whether an announcement changes a field that hosts use."""
    fields = (
        'service',
        'address',
        'slots',
        'state',
        'born',
        'software_version',
    )
    return any(getattr(row, f) != getattr(stored, f) for f in fields)
