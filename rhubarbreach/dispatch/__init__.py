"""Sending of requests to endpoints and relaying of their responses."""

from rhubarbreach.dispatch import attempt
from rhubarbreach.dispatch import budget
from rhubarbreach.dispatch import call
from rhubarbreach.dispatch import callers
from rhubarbreach.dispatch import decide
from rhubarbreach.dispatch import errors
from rhubarbreach.dispatch import events
from rhubarbreach.dispatch import executor
from rhubarbreach.dispatch import hedge
from rhubarbreach.dispatch import loop
from rhubarbreach.dispatch import prompt
from rhubarbreach.dispatch import run
from rhubarbreach.dispatch import selector
from rhubarbreach.dispatch import sink
from rhubarbreach.dispatch import transfer

__all__ = [
    'attempt',
    'budget',
    'call',
    'callers',
    'decide',
    'errors',
    'events',
    'executor',
    'hedge',
    'loop',
    'prompt',
    'run',
    'selector',
    'sink',
    'transfer',
]
