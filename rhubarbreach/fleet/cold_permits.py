"""Permits for requests to cold endpoints, which the leader grants.

A cold endpoint crashes under too many requests. When a zone comes back under
full load, its endpoints are idle, and all hosts would choose them. So each
request to a cold endpoint needs a permit, wherever it is sent from. Permits
are valid for a short time, so that the requests that arrive in any second were
granted shortly before it.
"""

import dataclasses
import math

__all__ = [
    'ARRIVAL_SECONDS',
    'CONNECT_SECONDS',
    'PERMIT_SECONDS',
    'PermitAllocator',
    'PermitLimit',
    'compute_limit',
]

# Time for which a permit may be used, from the begin of the exchange that
# brought it. It covers the wait for the reply and for the request to begin.
PERMIT_SECONDS = 0.3
# Time in which a request with a permit has to be connected to its endpoint,
# and in which it reaches the endpoint at the latest.
CONNECT_SECONDS = 0.15
ARRIVAL_SECONDS = 0.2
# Requests that arrive within one second were granted within this time.
GRANT_WINDOW_SECONDS = 1.0 + PERMIT_SECONDS + ARRIVAL_SECONDS
# Tokens of each endpoint that items leave to online requests.
RESERVED_TOKENS = 1
# Time for which a service without tokens is not searched again. A search of
# 300 endpoints takes 0.2 ms, and many hosts ask at once.
DENIAL_SECONDS = 0.01
# Without it, sums of fractions would count as less than a whole token.
ROUNDING = 1e-6


@dataclasses.dataclass(frozen=True, slots=True)
class PermitLimit:
    """Permits of one cold endpoint: tokens a second, and the most at once."""

    rate: float
    capacity: float


def compute_limit(cold_rate, overage, slack):
    """Return the limit of the permits of a service.

    Parameters
    ----------
    cold_rate : float
        Requests a second that a cold endpoint is meant to get.
    overage, slack : float
        An endpoint may get `cold_rate` times `overage` plus `slack` requests
        in any second.

    Returns
    -------
    PermitLimit
        Limit with which no second exceeds this.
    """
    most = cold_rate * overage + slack
    rate = min(cold_rate, max(0.0, most - 1.0) / GRANT_WINDOW_SECONDS)
    return PermitLimit(rate, most - rate * GRANT_WINDOW_SECONDS)


@dataclasses.dataclass
class Bucket:
    """Tokens of an endpoint, filled up to `time`."""

    service: str
    limit: PermitLimit
    level: float
    time: float


class PermitAllocator:
    """Token buckets of the leader, one for each cold endpoint."""

    def __init__(self):
        self.buckets = {}
        # Times until which the endpoints of a service count as empty.
        self.denied_until = {}
        self.granted_count = 0
        self.denied_count = 0

    def update(self, services, limits, filled_from):
        """Replace the cold endpoints.

        The bucket of an endpoint that has become cold is empty.

        Parameters
        ----------
        services : dict of str to str
            Service of each cold endpoint.
        limits : dict of str to PermitLimit
            Limits by service.
        filled_from : float
            Time from which new buckets are filled, when all hosts know that
            their endpoints are cold. Seconds of the monotonic clock.
        """
        for endpoint_id in list(self.buckets):
            if endpoint_id not in services:
                del self.buckets[endpoint_id]
        for endpoint_id, service in services.items():
            limit = limits[service]
            bucket = self.buckets.get(endpoint_id)
            if bucket is None:
                self.buckets[endpoint_id] = Bucket(
                    service, limit, 0.0, filled_from
                )
            else:
                bucket.limit = limit

    def count_item_starts(self, now):
        """Return the items that may start on each cold endpoint."""
        return {
            endpoint_id: max(0, count_tokens(bucket, now) - RESERVED_TOKENS)
            for endpoint_id, bucket in self.buckets.items()
        }

    def take(self, endpoint_id, count, now):
        """Take tokens of an endpoint; return how many there were."""
        bucket = self.buckets.get(endpoint_id)
        if bucket is None:
            return 0
        taken = max(0, min(count, count_tokens(bucket, now)))
        bucket.level -= taken
        self.granted_count += taken
        return taken

    def grant(self, wanted, now, excluded=frozenset()):
        """Return the permits granted to a host by endpoint.

        A host does not know the tokens of the endpoints. What one lacks is
        granted for those of its service with the most tokens.

        Parameters
        ----------
        wanted : dict of str to int
            Permits that the host asks for by endpoint.
        now : float
            Seconds of the monotonic clock.
        excluded : collection of str
            Endpoints for which none are granted.
        """
        granted = {}
        missing = {}
        for endpoint_id, count in wanted.items():
            bucket = self.buckets.get(endpoint_id)
            if bucket is None or count <= 0:
                continue
            taken = 0
            if endpoint_id not in excluded:
                taken = self.take(endpoint_id, count, now)
            if taken:
                granted[endpoint_id] = taken
            if taken < count:
                service = bucket.service
                missing[service] = missing.get(service, 0) + count - taken
        for service, count in missing.items():
            self.denied_count += self.grant_others(
                service, count, granted, now, excluded
            )
        return granted

    def grant_others(self, service, count, granted, now, excluded):
        """Grant permits for any endpoints of a service.

        Returns
        -------
        int
            Permits that are missing still.
        """
        if now < self.denied_until.get(service, float('-inf')):
            return count
        tokens = {
            endpoint_id: count_tokens(bucket, now)
            for endpoint_id, bucket in self.buckets.items()
            if bucket.service == service and endpoint_id not in excluded
        }
        while count:
            best = max(tokens, key=tokens.get, default=None)
            if best is None or tokens[best] < 1:
                self.denied_until[service] = now + DENIAL_SECONDS
                return count
            self.take(best, 1, now)
            tokens[best] -= 1
            granted[best] = granted.get(best, 0) + 1
            count -= 1
        return 0

    def reset(self):
        """Remove all buckets, as a new leader starts with none."""
        self.buckets.clear()


def count_tokens(bucket, now):
    """Fill a bucket up to now; return its whole tokens."""
    if now > bucket.time:
        filled = bucket.level + (now - bucket.time) * bucket.limit.rate
        bucket.level = min(bucket.limit.capacity, filled)
        bucket.time = now
    return max(0, math.floor(bucket.level + ROUNDING))
