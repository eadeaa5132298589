"""Store host, which replicates the ledger and serves the endpoints."""

import threading
import time

from rhubarbreach.backlog import admission
from rhubarbreach.backlog import commands
from rhubarbreach.backlog import ledger as ledgers
from rhubarbreach.backlog import runner as runners
from rhubarbreach.backlog import worker as workers
from rhubarbreach.catalog import model as catalog_model
from rhubarbreach.catalog import validate
from rhubarbreach import clock
from rhubarbreach import codes
from rhubarbreach.consensus import client
from rhubarbreach.consensus import group as consensus_group
from rhubarbreach.consensus import groups
from rhubarbreach.consensus import model as consensus_model
from rhubarbreach import eventlog
from rhubarbreach import exceptions
from rhubarbreach.fleet import quota
from rhubarbreach.hosts import catalog_parts
from rhubarbreach.hosts import cold_manager
from rhubarbreach.hosts import current_index
from rhubarbreach.hosts import endpoints
from rhubarbreach.hosts import evacuated_zones
from rhubarbreach.hosts import evacuation
from rhubarbreach.hosts import exchanges
from rhubarbreach.hosts import gauges
from rhubarbreach.hosts import item_resources
from rhubarbreach.hosts import job_memory
from rhubarbreach.hosts import leadership
from rhubarbreach.hosts import members
from rhubarbreach.hosts import quarantine_manager
from rhubarbreach.hosts import retirement
from rhubarbreach.hosts import usage
from rhubarbreach.hosts import version_history
from rhubarbreach.protocol import fleetmessages
from rhubarbreach.protocol import link as links
from rhubarbreach.protocol import workmessages
from rhubarbreach.streams import keeper
from rhubarbreach.web import bounds
from rhubarbreach.web import memory

__all__ = ['StoreHost']

LOG = eventlog.Logger('store')

HEARTBEAT_INTERVAL_SECONDS = 0.1
# An election begins after one to two times this timeout. Entry hosts keep
# serving for some seconds without a leader.
ELECTION_TIMEOUT_SECONDS = 0.5
# First election timeout after the start of a store. If all stores start there
# is no leader to wait for; if one store starts, a heartbeat arrives earlier.
FIRST_ELECTION_TIMEOUT_SECONDS = 0.25
# Number and size of the commands between two snapshots; half of them stay in
# memory after a snapshot. The size is limited as well because a configuration
# of some hundred routes takes 100 KB. The largest deployment has about 30
# commands and 1 MB per second, and a restarted store is away for about 2 s.
SNAPSHOT_ENTRIES = 400
SNAPSHOT_BYTES = 8 * 1024 * 1024
# A store without contact to its leader for this long counts as disconnected.
# It is longer than four heartbeats and shorter than an election.
CONTACT_TIMEOUT_SECONDS = 0.45
DUTY_INTERVAL_SECONDS = 0.2
# Interval of the duties between an election and the takeover by the new
# leader, since entry hosts wait for it.
TAKEOVER_POLL_SECONDS = 0.02
# Metrics are collected at most once every 10 s.
GAUGE_INTERVAL_SECONDS = 5.0
# Operators resend a command to another store after 1 s.
OPERATOR_TIMEOUT_SECONDS = 2.0
READ_TIMEOUT_SECONDS = 0.9
# Closed jobs stay readable for this long after submission.
JOB_RETENTION_SECONDS = 300.0
PRUNE_INTERVAL_SECONDS = 60.0
# Time for which departures of endpoints are kept. Partitions delay their
# announcements by far less.
DEPARTURE_SECONDS = 600.0
PRUNE_TIMEOUT_SECONDS = 3.0
# Time in which a stopping store returns its runs to the leader. It is enough
# for two reports.
WORKER_DRAIN_SECONDS = 0.3


