"""Selector that polls established streams less often under load.

Under load a stream is read only every few milliseconds, so that one system
call returns several tokens. All other sockets, such as those of new requests
and first tokens, are handled immediately.
"""

import os
import select
import threading

import pycurl

from rhubarbreach import clock

__all__ = ['MAX_READ_INTERVAL_SECONDS', 'Selector', 'choose_read_interval']

# Bounds of the time between two reads of a stream. The maximum leaves a third
# of the 60 ms within which each token has to follow the previous one.
MAX_READ_INTERVAL_SECONDS = 0.04
MIN_READ_INTERVAL_SECONDS = 0.01
READ_INTERVAL_FACTOR = 1.4

# The read interval grows while the loop thread is busier than the maximum and
# shrinks while it is less busy than the minimum.
MAX_BUSY_FRACTION = 0.55
MIN_BUSY_FRACTION = 0.35
ADAPT_SECONDS = 0.2

# Most stream events that one call of `poll` returns, so that a round of many
# streams does not delay the other sockets.
MAX_STREAM_EVENTS = 48
MAX_EVENTS = 256

POLL_MASKS = {
    pycurl.POLL_IN: select.EPOLLIN,
    pycurl.POLL_OUT: select.EPOLLOUT,
    pycurl.POLL_INOUT: select.EPOLLIN | select.EPOLLOUT,
}


def choose_read_interval(read_interval, busy_fraction):
    """Return the new time between two reads of a stream.

    Parameters
    ----------
    read_interval : float
        Current time between two reads, in seconds.
    busy_fraction : float
        Fraction of the last period that the loop did not spend waiting.

    Returns
    -------
    float
        Seconds; 0 means that streams are read immediately.
    """
    if busy_fraction > MAX_BUSY_FRACTION:
        return min(
            MAX_READ_INTERVAL_SECONDS,
            max(
                MIN_READ_INTERVAL_SECONDS, read_interval * READ_INTERVAL_FACTOR
            ),
        )
    if busy_fraction < MIN_BUSY_FRACTION:
        shorter = read_interval / READ_INTERVAL_FACTOR
        return shorter if shorter >= MIN_READ_INTERVAL_SECONDS else 0.0
    return read_interval


class Selector:
    """Selector for the sockets of the event loop thread.

    Sockets of established streams are polled in rounds, which begin every
    `read_interval` seconds, or as soon as a stream is ready if that is 0. All
    other sockets are polled in each call.
    """

    def __init__(self):
        self.immediate_epoll = select.epoll()
        self.stream_epoll = select.epoll()
        self.stream_fds = set()
        self.curl_masks = {}
        self.wake_fd = os.eventfd(0, os.EFD_NONBLOCK | os.EFD_CLOEXEC)
        self.immediate_epoll.register(self.wake_fd, select.EPOLLIN)
        self.immediate_epoll.register(
            self.stream_epoll.fileno(), select.EPOLLIN
        )
        self.read_interval = 0.0
        self.next_round_at = 0.0
        self.round_remaining = 0
        self.waited_seconds = 0.0
        self.close_lock = threading.Lock()
        self.closed = False
        self.next_adapt_at = clock.monotonic() + ADAPT_SECONDS

    def register(self, fd, mask):
        """Start polling a socket."""
        self.immediate_epoll.register(fd, mask)

    def modify(self, fd, mask):
        """Change the events polled on a socket."""
        self.get_epoll(fd).modify(fd, mask)

    def unregister(self, fd):
        """Stop polling a socket."""
        self.get_epoll(fd).unregister(fd)
        self.stream_fds.discard(fd)

    def get_epoll(self, fd):
        """Return the epoll object that a socket is registered with."""
        return (
            self.stream_epoll
            if fd in self.stream_fds
            else self.immediate_epoll
        )

    def handle_curl_socket(self, what, fd, _multi, _data):
        """Poll a socket as requested by libcurl (its socket callback)."""
        is_registered = fd in self.curl_masks
        if what == pycurl.POLL_REMOVE:
            if is_registered:
                del self.curl_masks[fd]
                self.unregister(fd)
            return
        mask = POLL_MASKS.get(what, 0)
        if not is_registered:
            self.register(fd, mask)
        elif self.curl_masks[fd] != mask:
            self.modify(fd, mask)
        self.curl_masks[fd] = mask

    def mark_stream(self, fd):
        """Poll a socket of libcurl as an established stream."""
        if fd in self.curl_masks and fd not in self.stream_fds:
            self.immediate_epoll.unregister(fd)
            self.stream_epoll.register(fd, self.curl_masks[fd])
            self.stream_fds.add(fd)

    def wake(self):
        """Interrupt `poll`; may be called from any thread.

        The event loop thread may close the selector at the same time. Without
        the lock, the write could reach another file that reuses the
        descriptor.
        """
        with self.close_lock:
            if not self.closed:
                os.eventfd_write(self.wake_fd, 1)

    def poll(self, until):
        """Wait until sockets are ready or a deadline has passed.

        Parameters
        ----------
        until : float
            Monotonic seconds.

        Returns
        -------
        list of (int, int)
            Descriptors and event masks. If many streams are ready, the rest
            of their round is returned by the next calls.
        """
        if self.read_interval and self.stream_fds:
            until = min(until, self.next_round_at)
        began = clock.monotonic()
        timeout = 0.0 if self.round_remaining else max(0.0, until - began)
        events = self.immediate_epoll.poll(timeout, MAX_EVENTS)
        now = clock.monotonic()
        self.waited_seconds += now - began
        stream_epoll_ready = False
        for position, (fd, _) in enumerate(events):
            if fd == self.stream_epoll.fileno():
                stream_epoll_ready = True
                del events[position]
                break
        if self.round_remaining:
            events += self.poll_streams()
        elif stream_epoll_ready or (
            self.read_interval and now >= self.next_round_at
        ):
            self.next_round_at = now + self.read_interval
            self.round_remaining = len(self.stream_fds)
            events += self.poll_streams()
        if now >= self.next_adapt_at:
            self.adapt_read_interval(now)
        return events

    def poll_streams(self):
        """Return the events of the next streams of the current round."""
        size = min(MAX_STREAM_EVENTS, self.round_remaining)
        if not size:
            return []
        events = self.stream_epoll.poll(0, size)
        self.round_remaining = (
            self.round_remaining - size if len(events) == size else 0
        )
        return events

    def adapt_read_interval(self, now):
        """Adapt the read interval to the busy fraction of the last period."""
        period = now - self.next_adapt_at + ADAPT_SECONDS
        previous = self.read_interval
        self.read_interval = choose_read_interval(
            previous, 1 - self.waited_seconds / period
        )
        self.waited_seconds = 0.0
        self.next_adapt_at = now + ADAPT_SECONDS
        if bool(previous) != bool(self.read_interval):
            mask = 0 if self.read_interval else select.EPOLLIN
            self.immediate_epoll.modify(self.stream_epoll.fileno(), mask)

    def close(self):
        """Close the file descriptors."""
        self.immediate_epoll.close()
        self.stream_epoll.close()
        with self.close_lock:
            self.closed = True
            os.close(self.wake_fd)
