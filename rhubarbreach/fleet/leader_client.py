"""Periodic exchange of an entry host with the leader of the stores."""

import random
import threading
import time

from rhubarbreach.catalog import index as indexes
from rhubarbreach import clock
from rhubarbreach import eventlog
from rhubarbreach import exceptions
from rhubarbreach.fleet import announcements
from rhubarbreach.fleet import catalog_fetch
from rhubarbreach.fleet import evacuations
from rhubarbreach.fleet import exchange_schedule
from rhubarbreach.fleet import exchange_waits
from rhubarbreach.fleet import leader_search
from rhubarbreach.fleet import loads
from rhubarbreach.fleet import quarantine
from rhubarbreach.fleet import relay_list
from rhubarbreach.fleet import token_source
from rhubarbreach.protocol import fleetmessages

__all__ = ['FRESH_SECONDS', 'LeaderClient']

LOG = eventlog.Logger('member')

# Pause before the next store is tried when one is not the leader.
RETRY_INTERVAL_SECONDS = 0.05
# Relative jitter of the pause after a failed exchange, so that hosts that have
# lost their leader together do not ask the stores together.
RETRY_JITTER = 0.3
# Callers are refused permanently only by a configuration that was confirmed
# within this time.
FRESH_SECONDS = 1.0
# A request that arrives soon after the start of its host waits this long for
# the first configuration, but not beyond STARTUP_SECONDS after the start.
# After a restart of all hosts a leader is found within 0.6 s, and most callers
# have no attempt left by then.
STARTUP_WAIT_SECONDS = 1.0
STARTUP_SECONDS = 1.5
# A leader that has not replied for this multiple of the interval of exchanges
# counts as lost for the tokens of accounts.
LOST_LEADER_INTERVALS = 1.5
# Time that a request waits for the first exchange of a host that has stood
# still, and the pause between two checks.
CONTACT_WAIT_SECONDS = 1.0
CONTACT_POLL_SECONDS = 0.02
# Time for which the queues that a leader has sent count. Without a leader all
# accounts count alike.
QUEUES_SECONDS = 1.0
NO_QUEUE = fleetmessages.QueueState()


