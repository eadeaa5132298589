"""A host process, assembled from its settings."""

import threading
import time
import uuid

import logbook

from rhubarbreach.batch import access
from rhubarbreach.batch import api
from rhubarbreach.batch import records as batch_records
from rhubarbreach.batch import runner
from rhubarbreach.batch import store as batch_store
from rhubarbreach import clock
from rhubarbreach import codes
from rhubarbreach.consensus import client as consensus_client
from rhubarbreach.daemon import announce
from rhubarbreach.daemon import faults
from rhubarbreach.daemon import provider
from rhubarbreach.daemon import sharetask
from rhubarbreach.daemon import shutdown
from rhubarbreach.daemon import stores
from rhubarbreach.dispatch import executor
from rhubarbreach.dispatch import loop
from rhubarbreach.distribution import effect
from rhubarbreach.distribution import revision
from rhubarbreach.distribution import serve
from rhubarbreach.distribution import store as local_store
from rhubarbreach.distribution import upstreams
from rhubarbreach.distribution import view as view_module
from rhubarbreach.distribution import watch
from rhubarbreach.entry import app
from rhubarbreach.entry import online
from rhubarbreach.entry import server
from rhubarbreach.entry import status
from rhubarbreach.limits import holder
from rhubarbreach.limits import shares
from rhubarbreach.membership import endpoints
from rhubarbreach.membership import hosts
from rhubarbreach.observe import logs
from rhubarbreach.observe import metrics
from rhubarbreach.observe import timeline
from rhubarbreach.operators import server as operators_server
from rhubarbreach.orders import order_sender
from rhubarbreach.placement import scheduler
from rhubarbreach.protocol import hostmessages
from rhubarbreach.protocol import link
from rhubarbreach.state import model
from rhubarbreach.storage import folder

__all__ = ['Host']

LOG = logbook.Logger('host')

PROPOSE_TIMEOUT_SECONDS = 5.0
# Time after which the leases of a previous process of this host have expired,
# the next lease has been sent, and the token buckets of small accounts, which
# start empty, hold a first token.
SHARE_STARTUP_SECONDS = (
    holder.LEASE_BOUND_SECONDS + holder.LEASE_PERIOD_SECONDS + 0.5
)
MILLISECONDS_PER_SECOND = 1000
BASELINE = 'baseline'


