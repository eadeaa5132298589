"""Whether an entry host reaches endpoints by itself or through a relay.

Designed for hosts that lose their links to some or all endpoints for seconds,
while other hosts still reach these. An endpoint that nobody reaches looks the
same at first: only a connection through another host tells them apart.
"""

import enum
import threading

__all__ = ['Paths', 'Route']

# A host doubts its own links once this many endpoints were missed in a row. A
# single endpoint that is down does not lead to relays.
MIN_MISSED = 2
# Interval at which a host tries an endpoint directly that it had to reach
# through a relay, or any endpoint if it reaches none.
PROBE_SECONDS = 1.0
# Endpoints of which is remembered that they need a relay.
MAX_LOST = 4096


class Route(enum.Enum):
    """Way to an endpoint that is tried first."""

    DIRECT = 'direct'
    RELAYED = 'relayed'


class Paths:
    """Outcomes of the connections that a host has made."""

    def __init__(self):
        self.lock = threading.Lock()
        # Endpoints that were not reached directly since one was.
        self.missed = set()
        # Those of them that a relay has reached.
        self.relayed = set()
        # When each endpoint that needs a relay is tried directly again, and
        # when any is, in seconds of the monotonic clock.
        self.probe_due = {}
        self.next_probe = float('-inf')

    def choose(self, endpoint_id, now):
        """Return the `Route` to try first.

        Parameters
        ----------
        endpoint_id : str
            Endpoint.
        now : float
            Seconds of the monotonic clock.
        """
        with self.lock:
            due = self.probe_due.get(endpoint_id)
            if self.is_cut_off:
                due = self.next_probe
            if due is None:
                return Route.DIRECT
            if now < due:
                return Route.RELAYED
            if self.is_cut_off:
                self.next_probe = now + PROBE_SECONDS
            if endpoint_id in self.probe_due:
                self.probe_due[endpoint_id] = now + PROBE_SECONDS
            return Route.DIRECT

    @property
    def is_doubtful(self):
        """Whether this host may have lost its links to endpoints."""
        return len(self.missed) >= MIN_MISSED

    @property
    def is_cut_off(self):
        """Whether relays reach endpoints of which this host reaches none."""
        return len(self.relayed) >= MIN_MISSED

    def record_reached(self, endpoint_id):
        """Record that an endpoint was reached directly.

        Returns
        -------
        bool
            Whether this host was cut off until now.
        """
        with self.lock:
            was_cut_off = self.is_cut_off
            if self.missed:
                self.missed.clear()
                self.relayed.clear()
            self.probe_due.pop(endpoint_id, None)
            return was_cut_off

    def record_missed(self, endpoint_id):
        """Record that an endpoint was not reached directly."""
        with self.lock:
            self.missed.add(endpoint_id)

    def record_relayed(self, endpoint_id, now):
        """Record that a relay has reached an endpoint that was missed here.

        Parameters
        ----------
        endpoint_id : str
            Endpoint.
        now : float
            Seconds of the monotonic clock.

        Returns
        -------
        bool
            Whether this host counts as cut off from now on.
        """
        with self.lock:
            if endpoint_id not in self.missed:
                # It was reached directly meanwhile.
                return False
            was_cut_off = self.is_cut_off
            self.relayed.add(endpoint_id)
            if len(self.probe_due) >= MAX_LOST:
                self.probe_due.clear()
            self.probe_due[endpoint_id] = now + PROBE_SECONDS
            self.next_probe = max(self.next_probe, now + PROBE_SECONDS)
            return self.is_cut_off and not was_cut_off
