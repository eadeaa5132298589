"""Outlier ejection of endpoints that are slower or fail more than others."""

import dataclasses
import math

__all__ = ['Ejector', 'Health']

# Half-life of the measured latencies and errors.
HALF_LIFE_SECONDS = 5.0
# Observations needed before an endpoint is evaluated.
MIN_OBSERVATIONS = 5.0
# Latency of an outlier, as a multiple of the median of the replicas.
LATENCY_FACTOR = 3.0
# Minimum difference between the error rate of an outlier and the median of
# the replicas.
MIN_ERROR_RATE_EXCESS = 0.3
MAX_EJECTED_FRACTION = 1 / 3
# Duration of the first ejection, doubled with each further one in a row.
EJECTION_SECONDS = 5.0
MAX_EJECTION_SECONDS = 60.0
# Time in which the weight of an endpoint rises to 1 after an ejection.
SLOW_START_SECONDS = 10.0
SLOW_START_MIN_WEIGHT = 0.1


@dataclasses.dataclass(slots=True)
class Health:
    """Exponentially decaying sums for one endpoint; times in seconds.

    Parameters
    ----------
    attempts, failures : float
        Numbers of attempts and of failed attempts.
    latency_count, latency : float
        Number of attempts with a latency and the sum of their latencies.
    updated_at : float
        Time of the last decay.
    ejected_until : float
        End of the last ejection; 0 if there was none.
    ejections : int
        Number of ejections in a row.
    """

    attempts: float = 0.0
    failures: float = 0.0
    latency_count: float = 0.0
    latency: float = 0.0
    updated_at: float = 0.0
    ejected_until: float = 0.0
    ejections: int = 0

    def decay(self, now):
        """Reduce the weight of earlier observations."""
        factor = 0.5 ** (max(0.0, now - self.updated_at) / HALF_LIFE_SECONDS)
        self.updated_at = now
        self.attempts *= factor
        self.failures *= factor
        self.latency_count *= factor
        self.latency *= factor

    def get_latency(self):
        """Return the mean latency, or None with too few observations."""
        if self.latency_count < MIN_OBSERVATIONS:
            return None
        return self.latency / self.latency_count

    def get_error_rate(self):
        """Return the fraction of failed attempts, or None if unknown."""
        if self.attempts < MIN_OBSERVATIONS:
            return None
        return self.failures / self.attempts

    def reset(self, until):
        """Clear the sums at the start of an ejection."""
        self.attempts = self.failures = self.latency_count = self.latency = 0.0
        self.ejected_until = until
        self.ejections += 1


class Ejector:
    """Health of all endpoints as observed by one host."""

    def __init__(self):
        self.health = {}

    def observe(self, endpoint_id, failed, latency, now):
        """Record the outcome of an attempt.

        Parameters
        ----------
        endpoint_id : str
            Endpoint.
        failed : bool
            Whether the attempt failed because of the endpoint.
        latency : float or None
            Latency in seconds, in a form that is comparable between attempts,
            such as the mean time between tokens.
        now : float
            Monotonic seconds.
        """
        health = self.health.setdefault(endpoint_id, Health(updated_at=now))
        health.decay(now)
        health.attempts += 1
        health.failures += failed
        if latency is not None:
            health.latency_count += 1
            health.latency += latency

    def update(self, endpoint_ids, now):
        """Eject the outliers among the replicas of one model.

        Parameters
        ----------
        endpoint_ids : iterable of str
            All usable replicas of a model.
        now : float
            Monotonic seconds.

        Returns
        -------
        list of str
            Endpoints that are newly ejected.
        """
        health_by_id = {
            endpoint_id: self.health[endpoint_id]
            for endpoint_id in endpoint_ids
            if endpoint_id in self.health
        }
        ejected = [name for name in health_by_id if self.is_ejected(name, now)]
        allowed = math.floor(MAX_EJECTED_FRACTION * len(endpoint_ids))
        outliers = find_outliers(health_by_id, now)
        newly_ejected = [name for name in outliers if name not in ejected]
        newly_ejected = newly_ejected[: max(0, allowed - len(ejected))]
        for name in newly_ejected:
            health = health_by_id[name]
            factor = 2**health.ejections
            duration = min(MAX_EJECTION_SECONDS, EJECTION_SECONDS * factor)
            health.reset(now + duration)
        return newly_ejected

    def is_ejected(self, endpoint_id, now):
        """Return whether an endpoint is ejected at present."""
        health = self.health.get(endpoint_id)
        return health is not None and now < health.ejected_until

    def get_weight(self, endpoint_id, now):
        """Return the routing weight of an endpoint.

        Returns
        -------
        float
            0 during an ejection, rising to 1 during slow start.
        """
        health = self.health.get(endpoint_id)
        if health is None or health.ejected_until == 0.0:
            return 1.0
        if now < health.ejected_until:
            return 0.0
        elapsed = now - health.ejected_until
        if elapsed >= 2 * SLOW_START_SECONDS and health.ejections:
            # Earlier ejections no longer count after twice the slow start.
            health.ejections = 0
        return min(
            1.0, max(SLOW_START_MIN_WEIGHT, elapsed / SLOW_START_SECONDS)
        )


def get_median(values):
    """Return the lower median of values that are not None."""
    ordered = sorted(value for value in values if value is not None)
    return ordered[(len(ordered) - 1) // 2] if ordered else None


def find_outliers(health_by_id, now):
    """Return the ids of outliers, the most severe first."""
    for health in health_by_id.values():
        health.decay(now)
    latencies = {
        name: health.get_latency() for name, health in health_by_id.items()
    }
    error_rates = {
        name: health.get_error_rate() for name, health in health_by_id.items()
    }
    latency = get_median(latencies.values())
    error_rate = get_median(error_rates.values())
    severity = {}
    for name in health_by_id:
        if latency and latencies[name] is not None:
            ratio = latencies[name] / latency
            if ratio > LATENCY_FACTOR:
                severity[name] = ratio
        if (
            error_rates[name] is not None
            and error_rates[name] - error_rate > MIN_ERROR_RATE_EXCESS
        ):
            severity[name] = severity.get(name, 0.0) + 100 * error_rates[name]
    return sorted(severity, key=lambda name: -severity[name])
