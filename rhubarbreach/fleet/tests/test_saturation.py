"""Replays of overloads that refuse callers, with peaks of several lengths."""

import random

import pytest

from rhubarbreach.fleet import saturation

STEP_SECONDS = 0.05
QUIET_SECONDS = 3.0


def replay(state, phases, start=0.0):
    """Update a state through phases of time and fullness; return the end."""
    now = start
    for seconds, is_full in phases:
        for _ in range(round(seconds / STEP_SECONDS)):
            now += STEP_SECONDS
            state.update(is_full, now)
    return now


@pytest.mark.parametrize('peak', [0.6, 1.2, 2.4])
def test_refused_callers_return_when_the_peak_is_over(peak):
    # A fixed range of 0.8 to 1.6 s lets callers wait through the quiet period
    # after a short peak, and return within a long one.
    state = saturation.Saturation()
    now = replay(state, [(peak, True), (QUIET_SECONDS, False)] * 8)
    begun_at = now
    rng = random.Random(1)
    for part in (0.5, 0.7, 0.9):
        end = begun_at + peak * part
        now = replay(state, [(end - now, True)], now)
        returns = [
            now + state.draw_retry_after(now, rng.uniform) for _ in range(50)
        ]
        quiet_begin = begun_at + peak * 0.9
        quiet_middle = begun_at + peak + QUIET_SECONDS / 2
        in_quiet = [quiet_begin <= r <= quiet_middle for r in returns]
        assert sum(in_quiet) >= 45


def test_retry_times_are_spread():
    state = saturation.Saturation()
    now = replay(state, [(1.0, True)])
    rng = random.Random(1)
    times = [state.draw_retry_after(now, rng.uniform) for _ in range(100)]
    assert min(times) >= saturation.MIN_RETRY_SECONDS
    assert max(times) > 1.3 * min(times)


def test_overload_longer_than_peaks_is_sustained():
    state = saturation.Saturation()
    now = replay(state, [(1.0, True), (2.0, False)] * 8)
    now = replay(state, [(1.2, True)], now)
    assert not state.is_sustained()
    now = replay(state, [(2.5, True)], now)
    assert state.is_sustained()
    replay(state, [(1.0, False)], now)
    assert not state.is_sustained()


def test_long_overloads_do_not_become_usual_peaks():
    state = saturation.Saturation()
    replay(state, [(30.0, True), (2.0, False)] * 6)
    assert state.peak_seconds <= saturation.MAX_PEAK_SECONDS
