"""Endpoints that have said in a response that they are leaving.

An endpoint may announce its departure late, to a store that cannot be reached,
or not at all. Each host therefore also acts on the responses that it relays,
and reports them to the leader for the other hosts.
"""

import dataclasses

__all__ = ['Departures']

# Time for which a departure is remembered. It covers an endpoint that is
# forgotten because it is cut off, and announces itself again.
RETENTION_SECONDS = 600.0


@dataclasses.dataclass(frozen=True, slots=True)
class Departure:
    """Process of an endpoint that is leaving.

    `born` is its start, in Unix milliseconds, and `expires_at` a deadline in
    seconds of the monotonic clock.
    """

    born: int
    expires_at: float


class Departures:
    """Processes of endpoints that are leaving, as seen by one host.

    A later process of the same endpoint is not leaving.
    """

    def __init__(self):
        self.entries = {}

    def record(self, endpoint_id, born, now):
        """Record that a process is leaving; return whether this is new.

        Parameters
        ----------
        endpoint_id : str
            Endpoint.
        born : int
            Start of its process, in Unix milliseconds.
        now : float
            Seconds of the monotonic clock.
        """
        self.remove_expired(now)
        is_new = not self.is_leaving(endpoint_id, born)
        if is_new:
            self.entries[endpoint_id] = Departure(
                born, now + RETENTION_SECONDS
            )
        return is_new

    def is_leaving(self, endpoint_id, born):
        """Return whether a process, or a later one, has said it is leaving."""
        departure = self.entries.get(endpoint_id)
        return departure is not None and born <= departure.born

    def list_processes(self):
        """Return the starts of the leaving processes by endpoint."""
        return {
            endpoint_id: departure.born
            for endpoint_id, departure in self.entries.items()
        }

    def remove_expired(self, now):
        """Forget the departures whose time is over."""
        self.entries = {
            endpoint_id: departure
            for endpoint_id, departure in self.entries.items()
            if now < departure.expires_at
        }
