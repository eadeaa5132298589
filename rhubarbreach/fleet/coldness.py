"""Knowledge of which endpoints are cold.

An endpoint is slow after its start and crashes under too many requests. It
says in its announcements for how much longer it is cold. What is unknown
counts as cold: an endpoint that failed at a host may have restarted since its
last announcement.
"""

import dataclasses

__all__ = ['Coldness', 'UNKNOWN']

# Remaining time of an endpoint of which it is not known whether it is cold.
UNKNOWN = float('inf')
# Announcements that may be missing before it is unknown whether an endpoint
# has restarted. One may be lost with the store that received it.
SILENT_INTERVALS = 2.5
# An announcement is newer than a failure if it is received this much later.
# Another store may forward one after up to 0.2 s, and links have a delay.
FORWARDING_SECONDS = 0.5
# Reports of one failure by several exchanges differ by the delay of links.
SAME_FAILURE_SECONDS = 0.2


@dataclasses.dataclass(frozen=True, slots=True)
class Process:
    """Last announcement of the process of an endpoint.

    `first_seen` and `announced_at` are the times of the first and the last
    announcement in seconds of the monotonic clock. `remaining` is the
    announced time in seconds for which the endpoint is cold, None if the
    announcement does not say.
    """

    availability_zone: str
    born: int
    first_seen: float
    announced_at: float
    remaining: float | None


class Coldness:
    """Which endpoints are cold, as far as one store knows.

    Parameters
    ----------
    interval : float
        Seconds between two announcements of an endpoint.
    """

    def __init__(self, interval):
        self.max_silence = interval * SILENT_INTERVALS
        self.processes = {}
        # Times of the last failures by endpoint, and of the last doubts about
        # all endpoints of a zone.
        self.failed_at = {}
        self.zone_doubts = {}

    def record_announcement(self, row, received_at):
        """Store what the newest announcement of an endpoint says.

        Parameters
        ----------
        row : EndpointNotice
            Announcement.
        received_at : float
            Seconds of the monotonic clock.
        """
        process = self.processes.get(row.endpoint_id)
        first_seen = received_at
        if process is not None and process.born == row.born:
            first_seen = process.first_seen
        self.processes[row.endpoint_id] = Process(
            row.availability_zone,
            row.born,
            first_seen,
            received_at,
            row.cold_seconds,
        )

    def record_failure(self, endpoint_id, failed_at):
        """Count an endpoint as cold until a later announcement.

        Parameters
        ----------
        endpoint_id : str
            Endpoint that failed at a host or a store.
        failed_at : float
            Seconds of the monotonic clock.

        Returns
        -------
        bool
            Whether the failure is a new one.
        """
        known = self.failed_at.get(endpoint_id, float('-inf'))
        if failed_at <= known + SAME_FAILURE_SECONDS:
            return False
        self.failed_at[endpoint_id] = failed_at
        return True

    def treat_zone_as_cold(self, zone, now):
        """Count all endpoints of a zone as cold until they announce again.

        Parameters
        ----------
        zone : str
            Availability zone.
        now : float
            Seconds of the monotonic clock.
        """
        self.zone_doubts[zone] = now

    def get_remaining(self, endpoint_id, cold_start, now):
        """Return for how much longer an endpoint is cold.

        Parameters
        ----------
        endpoint_id : str
            Endpoint.
        cold_start : float
            Seconds for which a process is cold after its start, for endpoints
            whose announcements do not say.
        now : float
            Seconds of the monotonic clock.

        Returns
        -------
        float
            Seconds; 0 if it is warm, `UNKNOWN` if that is not known.
        """
        process = self.processes.get(endpoint_id)
        if process is None or now - process.announced_at > self.max_silence:
            return UNKNOWN
        doubt = max(
            self.failed_at.get(endpoint_id, float('-inf')),
            self.zone_doubts.get(process.availability_zone, float('-inf')),
        )
        if process.announced_at <= doubt + FORWARDING_SECONDS:
            return UNKNOWN
        if process.remaining is None:
            warm_at = process.first_seen + cold_start
        else:
            warm_at = process.announced_at + process.remaining
        return max(0.0, warm_at - now)

    def keep(self, endpoint_ids):
        """Forget all other endpoints."""
        for table in (self.processes, self.failed_at):
            for endpoint_id in list(table):
                if endpoint_id not in endpoint_ids:
                    del table[endpoint_id]
