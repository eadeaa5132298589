"""Delayed calls for fault injection in tests and benchmarks."""

import heapq
import itertools
import threading

from rhubarbreach import clock

__all__ = ['DelayQueue']


class DelayQueue:
    """Thread that calls functions after a delay.

    The thread starts with the first delayed call, so that a link without
    fault injection has no such thread.
    """

    def __init__(self):
        self.heap = []
        self.sequence = itertools.count()
        self.changed = threading.Condition()
        self.thread = None
        self.closed = False

    def call_later(self, delay, function, argument):
        """Call `function(argument)` after `delay` seconds."""
        due = clock.monotonic() + delay
        with self.changed:
            entry = (due, next(self.sequence), function, argument)
            heapq.heappush(self.heap, entry)
            if self.thread is None:
                self.thread = threading.Thread(
                    target=self.run, name='link-delay', daemon=True
                )
                self.thread.start()
            self.changed.notify()

    def run(self):
        """Call the functions that are due until the queue is closed."""
        while True:
            with self.changed:
                if self.closed:
                    return
                if not self.heap:
                    self.changed.wait()
                    continue
                wait = self.heap[0][0] - clock.monotonic()
                if wait > 0:
                    self.changed.wait(wait)
                    continue
                _, _, function, argument = heapq.heappop(self.heap)
            function(argument)

    def close(self):
        """Stop the thread and drop the calls that are not due yet."""
        with self.changed:
            self.closed = True
            self.changed.notify()
