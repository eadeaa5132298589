"""Exception classes of rhubarbreach.

Expected refusals are `rhubarbreach.codes.Refusal` values. The exceptions
below report a broken configuration, machine or peer.
"""

__all__ = [
    'AddressError',
    'CorruptLogError',
    'DataFolderError',
    'DiskFullError',
    'MessageError',
    'RhubarbreachError',
    'SettingsError',
]


class RhubarbreachError(Exception):
    """Base class of all exceptions raised by rhubarbreach."""


class SettingsError(RhubarbreachError):
    """A settings file is not valid; `faults` has one line for each fault.

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
    """A data folder is missing, not writable or used by another process."""


class AddressError(RhubarbreachError):
    """An address of the settings cannot be listened on."""


class CorruptLogError(RhubarbreachError):
    """A log has a damaged record before its last record."""


class DiskFullError(RhubarbreachError):
    """A file could not be extended because the file system is full."""


class MessageError(RhubarbreachError):
    """A message between hosts could not be decoded."""
