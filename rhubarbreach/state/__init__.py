"""Deterministic state machines of the replicated log groups."""

from rhubarbreach.state import changes
from rhubarbreach.state import config
from rhubarbreach.state import index
from rhubarbreach.state import model
from rhubarbreach.state import shards

__all__ = ['changes', 'config', 'index', 'model', 'shards']
