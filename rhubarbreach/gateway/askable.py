"""Endpoints that a request may be sent to once more.

An endpoint that was only silent, slow to read or full has not failed. It may
go on with a stream when no other endpoint does. So may one whose events came
while its software version was uncertain.
"""

from rhubarbreach.gateway import model

__all__ = ['AskableEndpoints']

# Pause before an endpoint that has declined a request is asked again, doubled
# by each further time.
DECLINED_PAUSE_SECONDS = 0.5


class AskableEndpoints:
    """Endpoints that were asked for a request and have not failed."""

    def __init__(self):
        # When each endpoint may be asked again, in seconds of the monotonic
        # clock.
        self.ask_at = {}
        self.decline_counts = {}
        # Endpoints whose pause only spares the events of others.
        self.unread_ids = set()

    def begin(self, endpoint_id):
        """Record that an endpoint is asked."""
        self.ask_at.pop(endpoint_id, None)
        self.unread_ids.discard(endpoint_id)

    def record(self, endpoint_id, outcome, now):
        """Record the outcome of an attempt at an endpoint."""
        match outcome:
            case model.Superseded() | model.Unconfirmed():
                self.ask_at[endpoint_id] = now
            case model.NotRun() | model.Unread():
                count = self.decline_counts.get(endpoint_id, 0)
                self.decline_counts[endpoint_id] = count + 1
                pause = DECLINED_PAUSE_SECONDS * 2**count
                self.ask_at[endpoint_id] = now + pause
                if isinstance(outcome, model.Unread):
                    self.unread_ids.add(endpoint_id)

    def list_all(self):
        """Return the ids of all endpoints, also if they must rest now."""
        return set(self.ask_at)

    def list_ready(self, now, has_others):
        """Return the ids of the endpoints that may be asked now.

        Parameters
        ----------
        now : float
            Seconds of the monotonic clock.
        has_others : bool
            Whether other endpoints are at work on the request.
        """
        ready = {
            endpoint_id
            for endpoint_id, ask_at in self.ask_at.items()
            if ask_at <= now
        }
        return ready if has_others else ready | self.unread_ids
