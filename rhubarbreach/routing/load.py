"""Load of endpoints, corrected for the delay of their reports."""

import collections

__all__ = ['LoadView']

# A report may be this much older than its time of arrival.
REPORT_LAG_SECONDS = 0.3


class LoadView:
    """Estimate of the requests on each endpoint.

    A report counts the requests of all hosts at an earlier time. Requests that
    this host has started since then are added. The requests of this host that
    are in flight are a lower bound.
    """

    def __init__(self):
        self.started_at = collections.defaultdict(collections.deque)
        self.running = collections.Counter()

    def start(self, endpoint_id, now):
        """Record that this host has started a request."""
        self.started_at[endpoint_id].append(now)
        self.running[endpoint_id] += 1

    def finish(self, endpoint_id):
        """Record that a request of this host has ended."""
        self.running[endpoint_id] = max(0, self.running[endpoint_id] - 1)

    def estimate(self, endpoint, now):
        """Return the estimated number of requests on an endpoint.

        Parameters
        ----------
        endpoint : EndpointInfo
            Endpoint with its last reported load.
        now : float
            Monotonic seconds.

        Returns
        -------
        float
            Requests that run or wait on the endpoint.
        """
        load = endpoint.load
        starts = self.started_at[endpoint.endpoint_id]
        seen_until = load.measured_at - REPORT_LAG_SECONDS
        while starts and starts[0] <= seen_until:
            starts.popleft()
        own_running = self.running[endpoint.endpoint_id]
        unreported = min(len(starts), own_running)
        return max(own_running, load.running + load.waiting + unreported)
