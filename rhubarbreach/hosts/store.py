"""Store host, which replicates the ledger and serves the endpoints."""

import threading
import time

from rhubarbreach.backlog import assignments
from rhubarbreach.backlog import commands
from rhubarbreach.backlog import ledger as ledgers
from rhubarbreach.backlog import runner as runners
from rhubarbreach.backlog import worker as workers
from rhubarbreach.catalog import index as indexes
from rhubarbreach.catalog import validate
from rhubarbreach import clock
from rhubarbreach import codes
from rhubarbreach.consensus import client
from rhubarbreach.consensus import group as consensus_group
from rhubarbreach.consensus import groups
from rhubarbreach.consensus import model as consensus_model
from rhubarbreach import eventlog
from rhubarbreach import exceptions
from rhubarbreach.fleet import evacuations
from rhubarbreach.fleet import quota
from rhubarbreach.hosts import cold_manager
from rhubarbreach.hosts import current_index
from rhubarbreach.hosts import endpoints
from rhubarbreach.hosts import evacuation
from rhubarbreach.hosts import gauges
from rhubarbreach.hosts import members
from rhubarbreach.hosts import quarantine_manager
from rhubarbreach.hosts import retirement
from rhubarbreach.hosts import usage
from rhubarbreach.hosts import version_history
from rhubarbreach.protocol import fleetmessages
from rhubarbreach.protocol import link as links
from rhubarbreach.protocol import workmessages
from rhubarbreach.streams import keeper
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
# A leader that no quorum has answered for this long stops answering as the
# leader: its disk may have stalled, and the others elect a new leader after
# one to two election timeouts. Entry hosts send callers elsewhere after 1 s
# without an update.
QUORUM_TIMEOUT_SECONDS = 0.6
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
        self.lock = threading.Lock()
        self.wake = threading.Event()
        self.allocator = quota.QuotaAllocator(
            quota.Tolerance(
                settings.rate_window,
                settings.rate_overage,
                settings.rate_slack,
            )
        )
        self.runner = None
        self.is_leading = False
        self.leading_term = 0
        self.draining = False
        self.closed = False
        self.next_gauges = clock.monotonic()
        self.next_prune = self.next_gauges + PRUNE_INTERVAL_SECONDS
        self.ledger = ledgers.Ledger(self.notify_runner)
        self.current_index = current_index.CurrentIndex(
            self.ledger, decode_catalog
        )
        self.link = links.Link(
            self.host_id,
            f'{self.host_id}:{settings.link_port}',
            {},
            None,
            common_port=settings.link_port,
        )
        self.groups = groups.GroupSet(self.link)
        self.group = self.groups.add(
            consensus_group.Group(
                make_group_settings(settings), self.link, self.ledger, metrics
            )
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
        )
        self.usage = usage.Usage(self.endpoints.list_by_id)
        self.known_evacuations = evacuations.Evacuations()
        self.evacuations = evacuation.EvacuationCalls(
            self.query, self.propose, self.find_zones
        )
        self.cold_manager = cold_manager.ColdManager(
            self.host_id,
            self.endpoints,
            self.current_index.get,
            settings.cold_overage,
            settings.cold_slack,
        )
        self.quarantine_manager = quarantine_manager.QuarantineManager(
            self.ledger, self.group.propose
        )
        self.version_history = version_history.VersionHistory(
            self.ledger, self.group.propose, self.endpoints.list_rows
        )
        self.origins = keeper.OriginKeeper(
            self.link, self.find_recent_versions
        )
        self.runner = runners.Runner(
            self.ledger,
            self.group.propose,
            self.link,
            self.find_destination,
            self.list_slots,
            self.record_outcome,
            self.endpoints.has_survived,
            self.count_item_starts,
            self.take_item_start,
            metrics,
        )
        self.message_memory = memory.MemoryPool(
            settings.message_bytes, metrics
        )
        self.worker = workers.Worker(
            self.link,
            settings.availability_zone,
            dialect,
            lambda: self.group.leader_id,
            self.members.list_others,
            self.endpoints.record_departure,
            self.message_memory,
        )
        self.link.register(
            fleetmessages.Exchange, self.answer_exchange, inline=True
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
        if self.runner is not None and self.is_leading:
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

    def is_confirmed_leader(self, now):
        """Return whether this store leads and has all committed entries.

        The result is False when no quorum has answered recently or the disk
        stalls, because another store may be the leader by then.

        Parameters
        ----------
        now : float
            Monotonic time in seconds.
        """
        group = self.group
        return (
            group.is_leader
            and now - group.quorum_contact <= QUORUM_TIMEOUT_SECONDS
            and group.applied_index >= group.state.term_start_index
            and not group.stall_detector.handed_over
        )

    def may_answer(self, now):
        """Return whether this store may answer as the leader."""
        return (
            self.is_leading
            and self.group.term == self.leading_term
            and self.is_confirmed_leader(now)
        )

    # Entry hosts.

    def answer_exchange(self, sender_id, message):
        """Return the reply to the periodic exchange of an entry host."""
        now = clock.monotonic()
        quorum_contact = self.group.quorum_contact
        if not self.may_answer(now):
            leader_id = self.group.leader_id
            return fleetmessages.ExchangeReply(
                False, None if leader_id == self.host_id else leader_id
            )
        version, document = self.ledger.get_catalog()
        catalog = None
        if version > message.catalog_version:
            catalog = fleetmessages.CatalogCopy(version, document)
        for endpoint_id, born in message.departures.items():
            self.endpoints.record_departure(endpoint_id, born)
        has_grown, entries = self.usage.report(sender_id, message, now)
        if has_grown:
            self.runner.wake.set()
        with self.lock:
            granted = self.grant(message.wanted, now)
        table = self.endpoints.read_table(self.group.store.members_index)
        stores = ()
        rows = None
        if table.stamp != message.endpoints_stamp:
            stores = tuple(m.host_id for m in self.group.members)
            rows = table.rows
        elsewhere, nearby = self.usage.list_online(
            message.availability_zone, table.endpoint_ids
        )
        peers_revision, peers = self.usage.list_peers(message)
        self.quarantine_manager.report(sender_id, message, now)
        quarantine_revision, quarantined = (
            self.quarantine_manager.list_quarantined(
                message.quarantine_revision
            )
        )
        batch = self.runner.count_running()
        evacuated = self.read_evacuations(now)
        return fleetmessages.ExchangeReply(
            True,
            self.host_id,
            stores,
            now - quorum_contact,
            catalog,
            table.stamp,
            rows,
            self.endpoints.is_complete(),
            elsewhere,
            nearby,
            tuple(batch.get(e, 0) for e in table.endpoint_ids),
            peers_revision,
            peers,
            granted,
            entries,
            tuple(self.usage.list_suspects(now)),
            self.quarantine_manager.suspects,
            quarantine_revision,
            quarantined,
            self.quarantine_manager.list_trials(sender_id, now),
            evacuated.revision,
            None
            if evacuated.revision == message.evacuation_revision
            else tuple(sorted(evacuated.zones)),
            self.usage.list_queues(now),
            *self.cold_manager.answer(
                message,
                entries,
                quorum_contact,
                now,
                self.list_evacuated(evacuated.zones),
            ),
        )

    def read_evacuations(self, now):
        """Return the evacuations in force.

        The endpoints of a zone that is restored may be cold. They count as
        cold before any host learns that the zone is restored.
        """
        current = evacuations.Evacuations(*self.ledger.get_evacuated())
        with self.lock:
            previous = self.known_evacuations
            if current.revision <= previous.revision:
                return previous
            for zone in self.ledger.list_restored(previous.revision):
                self.endpoints.treat_zone_as_cold(zone, now)
            self.known_evacuations = current
        return current

    def list_evacuated(self, zones):
        """Return the ids of the endpoints in evacuated zones."""
        if not zones:
            return frozenset()
        return frozenset(
            row.endpoint_id
            for row in self.endpoints.list_rows()
            if row.availability_zone in zones
        )

    def find_recent_versions(self, services):
        """Return the versions of services, or None without leading."""
        if not self.may_answer(clock.monotonic()):
            return None
        return self.version_history.find_versions(services)

    def grant(self, wanted, now):
        """Return the tokens granted to a host by client account."""
        index = self.current_index.get()
        if index is None:
            return {}
        return {
            name: self.allocator.grant(index.accounts[name], amount, now)
            for name, amount in wanted.items()
            if name in index.accounts
        }

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

    def find_zones(self):
        """Return the known zones, and whether there are no others.

        Returns
        -------
        frozenset of str, bool
            Zones of the settings, or else those of hosts and endpoints, and
            the evacuated ones, which may be gone meanwhile.
        """
        _, evacuated = self.ledger.get_evacuated()
        if self.settings.zones:
            return evacuated.union(self.settings.zones), True
        return evacuated.union(
            (
                self.settings.availability_zone,
                *self.members.list_zones(),
                *self.usage.list_zones(),
                *(e.availability_zone for e in self.endpoints.list_rows()),
            )
        ), self.endpoints.is_complete()

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
        if self.may_answer(clock.monotonic()):
            return self.runner.handle_report(sender_id, message)
        leader_id = self.group.leader_id
        return workmessages.WorkOrders(
            False, None if leader_id == self.host_id else leader_id
        )

    def find_destination(self, job):
        """Return the `Destination` of the items of a job, or None."""
        index = self.current_index.get()
        if index is None:
            return None
        route = index.find_route(job.host, job.path_prefix)
        if route is None or route.path_prefix != job.path_prefix:
            return None
        return assignments.Destination(indexes.choose_target(route), job.host)

    def list_slots(self):
        """Return endpoints by id, their online requests, and the suspects.

        Endpoints in evacuated zones count as draining.
        """
        now = clock.monotonic()
        zones = self.read_evacuations(now).zones
        return (
            evacuations.exclude_zones(self.endpoints.list_by_id(), zones),
            self.usage.sum_online(now),
            self.usage.list_suspects(now),
        )

    def record_outcome(self, endpoint_id, worker_id, failures, successes):
        """Record the outcomes that a store has seen on an endpoint."""
        self.usage.record_outcome(
            endpoint_id, worker_id, failures, successes, clock.monotonic()
        )
        if failures:
            self.cold_manager.record_failures(
                {endpoint_id: 0.0}, clock.monotonic()
            )

    def count_item_starts(self, now):
        """Return the items that may start by cold endpoint."""
        return self.cold_manager.count_item_starts(
            self.usage.count_hosts(), self.group.quorum_contact, now
        )

    def take_item_start(self, endpoint_id, now):
        """Return until when an item may start, or None without a permit."""
        return self.cold_manager.take_item_start(
            endpoint_id, self.group.quorum_contact, now
        )

    # Periodic duties.

    def run(self):
        """Run the periodic duties until the host closes."""
        while not self.closed:
            is_changing = self.group.is_leader != self.is_leading
            self.wake.wait(
                TAKEOVER_POLL_SECONDS if is_changing else DUTY_INTERVAL_SECONDS
            )
            self.wake.clear()
            self.run_due_duties(clock.monotonic())

    def run_due_duties(self, now):
        """Run the duties that are due; one that fails holds up no other."""
        for duty in (
            self.check_replica,
            self.update_leadership,
            self.members.announce_presence,
            self.advance_membership,
            self.share_endpoints,
            self.read_evacuations,
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
        if self.group.has_ended and self.end_process and not self.draining:
            self.end_process()

    def advance_membership(self, now):
        """Start the next membership change of a leader."""
        if self.is_leading:
            self.members.advance_membership(now)

    def share_endpoints(self, _):
        """Remove silent endpoints and send updates to the other stores."""
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

    def advance_quarantine(self, now):
        """Advance the quarantine of parts on a leader."""
        if self.is_leading:
            self.quarantine_manager.advance(now, self.usage.count_hosts())

    def advance_versions(self, now):
        """Record the software versions of endpoints on a leader."""
        if self.is_leading:
            self.version_history.advance(now)

    def prune_jobs(self, now):
        """Remove old jobs on a leader when it is due."""
        if not self.is_leading or now < self.next_prune:
            return
        self.next_prune = now + PRUNE_INTERVAL_SECONDS
        cutoff = self.ledger.find_prune_cutoff(
            JOB_RETENTION_SECONDS, time.time(), now
        )
        self.group.propose(
            commands.FAMILY.encode(commands.PruneJobs(cutoff)),
            now + PRUNE_TIMEOUT_SECONDS,
        )

    def update_leadership(self, now):
        """Start or stop the duties of the leader after a change."""
        term = self.group.term
        is_leading = not self.draining and self.is_confirmed_leader(now)
        if is_leading == self.is_leading and (
            not is_leading or term == self.leading_term
        ):
            return
        if is_leading and self.is_leading:
            # Another store may have been the leader between these terms.
            self.runner.set_leading(False)
        if is_leading:
            # Before the first exchange is answered.
            with self.lock:
                self.allocator.reset()
            self.quarantine_manager.reset()
            self.version_history.reset()
            self.cold_manager.reset(clock.monotonic())
        self.leading_term = term
        self.is_leading = is_leading
        LOG.info(
            'event=leadership leading={} term={} applied={}',
            is_leading,
            self.group.term,
            self.group.applied_index,
        )
        self.runner.set_leading(is_leading)

    def drain(self, timeout):
        """Return the runs and transfer leadership before the process ends."""
        self.draining = True
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
