"""Endpoint registry, load balancing, rate quotas and group membership."""

from rhubarbreach.fleet import health
from rhubarbreach.fleet import loads
from rhubarbreach.fleet import member
from rhubarbreach.fleet import quota
from rhubarbreach.fleet import registry
from rhubarbreach.fleet import steward
from rhubarbreach.fleet import view

__all__ = [
    'health',
    'loads',
    'member',
    'quota',
    'registry',
    'steward',
    'view',
]