class LeaderClient:
    """Configuration, endpoints and rates last received from the leader.

    A thread exchanges messages with the leader until `close`. Only this thread
    changes the attributes, except for `collect_queues`, the seeds of `search`
    and the configuration, which `catalog_fetch` changes too; other threads
    read each of them without a lock. `schedule` and `waits` have locks of
    their own.

    Parameters
    ----------
    link : Link
        Link to the other hosts.
    view : View
        Endpoints and their loads as this host knows them.
    stores : tuple of str
        Stores to contact first.
    decode_catalog : callable
        Returns the `Catalog` of an operator's document.
    validity : float
        Seconds for which a confirmed configuration may be used.
    tolerance : Tolerance, optional
        Bound on how far a limit may be exceeded.
    evacuates_zones : bool
        Whether zones of this deployment are evacuated.
    """

    def __init__(
        self,
        link,
        view,
        stores,
        decode_catalog,
        validity,
        tolerance=None,
        evacuates_zones=False,
    ):
        self.link = link
        self.view = view
        self.search = leader_search.LeaderSearch(link, stores)
        self.decode_catalog = decode_catalog
        self.validity = validity
        self.index = None
        self.started_at = clock.monotonic()
        # When the leader was in contact, and when it confirmed that the
        # configuration here is the newest one.
        self.contacted_at = self.confirmed_at = float('-inf')
        # Newest configuration that was received, also if it was unreadable.
        self.received_version = 0
        self.catalog_lock = threading.Lock()
        self.catalog_fetch = catalog_fetch.CatalogFetch(
            link, lambda: self.leader_id, self.apply_catalog
        )
        self.endpoints_stamp = ''
        self.endpoint_order = ()
        self.peers_revision = 0
        self.schedule = exchange_schedule.Schedule()
        self.waits = exchange_waits.ExchangeWaits(
            self.schedule, view.cold, lambda: self.has_leader
        )
        self.tokens = token_source.TokenSource(
            link,
            view.counts.list_peers,
            self.find_account,
            self.schedule.request_tokens,
            tolerance,
        )
        self.relays = relay_list.RelayList(
            self.schedule.request_relays, view.counts.list_peers
        )
        self.quarantine = quarantine.Quarantine(self.schedule.request_loads)
        self.evacuations = evacuations.Evacuations()
        self.guard = evacuations.ContactGuard(self.started_at, evacuates_zones)
        self.has_leader = False
        # Returns the `QueueReport` of each service since the last call.
        self.collect_queues = None
        # Queues of all hosts by service, and until when they count.
        self.queues = {}
        self.queues_until = float('-inf')
        # Time of the first reply, and whether a leader that knows all
        # endpoints has replied. Until then loads may be missing.
        self.first_reply_at = None
        self.has_complete_loads = False
        view.on_high_utilization = self.schedule.request_loads
        self.thread = threading.Thread(
            target=self.run, name='member', daemon=True
        )
        self.thread.start()

    @property
    def leader_id(self):
        """Store that leads, as far as this host knows; None if unknown."""
        return self.search.leader_id

    @property
    def stores(self):
        """Stores that the leader has named, or the first ones to contact."""
        return self.search.stores

    @property
    def valid_until(self):
        """Monotonic time until which the configuration may be used."""
        return self.confirmed_at + self.validity

    def is_fresh(self, now):
        """Return whether the leader was in contact recently."""
        return now - self.contacted_at <= FRESH_SECONDS

    def is_catalog_current(self, now):
        """Return whether the leader confirmed the configuration recently."""
        return now - self.confirmed_at <= FRESH_SECONDS

    def wait_for_index(self, now):
        """Return the configuration; wait for it shortly after the start.

        Parameters
        ----------
        now : float
            Seconds of the monotonic clock.

        Returns
        -------
        Index or None
            None while no configuration is known.
        """
        deadline = min(
            now + STARTUP_WAIT_SECONDS, self.started_at + STARTUP_SECONDS
        )
        self.waits.wait_until(lambda: self.index is not None, deadline)
        return self.index

    def wait_for_contact(self):
        """Wait for an exchange if this host has stood still.

        Returns
        -------
        bool
            Whether requests may be sent by what this host knows.
        """
        deadline = clock.monotonic() + CONTACT_WAIT_SECONDS
        while not self.guard.may_send(clock.monotonic()):
            if clock.monotonic() >= deadline:
                return False
            time.sleep(CONTACT_POLL_SECONDS)
        return True

    def may_send_to(self, endpoint):
        """Return whether a request may be sent to a chosen endpoint now."""
        return (
            self.guard.may_send(clock.monotonic())
            and endpoint.availability_zone not in self.evacuations.zones
        )

    def find_account(self, name):
        """Return an account of the configuration while that is valid."""
        index = self.index
        if index is None or clock.monotonic() > self.valid_until:
            return None
        return index.accounts.get(name)

    def has_queues(self, now):
        """Return whether the leader has sent the queues recently."""
        return now < self.queues_until

    def get_queue(self, service, now):
        """Return the `QueueState` of a service at all hosts."""
        if not self.has_queues(now):
            return NO_QUEUE
        return self.queues.get(service, NO_QUEUE)

    def set_seeds(self, seeds):
        """Replace the stores to contact besides those the leader named."""
        self.search.seeds = tuple(seeds)

    def run(self):
        """Exchange messages with the leader until the client is closed."""
        schedule = self.schedule
        while not schedule.closed:
            succeeded = False
            try:
                succeeded = self.exchange()
            except Exception:
                LOG.exception('event=exchange_failed')
            if not succeeded:
                jitter = random.uniform(1.0 - RETRY_JITTER, 1.0 + RETRY_JITTER)
                time.sleep(RETRY_INTERVAL_SECONDS * jitter)
                continue
            ended_at = clock.monotonic()
            time.sleep(exchange_schedule.MIN_EXCHANGE_INTERVAL_SECONDS)
            schedule.wait(
                ended_at + schedule.min_interval,
                ended_at + schedule.interval,
            )

    def exchange(self):
        """Report this host's state; return whether the leader answered."""
        sent = clock.monotonic()
        if self.guard.begin_exchange(sent):
            LOG.warning('event=standstill_ended')
        self.waits.begin_exchange()
        wanted = self.tokens.compute_wanted(sent)
        running = self.view.counts.copy_running()
        service_answers = self.quarantine.list_service_answers(sent)
        wanted_parts, used_trials = self.quarantine.make_trial_report()
        crashes, answered = self.quarantine.make_report(sent)
        message = fleetmessages.Exchange(
            self.received_version,
            self.endpoints_stamp,
            running,
            wanted,
            self.view.health.pop_outcomes(),
            self.view.zone,
            self.peers_revision,
            crashes,
            answered,
            self.quarantine.revision,
            self.view.directory.copy_departures(),
            service_answers,
            wanted_parts,
            used_trials,
            self.evacuations.revision,
            {} if self.collect_queues is None else self.collect_queues(),
            *self.view.cold.make_report(sent),
            completed=self.quarantine.list_completed(sent),
            completions=self.quarantine.pop_completions(),
            fetches_catalogs=True,
            wants_relays=self.relays.is_wanted(sent),
            is_doubtful=self.view.paths.is_doubtful,
            is_cut_off=self.view.paths.is_cut_off,
        )
        reply = self.search.call(message)
        if reply is None:
            self.handle_failed_exchange(clock.monotonic())
            return False
        # Waiting requests use what has become free once all is applied.
        self.view.is_updating = True
        try:
            # Before a host that has just started can serve any request.
            self.apply_evacuations(reply)
            self.apply_reply(reply, sent, running)
            self.guard.end_exchange(sent)
        finally:
            self.view.is_updating = False
        self.view.notify_free()
        return True

    def handle_failed_exchange(self, now):
        """Continue without a leader after a failed exchange.

        While the configuration is valid, tokens are refilled locally at this
        host's part of each rate, unless the hosts of its zone pool them.
        """
        index = self.index
        if index is not None and now < self.valid_until:
            self.tokens.refill_alone(index.catalog.accounts, now)
        if self.has_leader and not self.is_fresh(now):
            self.has_leader = False
            # The loads of a peak would otherwise count until there is a leader
            # again, and callers would be refused while slots are free.
            self.view.drop_leader_loads()
            LOG.warning('event=leader_lost next={}', self.leader_id)

    def apply_reply(self, reply, sent, running):
        """Apply the reply of the leader to a message.

        Parameters
        ----------
        reply : ExchangeReply
            Reply of the leader.
        sent : float
            Time of the message, in seconds of the monotonic clock.
        running : dict of str to int
            Requests that the message reported, which the reply includes.
        """
        if reply.catalog is not None:
            self.apply_catalog(reply.catalog)
        if reply.catalog_version > self.received_version:
            self.catalog_fetch.request(reply.catalog_version)
        if reply.endpoints is not None:
            self.view.update_endpoints(
                announcements.select_valid(reply.endpoints, time.time()),
                reply.complete,
                reply.departures,
            )
            self.endpoints_stamp = reply.endpoints_stamp
            self.endpoint_order = tuple(
                row.endpoint_id for row in reply.endpoints
            )
            LOG.info(
                'event=endpoints_updated count={} complete={} stamp={}',
                len(reply.endpoints),
                reply.complete,
                reply.endpoints_stamp,
            )
        if reply.peers is not None:
            self.peers_revision = reply.peers_revision
            self.view.counts.update_peers(
                p for p in reply.peers if p != self.link.host_id
            )
        now = clock.monotonic()
        if reply.relays is not None:
            self.relays.update(reply.relays, now)
        self.queues = reply.queues
        self.queues_until = now + QUEUES_SECONDS
        self.has_complete_loads = self.has_complete_loads or reply.complete
        if self.first_reply_at is None:
            self.first_reply_at = now
        self.schedule.entry_host_count = reply.entries
        order = self.endpoint_order
        self.view.update_loads(
            dict(zip(order, reply.elsewhere, strict=False)),
            dict(zip(order, reply.items, strict=False)),
            reply.suspects,
            loads.subtract_own(
                dict(zip(order, reply.nearby, strict=False)), running
            ),
            self.schedule.min_interval,
        )
        self.quarantine.apply_reply(reply, clock.monotonic())
        self.view.apply_cold(reply, order, sent, clock.monotonic())
        self.search.stores = reply.stores or self.search.stores
        if self.index is not None:
            self.contacted_at = max(self.contacted_at, sent - reply.age)
            if reply.catalog_version <= self.received_version:
                self.confirmed_at = max(self.confirmed_at, sent - reply.age)
        lost_seconds = LOST_LEADER_INTERVALS * self.schedule.interval
        self.tokens.apply_grants(
            reply.granted, reply.entries, clock.monotonic() + lost_seconds
        )
        self.waits.end_exchange()
        if not self.has_leader and self.is_fresh(clock.monotonic()):
            self.has_leader = True
            LOG.info('event=leader_found store={}', self.leader_id)

    def apply_evacuations(self, reply):
        """Apply the evacuated zones of a reply."""
        previous = self.evacuations
        current = previous.update(reply.evacuation_revision, reply.evacuated)
        if current is previous:
            return
        self.evacuations = current
        restored = evacuations.find_restored(previous, current)
        self.view.cold.treat_zones_as_cold(restored, clock.monotonic())
        self.view.directory.set_evacuated_zones(current.zones)
        LOG.info(
            'event=evacuations_in_force revision={} zones={} restored={}',
            current.revision,
            sorted(current.zones),
            sorted(restored),
        )

    def apply_catalog(self, copy):
        """Apply a configuration if its version is newer.

        One that cannot be read leaves the previous one in force.
        """
        with self.catalog_lock:
            if copy.version <= self.received_version:
                return
            try:
                catalog = self.decode_catalog(copy.document)
            except exceptions.MessageError as error:
                LOG.error(
                    'event=catalog_unreadable version={} reason={!r}',
                    copy.version,
                    str(error),
                )
                self.received_version = copy.version
                return
            self.use_catalog(catalog)
            self.received_version = copy.version

    def use_catalog(self, catalog):
        """Put a configuration in force."""
        self.index = indexes.Index(catalog)
        self.view.performance.set_services(catalog.services)
        self.view.cold.limit_services(
            service.name for service in catalog.services if service.cold_rate
        )
        LOG.info(
            'event=catalog_in_force version={} routes={} accounts={}',
            catalog.version,
            len(catalog.routes),
            len(catalog.accounts),
        )

    def close(self):
        """Stop the threads."""
        self.catalog_fetch.close()
        self.schedule.close()
