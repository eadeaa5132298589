"""Tests of the fits for the capacity page."""

import pytest

from rhubarbreach.bench import fits


def make_series(*costs):
    points = tuple(
        fits.Point(size, cost)
        for size, cost in zip((10, 20, 40, 80), costs, strict=True)
    )
    return fits.Series('role', 'hosts', 'us', points, 800)


def test_linear_cost_is_extrapolated_to_the_target_size():
    """Guards against a wrong cost at the target size."""
    fit = fits.fit_series(make_series(7.0, 12.0, 22.0, 42.0))
    assert fit.slope == pytest.approx(0.5)
    assert fit.at_target == pytest.approx(402.0)
    assert fit.stretch == 10.0


def test_quadratic_cost_shows_as_residual():
    """Guards against quadratic growth that is reported as linear."""
    fit = fits.fit_series(make_series(100.0, 400.0, 1600.0, 6400.0))
    assert fit.residual > 0.05
