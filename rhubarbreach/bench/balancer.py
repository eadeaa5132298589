"""Round-robin substitute for the load balancer of the platform."""

import itertools
import threading

from rhubarbreach.bench import fleet

__all__ = ['Balancer']

CHECK_INTERVAL_SECONDS = 0.3


class Balancer:
    """Round-robin selection among the ready entry hosts.

    While no host is ready, all hosts take part in the selection.

    Parameters
    ----------
    addresses : iterable of str
        `IP:port` of the HTTP interfaces of the entry hosts.
    """

    def __init__(self, addresses):
        self.addresses = tuple(addresses)
        self.ready = self.addresses
        self.sequence = itertools.count()
        self.closed = threading.Event()
        self.thread = threading.Thread(
            target=self.run, name='balancer', daemon=True
        )
        self.thread.start()

    def run(self):
        """Check the readiness of all hosts periodically until closed."""
        while not self.closed.wait(CHECK_INTERVAL_SECONDS):
            ready = tuple(
                address
                for address in self.addresses
                if fleet.is_ready(address)
            )
            self.ready = ready or self.addresses

    def pick(self):
        """Return the address of the next ready host."""
        ready = self.ready
        return ready[next(self.sequence) % len(ready)]

    def close(self):
        """Stop the readiness checks."""
        self.closed.set()
        self.thread.join()
