"""An entry host: it takes requests of callers."""

import time

from rhubarbreach import clock
from rhubarbreach import eventlog
from rhubarbreach.fleet import leader_client as leader_clients
from rhubarbreach.fleet import view as views
from rhubarbreach.gateway import app as apps
from rhubarbreach.gateway import jobs
from rhubarbreach.protocol import link as links
from rhubarbreach.web import server

__all__ = ['EntryHost']

LOG = eventlog.Logger('entry')

# What a host holds back of the time after which a withdrawn key must not
# work any more: for clocks that drift and for a request between its check
# and its start on an endpoint.
REVOKE_MARGIN_SECONDS = 0.6
# The balancer asks once a second and needs two misses; until then new
# connections still come.
LEAVE_SECONDS = 3.0
# The end of a drain is kept free for what is still under way, in seconds.
DRAIN_MARGIN_SECONDS = 0.5
DRAIN_POLL_SECONDS = 0.1


class EntryHost:
    """An entry host.

    Parameters
    ----------
    settings : RoleSettings
        Settings.
    decode_catalog : callable
        Returns the `Catalog` of an operator's document.
    dialect : object
        Translates headers and bodies of requests.
    metrics : Metrics
        Counters and latencies.
    """

    def __init__(self, settings, decode_catalog, dialect, metrics):
        self.settings = settings
        self.link = links.Link(
            settings.address,
            f'{settings.address}:{settings.link_port}',
            {},
            None,
            common_port=settings.link_port,
        )
        self.view = views.View(settings.availability_zone)
        self.leader_client = leader_clients.LeaderClient(
            self.link,
            self.view,
            settings.seeds,
            decode_catalog,
            settings.revoke_seconds - REVOKE_MARGIN_SECONDS,
        )
        self.app = apps.App(
            self.leader_client,
            self.view,
            jobs.Jobs(self.link, self.leader_client),
            dialect,
            metrics,
        )
        self.readiness = server.Server(
            settings.readiness, self.tell_ready, self.app.get_limits, 'ready'
        )
        self.callers = server.Server(
            settings.callers, self.app.handle, self.app.get_limits, 'caller'
        )

    def tell_ready(self, connection, request):
        """Answer the balancer."""
        connection.answer(200 if self.app.is_ready() else 503)

    def drain(self, seconds):
        """Finish what is under way within some seconds."""
        now = clock.monotonic()
        end = now + seconds - DRAIN_MARGIN_SECONDS
        leave = min(end, now + LEAVE_SECONDS)
        self.app.draining = True
        self.callers.draining = True
        while clock.monotonic() < leave:
            time.sleep(DRAIN_POLL_SECONDS)
        while clock.monotonic() < end:
            self.callers.close_idle()
            if not self.callers.count_busy():
                return
            time.sleep(DRAIN_POLL_SECONDS)
        LOG.warning('event=drain_cut busy={}', self.callers.count_busy())

    def close(self):
        """Stop all tasks."""
        self.leader_client.close()
        self.readiness.close()
        self.callers.close()
        self.link.close()
