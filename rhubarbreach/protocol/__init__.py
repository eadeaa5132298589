"""Protocol between hosts: messages, their encoding and the link."""

from rhubarbreach.protocol import codec
from rhubarbreach.protocol import configmessages
from rhubarbreach.protocol import delay
from rhubarbreach.protocol import framing
from rhubarbreach.protocol import hostmessages
from rhubarbreach.protocol import limitmessages
from rhubarbreach.protocol import link
from rhubarbreach.protocol import logmessages
from rhubarbreach.protocol import membermessages
from rhubarbreach.protocol import messages
from rhubarbreach.protocol import tagged
from rhubarbreach.protocol import tls

__all__ = [
    'codec',
    'configmessages',
    'delay',
    'framing',
    'hostmessages',
    'limitmessages',
    'link',
    'logmessages',
    'membermessages',
    'messages',
    'tagged',
    'tls',
]
