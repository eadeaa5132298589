"""Answers to the configuration polls of other hosts."""

import concurrent.futures
import dataclasses
import threading
import time

import logbook

from rhubarbreach import clock
from rhubarbreach.distribution import effect
from rhubarbreach.distribution import store as store_module
from rhubarbreach.protocol import configmessages
from rhubarbreach.state import index
from rhubarbreach.state import model

__all__ = ['ConfigServer']

LOG = logbook.Logger('distribution')

# Changes that follow each other closely are sent in one reply.
COALESCE = 0.005
MAX_HOLD = 5.0
MAX_WAIT = 60.0
EFFECT_PERIOD = 0.1
# While a query waits, polls of relays are answered after this time, so that
# they soon report what the hosts below them use.
QUERY_HOLD = 0.1
# Looking through all hosts for a query takes at most a fifth of the time.
EFFECT_PAUSE_FACTOR = 4
# A query waits at least this long, for the leadership to be confirmed.
MIN_WAIT = 0.25
MAX_REPLY_BYTES = 512 * 1024
PART_BYTES = 256 * 1024
SNAPSHOT_KEPT = 10.0


@dataclasses.dataclass(frozen=True, slots=True)
class Waiting:
    """A poll or query that waits for its answer."""

    message: object
    received_at: float
    reply_by: float
    future: concurrent.futures.Future


@dataclasses.dataclass(frozen=True, slots=True)
class Snapshot:
    """Encoded configuration that hosts are fetching in parts."""

    revision: int
    data: bytes
    keep_until: float


