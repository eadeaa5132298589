"""Scheduler of a host, built from fair queue, slot table and routing."""

from rhubarbreach.placement import baseline
from rhubarbreach.placement import core
from rhubarbreach.placement import decisions
from rhubarbreach.placement import exchange
from rhubarbreach.placement import expiry
from rhubarbreach.placement import isolation
from rhubarbreach.placement import outcomes
from rhubarbreach.placement import scheduler
from rhubarbreach.placement import waiting

__all__ = [
    'baseline',
    'core',
    'decisions',
    'exchange',
    'expiry',
    'isolation',
    'outcomes',
    'scheduler',
    'waiting',
]
