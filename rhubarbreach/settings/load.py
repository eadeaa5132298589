"""Reading and validation of the settings file of a host."""

import configparser
import ipaddress
import os

from rhubarbreach import exceptions
from rhubarbreach.protocol import tls
from rhubarbreach.settings import model
from rhubarbreach.settings import options

__all__ = ['load_settings']

PEERS_SECTION = 'peers'


def load_settings(path):
    """Read a settings file and validate all of its options.

    Parameters
    ----------
    path : str
        INI file.

    Returns
    -------
    Settings
        All settings of one host.

    Raises
    ------
    SettingsError
        If the file is not valid; the error has one line for each fault.
    """
    parser = configparser.ConfigParser(interpolation=None)
    try:
        with open(path, encoding='utf-8') as file:
            parser.read_file(file)
    except (OSError, UnicodeDecodeError, configparser.Error) as error:
        text = ' '.join(str(error).split())
        raise exceptions.SettingsError((f'{path}: {text}',)) from error
    faults = []
    values = read_values(path, parser, faults)
    peers = read_peers(path, parser, faults)
    if not faults:
        check_values(path, values, faults)
    if faults:
        raise exceptions.SettingsError(tuple(faults))
    return build_settings(values, peers)


def make_fault(path, section, name, found, allowed):
    """Return the line that describes one fault."""
    return (
        f'{path}: section [{section}] option {name}: '
        f'found {found}, allowed: {allowed}'
    )


def read_values(path, parser, faults):
    """Return the values by section and name; append faults to the list."""
    option_keys = {(option.section, option.name) for option in options.OPTIONS}
    sections = {option.section for option in options.OPTIONS}
    for section in parser.sections():
        if section == PEERS_SECTION:
            continue
        if section not in sections:
            allowed = ', '.join(sorted(sections | {PEERS_SECTION}))
            faults.append(
                f'{path}: section [{section}]: unknown, allowed: {allowed}'
            )
            continue
        for name in parser[section]:
            if (section, name) not in option_keys:
                allowed = ', '.join(
                    sorted(key[1] for key in option_keys if key[0] == section)
                )
                faults.append(
                    make_fault(path, section, name, 'unknown option', allowed)
                )
    values = {}
    for option in options.OPTIONS:
        text = parser.get(option.section, option.name, fallback=option.default)
        if text is options.REQUIRED:
            faults.append(
                make_fault(
                    path, option.section, option.name, 'none', option.allowed
                )
            )
            continue
        try:
            values[option.section, option.name] = option.parse(text.strip())
        except options.InvalidValueError:
            faults.append(
                make_fault(
                    path,
                    option.section,
                    option.name,
                    repr(text),
                    option.allowed,
                )
            )
    return values


def read_peers(path, parser, faults):
    """Return the host ids and link addresses of the peers."""
    if not parser.has_section(PEERS_SECTION):
        return ()
    peers = []
    for name, text in parser[PEERS_SECTION].items():
        try:
            peers.append((options.parse_name(name), parse_peer(text)))
        except options.InvalidValueError:
            faults.append(
                make_fault(path, PEERS_SECTION, name, repr(text), 'IP:port')
            )
    return tuple(peers)


def parse_peer(text):
    """Return the link address of a peer."""
    return options.parse_address(text.strip())


def check_values(path, values, faults):
    """Check values that depend on other options or on the file system."""
    roles = values['host', 'roles']
    folder = values['data', 'folder']
    if 'store' in roles and not folder:
        faults.append(
            make_fault(
                path, 'data', 'folder', 'none', 'a path for the role store'
            )
        )
    if folder and not is_writable_folder(folder):
        faults.append(
            make_fault(
                path, 'data', 'folder', repr(folder), 'a writable folder'
            )
        )
    check_tls(path, values, faults)


def is_writable_folder(folder):
    """Return whether a folder is writable or could be created."""
    existing = os.path.abspath(folder)
    while not os.path.exists(existing):
        existing = os.path.dirname(existing)
    return os.path.isdir(existing) and os.access(existing, os.W_OK)


def check_tls(path, values, faults):
    """Check that TLS is configured, unless the link is on loopback."""
    names = ('ca_file', 'certificate_file', 'key_file')
    files = [values['tls', name] for name in names]
    if any(files):
        for name, file in zip(names, files, strict=True):
            if not os.access(file, os.R_OK):
                faults.append(
                    make_fault(
                        path, 'tls', name, repr(file), 'a readable PEM file'
                    )
                )
        return
    address = values['host', 'link'].rpartition(':')[0].strip('[]')
    if not ipaddress.ip_address(address).is_loopback:
        faults.append(
            make_fault(
                path,
                'tls',
                'ca_file',
                'none',
                'a PEM file, unless the link is on the loopback address',
            )
        )


def build_settings(values, peers):
    """Build the settings from validated values."""

    def section(name):
        return {
            key[1]: value for key, value in values.items() if key[0] == name
        }

    files = section('tls')
    return model.Settings(
        host=model.HostSettings(**section('host')),
        data=model.DataSettings(**section('data')),
        store=model.StoreSettings(**section('store')),
        requests=model.RequestSettings(**section('requests')),
        jobs=model.JobSettings(**section('jobs')),
        policy=model.PolicySettings(**section('policy')),
        log=model.LogSettings(**section('log')),
        debug=model.DebugSettings(**section('debug')),
        tls=tls.TlsFiles(**files) if files['ca_file'] else None,
        peers=peers,
    )
