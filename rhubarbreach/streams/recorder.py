"""Recorder of an entry host for the origins of streams."""

import concurrent.futures
import threading
import time

from rhubarbreach import clock
from rhubarbreach import codes
from rhubarbreach import eventlog
from rhubarbreach.protocol import streammessages
from rhubarbreach import rendezvous
from rhubarbreach.streams import table

__all__ = ['OriginRecorder']

LOG = eventlog.Logger('streams')

# Stores that keep each origin, so that it outlives the loss of two of them.
COPIES = 3
# Shortest time between two messages to a store. An origin is sent at once if
# none was sent in this time, and reaches the stores before the first event.
SEND_INTERVAL_SECONDS = 0.02
# A store answers within some milliseconds, unless it is lost.
QUERY_TIMEOUT_SECONDS = 0.3


class OriginRecorder:
    """Origins of the streams of an entry host, kept at the stores.

    Parameters
    ----------
    link : Link
        Link to the stores.
    list_stores : callable
        Returns the host ids of the stores.
    """

    def __init__(self, link, list_stores):
        self.link = link
        self.list_stores = list_stores
        self.table = table.OriginTable()
        self.lock = threading.Lock()
        self.pending = {}
        self.changed = threading.Event()
        self.closed = False
        self.thread = threading.Thread(
            target=self.run, name='origins', daemon=True
        )
        self.thread.start()
        link.register(
            streammessages.OriginsQuery, self.send_origins, inline=True
        )

    def record(self, stream_id, origin, lifetime):
        """Record the origin of a stream before its first event.

        Parameters
        ----------
        stream_id : bytes
            Id of the stream.
        origin : Origin
            Service and software version of its endpoint.
        lifetime : float
            Seconds in which the caller may take the stream up.
        """
        lifetime = min(lifetime, table.MAX_STREAM_SECONDS)
        now = clock.monotonic()
        self.table.add(stream_id, origin, now + lifetime, now)
        with self.lock:
            self.pending[stream_id] = (origin, lifetime)
        self.changed.set()

    def find(self, stream_id, services):
        """Return the origin of a stream that a caller takes up.

        Parameters
        ----------
        stream_id : bytes
            Id of the stream; empty if the caller names none.
        services : tuple of str
            Services that may have begun it.

        Returns
        -------
        Origin or None
            None if the origin is unknown. Its service is None if only the
            software version is certain, as no other one was in service.
        """
        origin = self.table.find(stream_id, clock.monotonic())
        if origin is not None:
            return origin
        query = streammessages.OriginQuery(stream_id, tuple(services))
        deadline = clock.monotonic() + QUERY_TIMEOUT_SECONDS
        calls = [
            self.link.call(store, query, deadline)
            for store in self.list_responsive_stores()
        ]
        # A store that missed the last attempt may be the first one to reply.
        replies = list(iterate_replies(calls, deadline))
        known = [reply for reply in replies if reply.service is not None]
        if known:
            reply = max(known, key=lambda reply: reply.revision)
            return table.Origin(
                reply.service, reply.software_version, reply.revision
            )
        versions = next((r.versions for r in replies if r.is_leader), ())
        if len(versions) == 1:
            return table.Origin(None, versions[0])
        return None

    def run(self):
        """Send the recorded origins until closed."""
        while not self.closed:
            self.changed.wait()
            self.changed.clear()
            try:
                self.send_pending()
            except Exception:
                LOG.exception('event=origins_not_sent')
            time.sleep(SEND_INTERVAL_SECONDS)

    def send_pending(self):
        """Send the origins recorded since the last call to some stores."""
        with self.lock:
            pending, self.pending = self.pending, {}
        if not pending:
            return
        message = streammessages.OriginNews(
            tuple(
                (
                    stream_id,
                    origin.service,
                    origin.software_version,
                    origin.revision,
                    lifetime,
                )
                for stream_id, (origin, lifetime) in pending.items()
            )
        )
        for store in self.choose_stores():
            self.link.send(store, message)

    def send_origins(self, sender_id, _):
        """Send the recorded origins to a store that has started since."""
        for message in streammessages.split_news(
            self.table.list_rows(clock.monotonic())
        ):
            self.link.send(sender_id, message)

    def choose_stores(self):
        """Return the stores that keep the origins of this host."""
        return rendezvous.rank_hosts(
            self.link.host_id, self.list_responsive_stores(), COPIES
        )

    def list_responsive_stores(self):
        """Return the stores that answer, or all if none does."""
        stores = self.list_stores()
        return [s for s in stores if not self.link.is_silent(s)] or stores

    def close(self):
        """Stop sending."""
        self.closed = True
        self.changed.set()


def iterate_replies(calls, deadline):
    """Yield the replies to calls as they arrive, until a deadline."""
    pending = set(calls)
    while pending:
        done, pending = concurrent.futures.wait(
            pending,
            clock.remaining(deadline, clock.monotonic()),
            concurrent.futures.FIRST_COMPLETED,
        )
        if not done:
            return
        for call in done:
            reply = call.result()
            if not isinstance(reply, codes.Refusal):
                yield reply
