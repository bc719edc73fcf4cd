"""Least-squares slopes of a cost over a size, with their residuals."""

from __future__ import annotations

from collections.abc import Sequence

import msgspec
import numpy

MINIMUM_POINTS = 2


class Point(msgspec.Struct, frozen=True):
    """One measurement: ``cost`` at ``size``."""

    size: float
    cost: float


class LineFit(msgspec.Struct, frozen=True, kw_only=True):
    """A straight line through measured points.

    Attributes:
        slope: Cost added by one unit of size.
        intercept: Cost at size zero.
        slope_error: Standard error of the slope; 0 when there are only two points.
        residual_rms: Root mean square distance of the points from the line, in units of cost.
        residual_max: Largest distance, in units of cost.
        smallest: Smallest size measured.
        largest: Largest size measured; beyond it the line is extrapolated.
        points: Number of points.
    """

    slope: float
    intercept: float
    slope_error: float
    residual_rms: float
    residual_max: float
    smallest: float
    largest: float
    points: int

    def at(self, size: float) -> float:
        """Return the cost that the line gives at ``size``."""
        return self.intercept + self.slope * size

    def is_extrapolated(self, size: float) -> bool:
        """Return whether ``size`` lies outside of what was measured."""
        return not self.smallest <= size <= self.largest


def fit_line(points: Sequence[Point]) -> LineFit:
    """Fit a line by least squares.

    Args:
        points: At least two, of at least two different sizes.

    Raises:
        ValueError: When no line is determined by the points.
    """
    sizes = numpy.array([point.size for point in points], dtype=float)
    costs = numpy.array([point.cost for point in points], dtype=float)
    if len(points) < MINIMUM_POINTS or numpy.ptp(sizes) == 0:
        raise ValueError("a slope needs measurements at two sizes or more")
    design = numpy.column_stack([sizes, numpy.ones_like(sizes)])
    (slope, intercept), *_ = numpy.linalg.lstsq(design, costs, rcond=None)
    residuals = costs - (slope * sizes + intercept)
    return LineFit(
        slope=float(slope),
        intercept=float(intercept),
        slope_error=_slope_error(sizes, residuals),
        residual_rms=float(numpy.sqrt(numpy.mean(residuals**2))),
        residual_max=float(numpy.max(numpy.abs(residuals))),
        smallest=float(sizes.min()),
        largest=float(sizes.max()),
        points=len(points),
    )


def _slope_error(sizes: numpy.ndarray, residuals: numpy.ndarray) -> float:
    degrees_of_freedom = len(sizes) - MINIMUM_POINTS
    if degrees_of_freedom <= 0:
        return 0.0
    variance = float(numpy.sum(residuals**2)) / degrees_of_freedom
    spread = float(numpy.sum((sizes - sizes.mean()) ** 2))
    return float(numpy.sqrt(variance / spread))
