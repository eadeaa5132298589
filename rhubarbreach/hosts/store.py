"""A store host: it holds the ledger and hears endpoints and operators."""

import concurrent.futures
import threading
import time

from rhubarbreach.backlog import commands
from rhubarbreach.backlog import ledger as ledgers
from rhubarbreach.backlog import runner as runners
from rhubarbreach.catalog import index as indexes
from rhubarbreach.catalog import validate
from rhubarbreach import clock
from rhubarbreach import codes
from rhubarbreach.consensus import client
from rhubarbreach.consensus import group as consensus_group
from rhubarbreach.consensus import groups
from rhubarbreach.consensus import model as consensus_model
from rhubarbreach import eventlog
from rhubarbreach.fleet import loads
from rhubarbreach.fleet import quota
from rhubarbreach.fleet import registry as registries
from rhubarbreach.fleet import steward
from rhubarbreach.fleet import view as views
from rhubarbreach.protocol import fleetmessages
from rhubarbreach.protocol import link as links

__all__ = ['GROUP', 'StoreHost']

LOG = eventlog.Logger('store')

GROUP = 'ledger'
HEARTBEAT_SECONDS = 0.1
# An election begins after one to two of these; hosts keep serving for some
# seconds without a leader.
ELECTION_SECONDS = 0.5
# After a start of all stores nobody leads; after that of one a heartbeat
# comes sooner than this.
FIRST_ELECTION_SECONDS = 0.25
# Commands between two snapshots. They stay in memory until then, and a
# configuration of some hundred routes has 100 KB.
SNAPSHOT_ENTRIES = 200
SNAPSHOT_BYTES = 4 * 1024 * 1024
# A store that has not heard of its leader for this long, in seconds, is cut
# off: four heartbeats, and less than an election takes.
OUT_OF_TOUCH_SECONDS = 0.45
# Interval of the duties below.
DUTY_SECONDS = 0.2
# Stores tell each other of their presence this often.
PRESENCE_SECONDS = 0.8
# A store that has not been heard for this long has no vote to give; it is
# replaced when another one can follow it.
ABSENT_SECONDS = 3.0
FORGET_SECONDS = 15.0
STEP_SECONDS = 0.4
CHANGE_SECONDS = 3.0
# Operators resend to another store after a second.
OPERATOR_SECONDS = 2.0
READ_SECONDS = 0.9
# Closed jobs stay readable for this long after their submission.
KEEP_JOBS_SECONDS = 300.0
PRUNE_SECONDS = 60.0
# Announcements of each endpoint that a store waits for after its start
# before it takes an endpoint that is not heard for gone.
LEARN_ANNOUNCEMENTS = 3


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
        self.started = clock.monotonic()
        self.lock = threading.Lock()
        self.wake = threading.Event()
        self.registry = registries.Registry(settings.announce_interval)
        self.news = {}
        self.loads = loads.Loads()
        self.owner = quota.Owner(
            quota.Tolerance(
                settings.rate_window,
                settings.rate_overage,
                settings.rate_slack,
            )
        )
        self.present = {}
        self.index = None
        self.is_leading = False
        self.leading_since = self.started
        self.draining = False
        self.closed = False
        self.presence_due = 0.0
        self.step_due = 0.0
        self.prune_due = self.started + PRUNE_SECONDS
        self.step_future = None
        self.ledger = ledgers.Ledger(self.note_change)
        self.link = links.Link(
            self.host_id,
            f'{self.host_id}:{settings.link_port}',
            {},
            None,
            common_port=settings.link_port,
        )
        self.groups = groups.GroupSet(self.link)
        founders = tuple(sorted(settings.seeds))
        if not (settings.founds_group and self.host_id in founders):
            founders = ()
        self.group = self.groups.add(
            consensus_group.Group(
                consensus_model.GroupSettings(
                    GROUP,
                    self.host_id,
                    settings.data_folder,
                    founders,
                    HEARTBEAT_SECONDS,
                    ELECTION_SECONDS,
                    SNAPSHOT_ENTRIES,
                    settings.seeds,
                    FIRST_ELECTION_SECONDS,
                    SNAPSHOT_BYTES,
                ),
                self.link,
                self.ledger,
                metrics,
            )
        )
        self.client = client.Client(self.link)
        self.runner = runners.Runner(
            self.ledger,
            self.propose_locally,
            dialect,
            self.find_place,
            self.list_slots,
        )
        self.link.register(
            fleetmessages.Exchange, self.answer_exchange, inline=True
        )
        self.link.register(
            fleetmessages.EndpointNews, self.take_news, inline=True
        )
        self.link.register(
            fleetmessages.EndpointsQuery, self.answer_endpoints, inline=True
        )
        self.link.register(
            fleetmessages.StoreNews, self.take_presence, inline=True
        )
        self.thread = threading.Thread(
            target=self.run, name='duties', daemon=True
        )
        self.thread.start()
        self.ask_endpoints()

    def note_change(self):
        """Let the runner look at the ledger."""
        runner = getattr(self, 'runner', None)
        if runner is not None and self.is_leading:
            runner.wake.set()

    # Endpoints.

    def ask_endpoints(self):
        """Ask the other stores for the endpoints that they know."""
        for host_id in self.list_others():
            self.link.send(host_id, fleetmessages.EndpointsQuery())

    def answer_endpoints(self, sender_id, _):
        """Tell another store all endpoints."""
        with self.lock:
            rows = self.registry.list_rows(clock.monotonic(), with_gone=True)
        if rows:
            self.link.send(sender_id, fleetmessages.EndpointNews(rows))

    def is_in_touch(self):
        """Return whether what this store hears reaches the others."""
        now = clock.monotonic()
        group = self.group
        if group.is_leader:
            return now - group.quorum_contact <= OUT_OF_TOUCH_SECONDS
        if now - group.state.leader_contact > OUT_OF_TOUCH_SECONDS:
            return False
        return not self.link.is_silent(group.leader_id)

    def hear_endpoint(self, row):
        """Take an endpoint's announcement; return whether it is news."""
        now = clock.monotonic()
        with self.lock:
            known = self.registry.entries.get(row.endpoint_id)
            is_news = self.registry.hear(row, now)
            if is_news:
                self.news[row.endpoint_id] = row
        if is_news and (known is None or known.row.state != row.state):
            LOG.info(
                'event=endpoint_state endpoint={} state={} address={} '
                'service={} born={} sequence={}',
                row.endpoint_id,
                row.state,
                row.address,
                row.service,
                row.born,
                row.sequence,
            )
            self.wake.set()
        return is_news

    def hear_leave(self, endpoint_id, born):
        """Take an endpoint's last message."""
        now = clock.monotonic()
        with self.lock:
            known = self.registry.entries.get(endpoint_id)
            if known is None or (born is not None and born < known.row.born):
                return
            row = self.registry.leave(endpoint_id, now)
            self.news[endpoint_id] = row
        LOG.info('event=endpoint_state endpoint={} state=gone', endpoint_id)
        self.wake.set()

    def take_news(self, sender_id, message):
        """Take what another store has heard."""
        now = clock.monotonic()
        with self.lock:
            for row in message.rows:
                self.registry.hear(row, now)

    def send_news(self):
        """Tell the other stores what was heard since the last time."""
        with self.lock:
            rows = tuple(self.news.values())
            self.news = {}
        if not rows:
            return
        for host_id in self.list_others():
            self.link.send(host_id, fleetmessages.EndpointNews(rows))

    # Entry hosts.

    def answer_exchange(self, sender_id, message):
        """Answer an entry host, as the leader."""
        now = clock.monotonic()
        state = self.group.state
        contact = self.group.quorum_contact
        leads = (
            self.is_leading
            and contact != float('-inf')
            and self.group.applied_index >= state.term_start_index
        )
        if not leads:
            leader_id = self.group.leader_id
            return fleetmessages.ExchangeReply(
                False, None if leader_id == self.host_id else leader_id
            )
        version, document = self.ledger.get_catalog()
        copy = None
        if version > message.catalog_version:
            copy = fleetmessages.CatalogCopy(version, document)
        running = self.runner.count_running()
        with self.lock:
            if self.loads.report(sender_id, message.running, now):
                self.runner.wake.set()
            others = self.loads.sum_others(sender_id, now)
            entries = max(1, self.loads.count_hosts(now))
            complete = self.knows_endpoints(now)
            stamp = (
                f'{self.host_id}:{self.started}:{self.registry.revision}'
                f':{complete}'
            )
            rows = None
            if stamp != message.endpoints_stamp:
                rows = self.registry.list_rows(now, with_gone=True)
            granted = self.grant(message.wanted, now)
        return fleetmessages.ExchangeReply(
            True,
            self.host_id,
            tuple(m.host_id for m in state.store.members),
            now - contact,
            copy,
            stamp,
            rows,
            complete,
            others,
            running,
            granted,
            entries,
        )

    def knows_endpoints(self, now):
        """Return whether each endpoint has had time to announce itself."""
        learn = self.settings.announce_interval * LEARN_ANNOUNCEMENTS
        return now - self.started > learn

    def grant(self, wanted, now):
        """Grant requests of client accounts."""
        index = self.get_index()
        if index is None:
            return {}
        return {
            name: self.owner.grant(index.accounts[name], amount, now)
            for name, amount in wanted.items()
            if name in index.accounts
        }

    # Configuration.

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
        return self.query(commands.ReadCatalog(), READ_SECONDS)

    def propose(self, command, seconds):
        """Commit a command through the leader."""
        self.client.hosts = (self.host_id, *self.list_others())
        reply = self.client.propose(
            GROUP,
            commands.FAMILY.encode(command),
            clock.monotonic() + seconds,
        )
        if isinstance(reply, codes.Refusal):
            return reply
        return commands.FAMILY.decode(reply)

    def query(self, query, seconds):
        """Return the reply to a linearizable query, or a `Refusal`."""
        self.client.hosts = (self.host_id, *self.list_others())
        reply = self.client.query(
            GROUP, commands.FAMILY.encode(query), clock.monotonic() + seconds
        )
        if isinstance(reply, codes.Refusal):
            return reply
        return commands.FAMILY.decode(reply)

    # Batch items.

    def propose_locally(self, command, deadline):
        """Return the future of a command that the leader commits."""
        return self.group.propose(command, deadline)

    def find_place(self, job):
        """Return where the items of a job run, None if nowhere."""
        index = self.get_index()
        route = index.find_route(job.host, job.path_prefix)
        if route is None or route.path_prefix != job.path_prefix:
            return None
        return runners.Place(indexes.choose_target(route), job.host)

    def list_slots(self):
        """Return endpoints by id, and what runs there for entry hosts."""
        now = clock.monotonic()
        with self.lock:
            rows = self.registry.list_rows(now)
            online = self.loads.sum_others(None, now)
        endpoints = {
            row.endpoint_id: views.Endpoint(
                row.endpoint_id,
                row.service,
                row.address,
                row.availability_zone,
                row.slots,
                row.state != registries.EndpointState.READY,
            )
            for row in rows
        }
        return endpoints, online

    # Members of the group.

    def list_others(self):
        """Return the other stores that are known."""
        known = set(self.settings.seeds) | set(self.present)
        known.update(m.host_id for m in self.group.members)
        return sorted(known - {self.host_id})

    def take_presence(self, sender_id, message):
        """Note that a store is present."""
        if message.host_id not in self.present:
            LOG.info('event=store_heard store={}', message.host_id)
        self.present[message.host_id] = (clock.monotonic(), message)

    def send_presence(self):
        """Tell the other stores that this one is present."""
        message = fleetmessages.StoreNews(
            self.host_id,
            self.settings.name,
            self.settings.availability_zone,
            self.draining,
        )
        self.present[self.host_id] = (clock.monotonic(), message)
        for host_id in self.list_others():
            self.link.send(host_id, message)

    def list_stores(self, now):
        """Return the stores that are known, for the steward."""
        return tuple(
            steward.Store(
                host_id,
                message.availability_zone,
                now - heard <= ABSENT_SECONDS,
                host_id in self.ledger.retiring,
                now - heard > FORGET_SECONDS,
            )
            for host_id, (heard, message) in list(self.present.items())
        )

    def tend_members(self, now):
        """Take the next step of a change of the members, as the leader."""
        if self.step_future is not None and not self.step_future.done():
            return
        step = steward.plan_step(
            self.host_id,
            self.group.members,
            self.list_stores(now),
            steward.count_voters(self.settings.tolerated_stores),
            now - self.leading_since,
        )
        if step is None:
            return
        LOG.info('event=member_step step={}', step)
        deadline = now + CHANGE_SECONDS
        match step:
            case steward.AddLearner(host_id=host_id):
                self.step_future = self.group.add_learner(host_id, deadline)
            case steward.Promote(host_id=host_id):
                self.step_future = self.group.promote(host_id, deadline)
            case steward.Remove(host_id=host_id):
                self.step_future = self.group.remove(host_id, deadline)
            case steward.HandOver(host_id=host_id):
                self.step_future = self.group.transfer(host_id)

    def find_store(self, name):
        """Return the host id of a store by its name, or None."""
        for host_id, (_, message) in list(self.present.items()):
            if message.name == name:
                return host_id
        return None

    def start_retirement(self, name):
        """Begin to empty a store; return None or a `Refusal`."""
        host_id = self.find_store(name)
        if host_id is None:
            return codes.Refusal(
                codes.ResultCode.NOT_FOUND, f'no store {name}'
            )
        now = clock.monotonic()
        staying = [
            store
            for store in self.list_stores(now)
            if store.is_present
            and not store.is_retiring
            and store.host_id != host_id
        ]
        needed = steward.count_voters(self.settings.tolerated_stores)
        if len(staying) < needed:
            return codes.Refusal(
                codes.ResultCode.REVISION_CONFLICT,
                f'{len(staying)} stores would remain, {needed} are needed',
            )
        reply = self.propose(commands.RetireStore(host_id), OPERATOR_SECONDS)
        LOG.info(
            'event=store_retiring store={} outcome={}',
            host_id,
            type(reply).__name__,
        )
        return reply if isinstance(reply, codes.Refusal) else None

    def is_retired(self, name):
        """Return whether a store is empty, or a `Refusal`."""
        host_id = self.find_store(name)
        if host_id is None:
            return codes.Refusal(
                codes.ResultCode.NOT_FOUND, f'no store {name}'
            )
        read = self.group.read(clock.monotonic() + READ_SECONDS).result()
        if isinstance(read, codes.Refusal):
            return read
        state = self.group.state
        with self.group.lock:
            store = state.store
            settled = store.members_index <= state.commit_index
            member = consensus_model.find_member(store.members, host_id)
        return settled and member is None

    # Duties.

    def run(self):
        """Carry out the duties until the host closes."""
        while not self.closed:
            self.wake.wait(DUTY_SECONDS)
            self.wake.clear()
            try:
                self.carry_out(clock.monotonic())
            except Exception:
                LOG.exception('event=duty_failed')

    def carry_out(self, now):
        """Carry out what is due."""
        self.follow_leadership()
        with self.lock:
            gone = self.registry.expire(now)
        for endpoint_id in gone:
            LOG.info('event=endpoint_silent endpoint={}', endpoint_id)
        self.send_news()
        if now >= self.presence_due:
            self.presence_due = now + PRESENCE_SECONDS
            self.send_presence()
        if not self.is_leading:
            return
        if now >= self.step_due:
            self.step_due = now + STEP_SECONDS
            self.tend_members(now)
        if now >= self.prune_due:
            self.prune_due = now + PRUNE_SECONDS
            before = time.time() - KEEP_JOBS_SECONDS
            self.group.propose(
                commands.FAMILY.encode(commands.PruneJobs(before)),
                now + CHANGE_SECONDS,
            )

    def follow_leadership(self):
        """Begin or end what only the leader does."""
        state = self.group.state
        leads = (
            not self.draining
            and self.group.is_leader
            and self.group.applied_index >= state.term_start_index
            and self.group.quorum_contact != float('-inf')
        )
        if leads == self.is_leading:
            return
        self.is_leading = leads
        self.leading_since = clock.monotonic()
        LOG.info(
            'event=leadership leading={} term={} applied={}',
            leads,
            self.group.term,
            self.group.applied_index,
        )
        if leads:
            with self.lock:
                self.owner.forget()
        self.runner.lead(leads)

    def drain(self, seconds):
        """Hand leadership over before the process ends."""
        self.draining = True
        self.runner.lead(False)
        if not self.group.is_leader:
            return
        stores = self.list_stores(clock.monotonic())
        present = {store.host_id for store in stores if store.is_present}
        for member in consensus_model.get_voters(self.group.members):
            if member.host_id == self.host_id or (
                member.host_id not in present
            ):
                continue
            future = self.group.transfer(member.host_id)
            concurrent.futures.wait((future,), seconds)
            handed = future.done() and future.result()
            LOG.info(
                'event=leadership_handed store={} done={}',
                member.host_id,
                handed,
            )
            if handed:
                return

    def close(self):
        """Stop all tasks."""
        self.closed = True
        self.runner.close()
        self.group.close()
        self.link.close()
