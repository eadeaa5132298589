"""A store host: it holds the ledger and hears endpoints and operators."""

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
from rhubarbreach.fleet import quota
from rhubarbreach.hosts import endpoints
from rhubarbreach.hosts import gauges
from rhubarbreach.hosts import members
from rhubarbreach.hosts import usage
from rhubarbreach.protocol import fleetmessages
from rhubarbreach.protocol import link as links
from rhubarbreach.protocol import workmessages

__all__ = ['StoreHost']

LOG = eventlog.Logger('store')

HEARTBEAT_SECONDS = 0.1
# An election begins after one to two of these; hosts keep serving for some
# seconds without a leader.
ELECTION_SECONDS = 0.5
# After a start of all stores nobody leads; after that of one a heartbeat
# comes sooner than this.
FIRST_ELECTION_SECONDS = 0.25
# Commands between two snapshots, of which half stay in memory after one, and
# their size, as a configuration of some hundred routes has 100 KB. Some 30
# commands and 1 MB come a second on the largest deployment, and a store is
# away for about 2 s when it is restarted.
SNAPSHOT_ENTRIES = 400
SNAPSHOT_BYTES = 8 * 1024 * 1024
# A store that has not heard of its leader for this long, in seconds, is cut
# off: four heartbeats, and less than an election takes.
OUT_OF_TOUCH_SECONDS = 0.45
# A leader that no majority has answered for this long, in seconds, leaves
# hosts to the next one: its disk may stall, and others elect after one to two
# election times. Entry hosts send callers elsewhere after 1 s without news.
LEAD_SECONDS = 0.6
# Interval of the duties below.
DUTY_SECONDS = 0.2
# The same until a store that was elected leads: hosts wait for it.
CHANGE_SECONDS = 0.02
# Metrics are read each 10 s or more seldom.
GAUGE_SECONDS = 5.0
# Operators resend to another store after a second.
OPERATOR_SECONDS = 2.0
READ_SECONDS = 0.9
# Closed jobs stay readable for this long after their submission.
KEEP_JOBS_SECONDS = 300.0
PRUNE_SECONDS = 60.0
PRUNE_COMMIT_SECONDS = 3.0
# A store that ends gives its runs back to the leader in this time, in
# seconds: two reports.
HAND_BACK_SECONDS = 0.3


