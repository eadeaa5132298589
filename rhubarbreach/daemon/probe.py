"""Checks before the start of a host: addresses and data folder."""

import dataclasses
import fcntl
import os
import socket

__all__ = ['StartupFault', 'find_startup_faults', 'parse_address']

LOCK_FILE = 'lock'


@dataclasses.dataclass(frozen=True, slots=True)
class StartupFault:
    """A reason why a host cannot start.

    Parameters
    ----------
    text : str
        Description for an operator.
    is_address : bool
        Whether an address is at fault, rather than the data folder.
    """

    text: str
    is_address: bool


def parse_address(text):
    """Return host and port of an `IP:port` address."""
    address, _, port = text.rpartition(':')
    return address.strip('[]'), int(port)


def find_startup_faults(settings):
    """Return the faults that would prevent a host from starting.

    Parameters
    ----------
    settings : model.Settings
        Validated settings.

    Returns
    -------
    list of StartupFault
        Empty when the host can start.
    """
    faults = []
    host = settings.host
    for name in ('http', 'link', 'operators'):
        address = getattr(host, name)
        if address:
            faults.extend(check_address(name, address))
    if settings.data.folder:
        faults.extend(check_folder(settings.data.folder))
    return faults


def check_address(name, address):
    """Return the fault of a listening address, if there is one."""
    ip, port = parse_address(address)
    family = socket.AF_INET6 if ':' in ip else socket.AF_INET
    with socket.socket(family) as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            probe.bind((ip, port))
        except OSError as error:
            text = (
                f'section [host] option {name}: found {address!r}, '
                f'{error.strerror}, allowed: a free address of this host'
            )
            return [StartupFault(text, True)]
    return []


def check_folder(folder):
    """Return a fault if another process uses the data folder."""
    path = os.path.join(folder, LOCK_FILE)
    if not os.path.exists(path):
        return []
    with open(path, 'rb') as file:
        try:
            fcntl.flock(file, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError:
            text = (
                f'section [data] option folder: found {folder!r}, in use '
                'by another process, allowed: a folder for this host alone'
            )
            return [StartupFault(text, False)]
    return []
