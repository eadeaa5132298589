"""HTTP front end for callers: authentication, request path, records."""

from rhubarbreach.entry import access
from rhubarbreach.entry import app
from rhubarbreach.entry import bodies
from rhubarbreach.entry import completions
from rhubarbreach.entry import connection
from rhubarbreach.entry import online
from rhubarbreach.entry import records
from rhubarbreach.entry import refusals
from rhubarbreach.entry import routes
from rhubarbreach.entry import server
from rhubarbreach.entry import status
from rhubarbreach.entry import streams

__all__ = [
    'access',
    'app',
    'bodies',
    'completions',
    'connection',
    'online',
    'records',
    'refusals',
    'routes',
    'server',
    'status',
    'streams',
]
