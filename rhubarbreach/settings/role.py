"""Settings of a host that has one role, entry or store."""

import configparser
import dataclasses
import re

from rhubarbreach import exceptions

__all__ = ['RoleSettings', 'load_role']

ROLES = ('entry', 'store')
BYTES_PER_MEGABYTE = 1_000_000
NAME = re.compile(r'[\w.-]+')
BYTES_PER_KILOBYTE = 1000
# The table of all endpoints has to fit into one message.
DEFAULT_ENDPOINT_BYTES = 512 * BYTES_PER_KILOBYTE
# Memory of the smallest hosts.
DEFAULT_MEMORY_BYTES = 150 * BYTES_PER_MEGABYTE


@dataclasses.dataclass(frozen=True, slots=True)
class RoleSettings:
    """Settings of a host; addresses are `IP:port`, times are in seconds.

    Parameters
    ----------
    name, address, availability_zone, role : str
        Host name, IP address, availability zone, and `entry` or `store`.
    callers, readiness : str
        Addresses `IP:port` on which an entry host serves callers, and
        readiness checks of the load balancer.
    control : str
        Address `IP:port` on which a store host serves endpoints and
        operators.
    link_port : int
        Port on which every host listens for links from other hosts.
    seeds : tuple of str
        IP addresses of the store hosts that a host contacts first.
    founds_group : bool
        Whether the fleet starts for the first time. A store host whose
        address is among the seeds then creates a consensus group with
        the seeds as its first voters.
    data_folder : str
        Folder for the state of a store host.
    announce_interval : float
        Interval between two announcements of an endpoint.
    endpoint_bytes : float
        Bound of the announcements of all endpoints that a host keeps.
    tolerated_stores : int
        Number of store hosts that may fail at the same time.
    revoke_seconds : float
        Longest time from the revocation of a key until no host accepts
        it.
    grace_seconds : float
        Time from SIGTERM until the process ends.
    memory_bytes : float
        Memory that the process may use.
    message_fraction : float
        Part of it for the messages that the process holds.
    socket_fraction : float
        Part of it for the buffers of its sockets.
    job_fraction : float
        Part of it for the batch jobs that a store keeps. A snapshot takes as
        much for some seconds.
    max_connections : int
        Connections of callers, or of endpoints and operators, that a process
        accepts at the same time.
    max_link_connections : int
        Connections that other hosts make to the link of the process.
    relay : str
        Address `IP:port` on which an entry host connects to endpoints for
        others, empty if it does not. The port is the same on all hosts.
    max_relayed : int
        Connections that it makes for others at the same time.
    max_pipelined : int
        Requests of one connection that may wait for the one before them.
    max_framing_ratio : float
        Bytes of chunk framing for each byte of the body of a request.
    room_seconds : float
        Time without a whole request after which a connection may end for a new
        one.
    metrics_port : int
        Port of the metrics, 0 for none.
    zones : tuple of str
        Availability zones that operators may name. If empty, those of the
        known hosts and endpoints.
    evacuate_seconds : float
        Time after which no host sends anything to an evacuated zone, 0 if
        zones are not evacuated.
    judges_requests : bool
        Whether requests that crash each endpoint are held back.
    rate_window, rate_overage, rate_slack : float
        Tolerance of the rate limits of client accounts. In `rate_window`
        seconds an account may exceed the requests that its limit allows by
        the fraction `rate_overage` and by `rate_slack` requests.
    cold_overage, cold_slack : float
        A cold endpoint may get its target rate times `cold_overage` plus
        `cold_slack` requests in any second.
    hedge_fraction : float
        Part of the requests of an entry host that may be sent to a second
        endpoint before the first one has sent an event, 0 for none.
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
    endpoint_bytes: float = DEFAULT_ENDPOINT_BYTES
    tolerated_stores: int = 1
    revoke_seconds: float = 5.0
    grace_seconds: float = 8.0
    metrics_port: int = 0
    rate_window: float = 5.0
    rate_overage: float = 0.1
    rate_slack: float = 20.0
    memory_bytes: float = DEFAULT_MEMORY_BYTES
    zones: tuple[str, ...] = ()
    evacuate_seconds: float = 0.0
    message_fraction: float = 0.2
    socket_fraction: float = 0.2
    job_fraction: float = 0.25
    max_connections: int = 1024
    max_link_connections: int = 1024
    cold_overage: float = 1.5
    cold_slack: float = 5.0
    judges_requests: bool = True
    max_pipelined: int = 64
    max_framing_ratio: float = 16.0
    room_seconds: float = 1.0
    hedge_fraction: float = 0.1
    relay: str = ''
    max_relayed: int = 256

    @property
    def message_bytes(self):
        """Memory of the messages that the process holds together."""
        return self.memory_bytes * self.message_fraction

    @property
    def relay_port(self):
        """Port of the relays of all entry hosts, 0 if there are none."""
        return int(self.relay.rpartition(':')[2] or 0)

    @property
    def socket_bytes(self):
        """Memory of the buffers of all sockets of the process."""
        return self.memory_bytes * self.socket_fraction

    @property
    def job_bytes(self):
        """Memory of the batch jobs that a store keeps."""
        return self.memory_bytes * self.job_fraction


class OptionReader:
    """Reader of options that collects faults."""

    def __init__(self, path, parser):
        self.path = path
        self.parser = parser
        self.faults = []

    def read_bound(self, option, expected, default):
        """Return an option of a bound that not every deployment defines.

        The template of the settings keeps the names of variables that a
        deployment does not define.
        """
        text = self.parser.get('fleet', option, fallback='').strip()
        if text.startswith('{{'):
            return default
        return self.read('fleet', option, to_non_negative, expected, default)

    def read(self, section, option, convert, expected, default=None):
        """Return an option; add a fault and return None if not valid."""
        text = self.parser.get(section, option, fallback='').strip()
        if not text and default is not None:
            return default
        try:
            return convert(text)
        except ValueError:
            self.faults.append(
                f'{self.path}: [{section}] {option} = {text!r}: '
                f'expected {expected}'
            )
            return None


def load_role(path):
    """Read the settings of a host from a file.

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
    reader = OptionReader(path, parser)
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
        endpoint_bytes=reader.read(
            'fleet',
            'endpoint_kb',
            to_kilobytes,
            'kilobytes',
            DEFAULT_ENDPOINT_BYTES,
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
            'fleet', 'rate_overage', to_non_negative, 'a fraction', 0.1
        ),
        rate_slack=reader.read(
            'fleet', 'rate_slack', to_non_negative, 'a number', 20.0
        ),
        memory_bytes=reader.read(
            'host', 'memory_mb', to_bytes, 'megabytes', DEFAULT_MEMORY_BYTES
        ),
        zones=reader.read('fleet', 'zones', to_names, 'zone names', ()),
        evacuate_seconds=reader.read(
            'fleet', 'evacuate_ms', to_seconds, 'milliseconds', 0.0
        ),
        message_fraction=reader.read(
            'host', 'message_fraction', to_fraction, 'a part of 1', 0.2
        ),
        socket_fraction=reader.read(
            'host', 'socket_fraction', to_fraction, 'a part of 1', 0.2
        ),
        job_fraction=reader.read(
            'store', 'job_fraction', to_fraction, 'a part of 1', 0.25
        ),
        max_connections=reader.read(
            'host', 'max_connections', to_positive_count, 'a number', 1024
        ),
        max_link_connections=reader.read(
            'link', 'max_connections', to_positive_count, 'a number', 1024
        ),
        cold_overage=reader.read_bound('cold_overage', 'a factor', 1.5),
        cold_slack=reader.read_bound('cold_slack', 'a number', 5.0),
        judges_requests=reader.read(
            'fleet', 'judges_requests', to_bool, 'true or false', True
        ),
        max_pipelined=reader.read(
            'callers', 'max_pipelined', to_positive_count, 'a number', 64
        ),
        max_framing_ratio=reader.read(
            'callers', 'max_framing_ratio', to_positive, 'a number', 16.0
        ),
        room_seconds=reader.read(
            'callers', 'room_ms', to_seconds, 'milliseconds', 1.0
        ),
        relay=reader.read('listen', 'relay', to_address, 'IP:port', ''),
        max_relayed=reader.read(
            'host', 'max_relayed', to_positive_count, 'a number', 256
        ),
        hedge_fraction=reader.read(
            'fleet', 'hedge_fraction', to_part, 'a part from 0 to 1', 0.1
        ),
    )
    needed = {
        'entry': ('callers', 'readiness'),
        'store': ('control', 'data_folder'),
    }.get(role, ())
    for name in needed:
        if not getattr(settings, name):
            reader.faults.append(f'{path}: {name} is required for role {role}')
    if reader.faults:
        raise exceptions.SettingsError(tuple(reader.faults))
    return settings


