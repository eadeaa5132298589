"""Errors of HTTP connections and messages."""

from rhubarbreach import exceptions

__all__ = [
    'BadMessageError',
    'ConnectError',
    'ConnectRefusedError',
    'ConnectionEndedError',
    'DeadlineError',
    'WithheldError',
]


class ConnectionEndedError(exceptions.RhubarbreachError):
    """The peer has closed or reset the connection."""


class DeadlineError(exceptions.RhubarbreachError):
    """The peer was not ready before the deadline."""


class ConnectError(exceptions.RhubarbreachError):
    """No connection was made; nothing was sent."""


class WithheldError(ConnectError):
    """The connection was made, but the request was not to be sent any more."""


class ConnectRefusedError(ConnectError):
    """The peer is reached, and no process listens on its port."""


class BadMessageError(exceptions.RhubarbreachError):
    """The received bytes are not an acceptable HTTP message.

    Parameters
    ----------
    reason : str
        Description of the error.
    status : int
        HTTP status for a caller that sent the message.
    """

    def __init__(self, reason, status=400):
        super().__init__(reason)
        self.status = status