class Host:
    """One host with all of its tasks.

    Parameters
    ----------
    settings : settings.model.Settings
        Validated settings.
    log_handler : logbook.Handler or None
        Handler whose level operators may change.

    Raises
    ------
    DataFolderError, CorruptLogError
        If the data folder cannot be used.
    AddressError
        If the host cannot listen on an address.
    """

    def __init__(self, settings, log_handler=None):
        self.settings = settings
        self.log_handler = log_handler
        self.host_id = settings.host.host_id
        self.incarnation = int(time.time() * MILLISECONDS_PER_SECOND)
        self.holder_id = f'{self.host_id}#{self.incarnation}'
        self.drain_requested = threading.Event()
        self.metrics = metrics.Metrics()
        self.clock = clock.HybridClock()
        self.recorder = timeline.Recorder(
            self.host_id, self.clock, settings.log.timeline
        )
        self.folder = None
        if settings.data.folder:
            self.folder = folder.DataFolder(settings.data.folder)
        self.link = link.Link(
            self.host_id,
            settings.host.link,
            dict(settings.peers),
            settings.tls,
            self.clock,
            max_connections=settings.host.max_link_connections,
            metrics=self.metrics,
        )
        self.open_membership()
        self.open_configuration()
        self.open_serving()
        self.open_batch()
        self.open_orders()
        self.open_http()
        self.open_operators()

    def open_membership(self):
        """Create the host membership and the endpoint registry."""
        self.membership = hosts.Membership(
            self.settings.host,
            self.link,
            self.settings.peers,
            self.incarnation,
        )
        self.registry = endpoints.EndpointRegistry(self.membership, self.link)

    def open_configuration(self):
        """Create the groups of a store host and the configuration view."""
        revision_file = None
        if self.settings.data.folder:
            revision_file = revision.RevisionFile(self.settings.data.folder)
        self.view = view_module.ConfigView(revision_file)
        self.view.subscribe(self.apply_evacuations)
        self.tracker = effect.RevisionTracker()
        self.stores = None
        self.local_store = None
        if 'store' in self.settings.host.roles:
            self.stores = stores.open_stores(
                self.settings,
                self.settings.data.folder,
                self.link,
                self.metrics,
                self.recorder,
            )
            self.local_store = local_store.LocalStore(
                self.stores.config_group,
                self.stores.config_machine,
                self.view,
            )
        self.config_server = serve.ConfigServer(
            self.link,
            self.view,
            self.tracker,
            self.local_store,
            self.list_entry_hosts,
        )
        self.watcher = watch.Watcher(
            watch.WatcherSettings(self.host_id, self.incarnation),
            self.link,
            self.view,
            self.get_upstreams,
            self.tracker,
            self.local_store,
        )
        self.share_task = None
        if self.stores is not None:
            self.share_task = sharetask.ShareSetTask(
                self.stores.config_group,
                self.view,
                self.membership,
                self.tracker,
                self.recorder,
            )

    def get_store_hosts(self):
        """Return the store hosts: draining ones last, own zone first."""
        store_hosts = [
            host for host in self.membership.alive() if 'store' in host.roles
        ]
        store_hosts.sort(
            key=lambda host: (
                host.draining,
                host.zone != self.settings.host.zone,
                host.host_id,
            )
        )
        host_ids = tuple(host.host_id for host in store_hosts)
        return host_ids or self.settings.store.initial

    def get_upstreams(self):
        """Return the hosts to poll for the configuration."""
        host = self.settings.host
        return upstreams.choose_upstreams(
            host.host_id,
            host.zone,
            host.roles,
            self.membership.alive(),
            self.settings.store.initial,
        )

    def list_entry_hosts(self):
        """Return the ids of the hosts that may accept API keys."""
        alive = {
            host.host_id
            for host in self.membership.alive()
            if 'entry' in host.roles
        }
        return alive | set(self.view.snapshot.share_hosts)

    def apply_evacuations(self, update):
        """Give no more work to the zones that a configuration evacuates."""
        zones = update.config.evacuated_zones
        self.registry.set_evacuated_zones(zones)
        self.metrics.set_gauge('zones_evacuated', len(zones))

    def open_serving(self):
        """Create the rate limiter, the scheduler and the executor."""
        host = self.settings.host
        self.shares_ready_at = clock.monotonic() + SHARE_STARTUP_SECONDS
        self.limiter = shares.RateLimiter(
            self.host_id,
            host.region,
            self.view,
            self.membership,
            self.link,
            static=self.settings.policy.mode == BASELINE,
        )
        self.scheduler = scheduler.Scheduler(
            self.host_id,
            host.zone,
            self.registry,
            self.settings.policy,
            self.membership,
            self.link,
        )
        self.loop = loop.Loop(self.metrics, self.settings.requests.max_held)
        self.executor = executor.Executor(
            self.scheduler, self.loop, self.recorder, self.metrics
        )

    def open_batch(self):
        """Create the clients for jobs and records, and the batch runner."""
        settings = self.settings
        client = consensus_client.Client(self.link, settings.store.initial)
        self.job_store = batch_store.Store(client, settings.store.job_groups)
        self.records = batch_records.Records(
            client, self.holder_id, settings.jobs.retention
        )
        self.runner = runner.Runner(
            self.job_store,
            self.executor,
            self.holder_id,
            settings.jobs,
            self.metrics,
            self.scheduler.count_waiting_batch,
        )
        self.link.register(hostmessages.CancelAttempts, self.handle_cancel)

    def handle_cancel(self, sender_id, message):
        """Cancel the running items of a cancelled job."""
        self.runner.cancel_job(message.job_id)

    def stop_job(self, job_id, holders):
        """Notify the hosts that hold claims that a job was cancelled.

        Parameters
        ----------
        job_id : str
            Cancelled job.
        holders : iterable of str
            Holders of claims, written `host_id#incarnation`.
        """
        message = hostmessages.CancelAttempts(job_id)
        for holder_id in holders:
            self.link.send(holder_id.partition('#')[0], message)

    def open_orders(self):
        """Create the task that gives orders to endpoints."""
        self.order_sender = order_sender.OrderSender(
            self.host_id,
            self.view,
            self.acquire_order_lease,
            self.registry,
            view_module.CONFIG_VALIDITY_SECONDS,
            self.recorder,
        )

    def acquire_order_lease(self, endpoint_id, expected_epoch):
        """Acquire an order lease; return its epoch or a refusal."""
        change = model.TakeOrderLease(
            endpoint_id, self.host_id, expected_epoch
        )
        command = model.encode_request(uuid.uuid4().hex, None, change)
        answer = consensus_client.propose(
            self.link,
            stores.CONFIG_GROUP,
            command,
            clock.monotonic() + PROPOSE_TIMEOUT_SECONDS,
            self.get_store_hosts(),
        )
        if isinstance(answer, codes.Refusal):
            return answer
        result = model.decode_result(answer)
        if result.code != codes.ResultCode.OK:
            return codes.Refusal(result.code, result.reason)
        return expected_epoch + 1

    def open_http(self):
        """Create the HTTP interface."""
        self.application = app.Application(self.metrics)
        online.OnlineHandlers(
            self.application,
            self.view,
            self.limiter,
            self.executor,
            self.records,
            self.settings.requests,
        )
        announcements = announce.AnnouncementHandler(
            self.registry, self.membership
        )
        status.StatusHandlers(
            self.application, self.metrics, announcements.handle
        )
        batch_api = api.BatchApi(
            self.job_store,
            access.Access(self.view, self.limiter),
            self.settings.jobs,
            self.stop_job,
        )
        batch_api.add_routes(self.application)
        if self.settings.debug.faults:
            faults.FaultHandlers(self.application, self.link)
        self.application.add_readiness_check(self.find_unready_reason)
        self.server = server.Server(
            self.settings.host.http,
            self.application,
            self.metrics,
            self.settings.requests.max_connections,
            self.settings.requests.max_held,
            self.settings.requests.max_unread,
        )

    def find_unready_reason(self):
        """Return why this host is not ready, or an empty string."""
        if self.drain_requested.is_set():
            return 'draining'
        if not self.view.ready:
            return 'no configuration'
        if clock.monotonic() < self.shares_ready_at:
            # This host may not use the shares yet that its previous process
            # leased, so it would refuse requests within the rate limit.
            return 'rate shares not leased'
        config = self.view.snapshot
        key_grace = effect.get_longest_key_grace(config)
        expired = clock.monotonic() >= self.view.valid_until + key_grace
        if expired and not any(route.open for route in config.routes):
            # This host can serve no request, but hosts of other zones may.
            return 'configuration not confirmed'
        return ''

    def open_operators(self):
        """Create the operator interface."""
        self.provider = provider.HostProvider(self, self.local_store)
        self.operators = None
        if self.settings.host.operators:
            self.operators = operators_server.Server(
                self.settings.host.operators, self.provider, self.settings.tls
            )

    def start(self):
        """Start all tasks."""
        self.membership.start()
        self.registry.start()
        if self.stores is not None:
            self.stores.ticker.start()
            self.share_task.start()
        self.watcher.start()
        self.limiter.start()
        self.scheduler.start()
        self.records.start()
        self.runner.start()
        self.server.start()
        self.recorder.record('host_started', f'incarnation {self.incarnation}')
        LOG.info('event=host_started incarnation={}', self.incarnation)

    def request_drain(self):
        """Request a drain, which the main thread carries out."""
        self.drain_requested.set()

    @property
    def has_ended(self):
        """Whether a replica has ended, so that the process has to end."""
        return self.stores is not None and self.stores.has_ended

    def set_log_level(self, level):
        """Change the log level until the next start."""
        if self.log_handler is not None:
            logs.set_level(self.log_handler, level)

    def drain(self):
        """Finish running work, release claims and leadership, and stop.

        Returns
        -------
        bool
            Whether all work in flight finished before the deadline.
        """
        return shutdown.drain_host(self)

    def close(self):
        """Stop all tasks without waiting for work in flight."""
        shutdown.close_host(self)
