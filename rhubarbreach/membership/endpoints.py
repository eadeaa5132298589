"""Registry of the endpoints that announced themselves."""

import dataclasses
import random as random_module
import threading

from rhubarbreach import clock
from rhubarbreach import eventlog
from rhubarbreach.membership import model
from rhubarbreach.protocol import membermessages

__all__ = ['EndpointRegistry', 'Record']

LOG = eventlog.Logger('endpoint-registry')

# An endpoint announces itself every second and counts as lost after this
# time without an announcement.
EXPIRY_SECONDS = 3.5
BATCH_PERIOD_SECONDS = 0.4
# The record of a lost endpoint is kept for this time, so that a delayed row
# of its last incarnation is recognised as old.
LOST_RETENTION_SECONDS = 120.0
# Maximum number of rows in one message. A row takes about 200 bytes.
MAX_BATCH_ROWS = 1000


@dataclasses.dataclass(slots=True)
class Record:
    """Latest known state of an endpoint.

    Parameters
    ----------
    row : EndpointRow
        Row as received.
    info : EndpointInfo
        The same state as the registry returns it.
    announced_at : float
        Monotonic seconds.
    """

    row: membermessages.EndpointRow
    info: model.EndpointInfo
    announced_at: float


class EndpointRegistry:
    """Registry of announced endpoints as soft state, shared between hosts.

    Parameters
    ----------
    membership : Membership or None
        Live hosts. With None, announcements stay on this host.
    link : Link or None
        Link to the other hosts.
    random : random.Random, optional
        Source of randomness for the choice of delegates.
    """

    def __init__(self, membership=None, link=None, random=None):
        self.membership = membership
        self.link = link
        self.random = random or random_module
        self.lock = threading.RLock()
        self.records = {}
        self.unsent = {}
        self.unrelayed = {}
        self.listeners = []
        self.evacuated_zones = frozenset()
        self.stopped = threading.Event()
        self.thread = None
        if link is not None:
            link.register(
                membermessages.EndpointBatch, self.receive, inline=True
            )

    def start(self):
        """Start sending batches."""
        self.thread = threading.Thread(
            target=self.run, name='endpoint-registry', daemon=True
        )
        self.thread.start()

    def close(self):
        """Stop sending batches."""
        self.stopped.set()
        if self.thread is not None:
            self.thread.join()

    def run(self):
        """Send batches until closed."""
        while not self.stopped.wait(BATCH_PERIOD_SECONDS):
            try:
                self.tick(clock.monotonic())
            except Exception:
                # If this thread ended, the other hosts would lose all
                # endpoints that announce themselves to this one.
                LOG.exception('event=batch_failed')

    def announce(self, announcement, now):
        """Record an announcement of an endpoint.

        Parameters
        ----------
        announcement : EndpointRow
            Row of the endpoint.
        now : float
            Monotonic seconds.

        Returns
        -------
        bool
            Whether the announcement was recorded. False when it is too old
            or a newer one is known.
        """
        with self.lock:
            before = self.records.get(announcement.endpoint_id)
            if not self.merge(announcement, now):
                return False
            self.unsent[announcement.endpoint_id] = None
        self.notify()
        if announcement.draining and not (before and before.info.draining):
            self.tick(now)
        return True

    def usable(self, model_id, now):
        """Return the endpoints that accept new work for a model.

        Those in evacuated zones accept none.

        Parameters
        ----------
        model_id : str
            Model or target of a service route.
        now : float
            Monotonic seconds.

        Returns
        -------
        tuple of EndpointInfo
            Sorted by id.
        """
        with self.lock:
            infos = [
                record.info
                for record in self.records.values()
                if model_id in record.info.models
                and record.info.zone not in self.evacuated_zones
                and not record.info.draining
                and now < record.info.expires_at
            ]
        return tuple(sorted(infos, key=lambda info: info.endpoint_id))

    def get(self, endpoint_id):
        """Return the `EndpointInfo` of an endpoint, or None."""
        with self.lock:
            record = self.records.get(endpoint_id)
        return None if record is None else record.info

    def list_all(self, now):
        """Return all endpoints that have not expired, also draining ones."""
        with self.lock:
            infos = [
                record.info
                for record in self.records.values()
                if now < record.info.expires_at
            ]
        return tuple(sorted(infos, key=lambda info: info.endpoint_id))

    def is_evacuated(self, model_id, now):
        """Return whether an evacuated zone has an endpoint of a model."""
        with self.lock:
            return any(
                record.info.zone in self.evacuated_zones
                and model_id in record.info.models
                and now < record.info.expires_at
                for record in self.records.values()
            )

    def set_evacuated_zones(self, zones):
        """Replace the availability zones that accept no new work."""
        with self.lock:
            if self.evacuated_zones == frozenset(zones):
                return
            self.evacuated_zones = frozenset(zones)
        LOG.info('event=evacuations_in_force zones={}', sorted(zones))
        self.notify()

    def mark_lost(self, endpoint_id, now):
        """Treat an endpoint as expired until its next announcement."""
        with self.lock:
            record = self.records.get(endpoint_id)
            if record is not None:
                record.info = dataclasses.replace(record.info, expires_at=now)
        self.notify()

    def subscribe(self, listener):
        """Call `listener()` after each change."""
        with self.lock:
            self.listeners.append(listener)

    def notify(self):
        """Call all listeners."""
        for listener in tuple(self.listeners):
            listener()

    def merge(self, row, now):
        """Store a row if it is newer than the known one.

        Returns
        -------
        bool
            Whether the row was stored.
        """
        if row.age > EXPIRY_SECONDS:
            return False
        record = self.records.get(row.endpoint_id)
        order = (row.incarnation, row.sequence)
        if record is not None and order <= (
            record.row.incarnation,
            record.row.sequence,
        ):
            return False
        announced_at = now - row.age
        info = make_info(row, announced_at)
        self.records[row.endpoint_id] = Record(row, info, announced_at)
        return True

    def receive(self, _sender_id, batch):
        """Handle a batch of another host."""
        now = clock.monotonic()
        with self.lock:
            fresh = [row for row in batch.rows if self.merge(row, now)]
            if batch.relay:
                for row in fresh:
                    self.unrelayed[row.endpoint_id] = None
        if fresh:
            self.notify()
        if batch.relay and any(row.draining for row in fresh):
            self.tick(now)

    def tick(self, now):
        """Send the rows announced since the last batch."""
        with self.lock:
            self.remove_expired(now)
            own = self.pop_rows(self.unsent, now)
            unrelayed = self.pop_rows(self.unrelayed, now)
        if self.membership is None:
            return
        hosts = self.membership.alive()
        local = [
            host.host_id
            for host in hosts
            if self.is_local(host) and host.host_id != self.membership.host_id
        ]
        for host_id in local:
            self.send_rows(host_id, own + unrelayed, False)
        for host_id in self.choose_delegates(hosts):
            self.send_rows(host_id, own, True)

    def is_local(self, host):
        """Return whether a host is in the availability zone of this host."""
        own_zone = (self.membership.region, self.membership.zone)
        return (host.region, host.zone) == own_zone

    def choose_delegates(self, hosts):
        """Return one random host of each other zone.

        The choice is made again for each batch, so that a failed delegate
        that has not been detected yet does not receive all batches.
        """
        zones = {}
        for host in hosts:
            if not self.is_local(host):
                key = (host.region, host.zone)
                zones.setdefault(key, []).append(host.host_id)
        return [self.random.choice(ids) for _, ids in sorted(zones.items())]

    def send_rows(self, host_id, rows, relay):
        """Send rows in messages of bounded size."""
        for start in range(0, len(rows), MAX_BATCH_ROWS):
            part = tuple(rows[start : start + MAX_BATCH_ROWS])
            self.link.send(host_id, membermessages.EndpointBatch(part, relay))

    def pop_rows(self, endpoint_ids, now):
        """Clear a collection of endpoint ids and return their latest rows."""
        rows = []
        for endpoint_id in endpoint_ids:
            record = self.records.get(endpoint_id)
            if record is not None:
                age = now - record.announced_at
                rows.append(dataclasses.replace(record.row, age=age))
        endpoint_ids.clear()
        return rows

    def remove_expired(self, now):
        """Remove endpoints whose retention period has passed."""
        expired = [
            endpoint_id
            for endpoint_id, record in self.records.items()
            if now > record.announced_at + LOST_RETENTION_SECONDS
        ]
        for endpoint_id in expired:
            del self.records[endpoint_id]


def make_info(row, announced_at):
    """Return the `EndpointInfo` of a row.

    Parameters
    ----------
    row : EndpointRow
        Row as announced.
    announced_at : float
        Monotonic seconds.

    Returns
    -------
    EndpointInfo
        State whose deadline is on the clock of this host.
    """
    load = model.Load(
        row.running, row.waiting, row.slots, row.kv_used, announced_at
    )
    return model.EndpointInfo(
        row.endpoint_id,
        row.zone,
        row.address,
        row.kind,
        row.models,
        row.incarnation,
        row.draining,
        row.fencing,
        load,
        announced_at + EXPIRY_SECONDS,
        row.software_version,
    )
