from __future__ import annotations

import pytest

from testbed.scale.slopes import Point, fit_line


@pytest.mark.parametrize(
    ("points", "slope", "intercept", "residual_max"),
    [
        pytest.param([(0, 1), (10, 21)], 2.0, 1.0, 0.0, id="two points"),
        pytest.param([(1, 5), (2, 7), (3, 9), (4, 11)], 2.0, 3.0, 0.0, id="exact"),
        pytest.param([(0, 0), (1, 3), (2, 0)], 0.0, 1.0, 2.0, id="outlier shows in residual"),
        pytest.param([(5, 4), (50, 4), (500, 4)], 0.0, 4.0, 0.0, id="flat"),
    ],
)
def test_line_through_points(
    points: list[tuple[float, float]], slope: float, intercept: float, residual_max: float
) -> None:
    fit = fit_line([Point(size, cost) for size, cost in points])
    assert fit.slope == pytest.approx(slope, abs=1e-9)
    assert fit.intercept == pytest.approx(intercept, abs=1e-9)
    assert fit.residual_max == pytest.approx(residual_max, abs=1e-9)


def test_slope_error_is_the_textbook_one() -> None:
    # Residuals 1, -2, 1 (sum of squares 6), one degree of freedom, spread of sizes 2.
    fit = fit_line([Point(0, 1), Point(1, 0), Point(2, 5)])
    assert fit.slope == pytest.approx(2.0)
    assert fit.slope_error == pytest.approx((6 / 2) ** 0.5)


@pytest.mark.parametrize("sizes", [[], [3], [3, 3, 3]])
def test_no_slope_without_two_sizes(sizes: list[float]) -> None:
    with pytest.raises(ValueError, match="two sizes"):
        fit_line([Point(size, 1.0) for size in sizes])


@pytest.mark.parametrize(
    ("size", "extrapolated"), [(10, False), (40, False), (39, False), (41, True), (9, True)]
)
def test_extrapolation_is_told(size: float, extrapolated: bool) -> None:
    fit = fit_line([Point(10, 1), Point(40, 2)])
    assert fit.is_extrapolated(size) is extrapolated
