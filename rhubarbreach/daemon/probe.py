"""Checks of the machine that a settings file alone cannot show."""

import dataclasses
import fcntl
import os
import socket

__all__ = ['MachineFault', 'find_machine_faults', 'parse_address']

LOCK_FILE = 'lock'


@dataclasses.dataclass(frozen=True, slots=True)
class MachineFault:
    """A fault of an address or of the data folder."""

    text: str
    is_address: bool


def parse_address(text):
    """Return host and port of an `IP:port` address."""
    address, _, port = text.rpartition(':')
    return address.strip('[]'), int(port)


def find_machine_faults(settings):
    """Return the faults that would keep a host from starting.

    Parameters
    ----------
    settings : model.Settings
        Checked settings.

    Returns
    -------
    list of MachineFault
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
    """Return the fault of one listening address, if any."""
    ip, port = parse_address(address)
    family = socket.AF_INET6 if ':' in ip else socket.AF_INET
    with socket.socket(family) as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            probe.bind((ip, port))
        except OSError as error:
            text = (
                f'section [host] option {name}: found {address!r}, '
                f'{error.strerror}, allowed: a free address of this machine'
            )
            return [MachineFault(text, True)]
    return []


def check_folder(folder):
    """Return the fault of a data folder that another process uses."""
    path = os.path.join(folder, LOCK_FILE)
    if not os.path.exists(path):
        return []
    with open(path, 'rb') as file:
        try:
            fcntl.flock(file, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError:
            text = (
                f'section [data] option folder: found {folder!r}, in use '
                'by another process, allowed: a folder of its own'
            )
            return [MachineFault(text, False)]
    return []
