"""Thread that keeps the configuration view of a host up to date."""

import concurrent.futures
import dataclasses
import hashlib
import threading

import logbook
import msgspec

from rhubarbreach import clock
from rhubarbreach import codes
from rhubarbreach.distribution import effect
from rhubarbreach.distribution import view as view_module
from rhubarbreach.protocol import configmessages
from rhubarbreach.state import index
from rhubarbreach.state import model

__all__ = [
    'HOLD_SECONDS',
    'RENEW_PERIOD_SECONDS',
    'Watcher',
    'WatcherSettings',
    'order_upstreams',
]

LOG = logbook.Logger('distribution')

# Two upstreams in a row may fail within CONFIG_VALIDITY_SECONDS. A held poll
# fails after HOLD_SECONDS + REPLY_MARGIN_SECONDS, the next polls fail after
# REPLY_MARGIN_SECONDS.
HOLD_SECONDS = 0.6
REPLY_MARGIN_SECONDS = 0.3
RENEW_PERIOD_SECONDS = 0.5
RETRY_PAUSE_SECONDS = 0.05
FETCH_TIMEOUT_SECONDS = 2.0

DOCUMENT_DECODER = msgspec.msgpack.Decoder(model.Config)


@dataclasses.dataclass(frozen=True, slots=True)
class WatcherSettings:
    """Identity of the polling process.

    Parameters
    ----------
    host_id : str
        Id of this host.
    incarnation : int
        Number that differs between starts of the process.
    """

    host_id: str
    incarnation: int


def order_upstreams(host_id, candidates):
    """Return upstreams in an order that differs between hosts.

    Parameters
    ----------
    host_id : str
        Polling host.
    candidates : iterable of str
        Hosts of equal preference, such as the relays of a zone.

    Returns
    -------
    tuple of str
        Candidates ordered by rendezvous hash. This order spreads the polling
        hosts evenly over the candidates, also those hosts that lost their
        first choice.
    """
    return tuple(
        sorted(
            candidates,
            key=lambda candidate: hashlib.blake2b(
                f'{host_id} {candidate}'.encode()
            ).digest(),
        )
    )


class Watcher:
    """Thread that polls an upstream, or renews the view of the leader.

    Parameters
    ----------
    settings : WatcherSettings
        Identity of this process.
    link : Link
        Link of this host.
    view : ConfigView
        View to keep up to date.
    get_upstreams : callable
        Returns the host ids to poll, the preferred one first. Not used on a
        store host, which polls its leader.
    tracker : RevisionTracker
        State of the hosts that poll this one, reported to the upstream.
    store : LocalStore, optional
        Configuration group. Only on a store host.
    """

    def __init__(
        self, settings, link, view, get_upstreams, tracker, store=None
    ):
        self.settings = settings
        self.link = link
        self.view = view
        self.tracker = tracker
        self.store = store
        self.get_upstreams = store.get_upstreams if store else get_upstreams
        self.upstream = ''
        self.failures = 0
        self.in_sync = False
        self.polls_sent = 0
        self.closed = threading.Event()
        self.wake = store.wake if store else threading.Event()
        self.thread = threading.Thread(
            target=self.run, name='config-watch', daemon=True
        )

    def start(self):
        """Start the thread."""
        self.thread.start()

    def run(self):
        """Poll until closed."""
        while not self.closed.is_set():
            try:
                pause = self.step()
            except Exception:
                LOG.exception('event=config_watch_failed')
                pause = RETRY_PAUSE_SECONDS
            if pause:
                self.wake.wait(pause)
                self.wake.clear()

    def step(self):
        """Renew the view once and return the seconds until the next step.

        The leader renews its own view, all other hosts poll.
        """
        now = clock.monotonic()
        if self.store and self.store.get_leader_since(now) is not None:
            renewed = self.store.renew(now)
            return RENEW_PERIOD_SECONDS if renewed else RETRY_PAUSE_SECONDS
        upstreams = [
            host_id
            for host_id in self.get_upstreams()
            if host_id != self.settings.host_id
        ]
        if not upstreams:
            return RETRY_PAUSE_SECONDS
        if self.upstream not in upstreams:
            self.upstream = upstreams[0]
            self.in_sync = False
        if self.poll(self.upstream):
            return 0.0
        return self.switch_upstream(upstreams)

    def switch_upstream(self, upstreams):
        """Select the next upstream and return the pause before its poll.

        The pause is in seconds. It is 0 unless all upstreams have failed in
        turn.
        """
        position = upstreams.index(self.upstream) + 1
        self.upstream = upstreams[position % len(upstreams)]
        self.in_sync = False
        self.failures += 1
        return (
            RETRY_PAUSE_SECONDS if self.failures % len(upstreams) == 0 else 0.0
        )

    def poll(self, upstream):
        """Send one poll and apply its reply.

        Parameters
        ----------
        upstream : str
            Host to poll.

        Returns
        -------
        bool
            Whether to poll the same upstream again.
        """
        hold = HOLD_SECONDS if self.in_sync else 0.0
        sent_at = clock.monotonic()
        watch = self.make_watch(hold, sent_at)
        reply = self.call(
            upstream, watch, sent_at + hold + REPLY_MARGIN_SECONDS
        )
        if not isinstance(reply, configmessages.ConfigReply):
            return False
        outcome = self.view.accept_reply(watch.revision, sent_at, reply)
        self.in_sync = outcome == view_module.Outcome.RENEWED
        if outcome == view_module.Outcome.FETCH:
            return self.fetch_snapshot(upstream)
        return outcome != view_module.Outcome.STALE

    def make_watch(self, hold, now):
        """Return a poll with the state of the downstream hosts."""
        config = self.view.snapshot
        grace = effect.get_longest_key_grace(config)
        self.polls_sent += 1
        return configmessages.ConfigWatch(
            self.settings.host_id,
            self.settings.incarnation,
            config.revision,
            hold,
            self.tracker.count_downstream(grace, now),
            self.tracker.report_downstream(grace, now),
        )

    def call(self, upstream, message, deadline):
        """Return the reply to a call, or a `Refusal`."""
        future = self.link.call(upstream, message, deadline)
        try:
            return future.result(clock.remaining(deadline, clock.monotonic()))
        except concurrent.futures.TimeoutError:
            return codes.Refusal(
                codes.ResultCode.UNAVAILABLE,
                f'no reply before the deadline from host {upstream}',
                codes.Ran.UNKNOWN,
            )

    def fetch_snapshot(self, upstream):
        """Fetch the whole configuration in parts.

        Returns
        -------
        bool
            Whether it is complete, well formed and newer than the view.
        """
        revision, data = 0, b''
        while not self.closed.is_set():
            deadline = clock.monotonic() + FETCH_TIMEOUT_SECONDS
            fetch = configmessages.ConfigFetch(revision, len(data))
            part = self.call(upstream, fetch, deadline)
            if not isinstance(part, configmessages.ConfigPart):
                return False
            if part.revision != revision:
                revision, data = part.revision, b''
            if part.offset != len(data):
                return False
            data += part.data
            if len(data) >= part.total:
                return self.install_snapshot(data)
        return False

    def install_snapshot(self, data):
        """Replace the view by an encoded document.

        Returns
        -------
        bool
            Whether the document is well formed and newer than the view.
        """
        try:
            document = DOCUMENT_DECODER.decode(data)
        except msgspec.DecodeError as error:
            LOG.error('event=snapshot_malformed reason={!r}', str(error))
            return False
        return self.view.replace_snapshot(index.from_document(document), None)

    def close(self):
        """Stop the thread."""
        self.closed.set()
        self.wake.set()
