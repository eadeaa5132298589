"""Batch jobs: HTTP interface, storage and execution of their items."""

from rhubarbreach.batch import access
from rhubarbreach.batch import api
from rhubarbreach.batch import items
from rhubarbreach.batch import records
from rhubarbreach.batch import runner
from rhubarbreach.batch import sessions
from rhubarbreach.batch import store
from rhubarbreach.batch import ticker
from rhubarbreach.batch import upload
from rhubarbreach.batch import window

__all__ = [
    'access',
    'api',
    'items',
    'records',
    'runner',
    'sessions',
    'store',
    'ticker',
    'upload',
    'window',
]
