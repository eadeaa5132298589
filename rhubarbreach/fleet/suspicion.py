"""Endpoints that fail for several hosts.

The load this answers: an endpoint that has died, or that fails a part of its
requests, behind many hosts of which each sends it a request every few seconds
only. Each host alone would learn of it by a failure of its own. The leader
adds up what all hosts see, and all of them leave the endpoint out. A failure
that a single host sees may be one of its own links.
"""

import dataclasses

__all__ = ['Suspicion']

# Time in which a seen outcome counts for half, in seconds. It also is the time
# after which an endpoint that is left out is tried again.
HALF_LIFE_SECONDS = 3.0
# An endpoint is left out from this many failures on, when they are at least
# this part of its outcomes and come from this many hosts. Sound endpoints
# break off 3 of 100 requests on bad days.
MIN_FAILURES = 1.5
MIN_PART = 0.25
MIN_HOSTS = 2
# Never more than this part of the endpoints of a service is left out: what
# fails everywhere is not mended by going elsewhere.
MAX_LEFT_OUT = 0.34
# What has decayed below this count is forgotten.
FORGOTTEN = 0.05


@dataclasses.dataclass
class Count:
    """Failures and successes, decayed until `time`, in seconds."""

    time: float
    failures: float = 0.0
    successes: float = 0.0

    def decay(self, now):
        """Let what was seen before count for less."""
        factor = 0.5 ** (max(0.0, now - self.time) / HALF_LIFE_SECONDS)
        self.failures *= factor
        self.successes *= factor
        self.time = now


class Suspicion:
    """Outcomes of requests by endpoint and host. The caller holds a lock."""

    def __init__(self):
        self.counts = {}

    def add(self, endpoint_id, host_id, failures, successes, now):
        """Take what a host has seen of an endpoint into account.

        Parameters
        ----------
        endpoint_id, host_id : str
            Endpoint, and the host that has sent it requests.
        failures, successes : int
            Outcomes since the host's last report.
        now : float
            Seconds of the monotonic clock.
        """
        hosts = self.counts.setdefault(endpoint_id, {})
        count = hosts.setdefault(host_id, Count(now))
        count.decay(now)
        count.failures += failures
        count.successes += successes

    def list_suspects(self, services, now):
        """Return the endpoints that are to be left out.

        Parameters
        ----------
        services : dict of str to collection of str
            Endpoint ids by service. Others are forgotten.
        now : float
            Seconds of the monotonic clock.

        Returns
        -------
        set of str
        """
        known = {one for ids in services.values() for one in ids}
        for endpoint_id in list(self.counts):
            if endpoint_id not in known:
                del self.counts[endpoint_id]
        suspects = set()
        for ids in services.values():
            found = [
                (failures, endpoint_id)
                for endpoint_id in ids
                if (failures := self.weigh(endpoint_id, now))
            ]
            most = int(len(ids) * MAX_LEFT_OUT)
            found.sort(reverse=True)
            suspects.update(endpoint_id for _, endpoint_id in found[:most])
        return suspects

    def weigh(self, endpoint_id, now):
        """Return the failures of an endpoint that is suspect, else 0."""
        hosts = self.counts.get(endpoint_id)
        if hosts is None:
            return 0.0
        failing = 0
        failures = successes = 0.0
        for host_id, count in list(hosts.items()):
            count.decay(now)
            if count.failures + count.successes < FORGOTTEN:
                del hosts[host_id]
                continue
            failing += count.failures >= FORGOTTEN
            failures += count.failures
            successes += count.successes
        if (
            failing < MIN_HOSTS
            or failures < MIN_FAILURES
            or failures < MIN_PART * (failures + successes)
        ):
            return 0.0
        return failures
