"""Tests of the slowness of endpoints."""

import pytest

from rhubarbreach.balancing import progress
from rhubarbreach.balancing import speeds

GAP = 0.038


@pytest.fixture
def slowness():
    return speeds.Slowness()


def record_gaps(slowness, gaps, start=0.0, endpoint_id='e1'):
    now = start
    for gap in gaps:
        now += gap
        slowness.record_gap(endpoint_id, 's', gap, now)
    return now


def test_report_loses_its_weight_with_its_age(slowness):
    """Guards against avoiding an endpoint that was slow seconds ago."""
    for number in range(50):
        slowness.record_report(f'e{number}', 's', 100, 0.0)
    slowness.record_report('e1', 's', 250, 1.0)
    ages = (0.0, 0.2, 1.0, 5.0)
    values = [slowness.get('e1', 's', 1.0 + age) for age in ages]
    assert values[0] == pytest.approx(2.5)
    assert sorted(values, reverse=True) == values
    assert values[-1] < 1.2


@pytest.mark.parametrize('period, is_long', [(0.2, False), (60.0, True)])
def test_memory_follows_how_long_endpoints_are_slow(slowness, period, is_long):
    """Guards against retrying endpoints that are slow for many seconds."""
    for step in range(400):
        now = step * 0.05
        is_slow = (now / period) % 2 < 1
        percent = 300 if is_slow else 100
        slowness.record_report('e1', 's', percent, now)
    assert (slowness.memory_seconds > 2.0) == is_long
    assert slowness.memory_seconds <= speeds.MAX_MEMORY_SECONDS


def test_slow_stream_tells_of_a_slow_endpoint_without_reports(slowness):
    """Guards against a slowdown that no report mentions."""
    now = record_gaps(slowness, [GAP] * 200)
    assert slowness.get('e1', 's', now) == pytest.approx(1.0)
    now = record_gaps(slowness, [GAP * 3] * 3, now)
    assert slowness.get('e1', 's', now) > 2.5
    assert slowness.pop_news()['e1'] > 250
    now = record_gaps(slowness, [GAP] * 2, now)
    assert slowness.get('e1', 's', now) == pytest.approx(1.0)
    assert slowness.pop_news() == {'e1': 100}
    assert slowness.pop_news() == {}


def test_figures_out_of_bounds_are_not_believed(slowness):
    """Guards against an endpoint that is excluded for ever by a figure."""
    slowness.record_report('e1', 's', 10**9, 0.0)
    assert slowness.get('e1', 's', 0.0) <= speeds.MAX_SLOWNESS
    slowness.merge({'e1': 0}, 0.0)
    lowest = slowness.get('e1', 's', 0.0)
    assert lowest >= speeds.MIN_SLOWNESS - 1e-9
    # Nor are all the others judged by it.
    assert slowness.get('e2', 's', 0.0) < 2.0


def test_figures_of_peers_count_as_own_and_are_not_repeated(slowness):
    """Guards against figures that hosts tell each other for ever."""
    slowness.merge({'e1': 250}, 0.0)
    assert slowness.get('e1', 's', 0.0) == pytest.approx(2.5)
    assert slowness.pop_news() == {}
    slowness.keep(())
    assert slowness.get('e1', 's', 0.0) == 1.0


def test_one_late_read_is_not_a_slow_endpoint():
    """Guards against a host that takes its own pauses for slow endpoints."""
    stream = progress.Progress()
    assert stream.add(1, 0.0) is None
    times = (0.038, 0.076, 0.276, 0.314, 0.352)
    gaps = [stream.add(1, now) for now in times]
    assert max(gaps) < 0.05
    # Events that arrive together tell nothing.
    assert stream.add(3, 0.6) is None
    assert stream.events == 9
