"""Fair queueing of work that waits for an endpoint."""

from rhubarbreach.scheduling import counters
from rhubarbreach.scheduling import fair
from rhubarbreach.scheduling import meter
from rhubarbreach.scheduling import work

__all__ = ['counters', 'fair', 'meter', 'work']
