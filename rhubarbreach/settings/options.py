"""Options of a settings file, with types, defaults and allowed values."""

import dataclasses
import ipaddress
import re
import typing

__all__ = ['InvalidValueError', 'OPTIONS', 'Option', 'REQUIRED']

REQUIRED = object()
ROLES = ('entry', 'store', 'relay')
NAME_PATTERN = re.compile(r'[A-Za-z0-9][A-Za-z0-9._-]{0,62}')
MAX_PORT = 65535


class InvalidValueError(ValueError):
    """A value is not one that the option allows."""


@dataclasses.dataclass(frozen=True, slots=True)
class Option:
    """One option of a settings file.

    Parameters
    ----------
    section, name : str
        Section and name of the option in the file.
    parse : callable
        Converts the text to a value, or raises `InvalidValueError`.
    default : object
        Text that replaces a missing option, or `REQUIRED`.
    allowed : str
        Description of the allowed values, for operators.
    """

    section: str
    name: str
    parse: typing.Callable
    default: object
    allowed: str


def parse_name(text):
    """Return the text if it is a valid identifier."""
    if not NAME_PATTERN.fullmatch(text):
        raise InvalidValueError
    return text


def parse_text(text):
    """Return the text unchanged."""
    return text


def parse_address(text):
    """Return the text if it is an `IP:port` address."""
    address, _, port = text.rpartition(':')
    try:
        ipaddress.ip_address(address.strip('[]'))
    except ValueError as error:
        raise InvalidValueError from error
    if not port.isdecimal() or not 0 < int(port) <= MAX_PORT:
        raise InvalidValueError
    return text


def parse_optional_address(text):
    """Return the text if it is an `IP:port` address or empty."""
    return parse_address(text) if text else ''


def parse_names(text):
    """Return a tuple of the identifiers in a comma-separated list."""
    return tuple(
        parse_name(part.strip()) for part in text.split(',') if part.strip()
    )


def parse_roles(text):
    """Return a tuple of the roles in a comma-separated list."""
    roles = parse_names(text)
    if not roles or any(role not in ROLES for role in roles):
        raise InvalidValueError
    return roles


def make_number_parser(kind, low, high):
    """Return a parser of numbers from `low` to `high`, both included."""

    def parse(text):
        try:
            value = kind(text)
        except ValueError as error:
            raise InvalidValueError from error
        if not low <= value <= high:
            raise InvalidValueError
        return value

    return parse


def make_choice_parser(choices):
    """Return a parser that accepts one of several words."""

    def parse(text):
        if text not in choices:
            raise InvalidValueError
        return text

    return parse


def parse_boolean(text):
    """Return the boolean value of `yes` or `no`."""
    if text not in BOOLEANS:
        raise InvalidValueError
    return BOOLEANS[text]


def make_number(section, name, kind, default, low, high, unit):
    """Return an option that holds a number."""
    kind_name = 'whole number' if kind is int else 'number'
    return Option(
        section,
        name,
        make_number_parser(kind, low, high),
        default,
        f'{kind_name} from {low} to {high} ({unit})',
    )


ADDRESS_FORM = 'IP:port'
NAME_FORM = 'letters, digits, ".", "_" and "-", at most 63 characters'
LEVELS = ('debug', 'info', 'warning', 'error')
MODES = ('full', 'baseline')
BOOLEANS = {'yes': True, 'no': False}

OPTIONS = (
    Option('host', 'host_id', parse_name, REQUIRED, NAME_FORM),
    Option('host', 'region', parse_name, REQUIRED, NAME_FORM),
    Option('host', 'zone', parse_name, REQUIRED, NAME_FORM),
    Option('host', 'roles', parse_roles, 'entry', ', '.join(ROLES)),
    Option('host', 'http', parse_address, REQUIRED, ADDRESS_FORM),
    Option('host', 'link', parse_address, REQUIRED, ADDRESS_FORM),
    Option(
        'host',
        'operators',
        parse_optional_address,
        '',
        f'{ADDRESS_FORM} or empty',
    ),
    make_number(
        'host', 'max_link_connections', int, '1024', 1, 65536, 'connections'
    ),
    Option('data', 'folder', parse_text, '', 'path of a writable folder'),
    Option('store', 'initial', parse_names, '', 'host ids'),
    make_number('store', 'job_groups', int, '2', 1, 64, 'groups'),
    make_number('store', 'heartbeat', float, '0.1', 0.01, 10, 'seconds'),
    make_number(
        'store', 'election_timeout', float, '0.6', 0.05, 60, 'seconds'
    ),
    make_number(
        'store', 'snapshot_entries', int, '20000', 10, 10000000, 'entries'
    ),
    make_number('requests', 'max_body', int, '4194304', 1024, 2**30, 'bytes'),
    make_number(
        'requests', 'max_connections', int, '2048', 1, 65536, 'connections'
    ),
    make_number(
        'requests', 'max_held', int, '402653184', 2**20, 2**40, 'bytes'
    ),
    make_number(
        'requests', 'max_unread', int, '67108864', 2**16, 2**40, 'bytes'
    ),
    make_number('requests', 'body_timeout', float, '10', 0.1, 600, 'seconds'),
    make_number(
        'requests', 'default_timeout', float, '60', 0.1, 3600, 'seconds'
    ),
    make_number(
        'requests', 'drain_timeout', float, '60', 0.1, 3600, 'seconds'
    ),
    make_number('jobs', 'max_items', int, '65000', 1, 1000000, 'items'),
    make_number('jobs', 'max_body', int, '268435456', 1024, 2**32, 'bytes'),
    make_number('jobs', 'claim_timeout', float, '10', 0.2, 600, 'seconds'),
    make_number('jobs', 'claim_items', int, '64', 1, 4096, 'items'),
    make_number('jobs', 'retention', float, '604800', 1, 31536000, 'seconds'),
    Option(
        'policy',
        'mode',
        make_choice_parser(MODES),
        'full',
        ', '.join(MODES),
    ),
    make_number('policy', 'baseline_slots', int, '8', 1, 1024, 'requests'),
    Option(
        'log', 'level', make_choice_parser(LEVELS), 'info', ', '.join(LEVELS)
    ),
    Option('log', 'file', parse_text, '', 'path, empty for standard error'),
    Option('log', 'timeline', parse_text, '', 'path, empty for none'),
    Option('debug', 'faults', parse_boolean, 'no', 'yes, no'),
    Option('tls', 'ca_file', parse_text, '', 'path of a PEM file'),
    Option('tls', 'certificate_file', parse_text, '', 'path of a PEM file'),
    Option('tls', 'key_file', parse_text, '', 'path of a PEM file'),
)
