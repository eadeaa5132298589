"""Temporary ejection of endpoints after failures."""

import dataclasses

__all__ = ['HealthTable']

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