class StoreHost:
    """Store host with a replica of the ledger and the duties of a leader.

    Parameters
    ----------
    settings : RoleSettings
        Settings of this store.
    decode_catalog : callable
        Returns the `Catalog` for a document of an operator.
    dialect : object
        Encodes batch items for endpoints.
    metrics : Metrics
        Counters and latencies.
    end_process : callable, optional
        Called when the replica has ended for good.
    """

    def __init__(
        self, settings, decode_catalog, dialect, metrics, end_process=None
    ):
        self.end_process = end_process
        self.settings = settings
        self.host_id = settings.address
        self.metrics = metrics
        self.wake = threading.Event()
        self.runner = None
        self.closed = False
        self.next_gauges = clock.monotonic()
        self.next_prune = self.next_gauges + PRUNE_INTERVAL_SECONDS
        self.ledger = ledgers.Ledger(self.notify_runner)
        self.current_index = current_index.CurrentIndex(
            self.ledger, decode_catalog
        )
        self.job_admission = admission.JobAdmission(
            self.ledger, settings.job_bytes, metrics
        )
        self.link = links.Link(
            self.host_id,
            f'{self.host_id}:{settings.link_port}',
            {},
            None,
            common_port=settings.link_port,
            max_connections=settings.max_link_connections,
            metrics=metrics,
        )
        self.groups = groups.GroupSet(self.link)
        self.group = self.groups.add(
            consensus_group.Group(
                make_group_settings(settings),
                self.link,
                self.ledger,
                metrics,
                admit=self.job_admission.admit,
            )
        )
        self.leadership = leadership.Leadership(
            self.host_id,
            self.group,
            self.reset_duties,
            lambda is_leading: self.runner.set_leading(is_leading),
        )
        self.client = client.Client(self.link)
        self.members = members.Members(
            settings, self.link, self.group, self.ledger
        )
        self.retirements = retirement.Retirements(
            self.link, self.group, self.members, self.propose
        )
        self.endpoints = endpoints.Endpoints(
            self.host_id,
            settings.announce_interval,
            self.link,
            self.members.list_others,
            self.wake,
            settings.endpoint_bytes,
            metrics,
            self.ledger,
            self.propose,
        )
        self.usage = usage.Usage(self.endpoints.list_by_id)
        self.evacuated_zones = evacuated_zones.EvacuatedZones(
            settings, self.ledger, self.members, self.usage, self.endpoints
        )
        self.evacuations = evacuation.EvacuationCalls(
            self.query, self.propose, self.evacuated_zones.find_zones
        )
        self.cold_manager = cold_manager.ColdManager(
            self.host_id,
            self.endpoints,
            self.current_index.get,
            settings.cold_overage,
            settings.cold_slack,
        )
        self.quarantine_manager = quarantine_manager.QuarantineManager(
            self.ledger, self.group.propose, self.endpoints.count_by_service
        )
        self.version_history = version_history.VersionHistory(
            self.ledger, self.group.propose, self.endpoints.list_rows
        )
        self.origins = keeper.OriginKeeper(
            self.link, self.find_recent_versions
        )
        self.item_resources = item_resources.ItemResources(
            self.group,
            self.current_index.get,
            self.endpoints,
            self.usage,
            self.cold_manager,
            self.evacuated_zones.read_evacuations,
        )
        self.runner = runners.Runner(
            self.ledger,
            self.group.propose,
            self.link,
            self.item_resources.find_destination,
            self.item_resources.list_slots,
            self.item_resources.record_outcome,
            self.endpoints.has_survived,
            self.item_resources.count_item_starts,
            self.item_resources.take_item_start,
        )
        self.exchanges = exchanges.Exchanges(
            self,
            quota.QuotaAllocator(
                quota.Tolerance(
                    settings.rate_window,
                    settings.rate_overage,
                    settings.rate_slack,
                )
            ),
        )
        self.job_memory = job_memory.JobMemory(settings, self.ledger)
        self.message_memory = memory.make_pool(
            settings,
            metrics,
            bounds.find_min_message_bytes(catalog_model.DEFAULT_LIMITS),
            self.job_memory.find_share,
        )
        self.worker = workers.Worker(
            self.link,
            settings.availability_zone,
            dialect,
            lambda: self.group.leader_id,
            self.members.list_others,
            self.endpoints.record_departure,
            self.message_memory,
            self.endpoints.has_left,
        )
        self.link.register(
            fleetmessages.Exchange, self.exchanges.answer, inline=True
        )
        self.link.register(
            fleetmessages.CatalogPartCall,
            catalog_parts.CatalogParts(self.ledger).answer,
        )
        self.link.register(
            workmessages.WorkReport, self.answer_report, inline=True
        )
        self.thread = threading.Thread(
            target=self.run, name='duties', daemon=True
        )
        self.thread.start()
        self.endpoints.query_stores()
        self.origins.query_hosts(self.members.list_others())

    def set_seeds(self, seeds):
        """Replace the stores that this one contacts first."""
        self.group.set_contacts(seeds)

    def notify_runner(self):
        """Notify the runner that the ledger has changed."""
        if self.runner is not None and self.leadership.is_leading:
            self.runner.wake.set()

    def is_connected(self):
        """Return whether updates received here reach the other stores."""
        now = clock.monotonic()
        group = self.group
        if group.is_leader:
            return now - group.quorum_contact <= CONTACT_TIMEOUT_SECONDS
        if now - group.state.leader_contact > CONTACT_TIMEOUT_SECONDS:
            return False
        return not self.link.is_silent(group.leader_id)

    # Entry hosts.

    def find_recent_versions(self, services):
        """Return the versions of services, or None without leading."""
        if not self.leadership.may_answer(clock.monotonic()):
            return None
        return self.version_history.find_versions(services)

    # Operators.

    def put_catalog(self, catalog, document):
        """Commit a configuration; return None or a `Refusal`."""
        fault = validate.find_fault(catalog)
        if fault is not None:
            return validate.refuse_invalid(fault)
        reply = self.propose(
            commands.PutCatalog(catalog.version, document),
            OPERATOR_TIMEOUT_SECONDS,
        )
        LOG.info(
            'event=catalog_put version={} outcome={}',
            catalog.version,
            type(reply).__name__,
        )
        return reply if isinstance(reply, codes.Refusal) else None

    @property
    def catalog_bytes(self):
        """Size of the configuration that this store knows."""
        return len(self.ledger.get_catalog()[1])

    def read_catalog(self):
        """Return the newest `CatalogReply`, or a `Refusal`."""
        return self.query(
            commands.ReadCatalog(), clock.monotonic() + READ_TIMEOUT_SECONDS
        )

    def query(self, query, deadline):
        """Return the reply of the ledger to a query, by a linearizable read.

        Parameters
        ----------
        query : object
            Query of `commands.FAMILY`.
        deadline : float
            Seconds of the monotonic clock.
        """
        self.client.hosts = (self.host_id, *self.members.list_others())
        reply = self.client.query(
            commands.GROUP, commands.FAMILY.encode(query), deadline
        )
        return commands.decode_reply(reply)

    def propose(self, command, seconds):
        """Commit a command through the leader; return the reply."""
        self.client.hosts = (self.host_id, *self.members.list_others())
        try:
            reply = self.client.propose(
                commands.GROUP,
                commands.FAMILY.encode(command),
                clock.monotonic() + seconds,
            )
        except exceptions.MessageError as error:
            return codes.Refusal(codes.ResultCode.INVALID_CHANGE, str(error))
        return commands.decode_reply(reply)

    # Batch items.

    def answer_report(self, sender_id, message):
        """Return the reply to the report of a store that runs items."""
        if self.leadership.may_answer(clock.monotonic()):
            return self.runner.handle_report(sender_id, message)
        return workmessages.WorkOrders(
            False, self.leadership.find_other_leader()
        )

    # Periodic duties.

    def run(self):
        """Run the periodic duties until the host closes."""
        while not self.closed:
            self.wake.wait(
                TAKEOVER_POLL_SECONDS
                if self.leadership.is_changing
                else DUTY_INTERVAL_SECONDS
            )
            self.wake.clear()
            self.run_due_duties(clock.monotonic())

    def run_due_duties(self, now):
        """Run the duties that are due; one that fails holds up no other."""
        for duty in (
            self.check_replica,
            self.leadership.update_leadership,
            self.members.announce_presence,
            self.advance_membership,
            self.share_endpoints,
            self.evacuated_zones.read_evacuations,
            self.update_gauges,
            self.advance_quarantine,
            self.advance_versions,
            self.prune_jobs,
        ):
            try:
                duty(now)
            except Exception:
                LOG.exception('event=duty_failed duty={}', duty.__name__)

    def check_replica(self, _):
        """End the process if the replica has ended for good."""
        is_draining = self.leadership.draining
        if self.group.has_ended and self.end_process and not is_draining:
            self.end_process()

    def advance_membership(self, now):
        """Start the next membership change of a leader."""
        if self.leadership.is_leading:
            self.members.advance_membership(now)

    def share_endpoints(self, _):
        """Remove silent endpoints and send updates to the other stores."""
        self.endpoints.apply_departures()
        self.endpoints.expire()
        self.endpoints.send_updates()

    def update_gauges(self, now):
        """Update the gauges when they are due."""
        if now < self.next_gauges:
            return
        self.next_gauges = now + GAUGE_INTERVAL_SECONDS
        gauges.set_store_gauges(
            self.metrics, self.group, self.ledger, self.link
        )
        self.cold_manager.set_gauges(self.metrics)
        self.job_memory.release()

    def advance_quarantine(self, now):
        """Advance the quarantine of parts on a leader."""
        if self.leadership.is_leading:
            self.quarantine_manager.advance(now, self.usage.count_hosts())

    def advance_versions(self, now):
        """Record the software versions of endpoints on a leader."""
        if self.leadership.is_leading:
            self.version_history.advance(now)

    def prune_jobs(self, now):
        """Remove old jobs on a leader when it is due."""
        if not self.leadership.is_leading or now < self.next_prune:
            return
        self.next_prune = now + PRUNE_INTERVAL_SECONDS
        cutoff = self.ledger.find_prune_cutoff(
            JOB_RETENTION_SECONDS, time.time(), now
        )
        self.group.propose(
            commands.FAMILY.encode(commands.PruneJobs(cutoff)),
            now + PRUNE_TIMEOUT_SECONDS,
        )
        cutoff = time.time() - DEPARTURE_SECONDS
        if any(d.time < cutoff for d in self.ledger.list_departures()):
            self.group.propose(
                commands.FAMILY.encode(commands.RemoveDepartures(cutoff)),
                now + PRUNE_TIMEOUT_SECONDS,
            )

    def reset_duties(self):
        """Forget what an earlier time as the leader has left."""
        self.exchanges.reset()
        self.quarantine_manager.reset()
        self.version_history.reset()
        self.cold_manager.reset(clock.monotonic())

    def drain(self, timeout):
        """Return the runs and transfer leadership before the process ends."""
        self.leadership.draining = True
        self.worker.drain(clock.monotonic() + WORKER_DRAIN_SECONDS)
        self.runner.set_leading(False)
        self.members.transfer_leadership(timeout)

    def close(self):
        """Stop all tasks."""
        self.closed = True
        self.worker.close()
        self.runner.close()
        self.group.close()
        self.link.close()


def make_group_settings(settings):
    """Return the settings of a store's replica.

    Only the seed stores of the first start form the group.
    """
    founders = tuple(sorted(settings.seeds))
    if not (settings.founds_group and settings.address in founders):
        founders = ()
    return consensus_model.GroupSettings(
        commands.GROUP,
        settings.address,
        settings.data_folder,
        founders,
        HEARTBEAT_INTERVAL_SECONDS,
        ELECTION_TIMEOUT_SECONDS,
        SNAPSHOT_ENTRIES,
        settings.seeds,
        FIRST_ELECTION_TIMEOUT_SECONDS,
        SNAPSHOT_BYTES,
        True,
    )
