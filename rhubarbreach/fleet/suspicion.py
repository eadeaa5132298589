"""Detection of endpoints that fail for several hosts.

With many hosts, each sends a given endpoint only one request every few
seconds. If the endpoint has crashed or fails a part of its requests, each host
would have to detect it by failures of its own. The leader therefore sums the
outcomes of all hosts, and all of them avoid the suspects. Failures that only
one host observes may be faults of its own network links.
"""

import dataclasses

__all__ = ['Suspicion']

# Half-life of outcomes. It is also about the time after which a suspect is
# tried again.
HALF_LIFE_SECONDS = 3.0
# An endpoint is a suspect if it has at least this many failures, they are at
# least this fraction of its outcomes, and at least this many hosts report
# some. Healthy endpoints may abort 3 of 100 requests.
MIN_FAILURES = 1.5
MIN_FAILURE_FRACTION = 0.25
MIN_HOSTS = 2
# Maximum fraction of the endpoints of a service that are avoided. If more of
# them fail, the cause is elsewhere and other endpoints do not help.
MAX_SUSPECT_FRACTION = 0.34
# Counts that have decayed below this value are dropped.
MIN_COUNT = 0.05


@dataclasses.dataclass
class OutcomeCount:
    """Outcomes of an endpoint, decayed up to `time` in seconds.

    `failures` is a count for each host that has reported any; `successes` is
    the sum over all hosts. Most hosts report successes only, so the work for
    an endpoint does not grow with the number of hosts.
    """

    time: float
    successes: float = 0.0
    failures: dict = dataclasses.field(default_factory=dict)

    def decay(self, now):
        """Decay the counts to the present, and drop the smallest."""
        factor = 0.5 ** (max(0.0, now - self.time) / HALF_LIFE_SECONDS)
        self.successes *= factor
        self.failures = {
            host_id: decayed
            for host_id, count in self.failures.items()
            if (decayed := count * factor) >= MIN_COUNT
        }
        self.time = now


class Suspicion:
    """Outcomes of requests by endpoint and host.

    Callers have to hold a lock.
    """

    def __init__(self):
        self.counts = {}

    def add(self, endpoint_id, host_id, failures, successes, now):
        """Add the outcomes that a host has observed at an endpoint.

        Parameters
        ----------
        endpoint_id, host_id : str
            Endpoint, and the host that sent requests to it.
        failures, successes : int
            Outcomes since the host's last report.
        now : float
            Seconds of the monotonic clock.
        """
        count = self.counts.setdefault(endpoint_id, OutcomeCount(now))
        count.decay(now)
        count.successes += successes
        if failures:
            previous = count.failures.get(host_id, 0.0)
            count.failures[host_id] = previous + failures

    def forget_failures(self, host_id):
        """Forget the failures that a host has reported."""
        for count in self.counts.values():
            count.failures.pop(host_id, None)

    def list_suspects(self, services, now):
        """Return the endpoints to avoid.

        Parameters
        ----------
        services : dict of str to collection of str
            Endpoint ids by service. The counts of others are removed.
        now : float
            Seconds of the monotonic clock.

        Returns
        -------
        set of str
        """
        known_ids = {
            endpoint_id for ids in services.values() for endpoint_id in ids
        }
        for endpoint_id in list(self.counts):
            if endpoint_id not in known_ids:
                del self.counts[endpoint_id]
        suspects = set()
        for ids in services.values():
            failing = [
                (failures, endpoint_id)
                for endpoint_id in ids
                if (failures := self.get_suspect_failures(endpoint_id, now))
            ]
            max_suspects = int(len(ids) * MAX_SUSPECT_FRACTION)
            failing.sort(reverse=True)
            suspects.update(
                endpoint_id for _, endpoint_id in failing[:max_suspects]
            )
        return suspects

    def get_suspect_failures(self, endpoint_id, now):
        """Return the failures of an endpoint if it is a suspect, else 0."""
        count = self.counts.get(endpoint_id)
        if count is None:
            return 0.0
        count.decay(now)
        failures = sum(count.failures.values())
        outcomes = failures + count.successes
        if (
            len(count.failures) < MIN_HOSTS
            or failures < MIN_FAILURES
            or failures < MIN_FAILURE_FRACTION * outcomes
        ):
            return 0.0
        return failures
