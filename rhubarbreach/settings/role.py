"""Settings of a host with one role, entry or store."""

import configparser
import dataclasses

from rhubarbreach import exceptions

__all__ = ['RoleSettings', 'load_role']

ROLES = ('entry', 'store')


@dataclasses.dataclass(frozen=True, slots=True)
class RoleSettings:
    """Settings of a host; addresses are `IP:port`, times are in seconds.

    Parameters
    ----------
    name, address, availability_zone, role : str
        Name, IP address, zone, and `entry` or `store`.
    callers, readiness : str
        Where an entry host listens for callers and the balancer.
    control : str
        Where a store listens for endpoints and operators.
    link_port : int
        Port of the links of all hosts.
    seeds : tuple of str
        IP addresses of stores to begin with.
    founds_group : bool
        Whether the fleet starts for the first time.
    data_folder : str
        Folder of a store's state.
    announce_interval : float
        Time between two announcements of an endpoint.
    tolerated_stores : int
        Stores that may be lost at once.
    revoke_seconds : float
        Time after which no host may trust a withdrawn key.
    grace_seconds : float
        Time from SIGTERM to the end of the process.
    metrics_port : int
        Port of the metrics, 0 for none.
    rate_window, rate_overage, rate_slack : float
        How far rates of client accounts may be exceeded: in a window of so
        many seconds by a part and by a number of requests.
    """

    name: str
    address: str
    availability_zone: str
    role: str
    link_port: int
    seeds: tuple[str, ...]
    callers: str = ''
    readiness: str = ''
    control: str = ''
    founds_group: bool = False
    data_folder: str = ''
    announce_interval: float = 1.2
    tolerated_stores: int = 1
    revoke_seconds: float = 5.0
    grace_seconds: float = 8.0
    metrics_port: int = 0
    rate_window: float = 5.0
    rate_overage: float = 0.1
    rate_slack: float = 20.0


class Reader:
    """Reads options and collects faults."""

    def __init__(self, path, parser):
        self.path = path
        self.parser = parser
        self.faults = []

    def read(self, section, option, convert, expected, default=None):
        """Return an option, None with a fault when it is not valid."""
        text = self.parser.get(section, option, fallback='').strip()
        if not text and default is not None:
            return default
        try:
            return convert(text)
        except ValueError:
            self.faults.append(
                f'{self.path}: [{section}] {option} = {text!r}: '
                f'{expected} is expected'
            )
            return None


def load_role(path):
    """Return the settings of a file.

    Parameters
    ----------
    path : str
        INI file.

    Returns
    -------
    RoleSettings
        Settings; unknown options are ignored.

    Raises
    ------
    SettingsError
        If the file cannot be read or an option is not valid.
    """
    parser = configparser.ConfigParser(interpolation=None, strict=False)
    try:
        with open(path, encoding='utf-8') as file:
            parser.read_file(file)
    except (OSError, configparser.Error, UnicodeDecodeError) as error:
        raise exceptions.SettingsError((f'{path}: {error}',)) from error
    reader = Reader(path, parser)
    role = reader.read('host', 'role', to_role, 'entry or store')
    settings = RoleSettings(
        name=reader.read('host', 'name', to_text, 'a name'),
        address=reader.read('host', 'address', to_text, 'an IP address'),
        availability_zone=reader.read(
            'host', 'availability_zone', to_text, 'a name'
        ),
        role=role,
        link_port=reader.read('link', 'port', to_port, 'a port'),
        seeds=reader.read('link', 'seeds', to_hosts, 'addresses'),
        callers=reader.read('listen', 'callers', to_address, 'IP:port', ''),
        readiness=reader.read(
            'listen', 'readiness', to_address, 'IP:port', ''
        ),
        control=reader.read('listen', 'control', to_address, 'IP:port', ''),
        founds_group=reader.read(
            'store', 'founds_group', to_bool, 'true or false', False
        ),
        data_folder=reader.read('store', 'data_folder', to_text, 'a path', ''),
        announce_interval=reader.read(
            'fleet', 'announce_ms', to_seconds, 'milliseconds', 1.2
        ),
        tolerated_stores=reader.read(
            'fleet', 'tolerated_stores', to_count, 'a number', 1
        ),
        revoke_seconds=reader.read(
            'fleet', 'revoke_ms', to_seconds, 'milliseconds', 5.0
        ),
        grace_seconds=reader.read(
            'fleet', 'grace_s', to_positive, 'seconds', 8.0
        ),
        metrics_port=reader.read('listen', 'metrics', to_count, 'a port', 0),
        rate_window=reader.read(
            'fleet', 'rate_window_s', to_positive, 'seconds', 5.0
        ),
        rate_overage=reader.read(
            'fleet', 'rate_overage', to_fraction, 'a fraction', 0.1
        ),
        rate_slack=reader.read(
            'fleet', 'rate_slack', to_fraction, 'a number', 20.0
        ),
    )
    needed = {
        'entry': ('callers', 'readiness'),
        'store': ('control', 'data_folder'),
    }.get(role, ())
    for name in needed:
        if not getattr(settings, name):
            reader.faults.append(f'{path}: {name} is missing for role {role}')
    if reader.faults:
        raise exceptions.SettingsError(tuple(reader.faults))
    return settings


def to_text(text):
    """Return a text that is not empty."""
    if not text:
        raise ValueError
    return text


def to_role(text):
    """Return a role."""
    if text not in ROLES:
        raise ValueError
    return text


def to_port(text):
    """Return a port."""
    port = int(text)
    if not 0 < port < 65536:
        raise ValueError
    return port


def to_count(text):
    """Return a number that is not negative."""
    number = int(text)
    if number < 0:
        raise ValueError
    return number


def to_positive(text):
    """Return a number above zero."""
    number = float(text)
    if not number > 0:
        raise ValueError
    return number


def to_fraction(text):
    """Return a number that is not negative."""
    number = float(text)
    if not number >= 0:
        raise ValueError
    return number


def to_seconds(text):
    """Return seconds of a text in milliseconds."""
    return to_positive(text) / 1000


def to_bool(text):
    """Return a boolean."""
    if text.lower() not in ('true', 'false'):
        raise ValueError
    return text.lower() == 'true'


def to_address(text):
    """Return an address."""
    host, _, port = text.rpartition(':')
    if not host:
        raise ValueError
    to_port(port)
    return text


def to_hosts(text):
    """Return the hosts of a list of addresses."""
    hosts = [part.strip().rpartition(':')[0] for part in text.split(',')]
    if not all(hosts):
        raise ValueError
    return tuple(hosts)
