"""Endpoints known to a store, and their replication between stores."""

import collections
import dataclasses
import threading
import time

from rhubarbreach.backlog import commands
from rhubarbreach import clock
from rhubarbreach import eventlog
from rhubarbreach.fleet import announcements
from rhubarbreach.fleet import choice
from rhubarbreach.fleet import registry as registries
from rhubarbreach.protocol import fleetmessages

__all__ = ['Endpoints']

LOG = eventlog.Logger('endpoints')

# After its start, or after it has stood still, a store waits for this many
# announcement intervals before it treats an endpoint that has not announced
# itself as gone.
LEARN_ANNOUNCEMENTS = 3
# Interval of the log event on endpoints that were refused.
LOG_SECONDS = 1.0
# Time to commit a departure. An endpoint waits for a second before it tells
# another store.
COMMIT_TIMEOUT_SECONDS = 0.8
# Departures of which this store remembers that they were committed.
MAX_COMMITTED = 4096
# Departures that are sent to entry hosts while a store learns the endpoints,
# the latest ones.
MAX_UNLISTED_DEPARTURES = 1024
MILLISECONDS_PER_SECOND = 1000


@dataclasses.dataclass(frozen=True, slots=True)
class Table:
    """Endpoints under a stamp, which identifies their list and its order.

    `rows` holds the last notice of each endpoint in `endpoint_ids`, including
    those that have left, and `members_index` identifies the members of the
    group. `departures` holds the starts of the processes that have left and
    have no row, while the list is not complete.
    """

    revision: int
    is_complete: bool
    members_index: int
    departure_revision: int
    stamp: str
    endpoint_ids: tuple[str, ...]
    rows: tuple
    departures: dict[str, int]


