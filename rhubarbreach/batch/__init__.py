"""Execution of batch items."""

from rhubarbreach.batch import access
from rhubarbreach.batch import api
from rhubarbreach.batch import items
from rhubarbreach.batch import lanes
from rhubarbreach.batch import records
from rhubarbreach.batch import runner
from rhubarbreach.batch import store
from rhubarbreach.batch import ticker
from rhubarbreach.batch import upload
from rhubarbreach.batch import window

__all__ = [
    'access',
    'api',
    'items',
    'lanes',
    'records',
    'runner',
    'store',
    'ticker',
    'upload',
    'window',
]
