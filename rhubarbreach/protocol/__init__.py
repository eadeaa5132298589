"""Inner protocol: messages, their encoding and the link between hosts."""

from rhubarbreach.protocol import codec
from rhubarbreach.protocol import delay
from rhubarbreach.protocol import framing
from rhubarbreach.protocol import link
from rhubarbreach.protocol import messages
from rhubarbreach.protocol import tagged
from rhubarbreach.protocol import tls

__all__ = ['codec', 'delay', 'framing', 'link', 'messages', 'tagged', 'tls']
