"""Batch jobs that are replicated whole and run by the leader."""

from rhubarbreach.backlog import commands
from rhubarbreach.backlog import ledger
from rhubarbreach.backlog import plan
from rhubarbreach.backlog import runner

__all__ = ['commands', 'ledger', 'plan', 'runner']
