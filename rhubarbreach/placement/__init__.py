"""Scheduler: fair queue, slots and routing composed."""

from rhubarbreach.placement import alone
from rhubarbreach.placement import core
from rhubarbreach.placement import exchange
from rhubarbreach.placement import scheduler

__all__ = ['alone', 'core', 'exchange', 'scheduler']
