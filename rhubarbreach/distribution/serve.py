"""Server for the configuration polls of other hosts."""

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

# Changes that are committed within this time are sent in one reply.
COALESCE_SECONDS = 0.005
MAX_HOLD_SECONDS = 5.0
MAX_WAIT_SECONDS = 60.0
QUERY_PERIOD_SECONDS = 0.1
# While a query waits, the polls of relays are answered after this time. Relays
# then soon report which revisions their downstream hosts use.
RELAY_HOLD_SECONDS = 0.1
# After an evaluation of all queries, the next one is delayed by this multiple
# of its duration. The evaluation therefore takes at most a fifth of the time.
QUERY_PAUSE_FACTOR = 4
# A query waits at least this long, so that the leadership can be confirmed.
MIN_WAIT_SECONDS = 0.25
MAX_REPLY_BYTES = 512 * 1024
PART_BYTES = 256 * 1024
SNAPSHOT_RETENTION_SECONDS = 10.0


@dataclasses.dataclass(frozen=True, slots=True)
class WaitingRequest:
    """A poll or query that waits for its reply.

    `received_at` and `reply_by` are monotonic seconds.
    """

    message: object
    received_at: float
    reply_by: float
    future: concurrent.futures.Future


@dataclasses.dataclass(frozen=True, slots=True)
class Snapshot:
    """Encoded configuration that hosts fetch in parts."""

    revision: int
    data: bytes
    keep_until: float


