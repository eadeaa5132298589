"""Tests of the fits behind the capacity page."""

import pytest

from rhubarbreach.bench import fits


def make_series(*costs):
    points = tuple(
        fits.Point(size, cost)
        for size, cost in zip((10, 20, 40, 80), costs, strict=True)
    )
    return fits.Series('role', 'hosts', 'us', points, 800)


def test_line_is_found_and_extended_to_the_target():
    """Guards against a wrong figure at the target size."""
    fit = fits.fit_series(make_series(7.0, 12.0, 22.0, 42.0))
    assert fit.slope == pytest.approx(0.5)
    assert fit.at_target == pytest.approx(402.0)
    assert fit.stretch == 10.0


def test_square_growth_shows_as_residual():
    """Guards against a square that is taken for a line."""
    fit = fits.fit_series(make_series(100.0, 400.0, 1600.0, 6400.0))
    assert fit.residual > 0.05
