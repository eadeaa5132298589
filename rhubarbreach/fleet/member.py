"""The task of an entry host that keeps in touch with the leader."""

import threading
import time

from rhubarbreach.catalog import index as indexes
from rhubarbreach import clock
from rhubarbreach import codes
from rhubarbreach import eventlog
from rhubarbreach.fleet import quota
from rhubarbreach.protocol import fleetmessages

__all__ = ['FRESH_SECONDS', 'Member']

LOG = eventlog.Logger('member')

# Interval of exchanges: an endpoint's drain, a withdrawn key and the load on
# endpoints are known to all hosts this much later at most. The shortest
# bound on any of them is 2 s; the waves of load last 2.4 s.
EXCHANGE_SECONDS = 0.15
# A host that runs out of slots tells so at once, but not more often than
# this, in seconds.
MIN_EXCHANGE_SECONDS = 0.02
EXCHANGE_TIMEOUT_SECONDS = 0.4
# Another store is asked after this pause when one is not the leader.
RETRY_SECONDS = 0.05
# A store that has left a message unanswered is not asked again for this long,
# in seconds, while others are. They may name it as the leader for as long as
# an election takes.
SILENT_SECONDS = 1.0
# An older configuration is no ground to refuse a caller for good.
FRESH_SECONDS = 1.0
# Time that a request waits for the first configuration of a host that has just
# started, and the time after the start in which it does, in seconds. After a
# restart of all hosts a leader is found within 0.6 s, and most callers have
# spent their last try by then.
FIRST_WAIT_SECONDS = 1.0
FIRST_SECONDS = 1.5
# Time that a request may wait for a grant of its account's rate: two exchanges
# at once, and less than a quarter of the objective of 0.3 s, so that a caller
# who is refused can still be served in time elsewhere.
GRANT_SECONDS = 0.07
# Time that a request may wait for the loads of other hosts: an exchange takes
# some 5 ms, and the next one starts 20 ms after it at the earliest.
REFRESH_SECONDS = 0.04


