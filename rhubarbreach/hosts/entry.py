"""Entry host, which accepts requests of callers."""

import time

from rhubarbreach import clock
from rhubarbreach import eventlog
from rhubarbreach.fleet import leader_client as leader_clients
from rhubarbreach.fleet import quota
from rhubarbreach.fleet import view as views
from rhubarbreach.gateway import app as apps
from rhubarbreach.gateway import jobs
from rhubarbreach.hosts import zone_news
from rhubarbreach.protocol import fleetmessages
from rhubarbreach.protocol import link as links
from rhubarbreach.streams import recorder
from rhubarbreach.web import bounds
from rhubarbreach.web import memory
from rhubarbreach.web import relay
from rhubarbreach.web import server

__all__ = ['EntryHost']

LOG = eventlog.Logger('entry')

# Subtracted from the time within which a revoked key must stop working. It
# covers clock drift and a request that is between its check and its start on
# an endpoint.
REVOKE_MARGIN_SECONDS = 0.6
# The balancer probes readiness once a second and removes a host after two
# failed probes. Until then new connections still arrive.
DEREGISTER_SECONDS = 3.0
# Part of the drain timeout that is reserved for requests still in flight.
DRAIN_MARGIN_SECONDS = 0.5
DRAIN_POLL_SECONDS = 0.1
# Connections of the balancer.
MAX_READINESS_CONNECTIONS = 64


class EntryHost:
    """Entry host with its servers for callers and readiness probes.

    Parameters
    ----------
    settings : RoleSettings
        Settings of this host.
    decode_catalog : callable
        Returns the `Catalog` for a document of an operator.
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
            max_connections=settings.max_link_connections,
            metrics=metrics,
        )
        self.view = views.View(settings.availability_zone)
        self.leader_client = leader_clients.LeaderClient(
            self.link,
            self.view,
            settings.seeds,
            decode_catalog,
            settings.revoke_seconds - REVOKE_MARGIN_SECONDS,
            quota.Tolerance(
                settings.rate_window,
                settings.rate_overage,
                settings.rate_slack,
            ),
            settings.evacuate_seconds > 0,
        )
        self.link.register(
            fleetmessages.ZoneTokenCall,
            self.leader_client.tokens.answer_call,
            inline=True,
        )
        self.zone_news = zone_news.ZoneNews(self.link, self.view)
        self.origins = recorder.OriginRecorder(
            self.link, lambda: self.leader_client.stores
        )
        message_memory = memory.make_pool(settings, metrics)
        self.app = apps.App(
            self.leader_client,
            self.view,
            self.origins,
            jobs.Jobs(self.link, self.leader_client),
            dialect,
            metrics,
            message_memory,
            settings.judges_requests,
            settings.hedge_fraction,
            settings.relay_port,
        )
        connection_bounds = bounds.make_bounds(settings)
        self.readiness = server.Server(
            settings.readiness,
            self.answer_readiness,
            self.app.get_limits,
            'ready',
            message_memory,
            MAX_READINESS_CONNECTIONS,
            metrics,
            connection_bounds,
        )
        self.callers = server.Server(
            settings.callers,
            self.app.handle,
            self.app.get_limits,
            'caller',
            message_memory,
            settings.max_connections,
            metrics,
            connection_bounds,
        )
        self.message_memory = message_memory
        self.relay = None
        if settings.relay:
            self.relay = server.Server(
                settings.relay,
                relay.Relay(
                    self.app.connect_for_other,
                    message_memory.buffers,
                    metrics,
                ).handle,
                self.app.get_limits,
                'relay',
                message_memory,
                settings.max_relayed,
                metrics,
                connection_bounds,
            )

    def set_seeds(self, seeds):
        """Replace the stores that this host contacts first."""
        self.leader_client.set_seeds(seeds)

    def answer_readiness(self, connection, request):
        """Answer a readiness probe of the balancer."""
        connection.send_response(200 if self.app.is_ready() else 503)

    def drain(self, timeout):
        """Finish the requests in flight, for at most `timeout` seconds."""
        now = clock.monotonic()
        deadline = now + timeout - DRAIN_MARGIN_SECONDS
        deregister_deadline = min(deadline, now + DEREGISTER_SECONDS)
        self.app.begin_drain(deregister_deadline, deadline)
        self.callers.draining = True
        while clock.monotonic() < deregister_deadline:
            time.sleep(DRAIN_POLL_SECONDS)
        if not self.callers.drain(deadline):
            LOG.warning('event=drain_cut busy={}', self.callers.count_busy())
        if self.relay is not None and not self.relay.drain(deadline):
            LOG.warning('event=relays_cut busy={}', self.relay.count_busy())

    def close(self):
        """Stop all tasks."""
        self.leader_client.close()
        self.zone_news.close()
        self.origins.close()
        self.readiness.close()
        self.callers.close()
        if self.relay is not None:
            self.relay.close()
        self.link.close()
