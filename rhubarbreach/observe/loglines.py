"""Parsing and searching of the event logs of several hosts."""

import ast
import dataclasses
import re

__all__ = ['Line', 'find_related_lines', 'merge_lines', 'parse_line']

FIELD = re.compile(r"""(\w+)=('(?:[^'\\]|\\.)*'|"(?:[^"\\]|\\.)*"|\S+)""")
# Fields that name the request, job, item or endpoint of an event.
ID_FIELDS = ('request', 'job', 'item', 'endpoint')
# Events of an endpoint that may explain the outcome of its requests.
ENDPOINT_EVENTS = ('endpoint_state', 'endpoint_silent', 'item_failed')
# Events that change the state of a host or its view of the fleet.
FLEET_VIEW_EVENTS = (
    'backlog',
    'catalog_in_force',
    'host_draining',
    'host_started',
    'host_stopped',
    'leader_found',
    'leader_lost',
    'leadership',
    'lines_dropped',
    'member_step',
    'peer_silent',
)
# Time before and after the lines of an id in which other lines may explain it.
# An endpoint is reported silent only some seconds after its last announcement.
MARGIN_SECONDS = 2.0


@dataclasses.dataclass(frozen=True, slots=True)
class Line:
    """Event of a host; `text` is the log line without a prefix."""

    time: float
    host: str
    event: str
    fields: dict[str, str]
    text: str


def parse_line(text):
    """Return the `Line` for a text, None if it is not an event line."""
    start = text.find('time=')
    if start < 0:
        return None
    text = text[start:].rstrip('\n')
    fields = {
        name: ast.literal_eval(value) if value[0] in '\'"' else value
        for name, value in FIELD.findall(text)
    }
    try:
        return Line(
            float(fields['time']),
            fields['host'],
            fields['event'],
            fields,
            text,
        )
    except (KeyError, ValueError):
        return None


def merge_lines(texts):
    """Return the event lines among the texts, sorted by time."""
    lines = [line for line in map(parse_line, texts) if line is not None]
    return sorted(lines, key=lambda line: line.time)


def find_related_lines(lines, target_id):
    """Return the lines that name an id and those that may explain them.

    Parameters
    ----------
    lines : list of Line
        Lines of all hosts, sorted by time.
    target_id : str
        Id of a request, job, item or endpoint.

    Returns
    -------
    list of Line
        Lines that name the id, and lines from about the same time with
        `ENDPOINT_EVENTS` of the endpoints that they name or with
        `FLEET_VIEW_EVENTS`; all sorted by time.
    """
    direct = [
        line
        for line in lines
        if any(line.fields.get(name) == target_id for name in ID_FIELDS)
    ]
    if not direct:
        return []
    first = direct[0].time - MARGIN_SECONDS
    last = direct[-1].time + MARGIN_SECONDS
    endpoints = {line.fields.get('endpoint') for line in direct} - {None}
    direct_ids = set(map(id, direct))
    return [
        line
        for line in lines
        if id(line) in direct_ids
        or (
            first <= line.time <= last
            and (
                line.event in FLEET_VIEW_EVENTS
                or (
                    line.event in ENDPOINT_EVENTS
                    and line.fields.get('endpoint') in endpoints
                )
            )
        )
    ]
