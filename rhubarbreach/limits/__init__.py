"""Rates of client accounts and concurrency of endpoints."""

from rhubarbreach.limits import buckets
from rhubarbreach.limits import concurrency
from rhubarbreach.limits import demand
from rhubarbreach.limits import holder
from rhubarbreach.limits import home
from rhubarbreach.limits import owner
from rhubarbreach.limits import shares
from rhubarbreach.limits import shareset
from rhubarbreach.limits import slots

__all__ = [
    'buckets',
    'concurrency',
    'demand',
    'holder',
    'home',
    'owner',
    'shares',
    'shareset',
    'slots',
]
