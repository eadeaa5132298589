"""Rates of client accounts and concurrency of endpoints."""

from rhubarbreach.limits import concurrency
from rhubarbreach.limits import home
from rhubarbreach.limits import slots

__all__ = ['concurrency', 'home', 'slots']
