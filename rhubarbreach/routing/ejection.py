"""Ejection of endpoints that are slow or fail, relative to their peers."""

import dataclasses
import math

__all__ = ['Ejector', 'Health']

# Half-life in seconds of the measured latency and errors.
HALF_LIFE = 5.0
# Observations needed before an endpoint is judged.
MIN_OBSERVATIONS = 5.0
# Factor over the median of the peers that makes an outlier.
LATENCY_FACTOR = 3.0
# Fraction of failed attempts that makes an outlier, and its minimum
# distance to the median of the peers.
ERROR_RATE = 0.3
MAX_EJECTED_FRACTION = 1 / 3
# Seconds of the first ejection; doubled with each further one.
EJECTION_TIME = 5.0
MAX_EJECTION_TIME = 60.0
# Seconds over which an endpoint returns to its full weight.
SLOW_START = 10.0
SLOW_START_LEAST = 0.1


@dataclasses.dataclass(slots=True)
class Health:
    """Decaying sums of one endpoint; times in seconds.

    Parameters
    ----------
    attempts, failures : float
        Attempts and failed attempts.
    timed, latency : float
        Attempts with a latency and the sum of their latencies.
    updated_at : float
        When the sums were last decayed.
    ejected_until : float
        End of the ejection; 0 if there was none.
    ejections : int
        Ejections in a row.
    """

    attempts: float = 0.0
    failures: float = 0.0
    timed: float = 0.0
    latency: float = 0.0
    updated_at: float = 0.0
    ejected_until: float = 0.0
    ejections: int = 0

    def decay(self, now):
        """Give older observations less weight."""
        factor = 0.5 ** (max(0.0, now - self.updated_at) / HALF_LIFE)
        self.updated_at = now
        self.attempts *= factor
        self.failures *= factor
        self.timed *= factor
        self.latency *= factor

    def get_latency(self):
        """Return the mean latency, or None when it is not known."""
        if self.timed < MIN_OBSERVATIONS:
            return None
        return self.latency / self.timed

    def get_error_rate(self):
        """Return the fraction of failed attempts, or None."""
        if self.attempts < MIN_OBSERVATIONS:
            return None
        return self.failures / self.attempts

    def reset(self, until):
        """Start anew after an ejection."""
        self.attempts = self.failures = self.timed = self.latency = 0.0
        self.ejected_until = until
        self.ejections += 1


class Ejector:
    """Health of all endpoints as seen by one host."""

    def __init__(self):
        self.health = {}

    def observe(self, endpoint_id, failed, latency, now):
        """Record the outcome of an attempt.

        Parameters
        ----------
        endpoint_id : str
            Endpoint.
        failed : bool
            Whether the endpoint failed the attempt.
        latency : float or None
            Seconds, comparable between attempts, such as the mean time
            between tokens.
        now : float
            Monotonic seconds.
        """
        health = self.health.setdefault(endpoint_id, Health(updated_at=now))
        health.decay(now)
        health.attempts += 1
        health.failures += failed
        if latency is not None:
            health.timed += 1
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
            Endpoints ejected now.
        """
        known = {
            endpoint_id: self.health[endpoint_id]
            for endpoint_id in endpoint_ids
            if endpoint_id in self.health
        }
        out = [name for name in known if self.is_ejected(name, now)]
        allowed = math.floor(MAX_EJECTED_FRACTION * len(endpoint_ids))
        outliers = find_outliers(known, now)
        chosen = [name for name in outliers if name not in out]
        chosen = chosen[: max(0, allowed - len(out))]
        for name in chosen:
            health = known[name]
            times = 2**health.ejections
            duration = min(MAX_EJECTION_TIME, EJECTION_TIME * times)
            health.reset(now + duration)
        return chosen

    def is_ejected(self, endpoint_id, now):
        """Return whether an endpoint gets no work."""
        health = self.health.get(endpoint_id)
        return health is not None and now < health.ejected_until

    def get_weight(self, endpoint_id, now):
        """Return the share of its normal work an endpoint gets.

        Returns
        -------
        float
            0 while ejected, rising to 1 during slow start.
        """
        health = self.health.get(endpoint_id)
        if health is None or health.ejected_until == 0.0:
            return 1.0
        if now < health.ejected_until:
            return 0.0
        since = now - health.ejected_until
        if since >= 2 * SLOW_START and health.ejections:
            # A good time after its return forgives earlier ejections.
            health.ejections = 0
        return min(1.0, max(SLOW_START_LEAST, since / SLOW_START))


def get_median(values):
    """Return the lower median of values that are not None."""
    ordered = sorted(value for value in values if value is not None)
    return ordered[(len(ordered) - 1) // 2] if ordered else None


def find_outliers(known, now):
    """Return the outliers among endpoints, worst first."""
    for health in known.values():
        health.decay(now)
    latencies = {name: h.get_latency() for name, h in known.items()}
    errors = {name: h.get_error_rate() for name, h in known.items()}
    latency = get_median(latencies.values())
    error = get_median(errors.values())
    badness = {}
    for name in known:
        if latency and latencies[name] is not None:
            ratio = latencies[name] / latency
            if ratio > LATENCY_FACTOR:
                badness[name] = ratio
        if errors[name] is not None and errors[name] - error > ERROR_RATE:
            badness[name] = badness.get(name, 0.0) + 100 * errors[name]
    return sorted(badness, key=lambda name: -badness[name])
