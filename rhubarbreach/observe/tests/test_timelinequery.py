"""Tests of merging and filtering timelines."""

import pytest

from rhubarbreach import clock
from rhubarbreach.observe import timeline
from rhubarbreach.observe import timelinequery


@pytest.fixture
def recorders(tmp_path):
    ahead = clock.HybridClock(wall=lambda: 2000.0)
    behind = clock.HybridClock(wall=lambda: 1000.0)
    opened = (
        timeline.Recorder('host-1', ahead, str(tmp_path / 'a')),
        timeline.Recorder('host-2', behind, str(tmp_path / 'b')),
    )
    yield opened
    for recorder in opened:
        recorder.close()


def read_names(recorders, tmp_path, event_filter):
    for recorder in recorders:
        recorder.flush()
    events = timelinequery.merge_files([tmp_path / 'a', tmp_path / 'b'])
    return [
        event.name
        for event in timelinequery.select_events(events, event_filter)
    ]


def test_skewed_clocks_keep_cause_before_effect(recorders, tmp_path):
    """Guards against an effect that is listed before its cause."""
    first, second = recorders
    first.record('sent', request_id='r1')
    second.hybrid_clock.observe(first.hybrid_clock.now())
    second.record('received', request_id='r1')
    names = read_names(
        recorders, tmp_path, timelinequery.EventFilter(request_id='r1')
    )
    assert names == ['sent', 'received']


def test_endpoint_events_explain_a_request(recorders, tmp_path):
    """Guards against a failed attempt whose cause is not shown."""
    first, _ = recorders
    first.record('attempt_started', request_id='r1', endpoint_id='e1')
    first.record('endpoint_lost', endpoint_id='e1')
    first.record('endpoint_lost', endpoint_id='e2')
    first.record('attempt_failed', request_id='r1', endpoint_id='e1')
    first.record('attempt_started', request_id='r2', endpoint_id='e1')
    names = read_names(
        recorders, tmp_path, timelinequery.EventFilter(request_id='r1')
    )
    assert names == ['attempt_started', 'endpoint_lost', 'attempt_failed']


def test_torn_last_line_is_skipped(recorders, tmp_path):
    """Guards against an unreadable timeline of a host that was killed."""
    recorders[0].record('one')
    recorders[0].flush()
    with open(tmp_path / 'a', 'ab') as file:
        file.write(b'{"stamp": 12')
    assert len(timeline.read_events(tmp_path / 'a')) == 1
