"""Order in which waiting work is served."""

from rhubarbreach.scheduling import counters
from rhubarbreach.scheduling import fair
from rhubarbreach.scheduling import meter
from rhubarbreach.scheduling import work

__all__ = ['counters', 'fair', 'meter', 'work']
