"""Selection of the endpoint for a request."""

from rhubarbreach.routing import cache
from rhubarbreach.routing import choose
from rhubarbreach.routing import ejection
from rhubarbreach.routing import load
from rhubarbreach.routing import suspects

__all__ = ['cache', 'choose', 'ejection', 'load', 'suspects']