class ConfigServer:
    """Server of the view of this host for the hosts that poll it.

    Parameters
    ----------
    link : Link
        Link of this host.
    view : ConfigView
        View whose content and remaining validity are served.
    tracker : RevisionTracker
        Records which host uses which revision.
    store : LocalStore, optional
        Configuration group. Only on a store host.
    expected_hosts : callable, optional
        Returns the ids of all hosts that may accept keys. A new leader needs
        them to list the hosts that have not polled yet.
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
        self.wake = threading.Event()
        self.lock = threading.Lock()
        self.closed = False
        link.register(configmessages.ConfigWatch, self.handle_watch)
        link.register(configmessages.ConfigFetch, self.handle_fetch)
        link.register(configmessages.EffectQuery, self.handle_query)
        view.subscribe(lambda update: self.wake.set())
        view.subscribe_renewal(self.handle_renewal)
        self.thread = threading.Thread(
            target=self.run, name='config-server', daemon=True
        )
        self.thread.start()

    def handle_renewal(self):
        """Trigger the replies to all polls received before a renewal."""
        self.renewed_at = clock.monotonic()
        self.wake.set()

    def handle_watch(self, sender_id, watch):
        """Accept a poll and return the future of its reply.

        The reply is sent once there is a change or a renewal, or at the
        timeout of the poll.
        """
        now = clock.monotonic()
        watch = dataclasses.replace(watch, host_id=sender_id)
        self.tracker.record_poll(watch, now)
        hold = min(watch.timeout, MAX_HOLD_SECONDS)
        request = WaitingRequest(
            watch, now, now + hold, concurrent.futures.Future()
        )
        with self.lock:
            self.polls.append(request)
        if self.queries or self.is_due(request, now):
            self.wake.set()
        return request.future

    def handle_query(self, sender_id, query):
        """Accept an effect query and return the future of its reply."""
        now = clock.monotonic()
        wait = max(MIN_WAIT_SECONDS, min(query.timeout, MAX_WAIT_SECONDS))
        request = WaitingRequest(
            query, now, now + wait, concurrent.futures.Future()
        )
        with self.lock:
            self.queries.append(request)
        if self.store is not None:
            self.store.wake.set()
        self.wake.set()
        return request.future

    def is_due(self, request, now):
        """Return whether a poll must be answered now."""
        return (
            self.view.revision > request.message.revision
            or self.renewed_at > request.received_at
            or now >= request.reply_by
            or self.needs_relay_report(request, now)
        )

    def needs_relay_report(self, request, now):
        """Return whether a waiting query needs the next poll of a relay."""
        return (
            bool(self.queries)
            and request.message.downstream > 0
            and now >= request.received_at + RELAY_HOLD_SECONDS
        )

    def run(self):
        """Answer polls and queries until closed."""
        timeout = MAX_HOLD_SECONDS
        while not self.closed:
            self.wake.wait(timeout)
            self.wake.clear()
            now = clock.monotonic()
            try:
                self.answer_polls(now)
                self.answer_queries(now)
                self.drop_snapshot(now)
            except Exception:
                LOG.exception('event=config_server_failed')
            timeout = self.find_timeout(now)
            time.sleep(COALESCE_SECONDS)

    def find_timeout(self, now):
        """Return the seconds until the next answer is due."""
        with self.lock:
            polls, queries = list(self.polls), list(self.queries)
        earliest = min(
            (poll.reply_by for poll in polls), default=now + MAX_HOLD_SECONDS
        )
        if queries:
            earliest = min(earliest, now + QUERY_PERIOD_SECONDS)
        return max(0.0, earliest - now)

    def answer_polls(self, now):
        """Answer the polls that are due."""
        with self.lock:
            due = [poll for poll in self.polls if self.is_due(poll, now)]
            if due:
                due_ids = set(map(id, due))
                self.polls = [
                    poll for poll in self.polls if id(poll) not in due_ids
                ]
        replies = {}
        for request in due:
            self.answer_poll(request, replies)

    def answer_poll(self, request, replies):
        """Answer one poll.

        `replies` caches the replies by revision.
        """
        watch = request.message
        if watch.revision not in replies:
            replies[watch.revision] = self.make_reply(watch.revision)
        reply, valid_until = replies[watch.revision]
        if reply.validity:
            # The poller counts the validity from the time of sending, which is
            # before `received_at`. The grant therefore never outlasts the
            # validity of this host's own view.
            validity = max(0.0, valid_until - request.received_at)
            reply = dataclasses.replace(reply, validity=validity)
            self.tracker.record_grant(watch, reply.revision, valid_until)
        request.future.set_result(reply)

    def make_reply(self, revision):
        """Return the reply to polls with a revision, and its deadline."""
        with self.view.lock:
            current = self.view.revision
            valid_until = self.view.valid_until
            changes = self.view.history.get_after(revision)
        if changes is None:
            return configmessages.ConfigReply(
                current, (), b'', 0.0
            ), valid_until
        sent = limit_changes(changes)
        if len(sent) < len(changes):
            current = revision + len(sent)
            return configmessages.ConfigReply(
                current, sent, None, 0.0
            ), valid_until
        validity = 1.0 if self.view.is_valid(clock.monotonic()) else 0.0
        return configmessages.ConfigReply(
            current, sent, None, validity
        ), valid_until

    def handle_fetch(self, sender_id, fetch):
        """Return a part of the encoded configuration."""
        snapshot = self.get_snapshot(fetch.revision)
        offset = fetch.offset if fetch.revision == snapshot.revision else 0
        data = snapshot.data[offset : offset + PART_BYTES]
        return configmessages.ConfigPart(
            snapshot.revision, offset, len(snapshot.data), data
        )

    def get_snapshot(self, revision):
        """Return the snapshot of a revision, or the one to fetch instead.

        A snapshot is kept while hosts fetch it. Otherwise continuous changes
        could prevent a host from ever completing its first fetch. A new fetch
        uses a kept snapshot only if the history still covers the changes made
        since.
        """
        now = clock.monotonic()
        with self.lock:
            snapshot = self.snapshot
            if snapshot is None or (
                snapshot.revision != revision
                and self.is_outdated(snapshot, now)
            ):
                config = self.view.snapshot
                data = model.ENCODER.encode(index.to_document(config))
                snapshot = Snapshot(config.revision, data, 0.0)
            self.snapshot = dataclasses.replace(
                snapshot, keep_until=now + SNAPSHOT_RETENTION_SECONDS
            )
            return self.snapshot

    def drop_snapshot(self, now):
        """Release a snapshot that is no longer fetched."""
        with self.lock:
            if self.snapshot and self.snapshot.keep_until < now:
                self.snapshot = None

    def is_outdated(self, snapshot, now):
        """Return whether a new fetch must not use a snapshot."""
        with self.view.lock:
            changes = self.view.history.get_after(snapshot.revision)
        return changes is None or snapshot.keep_until < now

    def answer_queries(self, now):
        """Answer the queries whose revision is in effect or that time out.

        All queries are answered if this host does not lead.
        """
        if not self.queries or now < self.next_queries_at:
            return
        with self.lock:
            queries, self.queries = self.queries, []
        waiting = []
        for request in queries:
            reply = self.make_effect_reply(request, now)
            in_effect = reply.known and not reply.pending
            if (
                in_effect
                or now >= request.reply_by
                or not self.is_leading(now)
            ):
                request.future.set_result(reply)
            else:
                waiting.append(request)
        with self.lock:
            self.queries.extend(waiting)
        ended = clock.monotonic()
        self.next_queries_at = ended + (ended - now) * QUERY_PAUSE_FACTOR

    def is_leading(self, now):
        """Return whether this host is leader according to its own state."""
        if self.store is None:
            return False
        return self.store.get_leader_since(now) is not None

    def make_effect_reply(self, request, now):
        """Return where a revision is not in effect yet.

        The leadership must have been confirmed after the query was received,
        since a deposed leader does not know the hosts that poll its
        successor.
        """
        query = request.message
        if (
            not self.is_leading(now)
            or self.store.confirmed_at < request.received_at
            or self.view.revision < query.revision
        ):
            return configmessages.EffectReply(False, ())
        leader_since = self.store.leader_since
        grace = effect.get_key_grace(self.view.snapshot, query.account_id)
        pending = self.tracker.find_pending(query.revision, grace, now)
        former_seconds = (
            leader_since + store_module.FORMER_GRANT_SECONDS + grace - now
        )
        if former_seconds > 0:
            pending += self.find_unreported(query.revision, former_seconds)
        return configmessages.EffectReply(True, pending)

    def find_unreported(self, revision, seconds):
        """Return the hosts that may still use grants of a former leader.

        These are the hosts that have not reported the revision or a later
        one.
        """
        if self.expected_hosts is None:
            return (configmessages.PendingHost('', seconds),)
        reported = self.tracker.get_revisions()
        return tuple(
            configmessages.PendingHost(host_id, seconds)
            for host_id in sorted(self.expected_hosts())
            if reported.get(host_id, -1) < revision
        )

    def close(self):
        """Stop the thread. Waiting hosts then switch to another upstream."""
        self.closed = True
        self.wake.set()


def limit_changes(changes):
    """Return the first changes that fit into one reply, at least one."""
    size = 0
    for count, change in enumerate(changes):
        size += len(change)
        if size > MAX_REPLY_BYTES and count:
            return changes[:count]
    return changes
