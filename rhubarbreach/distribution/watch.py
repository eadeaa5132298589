"""Task that keeps the configuration view of a host up to date."""

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
    'HOLD',
    'RENEW_PERIOD',
    'Watcher',
    'WatcherSettings',
    'order_upstreams',
]

LOG = logbook.Logger('distribution')

# Two upstreams may fail in a row within CONFIG_VALIDITY: a poll that is held
# fails after HOLD + REPLY_MARGIN, the next ones after REPLY_MARGIN.
HOLD = 0.6
REPLY_MARGIN = 0.3
RENEW_PERIOD = 0.5
RETRY_PAUSE = 0.05
FETCH_TIMEOUT = 2.0

DOCUMENT_DECODER = msgspec.msgpack.Decoder(model.Config)


@dataclasses.dataclass(frozen=True, slots=True)
class WatcherSettings:
    """Identity of the polling process.

    Parameters
    ----------
    host_id : str
        Id of this host.
    incarnation : int
        Number that differs for each start of the process.
    """

    host_id: str
    incarnation: int


def order_upstreams(host_id, candidates):
    """Return upstreams in an order that differs between hosts.

    Parameters
    ----------
    host_id : str
        Host that polls.
    candidates : iterable of str
        Hosts of equal preference, such as the relays of a zone.

    Returns
    -------
    tuple of str
        Ordered by rendezvous hash, so that each candidate gets its share of
        the hosts, also of those that lost another one.
    """
    return tuple(
        sorted(
            candidates,
            key=lambda one: hashlib.blake2b(
                f'{host_id} {one}'.encode()
            ).digest(),
        )
    )


class Watcher:
    """Polls an upstream, or confirms the leader's own view.

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
    tracker : Tracker
        Hosts that poll this one; reported to the upstream.
    store : LocalStore, optional
        Configuration group, on a store host.
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
        self.settled = False
        self.polls_sent = 0
        self.closed = threading.Event()
        self.wake = store.wake if store else threading.Event()
        self.thread = threading.Thread(
            target=self.run, name='config-watch', daemon=True
        )

    def start(self):
        """Start the task."""
        self.thread.start()

    def run(self):
        """Poll until the watcher is closed."""
        while not self.closed.is_set():
            try:
                pause = self.step()
            except Exception:
                LOG.exception('event=config_watch_failed')
                pause = RETRY_PAUSE
            if pause:
                self.wake.wait(pause)
                self.wake.clear()

    def step(self):
        """Renew once; return the seconds to wait before the next time."""
        now = clock.monotonic()
        if self.store and self.store.find_leadership(now) is not None:
            renewed = self.store.renew(now)
            return RENEW_PERIOD if renewed else RETRY_PAUSE
        upstreams = [
            host_id
            for host_id in self.get_upstreams()
            if host_id != self.settings.host_id
        ]
        if not upstreams:
            return RETRY_PAUSE
        if self.upstream not in upstreams:
            self.upstream = upstreams[0]
            self.settled = False
        if self.poll(self.upstream):
            return 0.0
        return self.turn_away(upstreams)

    def turn_away(self, upstreams):
        """Choose the next upstream; pause after each round of failures."""
        place = upstreams.index(self.upstream) + 1
        self.upstream = upstreams[place % len(upstreams)]
        self.settled = False
        self.failures += 1
        return RETRY_PAUSE if self.failures % len(upstreams) == 0 else 0.0

    def poll(self, upstream):
        """Send one poll and apply its reply.

        Parameters
        ----------
        upstream : str
            Host to poll.

        Returns
        -------
        bool
            Whether the upstream is to be polled again.
        """
        hold = HOLD if self.settled else 0.0
        sent_at = clock.monotonic()
        watch = self.make_watch(hold, sent_at)
        reply = self.call(upstream, watch, sent_at + hold + REPLY_MARGIN)
        if not isinstance(reply, configmessages.ConfigReply):
            return False
        outcome = self.view.accept_reply(watch.revision, sent_at, reply)
        self.settled = outcome == view_module.Outcome.RENEWED
        if outcome == view_module.Outcome.FETCH:
            return self.fetch(upstream)
        return outcome != view_module.Outcome.STALE

    def make_watch(self, hold, now):
        """Return the poll, with the state of the hosts below this one."""
        config = self.view.snapshot
        extra = effect.get_longest_extra(config)
        self.polls_sent += 1
        return configmessages.ConfigWatch(
            self.settings.host_id,
            self.settings.incarnation,
            config.revision,
            hold,
            self.tracker.count_downstream(extra, now),
            self.tracker.report_below(extra, now),
        )

    def call(self, upstream, message, deadline):
        """Return the reply to a call, or a refusal."""
        future = self.link.call(upstream, message, deadline)
        try:
            return future.result(clock.remaining(deadline, clock.monotonic()))
        except concurrent.futures.TimeoutError:
            return codes.Refusal(
                codes.ResultCode.UNAVAILABLE,
                f'no reply of {upstream}',
                codes.Ran.UNKNOWN,
            )

    def fetch(self, upstream):
        """Get the whole configuration in parts.

        Returns
        -------
        bool
            Whether it was complete, well formed and newer.
        """
        revision, data = 0, b''
        while not self.closed.is_set():
            deadline = clock.monotonic() + FETCH_TIMEOUT
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
                return self.adopt(data)
        return False

    def adopt(self, data):
        """Replace the view by an encoded document."""
        try:
            document = DOCUMENT_DECODER.decode(data)
        except msgspec.DecodeError as error:
            LOG.error('event=snapshot_malformed reason={!r}', str(error))
            return False
        return self.view.adopt(index.from_document(document), None)

    def close(self):
        """Stop the task."""
        self.closed.set()
        self.wake.set()
