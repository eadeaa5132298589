"""Distribution of the configuration from store hosts to all hosts."""

from rhubarbreach.distribution import client
from rhubarbreach.distribution import distributor
from rhubarbreach.distribution import effect
from rhubarbreach.distribution import revision
from rhubarbreach.distribution import serve
from rhubarbreach.distribution import store
from rhubarbreach.distribution import upstreams
from rhubarbreach.distribution import view
from rhubarbreach.distribution import watch

__all__ = [
    'client',
    'distributor',
    'effect',
    'revision',
    'serve',
    'store',
    'upstreams',
    'view',
    'watch',
]
