"""Tests of finding the log lines that explain an id."""

import pytest

from rhubarbreach import eventlog
from rhubarbreach.observe import loglines

TEXTS = [
    '  34.0 store-1 time=12.0 host=s1 level=info '
    'event=endpoint_silent endpoint=i-1\n',
    'time=10.0 host=e1 level=info event=attempt request=r1 '
    "endpoint=i-1 outcome=broken reason='reset, \\'now\\''\n",
    'time=10.5 host=e1 level=info event=answered request=r2 '
    "endpoint=i-2 reason=''\n",
    'time=11.0 host=s2 level=info event=leadership leading=True\n',
    'time=50.0 host=s2 level=info event=leadership leading=False\n',
    'time=11.5 host=s1 level=info event=endpoint_state endpoint=i-3\n',
    'Traceback (most recent call last):\n',
    'time=oops host=s1 event=broken\n',
]


@pytest.fixture
def lines():
    return loglines.merge_lines(TEXTS)


def test_event_lines_are_merged_and_other_lines_skipped(lines):
    assert [line.time for line in lines] == [10, 10.5, 11, 11.5, 12, 50]
    assert lines[0].fields['reason'] == "reset, 'now'"


def test_related_lines_include_endpoint_and_fleet_view_events(lines):
    related = loglines.find_related_lines(lines, 'r1')
    assert [(line.host, line.event) for line in related] == [
        ('e1', 'attempt'),
        ('s2', 'leadership'),
        ('s1', 'endpoint_silent'),
    ]


def test_unknown_id_has_no_lines(lines):
    assert loglines.find_related_lines(lines, 'r9') == []


def test_line_of_the_event_log_is_parsed(tmp_path):
    path = tmp_path / 'log'
    with path.open('wb') as file:
        writer = eventlog.Writer('h1', file.fileno())
        writer.put('info', 'x', "event=refused request=r1 reason='a b'")
        writer.flush()
    line = loglines.parse_line(path.read_text())
    assert (line.host, line.event) == ('h1', 'refused')
    assert line.fields['reason'] == 'a b'


def test_repeated_lines_are_bounded_and_counted(tmp_path):
    # A repeated failure must not fill the log or block the process.
    path = tmp_path / 'log'
    with path.open('wb') as file:
        writer = eventlog.Writer('h1', file.fileno())
        for _ in range(3 * eventlog.MAX_EVENT_LINES):
            writer.put('info', 'x', 'event=refused request=r1')
        writer.put('info', 'x', 'event=other')
        writer.flush()
    events = [loglines.parse_line(text).event for text in path.open()]
    assert events.count('refused') <= eventlog.MAX_EVENT_LINES
    assert events[-2:] == ['other', 'lines_dropped']