class Endpoints:
    """Endpoint registry of one store, synchronized with the other stores.

    Parameters
    ----------
    host_id : str
        Id of this store.
    interval : float
        Seconds between two announcements of an endpoint.
    link : Link
        Link to the other stores.
    list_others : callable
        Returns the host ids of the other stores.
    wake : threading.Event
        Set when an update must reach the other stores immediately.
    max_bytes : float, optional
        Bound of the announcements that are kept.
    metrics : Metrics, optional
        Counts the endpoints that were refused.
    ledger : Ledger, optional
        Holds the departures that were acknowledged.
    propose : callable, optional
        Commits a command within some seconds; returns its reply.
    """

    def __init__(
        self,
        host_id,
        interval,
        link,
        list_others,
        wake,
        max_bytes=float('inf'),
        metrics=None,
        ledger=None,
        propose=None,
    ):
        self.metrics = metrics
        self.ledger = ledger
        self.propose = propose
        self.departure_revision = 0
        # Departures that this store has had committed, as a standby holds no
        # ledger.
        self.committed = collections.OrderedDict()
        self.log_due = 0.0
        self.host_id = host_id
        self.interval = interval
        self.link = link
        self.list_others = list_others
        self.wake = wake
        self.started = clock.monotonic()
        self.listening_since = self.expired_at = self.started
        self.lock = threading.Lock()
        self.registry = registries.Registry(interval, max_bytes)
        if ledger is not None:
            self.registry.find_departure = ledger.find_departure
        self.pending_updates = {}
        self.table = None
        link.register(
            fleetmessages.EndpointNews, self.apply_updates, inline=True
        )
        link.register(
            fleetmessages.EndpointsQuery, self.answer_query, inline=True
        )

    def query_stores(self):
        """Ask the other stores for the endpoints they know."""
        for host_id in self.list_others():
            self.link.send(host_id, fleetmessages.EndpointsQuery())

    def answer_query(self, sender_id, _):
        """Send all known endpoints to another store."""
        rows = self.list_rows(with_gone=True)
        if rows:
            self.link.send(sender_id, fleetmessages.EndpointNews(rows))

    def record_announcement(self, notice):
        """Process the announcement of an endpoint.

        Returns
        -------
        bool
            False if there is no room for a further endpoint.
        """
        with self.lock:
            if not self.registry.make_room(notice):
                self.report_full(notice)
                return False
            entry = self.registry.entries.get(notice.endpoint_id)
            is_newer = self.registry.record_announcement(
                notice, clock.monotonic()
            )
            if is_newer:
                # The registry may know that this process is leaving.
                entries = self.registry.entries
                notice = entries[notice.endpoint_id].row
                self.pending_updates[notice.endpoint_id] = notice
        if not is_newer:
            return True
        is_restarted = entry is not None and entry.row.born != notice.born
        if notice.cold_seconds or is_restarted:
            # The leader has to know it before hosts send many requests there.
            self.wake.set()
        if entry is None or entry.row.state != notice.state:
            LOG.info(
                'event=endpoint_state endpoint={} state={} address={} '
                'service={} born={} sequence={}',
                notice.endpoint_id,
                notice.state,
                notice.address,
                notice.service,
                notice.born,
                notice.sequence,
            )
            self.wake.set()
        return True

    def report_full(self, notice):
        """Count an endpoint that was refused, and log at a bounded rate."""
        if self.metrics is not None:
            self.metrics.count('endpoints_refused_total')
        now = clock.monotonic()
        if now >= self.log_due:
            self.log_due = now + LOG_SECONDS
            LOG.warning(
                'event=endpoints_full endpoint={} known={} bytes={}',
                notice.endpoint_id,
                len(self.registry.entries),
                self.registry.used_bytes,
            )

    def record_departure(self, endpoint_id, born):
        """Process the statement of an endpoint, in a response, that it leaves.

        Parameters
        ----------
        endpoint_id : str
            Endpoint.
        born : int
            Start time of its process, in Unix milliseconds.
        """
        with self.lock:
            notice = self.registry.start_drain(endpoint_id, born)
            if notice is None:
                return
            self.pending_updates[endpoint_id] = notice
        LOG.info(
            'event=endpoint_state endpoint={} state={} source=response',
            endpoint_id,
            notice.state,
        )
        self.wake.set()

    def leave(self, endpoint_id, born):
        """Mark an endpoint as gone after its last message.

        Parameters
        ----------
        endpoint_id : str
            Endpoint.
        born : int or None
            Start time of the process that leaves, in Unix milliseconds; None
            if the message does not contain it. A message of an earlier
            process is ignored.
        """
        with self.lock:
            entry = self.registry.entries.get(endpoint_id)
            if entry is None or (born is not None and born < entry.row.born):
                return
            notice = self.registry.leave(endpoint_id, clock.monotonic())
            self.pending_updates[endpoint_id] = notice
        LOG.info('event=endpoint_state endpoint={} state=gone', endpoint_id)
        self.wake.set()

    def commit_departure(self, endpoint_id, born, is_gone):
        """Commit the departure of an endpoint, so that it can be acknowledged.

        Parameters
        ----------
        endpoint_id : str
            Endpoint, also one that this store does not know.
        born : int or None
            Start time of the process that leaves, in Unix milliseconds. None
            stands for each process that has started by now.
        is_gone : bool
            Whether it takes no requests any more, else it is draining.

        Returns
        -------
        bool
            False if it is not known to be committed.
        """
        now = time.time()
        if born is None:
            with self.lock:
                entry = self.registry.entries.get(endpoint_id)
            born = (
                int(now * MILLISECONDS_PER_SECOND)
                if entry is None
                else entry.row.born
            )
        state = (born, is_gone)
        known = self.ledger.find_departure(endpoint_id)
        if known is not None and (known.born, known.is_gone) >= state:
            return True
        if self.committed.get(endpoint_id, (-1, False)) >= state:
            return True
        reply = self.propose(
            commands.AddDeparture(endpoint_id, born, is_gone, now),
            COMMIT_TIMEOUT_SECONDS,
        )
        is_committed = isinstance(reply, commands.Done)
        LOG.info(
            'event=departure_committed endpoint={} born={} gone={} done={} '
            'seconds={:.3f}',
            endpoint_id,
            born,
            is_gone,
            is_committed,
            time.time() - now,
        )
        if is_committed:
            with self.lock:
                self.committed[endpoint_id] = state
                self.committed.move_to_end(endpoint_id)
                if len(self.committed) > MAX_COMMITTED:
                    self.committed.popitem(last=False)
        return is_committed

    def apply_departures(self):
        """Apply the departures of the ledger that are new here."""
        revision = self.ledger.departure_revision
        if revision == self.departure_revision:
            return
        self.departure_revision = revision
        now = clock.monotonic()
        with self.lock:
            for departure in self.ledger.list_departures():
                if self.registry.apply_departure(departure, now):
                    LOG.info(
                        'event=endpoint_state endpoint={} gone={} '
                        'source=ledger',
                        departure.endpoint_id,
                        departure.is_gone,
                    )

    def treat_zone_as_cold(self, zone, now):
        """Count the endpoints of a zone as cold until they announce again."""
        with self.lock:
            self.registry.treat_zone_as_cold(zone, now)

    def record_failures(self, ages, now):
        """Count endpoints as cold, as `Registry.record_failures` does."""
        with self.lock:
            return self.registry.record_failures(ages, now)

    def list_cold(self, cold_starts, now):
        """Return the cold endpoints, as `Registry.list_cold` does."""
        with self.lock:
            return self.registry.list_cold(cold_starts, now)

    def has_left(self, endpoint_id, born):
        """Return whether a process of an endpoint is known to leave.

        Parameters
        ----------
        endpoint_id : str
            Endpoint.
        born : int
            Start of its process, in Unix milliseconds.
        """
        with self.lock:
            entry = self.registry.entries.get(endpoint_id)
        return (
            entry is not None
            and entry.row.born == born
            and entry.row.state != registries.EndpointState.READY
        )

    def has_survived(self, endpoint_id, born, since):
        """Return whether a process of an endpoint lived on after a time.

        It did if it has announced itself since, or has said that it leaves.

        Parameters
        ----------
        endpoint_id : str
            Endpoint.
        born : int
            Start of its process, in Unix milliseconds.
        since : float
            Seconds of the monotonic clock.

        Returns
        -------
        bool or None
            None if this is not known yet.
        """
        with self.lock:
            entry = self.registry.entries.get(endpoint_id)
        if entry is None:
            return False if self.is_complete() else None
        if entry.row.born != born:
            return False
        if entry.row.state != registries.EndpointState.READY:
            return True
        # An earlier announcement may have been under way.
        if entry.received_at > since + self.interval:
            return True
        return None

    def apply_updates(self, sender_id, message):
        """Apply announcements that another store has received."""
        rows = announcements.select_valid(message.rows, time.time())
        now = clock.monotonic()
        with self.lock:
            for row in rows:
                self.registry.record_announcement(row, now)

    def send_updates(self):
        """Send the updates since the last call to the other stores."""
        with self.lock:
            rows = tuple(self.pending_updates.values())
            self.pending_updates = {}
        if not rows:
            return
        for host_id in self.list_others():
            self.link.send(host_id, fleetmessages.EndpointNews(rows))

    def expire(self):
        """Remove the endpoints that no longer announce themselves.

        Called several times in each interval. A longer pause is one of this
        store, which could hear no endpoint meanwhile.
        """
        now = clock.monotonic()
        if now - self.expired_at > self.interval:
            self.listening_since = now
        self.expired_at = now
        if now - self.listening_since <= self.interval * LEARN_ANNOUNCEMENTS:
            return
        with self.lock:
            expired = self.registry.expire(now)
        for endpoint_id in expired:
            LOG.info('event=endpoint_silent endpoint={}', endpoint_id)

    def is_complete(self):
        """Return whether every endpoint has had time to announce itself."""
        learning_seconds = self.interval * LEARN_ANNOUNCEMENTS
        return clock.monotonic() - self.started > learning_seconds

    def read_table(self, members_index):
        """Return the current `Table`.

        The table is built once for all entry hosts. Its stamp changes whenever
        they need the endpoints, or the members of the group, again.

        Parameters
        ----------
        members_index : int
            Log index of the latest change of the members.
        """
        is_complete = self.is_complete()
        departure_revision = 0
        if self.ledger is not None and not is_complete:
            departure_revision = self.ledger.departure_revision
        with self.lock:
            revision = self.registry.revision
            table = self.table
            if table is None or (
                (revision, is_complete, members_index, departure_revision)
                != (
                    table.revision,
                    table.is_complete,
                    table.members_index,
                    table.departure_revision,
                )
            ):
                rows = self.registry.list_rows(clock.monotonic(), True)
                table = Table(
                    revision,
                    is_complete,
                    members_index,
                    departure_revision,
                    f'{self.host_id}:{self.started}:{revision}:{is_complete}:'
                    f'{members_index}:{departure_revision}',
                    tuple(row.endpoint_id for row in rows),
                    rows,
                    self.list_unlisted_departures()
                    if departure_revision
                    else {},
                )
                self.table = table
            return table

    def list_unlisted_departures(self):
        """Return the starts of processes that have left and have no row.

        Entry hosts may know them from before a restart of the stores.
        """
        departures = [
            departure
            for departure in self.ledger.list_departures()
            if departure.endpoint_id not in self.registry.entries
        ]
        departures.sort(key=lambda departure: departure.time)
        return {
            departure.endpoint_id: departure.born
            for departure in departures[-MAX_UNLISTED_DEPARTURES:]
        }

    def list_rows(self, with_gone=False):
        """Return the last notice of each endpoint, with its age."""
        with self.lock:
            return self.registry.list_rows(clock.monotonic(), with_gone)

    def count_by_service(self):
        """Return the number of endpoints in service as a dict by service."""
        return collections.Counter(
            endpoint.service for endpoint in self.list_by_id().values()
        )

    def list_by_id(self):
        """Return the endpoints by id, in the form that the runner uses."""
        return {
            row.endpoint_id: choice.Endpoint(
                row.endpoint_id,
                row.service,
                row.address,
                row.availability_zone,
                row.slots,
                row.state != registries.EndpointState.READY,
                row.software_version,
                row.born,
            )
            for row in self.list_rows()
        }