class ConfigServer:
    """Serves the view of this host to the hosts that poll it.

    Parameters
    ----------
    link : Link
        Link of this host.
    view : ConfigView
        View whose content and remaining validity are passed on.
    tracker : Tracker
        Notes which host uses which revision.
    store : LocalStore, optional
        Configuration group, on a store host.
    expected_hosts : callable, optional
        Returns the ids of all hosts that may serve keys, to name those that
        a new leader has not heard of yet.
    """

    def __init__(self, link, view, tracker, store=None, expected_hosts=None):
        self.view = view
        self.tracker = tracker
        self.store = store
        self.expected_hosts = expected_hosts
        self.polls = []
        self.queries = []
        self.snapshot = None
        self.renewed_at = 0.0
        self.next_queries_at = 0.0
        self.due = threading.Event()
        self.lock = threading.Lock()
        self.closed = False
        link.register(configmessages.ConfigWatch, self.handle_watch)
        link.register(configmessages.ConfigFetch, self.handle_fetch)
        link.register(configmessages.EffectQuery, self.handle_query)
        view.subscribe(lambda update: self.due.set())
        view.subscribe_renewal(self.note_renewal)
        self.thread = threading.Thread(
            target=self.run, name='config-server', daemon=True
        )
        self.thread.start()

    def note_renewal(self):
        """Answer all polls that were received before a renewal."""
        self.renewed_at = clock.monotonic()
        self.due.set()

    def handle_watch(self, sender_id, watch):
        """Take a poll; the reply is sent when there is something new."""
        now = clock.monotonic()
        watch = dataclasses.replace(watch, host_id=sender_id)
        self.tracker.record_poll(watch, now)
        hold = min(watch.timeout, MAX_HOLD)
        waiting = Waiting(watch, now, now + hold, concurrent.futures.Future())
        with self.lock:
            self.polls.append(waiting)
        if self.queries or self.is_due(waiting, now):
            self.due.set()
        return waiting.future

    def handle_query(self, sender_id, query):
        """Take a question where a revision is in effect."""
        now = clock.monotonic()
        wait = max(MIN_WAIT, min(query.timeout, MAX_WAIT))
        waiting = Waiting(query, now, now + wait, concurrent.futures.Future())
        with self.lock:
            self.queries.append(waiting)
        if self.store is not None:
            self.store.wake.set()
        self.due.set()
        return waiting.future

    def is_due(self, waiting, now):
        """Return whether a poll is to be answered."""
        return (
            self.view.revision > waiting.message.revision
            or self.renewed_at > waiting.received_at
            or now >= waiting.reply_by
            or self.is_report_wanted(waiting, now)
        )

    def is_report_wanted(self, waiting, now):
        """Return whether a query waits for the report of a relay."""
        return (
            bool(self.queries)
            and waiting.message.downstream > 0
            and now >= waiting.received_at + QUERY_HOLD
        )

    def run(self):
        """Answer polls and queries until the server is closed."""
        timeout = MAX_HOLD
        while not self.closed:
            self.due.wait(timeout)
            self.due.clear()
            now = clock.monotonic()
            try:
                self.answer_polls(now)
                self.answer_queries(now)
                self.drop_snapshot(now)
            except Exception:
                LOG.exception('event=config_server_failed')
            timeout = self.find_timeout(now)
            time.sleep(COALESCE)

    def find_timeout(self, now):
        """Return the seconds until the next answer is due."""
        with self.lock:
            polls, queries = list(self.polls), list(self.queries)
        earliest = min((one.reply_by for one in polls), default=now + MAX_HOLD)
        if queries:
            earliest = min(earliest, now + EFFECT_PERIOD)
        return max(0.0, earliest - now)

    def answer_polls(self, now):
        """Answer the polls that are due."""
        with self.lock:
            due = [one for one in self.polls if self.is_due(one, now)]
            if due:
                chosen = set(map(id, due))
                self.polls = [
                    one for one in self.polls if id(one) not in chosen
                ]
        replies = {}
        for waiting in due:
            self.answer_poll(waiting, replies)

    def answer_poll(self, waiting, replies):
        """Answer one poll; hosts at one revision share the changes."""
        watch = waiting.message
        if watch.revision not in replies:
            replies[watch.revision] = self.make_reply(watch.revision)
        reply, valid_until = replies[watch.revision]
        if reply.validity:
            # The poll was sent before it was received, so that this grant
            # never ends after the validity of this host's own view.
            validity = max(0.0, valid_until - waiting.received_at)
            reply = dataclasses.replace(reply, validity=validity)
            self.tracker.record_grant(watch, reply.revision, valid_until)
        waiting.future.set_result(reply)

    def make_reply(self, revision):
        """Return the reply to a poll with a revision, and its deadline."""
        with self.view.lock:
            current = self.view.revision
            valid_until = self.view.valid_until
            found = self.view.history.get_after(revision)
        if found is None:
            return configmessages.ConfigReply(
                current, (), b'', 0.0
            ), valid_until
        kept = cut_changes(found)
        if len(kept) < len(found):
            current = revision + len(kept)
            return configmessages.ConfigReply(
                current, kept, None, 0.0
            ), valid_until
        validity = 1.0 if self.view.is_valid(clock.monotonic()) else 0.0
        return configmessages.ConfigReply(
            current, kept, None, validity
        ), valid_until

    def handle_fetch(self, sender_id, fetch):
        """Return a part of the encoded configuration."""
        found = self.get_snapshot(fetch.revision)
        offset = fetch.offset if fetch.revision == found.revision else 0
        data = found.data[offset : offset + PART_BYTES]
        return configmessages.ConfigPart(
            found.revision, offset, len(found.data), data
        )

    def get_snapshot(self, revision):
        """Return the snapshot of a revision, else one to start with.

        A snapshot is kept while it is fetched, so that continuous changes
        cannot keep a host from completing its first fetch. A host starts
        only with one to which the changes since are still kept.
        """
        now = clock.monotonic()
        with self.lock:
            known = self.snapshot
            if known is None or (
                known.revision != revision and self.is_outdated(known, now)
            ):
                config = self.view.snapshot
                data = model.ENCODER.encode(index.to_document(config))
                known = Snapshot(config.revision, data, 0.0)
            self.snapshot = dataclasses.replace(
                known, keep_until=now + SNAPSHOT_KEPT
            )
            return self.snapshot

    def drop_snapshot(self, now):
        """Free the memory of a snapshot that nobody fetches any more."""
        with self.lock:
            if self.snapshot and self.snapshot.keep_until < now:
                self.snapshot = None

    def is_outdated(self, snapshot, now):
        """Return whether a snapshot is of no use to another host."""
        with self.view.lock:
            changes = self.view.history.get_after(snapshot.revision)
        return changes is None or snapshot.keep_until < now

    def answer_queries(self, now):
        """Answer the queries whose revision is in effect, or late."""
        if not self.queries or now < self.next_queries_at:
            return
        with self.lock:
            queries, self.queries = self.queries, []
        kept = []
        for waiting in queries:
            reply = self.make_effect_reply(waiting, now)
            settled = reply.known and not reply.pending
            if settled or now >= waiting.reply_by or not self.is_leading(now):
                waiting.future.set_result(reply)
            else:
                kept.append(waiting)
        with self.lock:
            self.queries.extend(kept)
        ended = clock.monotonic()
        self.next_queries_at = ended + (ended - now) * EFFECT_PAUSE_FACTOR

    def is_leading(self, now):
        """Return whether this host leads, as far as it knows."""
        if self.store is None:
            return False
        return self.store.find_leadership(now) is not None

    def make_effect_reply(self, waiting, now):
        """Return where a revision is not in effect yet.

        A deposed leader does not hear of the hosts that poll its successor,
        so the leadership must have been confirmed after the query came.
        """
        query = waiting.message
        if (
            not self.is_leading(now)
            or self.store.confirmed_at < waiting.received_at
            or self.view.revision < query.revision
        ):
            return configmessages.EffectReply(False, ())
        since = self.store.since
        extra = effect.get_extra(self.view.snapshot, query.account_id)
        pending = self.tracker.find_pending(query.revision, extra, now)
        former = since + store_module.FORMER_GRANTS + extra - now
        if former > 0:
            pending += self.find_unheard(query.revision, former)
        return configmessages.EffectReply(True, pending)

    def find_unheard(self, revision, seconds):
        """Return the hosts that may use what a former leader granted.

        A host that has stated the revision, or a later one, does not.
        """
        if self.expected_hosts is None:
            return (configmessages.PendingHost('', seconds),)
        stated = self.tracker.get_revisions()
        return tuple(
            configmessages.PendingHost(host_id, seconds)
            for host_id in sorted(self.expected_hosts())
            if stated.get(host_id, -1) < revision
        )

    def close(self):
        """Stop the task; waiting hosts turn to another upstream."""
        self.closed = True
        self.due.set()


def cut_changes(found):
    """Return the first changes that fit into one reply, at least one."""
    size = 0
    for place, change in enumerate(found):
        size += len(change)
        if size > MAX_REPLY_BYTES and place:
            return found[:place]
    return found