def to_text(text):
    """Return the text if it is not empty."""
    if not text:
        raise ValueError
    return text


def to_role(text):
    """Return the text if it is a role."""
    if text not in ROLES:
        raise ValueError
    return text


def to_port(text):
    """Return the port number in a text."""
    port = int(text)
    if not 0 < port < 65536:
        raise ValueError
    return port


def to_count(text):
    """Return the integer in a text if it is not negative."""
    number = int(text)
    if number < 0:
        raise ValueError
    return number


def to_positive_count(text):
    """Return the integer in a text if it is above zero."""
    number = to_count(text)
    if not number:
        raise ValueError
    return number


def to_fraction(text):
    """Return the number in a text if it is above zero and below one."""
    number = to_positive(text)
    if not number < 1:
        raise ValueError
    return number


def to_part(text):
    """Return the number in a text if it is from zero to one."""
    number = to_non_negative(text)
    if number > 1:
        raise ValueError
    return number


def to_positive(text):
    """Return the number in a text if it is above zero."""
    number = float(text)
    if not number > 0:
        raise ValueError
    return number


def to_non_negative(text):
    """Return the number in a text if it is not negative."""
    number = float(text)
    if not number >= 0:
        raise ValueError
    return number


def to_bytes(text):
    """Return the bytes for a text in megabytes."""
    return to_positive(text) * BYTES_PER_MEGABYTE


def to_kilobytes(text):
    """Return the bytes for a text in kilobytes."""
    return to_positive(text) * BYTES_PER_KILOBYTE


def to_seconds(text):
    """Return the seconds for a text in milliseconds."""
    return to_positive(text) / 1000


def to_bool(text):
    """Return the boolean value of `true` or `false`."""
    if text.lower() not in ('true', 'false'):
        raise ValueError
    return text.lower() == 'true'


def to_address(text):
    """Return the text if it is an address with a port."""
    host, _, port = text.rpartition(':')
    if not host:
        raise ValueError
    to_port(port)
    return text


def to_names(text):
    """Return the names of a comma-separated list."""
    names = tuple(part.strip() for part in text.split(','))
    if not all(map(NAME.fullmatch, names)):
        raise ValueError
    return names


def to_hosts(text):
    """Return the hosts of a comma-separated list of `host:port`."""
    hosts = [part.strip().rpartition(':')[0] for part in text.split(',')]
    if not all(hosts):
        raise ValueError
    return tuple(hosts)
