"""Inner protocol: messages, their encoding and the link between hosts."""

from rhubarbreach.protocol import codec
from rhubarbreach.protocol import link
from rhubarbreach.protocol import messages
from rhubarbreach.protocol import tagged
from rhubarbreach.protocol import tls

__all__ = ['codec', 'link', 'messages', 'tagged', 'tls']
