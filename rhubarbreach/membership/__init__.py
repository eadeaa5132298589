"""Membership of hosts and the registry of announced endpoints."""

from rhubarbreach.membership import endpoints
from rhubarbreach.membership import hosts
from rhubarbreach.membership import members
from rhubarbreach.membership import model
from rhubarbreach.membership import swim

__all__ = ['endpoints', 'hosts', 'members', 'model', 'swim']
