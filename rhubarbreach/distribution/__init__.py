"""Configuration view of a host and its distribution to all hosts."""

from rhubarbreach.distribution import revision
from rhubarbreach.distribution import view

__all__ = ['revision', 'view']
