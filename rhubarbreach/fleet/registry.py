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
# What a row takes in a message beside its texts.
ROW_BYTES = 64


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
    max_bytes : float, optional
        Bound of all rows. It protects the endpoints that are known: a new one
        beyond it is refused.
    find_departure : callable, optional
        `find_departure(endpoint_id)` returns the last departure of an endpoint
        that stores have acknowledged, or None.
    """

    def __init__(
        self,
        interval,
        max_bytes=float('inf'),
        find_departure=lambda endpoint_id: None,
    ):
        self.interval = interval
        self.find_departure = find_departure
        self.max_bytes = max_bytes
        self.used_bytes = 0
        self.entries = {}
        # Ids of the endpoints at each address.
        self.ids_by_address = {}
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
        row = self.restore_departure(row)
        entry = self.entries.get(row.endpoint_id)
        received_at = now - row.age
        if entry is not None and not is_newer(row, entry.row):
            return False
        if entry is not None and is_drained_again(row, entry.row):
            row = dataclasses.replace(row, state=EndpointState.DRAINING)
        if row.state != EndpointState.GONE and self.is_superseded(row):
            return False
        if not self.make_room(row):
            return False
        row = dataclasses.replace(row, age=0.0)
        if entry is None or is_changed(row, entry.row):
            self.revision += 1
        self.put(Entry(row, received_at))
        self.coldness.record_announcement(row, received_at)
        self.remove_superseded(row)
        return True

    def restore_departure(self, row):
        """Return an announcement with the departure of its process."""
        departure = self.find_departure(row.endpoint_id)
        if departure is None or row.born > departure.born:
            return row
        if departure.is_gone:
            return dataclasses.replace(row, state=EndpointState.GONE)
        if row.state == EndpointState.READY:
            return dataclasses.replace(row, state=EndpointState.DRAINING)
        return row

    def apply_departure(self, departure, now):
        """Apply a departure that stores have acknowledged.

        Parameters
        ----------
        departure : AddDeparture
            Process that is leaving.
        now : float
            Seconds of the monotonic clock.

        Returns
        -------
        bool
            Whether the state of the endpoint has changed.
        """
        entry = self.entries.get(departure.endpoint_id)
        if entry is None or entry.row.born > departure.born:
            return False
        row = self.restore_departure(entry.row)
        if row.state == entry.row.state:
            return False
        is_gone = row.state == EndpointState.GONE
        self.put(Entry(row, now if is_gone else entry.received_at))
        self.revision += 1
        return True

    def put(self, entry):
        """Add or replace the entry of an endpoint."""
        row = entry.row
        previous = self.entries.get(row.endpoint_id)
        if previous is not None:
            self.release(previous.row)
        self.entries[row.endpoint_id] = entry
        self.used_bytes += get_size(row)
        self.ids_by_address.setdefault(row.address, set()).add(row.endpoint_id)

    def remove(self, endpoint_id):
        """Remove the entry of an endpoint."""
        self.release(self.entries.pop(endpoint_id).row)

    def release(self, row):
        """Return the bytes of a row, and forget where its endpoint is."""
        self.used_bytes -= get_size(row)
        ids = self.ids_by_address[row.address]
        ids.discard(row.endpoint_id)
        if not ids:
            del self.ids_by_address[row.address]

    def make_room(self, row):
        """Return whether a row fits; remove old endpoints that have left.

        Parameters
        ----------
        row : EndpointNotice
            New announcement.
        """
        size = get_size(row)
        entry = self.entries.get(row.endpoint_id)
        if entry is not None:
            size -= get_size(entry.row)
        if self.used_bytes + size <= self.max_bytes:
            return True
        gone = [
            (other.received_at, endpoint_id)
            for endpoint_id, other in self.entries.items()
            if other.row.state == EndpointState.GONE and other is not entry
        ]
        for _, endpoint_id in sorted(gone):
            self.remove(endpoint_id)
            if self.used_bytes + size <= self.max_bytes:
                return True
        return False

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
        self.put(dataclasses.replace(entry, row=row))
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
        self.put(Entry(row, now))
        return row

    def is_superseded(self, row):
        """Return whether a later process uses the address of an endpoint."""
        return any(
            endpoint_id != row.endpoint_id
            and self.entries[endpoint_id].row.born > row.born
            for endpoint_id in self.ids_by_address.get(row.address, ())
        )

    def remove_superseded(self, row):
        """Remove earlier processes at the address of an endpoint."""
        superseded = [
            endpoint_id
            for endpoint_id in self.ids_by_address[row.address]
            if endpoint_id != row.endpoint_id
            and self.entries[endpoint_id].row.born < row.born
        ]
        for endpoint_id in superseded:
            self.remove(endpoint_id)
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
                self.remove(endpoint_id)
                expired.append(endpoint_id)
        if expired:
            self.revision += 1
            self.coldness.keep(self.entries)
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


def get_size(row):
    """Return the approximate size of a row in a message."""
    texts = (
        row.endpoint_id,
        row.service,
        row.address,
        row.availability_zone,
        row.software_version,
    )
    return ROW_BYTES + sum(map(len, texts))


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
