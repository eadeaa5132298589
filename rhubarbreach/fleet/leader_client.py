"""Periodic exchange of an entry host with the leader of the stores."""

import random
import threading
import time

from rhubarbreach.catalog import index as indexes
from rhubarbreach import clock
from rhubarbreach import eventlog
from rhubarbreach import exceptions
from rhubarbreach.fleet import announcements
from rhubarbreach.fleet import evacuations
from rhubarbreach.fleet import leader_search
from rhubarbreach.fleet import loads
from rhubarbreach.fleet import quarantine
from rhubarbreach.fleet import token_source
from rhubarbreach.protocol import fleetmessages

__all__ = ['FRESH_SECONDS', 'LeaderClient', 'compute_interval']

LOG = eventlog.Logger('member')

# Interval of exchanges, and so the longest delay until all hosts know of a
# draining endpoint, a revoked key or the load of endpoints. The shortest bound
# on any of them is 2 s.
EXCHANGE_INTERVAL_SECONDS = 0.15
# A host that runs out of slots starts an exchange immediately, but not more
# often than this.
MIN_EXCHANGE_INTERVAL_SECONDS = 0.02
# Exchanges for loads that all hosts together may start. In a load peak all of
# them request the loads at once, so with more hosts each does so less often.
# Between two exchanges an endpoint receives fewer requests of each host then.
# Exchanges for tokens are not bounded: there are at most as many as requests.
MAX_EXCHANGES_PER_SECOND = 800.0
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
# Time that a request may wait for the loads of other hosts. An exchange takes
# about 5 ms, and the next one starts at the earliest 20 ms after it.
REFRESH_TIMEOUT_SECONDS = 0.04
# Time that a request waits for the first exchange of a host that has stood
# still, and the pause between two checks.
CONTACT_WAIT_SECONDS = 1.0
CONTACT_POLL_SECONDS = 0.02
# Time for which the queues that a leader has sent count. Without a leader all
# accounts count alike.
QUEUES_SECONDS = 1.0
NO_QUEUE = fleetmessages.QueueState()
# Time that a request may wait for a permit for a cold endpoint. It covers two
# immediate exchanges, and leaves a refused caller time to be served elsewhere.
PERMIT_TIMEOUT_SECONDS = 0.05
# With more hosts than this no request waits for a permit, as an exchange for
# each of them would occupy the leader.
MAX_WAITING_HOSTS = 400


def compute_interval(entry_host_count):
    """Return the longest time in seconds between two exchanges of a host."""
    return max(
        EXCHANGE_INTERVAL_SECONDS,
        entry_host_count / MAX_EXCHANGES_PER_SECOND,
    )


