"""Scheduler: fair queue, slots and routing composed."""

from rhubarbreach.placement import alone
from rhubarbreach.placement import baseline
from rhubarbreach.placement import core
from rhubarbreach.placement import decisions
from rhubarbreach.placement import exchange
from rhubarbreach.placement import expiry
from rhubarbreach.placement import scheduler
from rhubarbreach.placement import settle
from rhubarbreach.placement import waiting

__all__ = [
    'alone',
    'baseline',
    'core',
    'decisions',
    'exchange',
    'expiry',
    'scheduler',
    'settle',
    'waiting',
]
