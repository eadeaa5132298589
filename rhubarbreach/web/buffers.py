"""Sizes of the socket buffers of a process.

Bytes that have arrived count as memory of the machine before they are read,
and so do bytes that the peer has not read. The kernel lets the buffers of one
socket grow to megabytes, and thousands of sockets may be filled at a time.
"""

import contextlib
import socket
import threading

from rhubarbreach import clock
from rhubarbreach import eventlog

__all__ = ['SIZES', 'SocketBuffers', 'UNLIMITED', 'set_size']

LOG = eventlog.Logger('web')

# Sizes of a buffer, the largest first. The kernel takes twice as much. A
# caller 3 ms away sends 10 MB/s through the largest, 0.6 MB/s through the
# smallest.
SIZES = (32 * 1024, 8 * 1024, 2 * 1024)
# Buffers of a socket, and the factor of the kernel.
COST_FACTOR = 2 * 2
# Part of the memory for the sockets of each size but the smallest, which has
# no bound: the number of sockets is bounded elsewhere.
PART_OF_SIZE = 1 / 8
# Interval of the log event on sockets with small buffers.
LOG_SECONDS = 1.0


def set_size(connection, size):
    """Set the size of both buffers of a socket, or of those it accepts.

    Parameters
    ----------
    connection : socket.socket
        Socket.
    size : int or None
        Bytes; one of `SIZES`, or None for that of the kernel.
    """
    if size is None:
        return
    for option in (socket.SO_RCVBUF, socket.SO_SNDBUF):
        with contextlib.suppress(OSError):
            connection.setsockopt(socket.SOL_SOCKET, option, size)


class SocketBuffers:
    """Buffers of the sockets of a process.

    The first sockets get large buffers and are as fast as the network. A crowd
    gets smaller ones, in which it cannot store many bytes.

    Parameters
    ----------
    max_bytes : float or None
        Memory of all buffers; None if the kernel chooses their sizes.
    metrics : Metrics, optional
        Counts the sockets that did not get the largest size.
    """

    def __init__(self, max_bytes, metrics=None):
        self.metrics = metrics
        self.lock = threading.Lock()
        sizes = (None,)
        self.limits = {}
        if max_bytes is not None:
            sizes = SIZES
            part = max_bytes * PART_OF_SIZE
            self.limits = {
                size: part // (COST_FACTOR * size) for size in SIZES
            }
        self.limits[sizes[-1]] = float('inf')
        self.largest = sizes[0]
        self.counts = dict.fromkeys(sizes, 0)
        self.log_due = 0.0

    @property
    def next_size(self):
        """Size of the buffers of the next socket."""
        return next(
            size
            for size, limit in self.limits.items()
            if self.counts[size] < limit
        )

    def take(self):
        """Return the size for a new socket, which has to be released."""
        with self.lock:
            size = self.next_size
            self.counts[size] += 1
        if size != self.largest:
            self.report(clock.monotonic())
        return size

    def release(self, size):
        """Return the size of a socket that is closed."""
        with self.lock:
            self.counts[size] -= 1

    def report(self, now):
        """Count a socket with small buffers, and log at a bounded rate."""
        if self.metrics is not None:
            self.metrics.count('socket_buffers_reduced_total')
        if now < self.log_due:
            return
        self.log_due = now + LOG_SECONDS
        LOG.warning(
            'event=socket_buffers_reduced sockets={}',
            sum(self.counts.values()),
        )


# For processes whose memory is not limited.
UNLIMITED = SocketBuffers(None)
