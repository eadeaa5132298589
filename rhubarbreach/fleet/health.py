"""Failures and successes of endpoints, and ejection after failures."""

import dataclasses

from rhubarbreach.balancing import overdue

__all__ = ['EndpointHealth', 'HealthTable']

# Ejection time after the first failure, doubled by each consecutive failure.
# The maximum is about the time after which an endpoint that sends no
# announcements is removed from the registry anyway.
BASE_EJECTION_SECONDS = 0.5
MAX_EJECTION_SECONDS = 4.0
MAX_DOUBLINGS = 8


@dataclasses.dataclass
class Health:
    """Consecutive failures of an endpoint and the end of its ejection."""

    failures: int = 0
    ejected_until: float = 0.0


class HealthTable:
    """Health of endpoints as observed by one host."""

    def __init__(self):
        self.entries = {}

    def is_ejected(self, endpoint_id, now):
        """Return whether an endpoint is ejected."""
        health = self.entries.get(endpoint_id)
        return health is not None and now < health.ejected_until

    def list_ejected(self, now):
        """Return the ids of the ejected endpoints."""
        return {
            endpoint_id
            for endpoint_id, health in self.entries.items()
            if now < health.ejected_until
        }

    def record_failure(self, endpoint_id, now):
        """Eject an endpoint; failures during an ejection are ignored."""
        health = self.entries.setdefault(endpoint_id, Health())
        if now < health.ejected_until:
            return
        health.ejected_until = now + min(
            MAX_EJECTION_SECONDS,
            BASE_EJECTION_SECONDS * 2 ** min(health.failures, MAX_DOUBLINGS),
        )
        health.failures += 1

    def record_success(self, endpoint_id):
        """Reset the failures of an endpoint that has answered."""
        self.entries.pop(endpoint_id, None)

    def keep(self, endpoint_ids):
        """Remove the entries of all other endpoints."""
        for endpoint_id in list(self.entries):
            if endpoint_id not in endpoint_ids:
                del self.entries[endpoint_id]


class EndpointHealth:
    """Endpoints that have failed at this host, or at several others.

    The lock of the view protects all attributes. `list_overdue`,
    `record_stall`, `record_success` and `pop_outcomes` acquire it; all other
    methods have to be called with it.

    Parameters
    ----------
    lock : threading.Lock
        Lock of the view.
    """

    def __init__(self, lock):
        self.lock = lock
        self.table = HealthTable()
        # Endpoints that are avoided while others have a free slot: those that
        # fail for several hosts, as the leader has sent them, and those whose
        # first events are overdue.
        self.suspects = frozenset()
        self.leader_suspects = frozenset()
        self.overdue = overdue.OverdueTable()
        # Failures and successes to report to the leader, by endpoint.
        self.outcomes = {}

    def is_sound(self, endpoint_id, now):
        """Return whether an endpoint has not failed."""
        return endpoint_id not in self.suspects and not self.table.is_ejected(
            endpoint_id, now
        )

    def keep(self, endpoint_ids):
        """Forget all other endpoints."""
        self.table.keep(endpoint_ids)
        self.overdue.keep(endpoint_ids)

    def update_suspects(self, directory, now):
        """Update the endpoints that are avoided.

        Parameters
        ----------
        directory : Directory
            Endpoints by service.
        now : float
            Seconds of the monotonic clock.
        """
        self.suspects = self.leader_suspects
        if not self.overdue.is_empty:
            self.suspects |= self.overdue.list_avoided(
                directory.endpoints, directory.services, now
            )

    def list_overdue(self, now):
        """Return what this host has found; see `OverdueTable.report`."""
        with self.lock:
            return self.overdue.list_news(now)

    def record_failure(self, endpoint_id, now):
        """Count a failure and eject the endpoint for some time."""
        self.table.record_failure(endpoint_id, now)
        self.count_outcome(endpoint_id, 1, 0)

    def count_outcome(self, endpoint_id, failures, successes):
        """Add to the outcomes that are reported to the leader."""
        previous = self.outcomes.get(endpoint_id, (0, 0))
        self.outcomes[endpoint_id] = (
            previous[0] + failures,
            previous[1] + successes,
        )

    def record_stall(self, endpoint_id, now):
        """Avoid a silent endpoint for some time; it has not failed yet."""
        with self.lock:
            self.table.record_failure(endpoint_id, now)

    def record_success(self, endpoint_id):
        """Count a success of an endpoint."""
        with self.lock:
            self.table.record_success(endpoint_id)
            self.count_outcome(endpoint_id, 0, 1)

    def pop_outcomes(self):
        """Return the failures and successes since the last call."""
        with self.lock:
            outcomes, self.outcomes = self.outcomes, {}
        return outcomes
