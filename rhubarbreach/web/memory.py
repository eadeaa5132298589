"""Bound on the bytes that the messages of a process hold together.

A limit for each message does not bound a process that handles many. What does
not fit is ended: the message that has held most bytes for longest without
coming to its end. An ordinary request is small and short, and is ended last.
"""

import collections
import threading

from rhubarbreach import clock
from rhubarbreach import eventlog
from rhubarbreach.web import buffers as socket_buffers
from rhubarbreach.web import errors

__all__ = ['Holding', 'MemoryPool', 'UNBOUNDED', 'make_pool']

LOG = eventlog.Logger('web')

SERVICE_UNAVAILABLE = 503
# Age that is added to that of each message, so that of two which have just
# begun the larger one is ended.
BASE_AGE_SECONDS = 1.0
# Threads that read large requests at the same time. The others wait.
LARGE_TURNS = 2
# Interval of the log event on ended messages.
LOG_SECONDS = 1.0


class MemoryPool:
    """Bytes of the messages in progress.

    Parameters
    ----------
    max_bytes : float
        Limit of all messages together.
    metrics : Metrics, optional
        Counts the messages that were ended.
    buffers : SocketBuffers, optional
        Bounds the bytes of messages in the sockets.
    min_bytes : float, optional
        Limit that stays whatever else takes memory.
    find_share : callable, optional
        Returns the part of the limits that the rest of the process leaves,
        from 0 to 1.
    """

    def __init__(
        self,
        max_bytes,
        metrics=None,
        buffers=socket_buffers.UNLIMITED,
        min_bytes=0.0,
        find_share=None,
    ):
        self.max_bytes = max_bytes
        self.min_bytes = min_bytes
        self.find_share = find_share
        self.buffers = buffers
        self.metrics = metrics
        self.lock = threading.Lock()
        # Held while received bytes are parsed, so that only one thread at a
        # time has bytes that are not counted yet, and that another thread can
        # drop those of a message which ends.
        self.parse_lock = threading.RLock()
        # Held for each read of a large request. Beside a thousand threads that
        # read bodies, an ordinary request was not answered within a minute.
        self.large_turns = threading.Semaphore(LARGE_TURNS)
        self.used_bytes = 0
        self.holdings = set()
        self.log_due = 0.0
        self.unlogged = collections.Counter()

    @property
    def share(self):
        """Part of the limits that the rest of the process leaves."""
        return 1.0 if self.find_share is None else self.find_share()

    @property
    def limit(self):
        """Bytes that all messages may hold now."""
        return max(self.min_bytes, self.max_bytes * self.share)

    def open(self, end=None, kind='message'):
        """Return the holding of a message.

        Parameters
        ----------
        end : callable, optional
            Ends the message without blocking, so that another one that grows
            has space. Without it the message ends only if it grows itself.
        kind : str, optional
            Kind of the message, for the metric and the log.
        """
        return Holding(self, end, kind)

    def find_victim(self, now):
        """Return the message to end for another one, None without one.

        Parameters
        ----------
        now : float
            Seconds of the monotonic clock.
        """
        return max(
            (h for h in self.holdings if h.end is not None and not h.is_kept),
            key=lambda holding: (
                holding.size * (now - holding.since + BASE_AGE_SECONDS)
            ),
            default=None,
        )

    def report(self, holding, now):
        """Count a message that was ended, and log at a bounded rate."""
        if self.metrics is not None:
            self.metrics.count('messages_ended_total', kind=holding.kind)
        with self.lock:
            self.unlogged[holding.kind] += 1
            if now < self.log_due:
                return
            self.log_due = now + LOG_SECONDS
            counts, self.unlogged = self.unlogged, collections.Counter()
        LOG.warning(
            'event=messages_ended_for_memory kinds={} used_bytes={} '
            'max_bytes={:.0f}',
            ','.join(f'{kind}:{count}' for kind, count in counts.items()),
            self.used_bytes,
            self.limit,
        )


class Holding:
    """Bytes that one message holds.

    `is_ended` is whether the message was ended to free its bytes. While
    `is_kept` is true, it is ended only if it grows itself.
    """

    def __init__(self, pool, end, kind):
        self.pool = pool
        self.end = end
        self.kind = kind
        self.size = 0
        # When it began to hold bytes, in seconds of the monotonic clock.
        self.since = 0.0
        self.is_kept = False
        self.is_ended = False

    def resize(self, size):
        """Set the size of the message.

        Raises
        ------
        BadMessageError
            If the message has to end, as the messages of the process exceed
            their limit together.
        """
        if size == self.size and not self.is_ended:
            return
        now = clock.monotonic()
        with self.pool.lock:
            victims = [] if self.is_ended else self.change(size, now)
        for victim in victims:
            if victim is not self:
                victim.end()
            self.pool.report(victim, now)
        if self.is_ended:
            raise errors.BadMessageError(
                f'messages exceed {self.pool.limit:.0f} bytes together',
                SERVICE_UNAVAILABLE,
            )

    def change(self, size, now):
        """Set the size; return the holdings that have to end.

        The caller holds the lock of the pool.
        """
        pool = self.pool
        if not self.size:
            self.since = now
        pool.used_bytes += size - self.size
        self.size = size
        if size:
            pool.holdings.add(self)
        else:
            pool.holdings.discard(self)
        victims = []
        while pool.used_bytes > pool.limit and not self.is_ended:
            victim = pool.find_victim(now) or self
            victim.is_ended = True
            victim.release()
            victims.append(victim)
        return victims

    def keep(self):
        """Keep the message, which is complete, from being ended for others.

        Raises
        ------
        BadMessageError
            If it was ended before.
        """
        with self.pool.lock:
            self.is_kept = True
        if self.is_ended:
            self.resize(0)

    def abandon(self):
        """End the message unless it is kept; return whether it ends."""
        with self.pool.lock:
            if self.is_kept or self.is_ended:
                return False
            self.is_ended = True
            self.release()
            return True

    def reopen(self):
        """Let the message be ended for others again, with a new age."""
        with self.pool.lock:
            self.is_kept = False
            self.since = clock.monotonic()

    def release(self):
        """Return the bytes to the pool, whose lock the caller holds."""
        self.pool.used_bytes -= self.size
        self.size = 0
        self.pool.holdings.discard(self)

    def close(self):
        """Return the bytes to the pool."""
        if self.size:
            with self.pool.lock:
                self.release()


def make_pool(settings, metrics, min_bytes=0.0, find_share=None):
    """Return the pool of a host.

    Parameters
    ----------
    settings : RoleSettings
        Settings of the host.
    metrics : Metrics
        Counts what was ended or reduced.
    min_bytes, find_share : optional
        See `MemoryPool`.
    """
    return MemoryPool(
        settings.message_bytes,
        metrics,
        socket_buffers.SocketBuffers(settings.socket_bytes, metrics),
        min_bytes,
        find_share,
    )


# For processes whose memory is not limited.
UNBOUNDED = MemoryPool(float('inf'))
