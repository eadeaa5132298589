"""Commands that run or check one host."""

import importlib
import sys

from rhubarbreach import exceptions
from rhubarbreach.settings import load
from rhubarbreach import version

__all__ = [
    'EXIT_DATA',
    'EXIT_PORT',
    'EXIT_SETTINGS',
    'check',
    'print_version',
    'serve',
]

EXIT_SETTINGS = 2
EXIT_DATA = 3
EXIT_PORT = 4


def read_settings(config):
    """Return the settings, or print one line for each fault and exit."""
    try:
        return load.load_settings(str(config))
    except exceptions.SettingsError as error:
        for fault in error.faults:
            sys.stderr.write(f'{fault}\n')
        sys.exit(EXIT_SETTINGS)


def serve(config):
    """Run a host until SIGTERM, then drain and stop it.

    Parameters
    ----------
    config : str
        Settings file of the host.

    Notes
    -----
    Exit status 0 after a drain, 2 for invalid settings, 3 if the data folder
    cannot be used, 4 if the host cannot listen on an address.
    """
    settings = read_settings(config)
    # Imported here to keep the start-up time of the other commands short.
    run = importlib.import_module('rhubarbreach.daemon.run')
    try:
        run.run_host(settings)
    except (
        exceptions.CorruptLogError,
        exceptions.DataFolderError,
        exceptions.DiskFullError,
        exceptions.ReplicaError,
    ) as error:
        sys.stderr.write(f'{config}: section [data]: {error}\n')
        sys.exit(EXIT_DATA)
    except exceptions.AddressError as error:
        sys.stderr.write(f'{config}: {error}\n')
        sys.exit(EXIT_PORT)


def check(config):
    """Check a settings file and print one line for each fault.

    Parameters
    ----------
    config : str
        Settings file of a host.

    Notes
    -----
    Exit status 0 if the file is valid, 2 for invalid settings, 3 if the data
    folder is in use, 4 if the host could not listen on an address.
    """
    settings = read_settings(config)
    probe = importlib.import_module('rhubarbreach.daemon.probe')
    for fault in probe.find_startup_faults(settings):
        sys.stderr.write(f'{config}: {fault.text}\n')
        sys.exit(EXIT_PORT if fault.is_address else EXIT_DATA)
    sys.stdout.write(f'{config}: valid\n')


def print_version():
    """Print the version of rhubarbreach."""
    sys.stdout.write(f'rhubarbreach {version.VERSION}\n')
