"""Assembly, start and shutdown of one host process."""

from rhubarbreach.daemon import announce
from rhubarbreach.daemon import faults
from rhubarbreach.daemon import host
from rhubarbreach.daemon import probe
from rhubarbreach.daemon import provider
from rhubarbreach.daemon import run
from rhubarbreach.daemon import sharetask
from rhubarbreach.daemon import shutdown
from rhubarbreach.daemon import stores

__all__ = [
    'announce',
    'faults',
    'host',
    'probe',
    'provider',
    'run',
    'sharetask',
    'shutdown',
    'stores',
]
