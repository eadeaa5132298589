"""Endpoint registry, load balancing, rate quotas and group membership."""

from rhubarbreach.fleet import health
from rhubarbreach.fleet import leader_client
from rhubarbreach.fleet import loads
from rhubarbreach.fleet import quota
from rhubarbreach.fleet import reconfiguration
from rhubarbreach.fleet import registry
from rhubarbreach.fleet import view

__all__ = [
    'health',
    'leader_client',
    'loads',
    'quota',
    'reconfiguration',
    'registry',
    'view',
]
