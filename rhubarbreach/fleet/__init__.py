"""What entry hosts and stores tell each other, and what they decide on it."""

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
