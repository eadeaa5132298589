"""Lines of the event logs of several hosts, and what explains an id."""

import ast
import dataclasses
import re

__all__ = ['Line', 'explain_id', 'merge_lines', 'parse_line']

FIELD = re.compile(r"""(\w+)=('(?:[^'\\]|\\.)*'|"(?:[^"\\]|\\.)*"|\S+)""")
# Fields by which a line belongs to a request, a job, an item or an endpoint.
ID_FIELDS = ('request', 'job', 'item', 'endpoint')
# Events of an endpoint that may explain what became of a request there.
ENDPOINT_EVENTS = ('endpoint_state', 'endpoint_silent', 'item_failed')
# Events by which a host changes what it believes.
BELIEF_EVENTS = (
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
# Seconds before and after an id's own lines in which others may explain it.
# An endpoint counts as silent some seconds after its last announcement.
MARGIN_SECONDS = 2.0


@dataclasses.dataclass(frozen=True, slots=True)
class Line:
    """An event of a host; `text` is the line without its prefix."""

    time: float
    host: str
    event: str
    fields: dict[str, str]
    text: str


def parse_line(text):
    """Return the `Line` of a text, None if it is no event line."""
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
    """Return the event lines among some texts in order of their time."""
    lines = [line for line in map(parse_line, texts) if line is not None]
    return sorted(lines, key=lambda line: line.time)


def explain_id(lines, wanted):
    """Return the lines about an id and those that may explain them.

    Parameters
    ----------
    lines : list of Line
        Lines of all hosts in order.
    wanted : str
        Id of a request, job, item or endpoint.

    Returns
    -------
    list of Line
        Lines that name the id; around them, lines about the endpoints that
        they name, and changes of what the hosts believe.
    """
    direct = [
        line
        for line in lines
        if any(line.fields.get(name) == wanted for name in ID_FIELDS)
    ]
    if not direct:
        return []
    first = direct[0].time - MARGIN_SECONDS
    last = direct[-1].time + MARGIN_SECONDS
    endpoints = {line.fields.get('endpoint') for line in direct} - {None}
    own = set(map(id, direct))
    return [
        line
        for line in lines
        if id(line) in own
        or (
            first <= line.time <= last
            and (
                line.event in BELIEF_EVENTS
                or (
                    line.event in ENDPOINT_EVENTS
                    and line.fields.get('endpoint') in endpoints
                )
            )
        )
    ]
