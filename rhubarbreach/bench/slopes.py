"""Measure, fit and print the slopes of docs/CAPACITY.md."""

import sys

from rhubarbreach.bench import exchangecost
from rhubarbreach.bench import fits
from rhubarbreach.bench import slopeparts

__all__ = ['format_table', 'run_slopes']

HEADER = (
    '| mechanism | size | unit | measured (size: cost) | slope | intercept '
    '| largest residual | at the target | stretch |\n'
    '|---|---|---|---|---|---|---|---|---|\n'
)


def format_number(value):
    """Return a number with three significant digits."""
    if abs(value) >= 1000:
        return f'{value:,.0f}'
    return f'{value:.3g}'


def format_row(fit):
    """Return the table row of a fit."""
    series = fit.series
    points = ', '.join(
        f'{point.size}: {format_number(point.cost)}' for point in series.points
    )
    return (
        f'| {series.role} | {series.per} | {series.unit} | {points} '
        f'| {format_number(fit.slope)} | {format_number(fit.intercept)} '
        f'| {fit.residual:.1%} '
        f'| {series.target:,}: {format_number(fit.at_target)} '
        f'| {fit.stretch:.1f} x |\n'
    )


def format_table(fitted):
    """Return the table of fits as Markdown."""
    return HEADER + ''.join(format_row(fit) for fit in fitted)


def run_slopes(seed=1):
    """Measure the slopes of docs/CAPACITY.md and print their table.

    Parameters
    ----------
    seed : int
        Seed of random choices.
    """
    series = [
        *slopeparts.measure_hosts(seed),
        *slopeparts.measure_endpoints(),
        *slopeparts.measure_accounts(),
        *slopeparts.measure_grants(),
        *slopeparts.measure_items(),
        *exchangecost.measure_exchange(seed),
    ]
    fitted = [fits.fit_series(measured) for measured in series]
    sys.stdout.write(f'seed {seed}\n\n' + format_table(fitted))
