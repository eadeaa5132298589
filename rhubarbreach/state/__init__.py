"""Deterministic state machines of the replicated log groups."""

from rhubarbreach.state import jobcommands
from rhubarbreach.state import jobs
from rhubarbreach.state import logicaltime
from rhubarbreach.state import model
from rhubarbreach.state import requestcommands
from rhubarbreach.state import requests

__all__ = [
    'jobcommands',
    'jobs',
    'logicaltime',
    'model',
    'requestcommands',
    'requests',
]
