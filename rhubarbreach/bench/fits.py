"""Linear fits of measured costs."""

import dataclasses
import statistics

__all__ = ['Fit', 'Point', 'Series', 'fit_series']


@dataclasses.dataclass(frozen=True, slots=True)
class Point:
    """Cost measured at one size."""

    size: int
    cost: float


@dataclasses.dataclass(frozen=True, slots=True)
class Series:
    """Costs measured at several sizes.

    Parameters
    ----------
    role, per : str
        Mechanism that was measured, and the items that the size counts.
    unit : str
        Unit of the cost.
    points : tuple of Point
        At least four measurements.
    target : int
        Size of the target deployment.
    """

    role: str
    per: str
    unit: str
    points: tuple[Point, ...]
    target: int


@dataclasses.dataclass(frozen=True, slots=True)
class Fit:
    """Linear fit of a series, extrapolated to the target size.

    Parameters
    ----------
    series : Series
        Measured costs.
    slope, intercept : float
        Cost of each further item, and cost at size 0.
    residual : float
        Largest distance of a point from the line, as a fraction of the
        largest cost.
    at_target : float
        Cost at the target size.
    stretch : float
        Ratio of the target size to the largest measured size.
    """

    series: Series
    slope: float
    intercept: float
    residual: float
    at_target: float
    stretch: float


def fit_series(series):
    """Return the least squares fit of a series.

    Parameters
    ----------
    series : Series
        Measured costs.

    Returns
    -------
    Fit
        Line and its largest residual.
    """
    sizes = [point.size for point in series.points]
    costs = [point.cost for point in series.points]
    line = statistics.linear_regression(sizes, costs)
    distances = [
        abs(point.cost - line.intercept - line.slope * point.size)
        for point in series.points
    ]
    highest = max(abs(cost) for cost in costs) or 1.0
    return Fit(
        series,
        line.slope,
        line.intercept,
        max(distances) / highest,
        line.intercept + line.slope * series.target,
        series.target / max(sizes),
    )