class Member:
    """Configuration, endpoints and rates as the leader last told them.

    Parameters
    ----------
    link : Link
        Link to the other hosts.
    view : View
        Endpoints of this host.
    stores : tuple of str
        Stores to ask first.
    decode_catalog : callable
        Returns the `Catalog` of an operator's document.
    validity : float
        Seconds for which a confirmed configuration may be used.
    """

    def __init__(self, link, view, stores, decode_catalog, validity):
        self.link = link
        self.view = view
        self.seeds = tuple(stores)
        self.stores = tuple(stores)
        self.decode_catalog = decode_catalog
        self.validity = validity
        self.index = None
        self.started = clock.monotonic()
        self.confirmed = float('-inf')
        self.endpoints_stamp = ''
        self.leader_id = None
        self.silent_until = {}
        self.turn = 0
        self.entries = 1
        self.holder = quota.Holder()
        self.lock = threading.Lock()
        self.granted = threading.Condition(self.lock)
        self.replies = 0
        self.wake = threading.Event()
        self.closed = False
        self.in_touch = False
        view.on_pressure = self.wake.set
        self.thread = threading.Thread(
            target=self.run, name='member', daemon=True
        )
        self.thread.start()

    @property
    def valid_until(self):
        """Deadline of the configuration."""
        return self.confirmed + self.validity

    def is_fresh(self, now):
        """Return whether the configuration was confirmed just now."""
        return now - self.confirmed <= FRESH_SECONDS

    def wait_index(self, now):
        """Return the configuration, waited for soon after the start.

        Parameters
        ----------
        now : float
            Seconds of the monotonic clock.

        Returns
        -------
        Index or None
            None while no configuration is known.
        """
        deadline = min(now + FIRST_WAIT_SECONDS, self.started + FIRST_SECONDS)
        with self.lock:
            while self.index is None:
                left = clock.remaining(deadline, clock.monotonic())
                if not left:
                    break
                self.granted.wait(left)
        return self.index

    def set_seeds(self, seeds):
        """Replace the stores to ask when none of the known ones answers."""
        self.seeds = tuple(seeds)

    def take_request(self, account):
        """Spend a request of an account's rate; return if it is within."""
        with self.lock:
            if self.holder.take(account):
                return True
            self.holder.begin_wait(account)
            try:
                return self.wait_granted(account)
            finally:
                self.holder.end_wait(account)

    def wait_granted(self, account):
        """Wait a little for a grant; return whether one was spent."""
        self.wake.set()
        deadline = clock.monotonic() + GRANT_SECONDS
        while True:
            left = clock.remaining(deadline, clock.monotonic())
            if not left or not self.granted.wait(left):
                return False
            if self.holder.spend(account):
                return True

    def refresh(self):
        """Ask the leader for the loads of other hosts and wait a little."""
        deadline = clock.monotonic() + REFRESH_SECONDS
        with self.lock:
            known = self.replies
            self.wake.set()
            while self.replies == known:
                left = clock.remaining(deadline, clock.monotonic())
                if not left or not self.granted.wait(left):
                    return

    def run(self):
        """Exchange until the member is closed."""
        while not self.closed:
            pause = RETRY_SECONDS
            try:
                if self.exchange():
                    pause = EXCHANGE_SECONDS
            except Exception:
                LOG.exception('event=exchange_failed')
            time.sleep(MIN_EXCHANGE_SECONDS)
            self.wake.wait(pause - MIN_EXCHANGE_SECONDS)
            self.wake.clear()

    def exchange(self):
        """Tell a store what runs here; return whether the leader answered."""
        store = self.choose_store()
        sent = clock.monotonic()
        with self.lock:
            wanted = self.holder.measure(sent)
        message = fleetmessages.Exchange(
            0 if self.index is None else self.index.version,
            self.endpoints_stamp,
            self.view.copy_running(),
            wanted,
            self.view.take_outcomes(),
        )
        call = self.link.call(store, message, sent + EXCHANGE_TIMEOUT_SECONDS)
        reply = call.result()
        if isinstance(reply, codes.Refusal) or not reply.is_leader:
            self.lose(store, reply, clock.monotonic())
            return False
        self.leader_id = store
        self.silent_until.clear()
        self.take_reply(reply, sent)
        return True

    def choose_store(self):
        """Return the leader, or another store at each turn."""
        if self.leader_id is not None:
            return self.leader_id
        now = clock.monotonic()
        stores = tuple(dict.fromkeys((*self.stores, *self.seeds)))
        awake = tuple(one for one in stores if not self.is_silent(one, now))
        stores = awake or stores
        self.turn += 1
        return stores[self.turn % len(stores)]

    def is_silent(self, store, now):
        """Return whether a store has lately left a message unanswered."""
        return now < self.silent_until.get(store, now)

    def lose(self, store, reply, now):
        """Look for another leader."""
        hint = None
        if isinstance(reply, codes.Refusal):
            self.silent_until[store] = now + SILENT_SECONDS
        elif reply.leader_id != store:
            hint = reply.leader_id
        self.leader_id = None if self.is_silent(hint, now) else hint
        with self.granted:
            index = self.index
            if index is not None and now < self.valid_until:
                self.holder.refill_alone(
                    index.catalog.accounts, self.entries, now
                )
                self.granted.notify_all()
        if self.in_touch and not self.is_fresh(now):
            self.in_touch = False
            LOG.warning('event=leader_lost store={}', store)

    def take_reply(self, reply, sent):
        """Take the answer of the leader to a message into account."""
        if reply.catalog is not None:
            self.take_catalog(reply.catalog)
        if reply.endpoints is not None:
            self.view.update_endpoints(reply.endpoints, reply.complete)
            self.endpoints_stamp = reply.endpoints_stamp
            LOG.info(
                'event=endpoints_updated count={} complete={} stamp={}',
                len(reply.endpoints),
                reply.complete,
                reply.endpoints_stamp,
            )
        self.view.update_others(reply.running, reply.batch, reply.suspects)
        self.stores = reply.stores or self.stores
        self.entries = reply.entries
        if self.index is not None:
            self.confirmed = max(self.confirmed, sent - reply.age)
        with self.granted:
            self.holder.end_alone()
            self.holder.hosts = max(1, reply.entries)
            self.holder.add(reply.granted)
            self.replies += 1
            self.granted.notify_all()
        if not self.in_touch and self.is_fresh(clock.monotonic()):
            self.in_touch = True
            LOG.info('event=leader_found store={}', self.leader_id)

    def take_catalog(self, copy):
        """Put a configuration in force; versions only go up."""
        if self.index is not None and copy.version <= self.index.version:
            return
        catalog = self.decode_catalog(copy.document)
        self.index = indexes.Index(catalog)
        LOG.info(
            'event=catalog_in_force version={} routes={} accounts={}',
            catalog.version,
            len(catalog.routes),
            len(catalog.accounts),
        )

    def close(self):
        """Stop the task."""
        self.closed = True
        self.wake.set()
