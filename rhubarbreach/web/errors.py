"""Ends of a connection that its task has to handle."""

from rhubarbreach import exceptions

__all__ = [
    'BadMessageError',
    'ConnectError',
    'ConnectionEndedError',
    'DeadlineError',
]


class ConnectionEndedError(exceptions.RhubarbreachError):
    """The other side has closed or reset the connection."""


class DeadlineError(exceptions.RhubarbreachError):
    """The other side was not ready before the deadline."""


class ConnectError(exceptions.RhubarbreachError):
    """No connection was made, so that nothing was sent."""


class BadMessageError(exceptions.RhubarbreachError):
    """What was received is not a message that may be used.

    Parameters
    ----------
    reason : str
        What is wrong.
    status : int
        Status for a caller that has sent it.
    """

    def __init__(self, reason, status=400):
        super().__init__(reason)
        self.status = status
