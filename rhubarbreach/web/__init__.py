"""HTTP/1.1 client and server on sockets, with parsing by httptools."""

from rhubarbreach.web import client
from rhubarbreach.web import errors
from rhubarbreach.web import events
from rhubarbreach.web import parse
from rhubarbreach.web import server
from rhubarbreach.web import sockets

__all__ = ['client', 'errors', 'events', 'parse', 'server', 'sockets']
