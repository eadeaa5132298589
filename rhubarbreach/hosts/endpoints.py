"""Endpoints as the stores of a fleet hear them."""

import threading

from rhubarbreach import clock
from rhubarbreach import eventlog
from rhubarbreach.fleet import registry as registries
from rhubarbreach.fleet import view as views
from rhubarbreach.protocol import fleetmessages

__all__ = ['Endpoints']

LOG = eventlog.Logger('endpoints')

# Announcements of each endpoint that a store waits for after its start
# before it takes an endpoint that is not heard for gone.
LEARN_ANNOUNCEMENTS = 3


class Endpoints:
    """Registry of one store and its exchange with the other stores.

    Parameters
    ----------
    host_id : str
        This store.
    interval : float
        Seconds between two announcements of an endpoint.
    link : Link
        Link to the other stores.
    list_others : callable
        Returns the host ids of the other stores.
    wake : threading.Event
        Set when the other stores have to be told at once.
    """

    def __init__(self, host_id, interval, link, list_others, wake):
        self.host_id = host_id
        self.interval = interval
        self.link = link
        self.list_others = list_others
        self.wake = wake
        self.started = clock.monotonic()
        self.lock = threading.Lock()
        self.registry = registries.Registry(interval)
        self.news = {}
        link.register(fleetmessages.EndpointNews, self.take_news, inline=True)
        link.register(
            fleetmessages.EndpointsQuery, self.answer_query, inline=True
        )

    def ask_others(self):
        """Ask the other stores for the endpoints that they know."""
        for host_id in self.list_others():
            self.link.send(host_id, fleetmessages.EndpointsQuery())

    def answer_query(self, sender_id, _):
        """Tell another store all endpoints."""
        rows = self.list_rows(with_gone=True)
        if rows:
            self.link.send(sender_id, fleetmessages.EndpointNews(rows))

    def record_announcement(self, notice):
        """Take an endpoint's announcement."""
        with self.lock:
            known = self.registry.entries.get(notice.endpoint_id)
            is_news = self.registry.record_announcement(
                notice, clock.monotonic()
            )
            if is_news:
                self.news[notice.endpoint_id] = notice
        if is_news and (known is None or known.row.state != notice.state):
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

    def leave(self, endpoint_id, born):
        """Take an endpoint's last message; `born` is None if not told."""
        with self.lock:
            known = self.registry.entries.get(endpoint_id)
            if known is None or (born is not None and born < known.row.born):
                return
            notice = self.registry.leave(endpoint_id, clock.monotonic())
            self.news[endpoint_id] = notice
        LOG.info('event=endpoint_state endpoint={} state=gone', endpoint_id)
        self.wake.set()

    def take_news(self, sender_id, message):
        """Take what another store has heard."""
        now = clock.monotonic()
        with self.lock:
            for row in message.rows:
                self.registry.record_announcement(row, now)

    def send_news(self):
        """Tell the other stores what was heard since the last time."""
        with self.lock:
            rows = tuple(self.news.values())
            self.news = {}
        if not rows:
            return
        for host_id in self.list_others():
            self.link.send(host_id, fleetmessages.EndpointNews(rows))

    def expire(self):
        """Forget the endpoints that fell silent."""
        with self.lock:
            gone = self.registry.expire(clock.monotonic())
        for endpoint_id in gone:
            LOG.info('event=endpoint_silent endpoint={}', endpoint_id)

    def is_complete(self):
        """Return whether each endpoint has had time to announce itself."""
        learn = self.interval * LEARN_ANNOUNCEMENTS
        return clock.monotonic() - self.started > learn

    def get_stamp(self):
        """Return a text that changes with what entry hosts have to know."""
        with self.lock:
            revision = self.registry.revision
        return f'{self.host_id}:{self.started}:{revision}:{self.is_complete()}'

    def list_rows(self, with_gone=False):
        """Return what is known of the endpoints, with its age."""
        with self.lock:
            return self.registry.list_rows(clock.monotonic(), with_gone)

    def list_by_id(self):
        """Return the endpoints by id, as the runner sees them."""
        return {
            row.endpoint_id: views.Endpoint(
                row.endpoint_id,
                row.service,
                row.address,
                row.availability_zone,
                row.slots,
                row.state != registries.EndpointState.READY,
            )
            for row in self.list_rows()
        }
