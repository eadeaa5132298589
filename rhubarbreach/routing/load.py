"""Load of endpoints, corrected for the lag of their reports."""

import collections

__all__ = ['LoadView']

# Seconds by which a report may be older than its arrival tells.
REPORT_LAG = 0.3


class LoadView:
    """Estimates how many requests an endpoint holds now.

    A report counts the requests of all hosts some time ago. What this host
    has started since is not in it and is added; what this host has running
    is a lower bound.
    """

    def __init__(self):
        self.starts = collections.defaultdict(collections.deque)
        self.running = collections.Counter()

    def start(self, endpoint_id, now):
        """Note that this host started a request."""
        self.starts[endpoint_id].append(now)
        self.running[endpoint_id] += 1

    def finish(self, endpoint_id):
        """Note that a request of this host ended."""
        self.running[endpoint_id] = max(0, self.running[endpoint_id] - 1)

    def estimate(self, endpoint, now):
        """Return the estimated requests at an endpoint.

        Parameters
        ----------
        endpoint : EndpointInfo
            With its last reported load.
        now : float
            Monotonic seconds.

        Returns
        -------
        float
            Requests running or waiting there.
        """
        load = endpoint.load
        starts = self.starts[endpoint.endpoint_id]
        seen_until = load.measured_at - REPORT_LAG
        while starts and starts[0] <= seen_until:
            starts.popleft()
        own = self.running[endpoint.endpoint_id]
        since = min(len(starts), own)
        return max(own, load.running + load.waiting + since)
