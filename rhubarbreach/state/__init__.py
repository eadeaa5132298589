"""Deterministic state machines of the replicated log groups."""

from rhubarbreach.state import changes
from rhubarbreach.state import config
from rhubarbreach.state import index
from rhubarbreach.state import jobcommands
from rhubarbreach.state import jobimage
from rhubarbreach.state import jobitems
from rhubarbreach.state import jobqueries
from rhubarbreach.state import jobs
from rhubarbreach.state import jobshares
from rhubarbreach.state import jobuploads
from rhubarbreach.state import logicaltime
from rhubarbreach.state import model
from rhubarbreach.state import pack
from rhubarbreach.state import requestcommands
from rhubarbreach.state import requests
from rhubarbreach.state import shards

__all__ = [
    'changes',
    'config',
    'index',
    'jobcommands',
    'jobimage',
    'jobitems',
    'jobqueries',
    'jobs',
    'jobshares',
    'jobuploads',
    'logicaltime',
    'model',
    'pack',
    'requestcommands',
    'requests',
    'shards',
]
