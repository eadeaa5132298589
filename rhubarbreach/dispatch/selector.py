"""Selector with two classes of sockets: prompt ones and steady streams.

Under load a steady stream is read only every few milliseconds, so that
several tokens cost one system call. Everything else, such as new requests
and first tokens, is handled at once.
"""

import os
import select
import threading

import pycurl

from rhubarbreach import clock

__all__ = ['MAX_PACE', 'Selector', 'choose_pace']

# Longest time between two reads of a stream, in seconds. It leaves a third
# of the 60 ms within which a token has to follow the one before.
MAX_PACE = 0.04
MIN_PACE = 0.01
PACE_STEP = 1.4

# The pace is lengthened above the one busy fraction of the loop thread and
# shortened below the other.
BUSY_HIGH = 0.55
BUSY_LOW = 0.35
ADAPT_SECONDS = 0.2

# Streams handled between two looks at the prompt sockets.
SLICE_EVENTS = 48
MAX_EVENTS = 256

POLL_MASKS = {
    pycurl.POLL_IN: select.EPOLLIN,
    pycurl.POLL_OUT: select.EPOLLOUT,
    pycurl.POLL_INOUT: select.EPOLLIN | select.EPOLLOUT,
}


def choose_pace(pace, busy):
    """Return the time between two reads of a stream.

    Parameters
    ----------
    pace : float
        Time in force, in seconds.
    busy : float
        Fraction of the last period in which the loop did not wait.

    Returns
    -------
    float
        Seconds; 0 reads streams at once.
    """
    if busy > BUSY_HIGH:
        return min(MAX_PACE, max(MIN_PACE, pace * PACE_STEP))
    if busy < BUSY_LOW:
        shorter = pace / PACE_STEP
        return shorter if shorter >= MIN_PACE else 0.0
    return pace


class Selector:
    """Waits for sockets on behalf of the event loop thread."""

    def __init__(self):
        self.prompt = select.epoll()
        self.steady = select.epoll()
        self.steady_fds = set()
        self.curl_masks = {}
        self.wake_fd = os.eventfd(0, os.EFD_NONBLOCK | os.EFD_CLOEXEC)
        self.prompt.register(self.wake_fd, select.EPOLLIN)
        self.prompt.register(self.steady.fileno(), select.EPOLLIN)
        self.pace = 0.0
        self.round_at = 0.0
        self.round_left = 0
        self.waited = 0.0
        self.close_lock = threading.Lock()
        self.closed = False
        self.adapt_at = clock.monotonic() + ADAPT_SECONDS

    def register(self, fd, mask):
        """Wait for events of a socket."""
        self.prompt.register(fd, mask)

    def modify(self, fd, mask):
        """Change the events that are waited for."""
        self.choose(fd).modify(fd, mask)

    def unregister(self, fd):
        """Stop waiting for a socket."""
        self.choose(fd).unregister(fd)
        self.steady_fds.discard(fd)

    def choose(self, fd):
        """Return the epoll object that has a socket."""
        return self.steady if fd in self.steady_fds else self.prompt

    def handle_curl(self, what, fd, _multi, _data):
        """Wait for a socket as libcurl asks."""
        known = fd in self.curl_masks
        if what == pycurl.POLL_REMOVE:
            if known:
                del self.curl_masks[fd]
                self.unregister(fd)
            return
        mask = POLL_MASKS.get(what, 0)
        if not known:
            self.register(fd, mask)
        elif self.curl_masks[fd] != mask:
            self.modify(fd, mask)
        self.curl_masks[fd] = mask

    def make_steady(self, fd):
        """Treat a socket of libcurl as a stream from now on."""
        if fd in self.curl_masks and fd not in self.steady_fds:
            self.prompt.unregister(fd)
            self.steady.register(fd, self.curl_masks[fd])
            self.steady_fds.add(fd)

    def wake(self):
        """Let `poll` return; called from any thread.

        The thread that polls may close the selector at the same time. The
        descriptor may then belong to another file.
        """
        with self.close_lock:
            if not self.closed:
                os.eventfd_write(self.wake_fd, 1)

    def poll(self, until):
        """Wait until sockets are ready or a time has come.

        Parameters
        ----------
        until : float
            Monotonic seconds.

        Returns
        -------
        list of (int, int)
            Descriptors and event masks, in slices when many are ready.
        """
        if self.pace and self.steady_fds:
            until = min(until, self.round_at)
        began = clock.monotonic()
        left = 0.0 if self.round_left else max(0.0, until - began)
        events = self.prompt.poll(left, MAX_EVENTS)
        now = clock.monotonic()
        self.waited += now - began
        streams_ready = False
        for position, (fd, _) in enumerate(events):
            if fd == self.steady.fileno():
                streams_ready = True
                del events[position]
                break
        if self.round_left:
            events += self.poll_steady()
        elif streams_ready or (self.pace and now >= self.round_at):
            self.round_at = now + self.pace
            self.round_left = len(self.steady_fds)
            events += self.poll_steady()
        if now >= self.adapt_at:
            self.adapt(now)
        return events

    def poll_steady(self):
        """Return the next slice of ready streams of this round."""
        size = min(SLICE_EVENTS, self.round_left)
        if not size:
            return []
        events = self.steady.poll(0, size)
        self.round_left = self.round_left - size if len(events) == size else 0
        return events

    def adapt(self, now):
        """Choose the pace from the busy fraction since the last choice."""
        period = now - self.adapt_at + ADAPT_SECONDS
        before = self.pace
        self.pace = choose_pace(before, 1 - self.waited / period)
        self.waited = 0.0
        self.adapt_at = now + ADAPT_SECONDS
        if bool(before) != bool(self.pace):
            mask = 0 if self.pace else select.EPOLLIN
            self.prompt.modify(self.steady.fileno(), mask)

    def close(self):
        """Close the descriptors."""
        self.prompt.close()
        self.steady.close()
        with self.close_lock:
            self.closed = True
            os.close(self.wake_fd)
