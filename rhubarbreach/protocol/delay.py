"""Delayed calls for link faults in tests and on the bench."""

import heapq
import itertools
import threading

from rhubarbreach import clock

__all__ = ['DelayQueue']


class DelayQueue:
    """One task that runs functions at their time.

    The task starts with the first delayed call, so that a link without
    faults has no task for them.
    """

    def __init__(self):
        self.heap = []
        self.order = itertools.count()
        self.changed = threading.Condition()
        self.thread = None
        self.closed = False

    def call_later(self, delay, function, argument):
        """Run `function(argument)` after `delay` seconds."""
        due = clock.monotonic() + delay
        with self.changed:
            entry = (due, next(self.order), function, argument)
            heapq.heappush(self.heap, entry)
            if self.thread is None:
                self.thread = threading.Thread(
                    target=self.run, name='link-delay', daemon=True
                )
                self.thread.start()
            self.changed.notify()

    def run(self):
        """Run the functions that are due until closed."""
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
        """Stop the task; delayed calls are dropped."""
        with self.changed:
            self.closed = True
            self.changed.notify()
