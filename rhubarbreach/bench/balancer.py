"""Stand-in for the platform's load balancer."""

import itertools
import threading

from rhubarbreach.bench import fleet

__all__ = ['Balancer']

PERIOD_SECONDS = 0.3


class Balancer:
    """Hands out the ready hosts in turn.

    Parameters
    ----------
    addresses : iterable of str
        `IP:port` of the HTTP interfaces.
    """

    def __init__(self, addresses):
        self.addresses = tuple(addresses)
        self.ready = self.addresses
        self.counter = itertools.count()
        self.closed = threading.Event()
        self.thread = threading.Thread(
            target=self.run, name='balancer', daemon=True
        )
        self.thread.start()

    def run(self):
        """Check readiness until closed."""
        while not self.closed.wait(PERIOD_SECONDS):
            ready = tuple(one for one in self.addresses if fleet.is_ready(one))
            self.ready = ready or self.addresses

    def pick(self):
        """Return the address of the next ready host."""
        ready = self.ready
        return ready[next(self.counter) % len(ready)]

    def close(self):
        """Stop checking."""
        self.closed.set()
        self.thread.join()
