"""Exception classes of rhubarbreach.

Expected refusals are `rhubarbreach.codes.Refusal` values. The exceptions
below report a faulty configuration, host or peer.
"""

__all__ = [
    'AddressError',
    'CorruptLogError',
    'DataFolderError',
    'DiskFullError',
    'MessageError',
    'ReplicaError',
    'RhubarbreachError',
    'SettingsError',
]


class RhubarbreachError(Exception):
    """Base class of all exceptions raised by rhubarbreach."""


class SettingsError(RhubarbreachError):
    """Raised when a settings file is invalid.

    Parameters
    ----------
    faults : tuple of str
        One line for each fault: file, section, option, value and the
        allowed values.
    """

    def __init__(self, faults):
        super().__init__('; '.join(faults))
        self.faults = faults


class DataFolderError(RhubarbreachError):
    """Raised when a data folder is missing, not writable or in use."""


class AddressError(RhubarbreachError):
    """Raised when a process cannot listen on an address of its settings."""


class CorruptLogError(RhubarbreachError):
    """Raised when a log or its snapshot is damaged or inconsistent.

    A torn last record of a log, which was never synced, is no such error.
    """


class ReplicaError(RhubarbreachError):
    """Raised when a replica has ended and its process has to start anew."""


class DiskFullError(RhubarbreachError):
    """Raised when a file cannot grow because the file system is full."""


class MessageError(RhubarbreachError):
    """Raised when a message or document cannot be encoded or decoded."""