class StoreHost:
    """A store host.

    Parameters
    ----------
    settings : RoleSettings
        Settings.
    decode_catalog : callable
        Returns the `Catalog` of an operator's document.
    dialect : object
        Encodes batch items for endpoints.
    metrics : Metrics
        Counters and latencies.
    """

    def __init__(self, settings, decode_catalog, dialect, metrics):
        self.settings = settings
        self.host_id = settings.address
        self.decode_catalog = decode_catalog
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
        self.index = None
        self.runner = None
        self.is_leading = False
        self.leading_term = 0
        self.leading_since = clock.monotonic()
        self.draining = False
        self.closed = False
        self.gauges_due = self.leading_since
        self.prune_due = self.leading_since + PRUNE_SECONDS
        self.ledger = ledgers.Ledger(self.note_change)
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
        self.endpoints = endpoints.Endpoints(
            self.host_id,
            settings.announce_interval,
            self.link,
            self.members.list_others,
            self.wake,
        )
        self.usage = usage.Usage(self.endpoints.list_by_id)
        self.runner = runners.Runner(
            self.ledger,
            self.group.propose,
            self.link,
            self.find_destination,
            self.list_slots,
            self.note_outcome,
        )
        self.worker = workers.Worker(
            self.link,
            settings.availability_zone,
            dialect,
            lambda: self.group.leader_id,
            self.members.list_others,
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
        self.endpoints.ask_others()

    def note_change(self):
        """Let the runner look at the ledger."""
        if self.runner is not None and self.is_leading:
            self.runner.wake.set()

    def is_in_touch(self):
        """Return whether what this store hears reaches the others."""
        now = clock.monotonic()
        group = self.group
        if group.is_leader:
            return now - group.quorum_contact <= OUT_OF_TOUCH_SECONDS
        if now - group.state.leader_contact > OUT_OF_TOUCH_SECONDS:
            return False
        return not self.link.is_silent(group.leader_id)

    def holds_lead(self, now):
        """Return whether this store leads and has all that is committed.

        It does not when no majority has answered for a while or its disk
        stalls: others may lead then.

        Parameters
        ----------
        now : float
            Seconds of the monotonic clock.
        """
        group = self.group
        return (
            group.is_leader
            and now - group.quorum_contact <= LEAD_SECONDS
            and group.applied_index >= group.state.term_start_index
            and not group.watch.handed_over
        )

    def may_answer(self, now):
        """Return whether to answer as the leader."""
        return (
            self.is_leading
            and self.group.term == self.leading_term
            and self.holds_lead(now)
        )

    # Entry hosts.

    def answer_exchange(self, sender_id, message):
        """Answer an entry host, as the leader."""
        now = clock.monotonic()
        contact = self.group.quorum_contact
        if not self.may_answer(now):
            leader_id = self.group.leader_id
            return fleetmessages.ExchangeReply(
                False, None if leader_id == self.host_id else leader_id
            )
        version, document = self.ledger.get_catalog()
        copy = None
        if version > message.catalog_version:
            copy = fleetmessages.CatalogCopy(version, document)
        more, others, entries = self.usage.report(sender_id, message, now)
        if more:
            self.runner.wake.set()
        with self.lock:
            granted = self.grant(message.wanted, now)
        stamp = self.endpoints.get_stamp()
        rows = None
        if stamp != message.endpoints_stamp:
            rows = self.endpoints.list_rows(with_gone=True)
        return fleetmessages.ExchangeReply(
            True,
            self.host_id,
            tuple(m.host_id for m in self.group.members),
            now - contact,
            copy,
            stamp,
            rows,
            self.endpoints.is_complete(),
            others,
            self.runner.count_running(),
            granted,
            entries,
            tuple(self.usage.list_suspects(now)),
        )

    def grant(self, wanted, now):
        """Grant requests of client accounts."""
        index = self.get_index()
        if index is None:
            return {}
        return {
            name: self.allocator.grant(index.accounts[name], amount, now)
            for name, amount in wanted.items()
            if name in index.accounts
        }

    # Operators.

    def get_index(self):
        """Return the index of the configuration in force, or None."""
        version, document = self.ledger.get_catalog()
        if version and (self.index is None or self.index.version != version):
            self.index = indexes.Index(self.decode_catalog(document))
        return self.index

    def put_catalog(self, catalog, document):
        """Put a configuration in force; return None or a `Refusal`."""
        fault = validate.find_fault(catalog)
        if fault is not None:
            return validate.refuse_invalid(fault)
        reply = self.propose(
            commands.PutCatalog(catalog.version, document), OPERATOR_SECONDS
        )
        LOG.info(
            'event=catalog_put version={} outcome={}',
            catalog.version,
            type(reply).__name__,
        )
        return reply if isinstance(reply, codes.Refusal) else None

    def read_catalog(self):
        """Return the newest `CatalogReply`, or a `Refusal`."""
        self.client.hosts = (self.host_id, *self.members.list_others())
        reply = self.client.query(
            commands.GROUP,
            commands.FAMILY.encode(commands.ReadCatalog()),
            clock.monotonic() + READ_SECONDS,
        )
        return commands.decode_reply(reply)

    def start_retirement(self, name):
        """Begin to empty a store; return None or a `Refusal`."""
        host_id = self.members.find_store(name)
        if isinstance(host_id, codes.Refusal):
            return host_id
        refusal = self.members.refuse_retirement(host_id)
        if refusal is not None:
            return refusal
        reply = self.propose(commands.RetireStore(host_id), OPERATOR_SECONDS)
        LOG.info(
            'event=store_retiring store={} outcome={}',
            host_id,
            type(reply).__name__,
        )
        return reply if isinstance(reply, codes.Refusal) else None

    def propose(self, command, seconds):
        """Commit a command through the leader; return the reply."""
        self.client.hosts = (self.host_id, *self.members.list_others())
        reply = self.client.propose(
            commands.GROUP,
            commands.FAMILY.encode(command),
            clock.monotonic() + seconds,
        )
        return commands.decode_reply(reply)

    # Batch items.

    def answer_report(self, sender_id, message):
        """Answer a store that runs items, as the leader."""
        if self.may_answer(clock.monotonic()):
            return self.runner.handle_report(sender_id, message)
        leader_id = self.group.leader_id
        return workmessages.WorkOrders(
            False, None if leader_id == self.host_id else leader_id
        )

    def find_destination(self, job):
        """Return where the items of a job run, None if nowhere."""
        index = self.get_index()
        route = index.find_route(job.host, job.path_prefix)
        if route is None or route.path_prefix != job.path_prefix:
            return None
        return assignments.Destination(indexes.choose_target(route), job.host)

    def list_slots(self):
        """Return endpoints by id, what runs there online, and suspects."""
        now = clock.monotonic()
        return (
            self.endpoints.list_by_id(),
            self.usage.sum_online(now),
            self.usage.list_suspects(now),
        )

    def note_outcome(self, endpoint_id, worker_id, failures, successes):
        """Take what a store has seen of an endpoint into account."""
        self.usage.note_outcome(
            endpoint_id, worker_id, failures, successes, clock.monotonic()
        )

    # Duties.

    def run(self):
        """Carry out the duties until the host closes."""
        while not self.closed:
            is_changing = self.group.is_leader != self.is_leading
            self.wake.wait(CHANGE_SECONDS if is_changing else DUTY_SECONDS)
            self.wake.clear()
            try:
                self.carry_out(clock.monotonic())
            except Exception:
                LOG.exception('event=duty_failed')

    def carry_out(self, now):
        """Carry out what is due."""
        self.follow_leadership(now)
        if now >= self.gauges_due:
            self.gauges_due = now + GAUGE_SECONDS
            gauges.set_store_gauges(
                self.metrics, self.group, self.ledger, self.link
            )
        self.endpoints.expire()
        self.endpoints.send_news()
        self.members.tell_presence(now)
        if not self.is_leading:
            return
        self.members.take_step(now, now - self.leading_since)
        if now >= self.prune_due:
            self.prune_due = now + PRUNE_SECONDS
            before = time.time() - KEEP_JOBS_SECONDS
            self.group.propose(
                commands.FAMILY.encode(commands.PruneJobs(before)),
                now + PRUNE_COMMIT_SECONDS,
            )

    def follow_leadership(self, now):
        """Begin or end what only the leader does."""
        term = self.group.term
        leads = not self.draining and self.holds_lead(now)
        if leads == self.is_leading and (
            not leads or term == self.leading_term
        ):
            return
        if leads and self.is_leading:
            # Another store may have led between two terms of this one.
            self.runner.set_leading(False)
        self.leading_term = term
        self.is_leading = leads
        self.leading_since = now
        LOG.info(
            'event=leadership leading={} term={} applied={}',
            leads,
            self.group.term,
            self.group.applied_index,
        )
        if leads:
            with self.lock:
                self.allocator.reset()
        self.runner.set_leading(leads)

    def drain(self, seconds):
        """Hand leadership over before the process ends."""
        self.draining = True
        self.worker.drain(clock.monotonic() + HAND_BACK_SECONDS)
        self.runner.set_leading(False)
        self.members.hand_over(seconds)

    def close(self):
        """Stop all tasks."""
        self.closed = True
        self.worker.close()
        self.runner.close()
        self.group.close()
        self.link.close()


def make_group_settings(settings):
    """Return the settings of a store's replica.

    Only the seeds of the first start found the group.
    """
    founders = tuple(sorted(settings.seeds))
    if not (settings.founds_group and settings.address in founders):
        founders = ()
    return consensus_model.GroupSettings(
        commands.GROUP,
        settings.address,
        settings.data_folder,
        founders,
        HEARTBEAT_SECONDS,
        ELECTION_SECONDS,
        SNAPSHOT_ENTRIES,
        settings.seeds,
        FIRST_ELECTION_SECONDS,
        SNAPSHOT_BYTES,
    )
