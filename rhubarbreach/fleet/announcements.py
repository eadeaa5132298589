"""Validation of the announcements of endpoints.

Another sender may write an entry among those of the endpoints. Such an entry
is ignored by itself, and the others stay in use.
"""

import re

from rhubarbreach import eventlog
from rhubarbreach.fleet import registry
from rhubarbreach import serialization
from rhubarbreach.web import sockets

__all__ = ['find_departure_fault', 'find_fault', 'select_valid']

LOG = eventlog.Logger('announcements')

MAX_NAME_LENGTH = 256
# An endpoint serves each request on a connection of its own, and an address
# has no more ports.
MAX_SLOTS = 65_535
# An endpoint supersedes those that started earlier at its address, so a start
# time in the future would keep all later ones out.
MAX_CLOCK_SKEW_MS = 24 * 60 * 60 * 1000
MILLISECONDS_PER_SECOND = 1000
# An endpoint that said it was cold for longer would get few requests for good.
MAX_COLD_SECONDS = 60 * 60
# Ids are sent as header values, and names are parts of log lines.
PRINTABLE = re.compile(r'[\x21-\x7e]+')
# An endpoint may leave out its software version.
VERSION = re.compile(r'[\x20-\x7e]*')
STATES = frozenset(registry.EndpointState)


def find_departure_fault(endpoint_id, born, unix_time):
    """Return why a departure names no process, or None if it does.

    Parameters
    ----------
    endpoint_id : str
        Endpoint.
    born : int or None
        Start of its process in Unix milliseconds, if stated.
    unix_time : float
        Current Unix time in seconds.
    """
    if len(endpoint_id) > MAX_NAME_LENGTH or not PRINTABLE.fullmatch(
        endpoint_id
    ):
        return (
            f'endpoint_id is not of 1 to {MAX_NAME_LENGTH} printable '
            'characters'
        )
    latest = unix_time * MILLISECONDS_PER_SECOND + MAX_CLOCK_SKEW_MS
    if born is not None and not 0 <= born <= latest:
        return 'the start time is out of range'
    return None


def find_fault(notice, unix_time):
    """Return why an announcement names no endpoint, or None if it does.

    Parameters
    ----------
    notice : EndpointNotice
        Announcement.
    unix_time : float
        Current Unix time in seconds.

    Returns
    -------
    str or None
        Description of the first fault.
    """
    for name in ('endpoint_id', 'service', 'availability_zone'):
        text = getattr(notice, name)
        if len(text) > MAX_NAME_LENGTH or not PRINTABLE.fullmatch(text):
            return (
                f'{name} is not of 1 to {MAX_NAME_LENGTH} printable characters'
            )
    version = notice.software_version
    if len(version) > MAX_NAME_LENGTH or not VERSION.fullmatch(version):
        return (
            f'software_version is not of at most {MAX_NAME_LENGTH} printable '
            'characters'
        )
    latest = unix_time * MILLISECONDS_PER_SECOND + MAX_CLOCK_SKEW_MS
    fault = None
    if notice.state not in STATES:
        fault = 'the state is unknown'
    elif not 1 <= notice.slots <= MAX_SLOTS:
        fault = f'the number of slots is not from 1 to {MAX_SLOTS}'
    elif not 0 <= notice.sequence <= serialization.MAX_INTEGER:
        fault = 'the sequence number is out of range'
    elif not 0 <= notice.born <= latest:
        fault = 'the start time is out of range'
    elif not 0 <= (notice.cold_seconds or 0) <= MAX_COLD_SECONDS:
        fault = 'the remaining time for which it is cold is out of range'
    else:
        try:
            sockets.parse_address(notice.address)
        except ValueError as error:
            fault = str(error)
    return fault


def select_valid(notices, unix_time):
    """Return the announcements without those that name no endpoint."""
    valid = []
    for notice in notices:
        fault = find_fault(notice, unix_time)
        if fault is None:
            valid.append(notice)
        else:
            LOG.warning(
                'event=announcement_ignored endpoint={!r} reason={!r}',
                notice.endpoint_id[:MAX_NAME_LENGTH],
                fault,
            )
    return tuple(valid)
