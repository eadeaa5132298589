"""Registry of the endpoints that announced themselves."""

import dataclasses
import random as random_module
import threading

from rhubarbreach import clock
from rhubarbreach.membership import model
from rhubarbreach.protocol import membermessages

__all__ = ['EndpointRegistry', 'Record']

# Seconds after which an endpoint without announcement counts as lost. It
# announces itself every second.
EXPIRY = 3.5
# Seconds between two batches.
BATCH_PERIOD = 0.4
# Seconds for which the last incarnation of a lost endpoint is remembered,
# so that a late row of it is not taken for news.
LOST_KEEP = 120.0
# Rows in one message: about 200 bytes each.
MAX_ROWS = 1000


@dataclasses.dataclass(slots=True)
class Record:
    """Latest row of an endpoint.

    Parameters
    ----------
    row : EndpointRow
        As received.
    info : EndpointInfo
        As given to others.
    announced_at : float
        Monotonic seconds.
    """

    row: membermessages.EndpointRow
    info: model.EndpointInfo
    announced_at: float


class EndpointRegistry:
    """Soft state about endpoints, shared between hosts.

    Parameters
    ----------
    membership : Membership or None
        Live hosts; None keeps everything on this host.
    link : Link or None
        Link to the other hosts.
    random : random.Random, optional
        Choice of delegates.
    """

    def __init__(self, membership=None, link=None, random=None):
        self.membership = membership
        self.link = link
        self.random = random or random_module
        self.lock = threading.RLock()
        self.records = {}
        self.unsent = {}
        self.relayed = {}
        self.listeners = []
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
        while not self.stopped.wait(BATCH_PERIOD):
            self.tick(clock.monotonic())

    def announce(self, announcement, now):
        """Take an announcement from an endpoint.

        Parameters
        ----------
        announcement : EndpointRow
            Row of the endpoint.
        now : float
            Monotonic seconds.

        Returns
        -------
        bool
            False when a newer announcement is known.
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
        """Return the endpoints that take new work for a model.

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
            found = [
                record.info
                for record in self.records.values()
                if model_id in record.info.models
                and not record.info.draining
                and now < record.info.expires_at
            ]
        return tuple(sorted(found, key=lambda info: info.endpoint_id))

    def get(self, endpoint_id):
        """Return the `EndpointInfo` of an endpoint, or None."""
        with self.lock:
            record = self.records.get(endpoint_id)
        return None if record is None else record.info

    def list_all(self, now):
        """Return all endpoints that have not expired, draining too."""
        with self.lock:
            found = [
                record.info
                for record in self.records.values()
                if now < record.info.expires_at
            ]
        return tuple(sorted(found, key=lambda info: info.endpoint_id))

    def mark_lost(self, endpoint_id, now):
        """Take an endpoint out of use until its next announcement."""
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
        """Call the listeners."""
        for listener in tuple(self.listeners):
            listener()

    def merge(self, row, now):
        """Take over a row if it is newer; return whether it was."""
        if row.age > EXPIRY:
            return False
        known = self.records.get(row.endpoint_id)
        order = (row.incarnation, row.sequence)
        if known is not None and order <= (
            known.row.incarnation,
            known.row.sequence,
        ):
            return False
        announced_at = now - row.age
        info = make_info(row, announced_at)
        self.records[row.endpoint_id] = Record(row, info, announced_at)
        return True

    def receive(self, _sender_id, batch):
        """Take a batch of another host."""
        now = clock.monotonic()
        with self.lock:
            fresh = [row for row in batch.rows if self.merge(row, now)]
            if batch.relay:
                for row in fresh:
                    self.relayed[row.endpoint_id] = None
        if fresh:
            self.notify()
        if batch.relay and any(row.draining for row in fresh):
            self.tick(now)

    def tick(self, now):
        """Send what has been announced since the last batch."""
        with self.lock:
            self.forget(now)
            own = self.take_rows(self.unsent, now)
            relayed = self.take_rows(self.relayed, now)
        if self.membership is None:
            return
        hosts = self.membership.alive()
        local = [
            host.host_id
            for host in hosts
            if self.is_local(host) and host.host_id != self.membership.host_id
        ]
        for host_id in local:
            self.send_rows(host_id, own + relayed, False)
        for host_id in self.choose_delegates(hosts):
            self.send_rows(host_id, own, True)

    def is_local(self, host):
        """Return whether a host is in this host's zone."""
        place = (self.membership.region, self.membership.zone)
        return (host.region, host.zone) == place

    def choose_delegates(self, hosts):
        """Return one random host of each other zone.

        A random choice for each batch gets past a delegate that is lost
        but not yet known to be.
        """
        zones = {}
        for host in hosts:
            if not self.is_local(host):
                key = (host.region, host.zone)
                zones.setdefault(key, []).append(host.host_id)
        return [self.random.choice(ids) for _, ids in sorted(zones.items())]

    def send_rows(self, host_id, rows, relay):
        """Send rows in messages of bounded size."""
        for start in range(0, len(rows), MAX_ROWS):
            part = tuple(rows[start : start + MAX_ROWS])
            self.link.send(host_id, membermessages.EndpointBatch(part, relay))

    def take_rows(self, endpoint_ids, now):
        """Return the latest rows of a set of endpoints and empty it."""
        rows = []
        for endpoint_id in endpoint_ids:
            record = self.records.get(endpoint_id)
            if record is not None:
                age = now - record.announced_at
                rows.append(dataclasses.replace(record.row, age=age))
        endpoint_ids.clear()
        return rows

    def forget(self, now):
        """Remove endpoints that have been lost for long."""
        old = [
            endpoint_id
            for endpoint_id, record in self.records.items()
            if now > record.announced_at + LOST_KEEP
        ]
        for endpoint_id in old:
            del self.records[endpoint_id]


def make_info(row, announced_at):
    """Return the `EndpointInfo` of a row.

    Parameters
    ----------
    row : EndpointRow
        As announced.
    announced_at : float
        Monotonic seconds.

    Returns
    -------
    EndpointInfo
        With a deadline of this host's clock.
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
        announced_at + EXPIRY,
    )
