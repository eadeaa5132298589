"""HTTP/1.1 on sockets that this process owns, parsed by httptools."""

from rhubarbreach.web import client
from rhubarbreach.web import errors
from rhubarbreach.web import events
from rhubarbreach.web import parse
from rhubarbreach.web import server
from rhubarbreach.web import sockets

__all__ = ['client', 'errors', 'events', 'parse', 'server', 'sockets']
