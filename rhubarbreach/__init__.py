"""Serving system for online and batch inference on one fleet."""

from rhubarbreach import clock
from rhubarbreach import codes
from rhubarbreach import exceptions
from rhubarbreach import version

__all__ = ['clock', 'codes', 'exceptions', 'version']
