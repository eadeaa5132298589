"""Endpoints that are left out for a while after failures."""

import dataclasses

__all__ = ['HealthTable']

# A failed endpoint is left out for this long, in seconds, doubled by each
# failure in a row. The longest pause is about the time after which a silent
# endpoint is forgotten anyway.
FIRST_EJECTION_SECONDS = 0.5
MAX_EJECTION_SECONDS = 4.0


@dataclasses.dataclass
class Health:
    """Failures of an endpoint in a row, and until when it is left out."""

    failures: int = 0
    until: float = 0.0


class HealthTable:
    """Health of endpoints as one host has seen it."""

    def __init__(self):
        self.entries = {}

    def is_ejected(self, endpoint_id, now):
        """Return whether an endpoint is left out."""
        health = self.entries.get(endpoint_id)
        return health is not None and now < health.until

    def note_failure(self, endpoint_id, now):
        """Leave an endpoint out; failures while it is count once."""
        health = self.entries.setdefault(endpoint_id, Health())
        if now < health.until:
            return
        health.until = now + min(
            MAX_EJECTION_SECONDS, FIRST_EJECTION_SECONDS * 2**health.failures
        )
        health.failures += 1

    def note_success(self, endpoint_id):
        """Note that an endpoint answers."""
        self.entries.pop(endpoint_id, None)

    def keep(self, endpoint_ids):
        """Forget all other endpoints."""
        for known in list(self.entries):
            if known not in endpoint_ids:
                del self.entries[known]
