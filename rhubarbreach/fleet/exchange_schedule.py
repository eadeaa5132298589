"""Times at which an entry host exchanges messages with the leader."""

import threading

from rhubarbreach import clock

__all__ = ['Schedule', 'compute_interval']

# Interval of exchanges, and so the longest delay until all hosts know of a
# draining endpoint, a revoked key or the load of endpoints. The shortest bound
# on any of them is 2 s.
EXCHANGE_INTERVAL_SECONDS = 0.15
# A host that runs out of slots starts an exchange immediately, but not more
# often than this.
MIN_EXCHANGE_INTERVAL_SECONDS = 0.02
# Exchanges for loads that all hosts together may start. In a load peak all of
# them request the loads at once, so with more hosts each does so less often.
# Between two exchanges an endpoint receives fewer requests of each host then.
# Exchanges for tokens are not bounded: there are at most as many as requests.
MAX_EXCHANGES_PER_SECOND = 800.0


def compute_interval(entry_host_count):
    """Return the longest time in seconds between two exchanges of a host."""
    return max(
        EXCHANGE_INTERVAL_SECONDS,
        entry_host_count / MAX_EXCHANGES_PER_SECOND,
    )


class Schedule:
    """When the next exchange is due, regularly or because it is requested.

    The condition `changed` guards the flags `loads_wanted`, `tokens_wanted`
    and `closed`, with which other threads start an exchange or end the thread
    of the exchanges. Only that thread changes `entry_host_count`, which is
    read without it.
    """

    def __init__(self):
        self.entry_host_count = 1
        self.changed = threading.Condition()
        self.loads_wanted = False
        self.tokens_wanted = False
        self.closed = False

    @property
    def interval(self):
        """Longest time in seconds between two exchanges of this host."""
        return compute_interval(self.entry_host_count)

    @property
    def min_interval(self):
        """Shortest time in seconds between two exchanges of this host."""
        return max(
            MIN_EXCHANGE_INTERVAL_SECONDS,
            self.entry_host_count / MAX_EXCHANGES_PER_SECOND,
        )

    def request_loads(self):
        """Start an exchange as soon as the leader has time for it."""
        with self.changed:
            self.loads_wanted = True
            self.changed.notify_all()

    def request_tokens(self):
        """Start an exchange immediately, as a request waits for a token."""
        with self.changed:
            self.tokens_wanted = True
            self.changed.notify_all()

    def request_relays(self):
        """Start an exchange immediately, as a connection needs a relay."""
        self.request_tokens()

    def wait(self, loads_at, latest):
        """Wait until an exchange is due.

        Parameters
        ----------
        loads_at : float
            Earliest time of an exchange for loads, in seconds of the monotonic
            clock.
        latest : float
            Latest time of any exchange.
        """
        with self.changed:
            while not (self.closed or self.tokens_wanted):
                due = latest
                if self.loads_wanted:
                    due = min(latest, loads_at)
                remaining = clock.remaining(due, clock.monotonic())
                if not remaining:
                    break
                self.changed.wait(remaining)
            self.loads_wanted = False
            self.tokens_wanted = False

    def close(self):
        """End the exchanges."""
        with self.changed:
            self.closed = True
            self.changed.notify_all()
