"""Options of a settings file: their types, defaults and allowed values."""

import dataclasses
import ipaddress
import re
import typing

__all__ = ['OPTIONS', 'Option', 'REQUIRED', 'ValueProblem']

REQUIRED = object()
ROLES = ('entry', 'store', 'relay')
NAME_PATTERN = re.compile(r'[A-Za-z0-9][A-Za-z0-9._-]{0,62}')
MAX_PORT = 65535


class ValueProblem(ValueError):
    """A value does not have the form that the option allows."""


@dataclasses.dataclass(frozen=True, slots=True)
class Option:
    """One option of a settings file.

    Parameters
    ----------
    section, name : str
        Place in the file.
    parse : callable
        Turns the text into a value or raises `ValueProblem`.
    default : object
        Text used when the option is missing, or `REQUIRED`.
    allowed : str
        Allowed values, as shown to an operator.
    """

    section: str
    name: str
    parse: typing.Callable
    default: object
    allowed: str


def parse_name(text):
    """Return an identifier."""
    if not NAME_PATTERN.fullmatch(text):
        raise ValueProblem
    return text


def parse_text(text):
    """Return the text as it is."""
    return text


def parse_address(text):
    """Return an `IP:port` address."""
    address, _, port = text.rpartition(':')
    try:
        ipaddress.ip_address(address.strip('[]'))
    except ValueError as error:
        raise ValueProblem from error
    if not port.isdecimal() or not 0 < int(port) <= MAX_PORT:
        raise ValueProblem
    return text


def parse_optional_address(text):
    """Return an `IP:port` address or an empty string."""
    return parse_address(text) if text else ''


def parse_names(text):
    """Return a tuple of identifiers separated by commas."""
    return tuple(
        parse_name(part.strip()) for part in text.split(',') if part.strip()
    )


def parse_roles(text):
    """Return a tuple of roles."""
    roles = parse_names(text)
    if not roles or any(role not in ROLES for role in roles):
        raise ValueProblem
    return roles


def make_number_parser(kind, low, high):
    """Return a parser of numbers between two bounds."""

    def parse(text):
        try:
            value = kind(text)
        except ValueError as error:
            raise ValueProblem from error
        if not low <= value <= high:
            raise ValueProblem
        return value

    return parse


def make_choice_parser(choices):
    """Return a parser of one of several words."""

    def parse(text):
        if text not in choices:
            raise ValueProblem
        return text

    return parse


def parse_switch(text):
    """Return whether a switch is on."""
    if text not in SWITCH:
        raise ValueProblem
    return SWITCH[text]


def make_number(section, name, kind, default, low, high, unit):
    """Return an option that holds a number."""
    word = 'whole number' if kind is int else 'number'
    return Option(
        section,
        name,
        make_number_parser(kind, low, high),
        default,
        f'{word} from {low} to {high} ({unit})',
    )


ADDRESS_FORM = 'IP:port'
NAME_FORM = 'letters, digits, ".", "_" and "-", at most 63 characters'
LEVELS = ('debug', 'info', 'warning', 'error')
MODES = ('full', 'baseline')
SWITCH = {'yes': True, 'no': False}

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
    Option('debug', 'faults', parse_switch, 'no', 'yes, no'),
    Option('tls', 'ca_file', parse_text, '', 'path of a PEM file'),
    Option('tls', 'certificate_file', parse_text, '', 'path of a PEM file'),
    Option('tls', 'key_file', parse_text, '', 'path of a PEM file'),
)