class LeaderClient:
    """Configuration, endpoints and rates last received from the leader.

    A thread exchanges messages with the leader until `close`.

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
        self.confirmed_at = float('-inf')
        self.endpoints_stamp = ''
        self.endpoint_order = ()
        self.peers_revision = 0
        self.entry_host_count = 1
        self.tokens = token_source.TokenSource(
            link,
            view.counts.list_peers,
            self.find_account,
            self.request_tokens,
            tolerance,
        )
        self.quarantine = quarantine.Quarantine(self.request_loads)
        self.evacuations = evacuations.Evacuations()
        self.guard = evacuations.ContactGuard(self.started_at, evacuates_zones)
        self.lock = threading.Lock()
        self.changed = threading.Condition(self.lock)
        self.reply_count = 0
        # Numbers of the last exchange that has begun, and of the last one that
        # was answered.
        self.begun_count = 0
        self.answered_count = 0
        # Guards the flags below, with which requests start an exchange.
        self.schedule = threading.Condition()
        self.loads_wanted = False
        self.tokens_wanted = False
        self.closed = False
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
        view.on_high_utilization = self.request_loads
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
        with self.lock:
            while self.index is None:
                remaining = clock.remaining(deadline, clock.monotonic())
                if not remaining:
                    break
                self.changed.wait(remaining)
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

    @property
    def interval(self):
        """Longest time in seconds between two exchanges of this host."""
        return compute_interval(self.entry_host_count)

    @property
    def min_interval(self):
        """Shortest time in seconds between two exchanges of this host."""
        return max(
            MIN_EXCHANGE_INTERVAL_SECONDS,
            self.entry_host_count / MAX_EXCHANGES_PER_SECOND,
        )

    def refresh_loads(self):
        """Start an exchange and wait a short time for the reply.

        In a large fleet the next exchange begins too late to wait for it.
        """
        if self.min_interval > REFRESH_TIMEOUT_SECONDS:
            self.request_loads()
            return
        deadline = clock.monotonic() + REFRESH_TIMEOUT_SECONDS
        with self.lock:
            previous = self.reply_count
            self.request_loads()
            while self.reply_count == previous:
                remaining = clock.remaining(deadline, clock.monotonic())
                if not remaining or not self.changed.wait(remaining):
                    return

    def wait_for_permit(self, service, excluded, software_version=None):
        """Wait for a permit for a cold endpoint if a request needs one.

        A request waits for one reply, and for further ones only while no warm
        endpoint has a free slot.

        Parameters
        ----------
        service : str
            Service of the request.
        excluded : collection of str
            Endpoints that have already been tried.
        software_version : str, optional
            Version of the endpoints at which a stream may be resumed.
        """
        view = self.view
        if not self.has_leader:
            return
        now = clock.monotonic()
        deadline = now + PERMIT_TIMEOUT_SECONDS
        while view.cold.needs_permit(service, excluded, software_version, now):
            view.cold.want_permit(service)
            if self.entry_host_count > MAX_WAITING_HOSTS:
                self.request_loads()
                return
            if not self.wait_for_exchange(deadline):
                return
            now = clock.monotonic()
            if not view.cold.are_warm_full(service, now):
                return

    def request_permits(self, service, count):
        """Ask for permits for requests that wait, if cold endpoints need them.

        Parameters
        ----------
        service : str
            Service of the requests.
        count : int
            Requests that wait.
        """
        now = clock.monotonic()
        if self.has_leader and self.view.cold.needs_permit(
            service, (), None, now
        ):
            self.view.cold.want_permits(service, count)
            self.request_loads()

    def wait_for_exchange(self, deadline):
        """Start an exchange; return whether it was answered in time."""
        with self.changed:
            begun = self.begun_count
        self.request_tokens()
        with self.changed:
            while self.answered_count <= begun:
                remaining = clock.remaining(deadline, clock.monotonic())
                if not remaining or not self.changed.wait(remaining):
                    return False
        return True

    def run(self):
        """Exchange messages with the leader until the client is closed."""
        while not self.closed:
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
            time.sleep(MIN_EXCHANGE_INTERVAL_SECONDS)
            self.wait_for_schedule(
                ended_at + self.min_interval, ended_at + self.interval
            )

    def request_loads(self):
        """Start an exchange as soon as the leader has time for it."""
        with self.schedule:
            self.loads_wanted = True
            self.schedule.notify_all()

    def request_tokens(self):
        """Start an exchange immediately, as a request waits for a token."""
        with self.schedule:
            self.tokens_wanted = True
            self.schedule.notify_all()

    def wait_for_schedule(self, loads_at, latest):
        """Wait until an exchange is due.

        Parameters
        ----------
        loads_at : float
            Earliest time of an exchange for loads, in seconds of the monotonic
            clock.
        latest : float
            Latest time of any exchange.
        """
        with self.schedule:
            while not (self.closed or self.tokens_wanted):
                due = latest
                if self.loads_wanted:
                    due = min(latest, loads_at)
                remaining = clock.remaining(due, clock.monotonic())
                if not remaining:
                    break
                self.schedule.wait(remaining)
            self.loads_wanted = False
            self.tokens_wanted = False

    def exchange(self):
        """Report this host's state; return whether the leader answered."""
        sent = clock.monotonic()
        if self.guard.begin_exchange(sent):
            LOG.warning('event=standstill_ended')
        with self.changed:
            self.begun_count += 1
        wanted = self.tokens.compute_wanted(sent)
        running = self.view.counts.copy_running()
        service_answers = self.quarantine.list_service_answers(sent)
        wanted_parts, used_trials = self.quarantine.make_trial_report()
        crashes, answered = self.quarantine.make_report(sent)
        message = fleetmessages.Exchange(
            0 if self.index is None else self.index.version,
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
        if reply.endpoints is not None:
            self.view.update_endpoints(
                announcements.select_valid(reply.endpoints, time.time()),
                reply.complete,
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
        self.queues = reply.queues
        self.queues_until = now + QUEUES_SECONDS
        self.has_complete_loads = self.has_complete_loads or reply.complete
        if self.first_reply_at is None:
            self.first_reply_at = now
        self.entry_host_count = reply.entries
        order = self.endpoint_order
        self.view.update_loads(
            dict(zip(order, reply.elsewhere, strict=False)),
            dict(zip(order, reply.items, strict=False)),
            reply.suspects,
            loads.subtract_own(
                dict(zip(order, reply.nearby, strict=False)), running
            ),
            self.min_interval,
        )
        self.quarantine.apply_reply(reply, clock.monotonic())
        self.view.apply_cold(reply, order, sent, clock.monotonic())
        self.search.stores = reply.stores or self.search.stores
        if self.index is not None:
            self.confirmed_at = max(self.confirmed_at, sent - reply.age)
        lost_seconds = LOST_LEADER_INTERVALS * self.interval
        self.tokens.apply_grants(
            reply.granted, reply.entries, clock.monotonic() + lost_seconds
        )
        with self.changed:
            self.reply_count += 1
            self.answered_count = self.begun_count
            self.changed.notify_all()
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
        if self.index is not None and copy.version <= self.index.version:
            return
        try:
            catalog = self.decode_catalog(copy.document)
        except exceptions.MessageError as error:
            LOG.error(
                'event=catalog_unreadable version={} reason={!r}',
                copy.version,
                str(error),
            )
            return
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
        """Stop the thread."""
        self.closed = True
        with self.schedule:
            self.schedule.notify_all()
