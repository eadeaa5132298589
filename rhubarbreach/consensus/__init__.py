"""Replicated log groups."""

from rhubarbreach.consensus import client
from rhubarbreach.consensus import group
from rhubarbreach.consensus import groups
from rhubarbreach.consensus import model
from rhubarbreach.consensus import repair

__all__ = ['client', 'group', 'groups', 'model', 'repair']
