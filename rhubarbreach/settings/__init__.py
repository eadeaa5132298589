"""Settings of a host, read from an INI file and validated."""

from rhubarbreach.settings import load
from rhubarbreach.settings import model
from rhubarbreach.settings import options

__all__ = ['load', 'model', 'options']
