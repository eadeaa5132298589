"""Bound on the bytes that the messages of a process hold together.

A limit for each message does not bound a process that handles many. What does
not fit is ended: a request that is still being read is refused, and of the
responses the largest is broken off, since one that does not end outgrows the
others.
"""

import threading

from rhubarbreach.web import errors

__all__ = ['Holding', 'MemoryPool', 'UNBOUNDED']

# Smaller messages are not counted. Most are, and their number is bounded by
# that of the connections.
MIN_COUNTED_BYTES = 16 * 1024
SERVICE_UNAVAILABLE = 503


class MemoryPool:
    """Bytes of the messages in progress.

    Parameters
    ----------
    max_bytes : float
        Limit of all messages together.
    """

    def __init__(self, max_bytes):
        self.max_bytes = max_bytes
        self.lock = threading.Lock()
        self.used_bytes = 0
        self.holdings = set()

    def open(self, end=None):
        """Return the holding of a message.

        Parameters
        ----------
        end : callable, optional
            Ends the message without blocking, so that another one that grows
            has space. Without it the message ends only if it grows itself.
        """
        return Holding(self, end)

    def find_largest(self):
        """Return the largest holding that can be ended, None without one."""
        return max(
            (h for h in self.holdings if h.end is not None),
            key=lambda holding: holding.size,
            default=None,
        )


class Holding:
    """Bytes that one message holds.

    `is_ended` is whether the message was ended to free its bytes.
    """

    def __init__(self, pool, end):
        self.pool = pool
        self.end = end
        self.size = 0
        self.is_ended = False

    def resize(self, size):
        """Set the size of the message.

        Raises
        ------
        BadMessageError
            If the message has to end, as the messages of the process exceed
            their limit together.
        """
        if size < MIN_COUNTED_BYTES:
            size = 0
        if size == self.size and not self.is_ended:
            return
        with self.pool.lock:
            victim = self if self.is_ended else self.change(size)
            if victim is not None:
                victim.is_ended = True
                victim.release()
        if victim is self:
            raise errors.BadMessageError(
                f'messages exceed {self.pool.max_bytes:.0f} bytes together',
                SERVICE_UNAVAILABLE,
            )
        if victim is not None:
            victim.end()

    def change(self, size):
        """Set the size; return the holding that has to end, if any."""
        pool = self.pool
        pool.used_bytes += size - self.size
        self.size = size
        if size:
            pool.holdings.add(self)
        else:
            pool.holdings.discard(self)
        if pool.used_bytes <= pool.max_bytes:
            return None
        return pool.find_largest() or self

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


# For processes whose memory is not limited.
UNBOUNDED = MemoryPool(float('inf'))
