"""Configuration view of a host and its distribution to all hosts."""

from rhubarbreach.distribution import client
from rhubarbreach.distribution import effect
from rhubarbreach.distribution import node
from rhubarbreach.distribution import revision
from rhubarbreach.distribution import serve
from rhubarbreach.distribution import store
from rhubarbreach.distribution import upstreams
from rhubarbreach.distribution import view
from rhubarbreach.distribution import watch

__all__ = [
    'client',
    'effect',
    'node',
    'revision',
    'serve',
    'store',
    'upstreams',
    'view',
    'watch',
]
