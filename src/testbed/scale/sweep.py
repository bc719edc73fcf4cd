"""Slopes over several scale runs that differ in one size: what one more gateway or runner costs."""

from __future__ import annotations

from collections.abc import Callable, Sequence

import msgspec

from testbed.scale.result import ControlResult, ScaleResult
from testbed.scale.slopes import LineFit, Point, fit_line

COMPLETED_ITEMS_PER_S = "completed_items_per_s"
MILLI = 1e3
KILOBYTE = 1e3
MEGABYTE = 1e6


class SweepError(ValueError):
    """The runs do not make a sweep; the text says why."""


class SweepSlope(msgspec.Struct, frozen=True, kw_only=True):
    """One cost over the size that the runs differ in.

    Attributes:
        name: What was measured.
        cost_unit: Unit of the cost.
        points: One for each run.
        fit: Line through them.
    """

    name: str
    cost_unit: str
    points: list[Point]
    fit: LineFit


class Sweep(msgspec.Struct, frozen=True, kw_only=True):
    """Slopes over runs that differ in one option, and under which load they were taken.

    Attributes:
        by: The option that differs.
        commits: Commits of the runs.
        load_averages: Load of the machine before each run.
        slopes: The slopes.
    """

    by: str
    commits: list[str]
    load_averages: list[float]
    slopes: list[SweepSlope]


def fit_sweep(by: str, runs: Sequence[ScaleResult]) -> Sweep:
    """Fit the costs of complete runs over one of their options.

    Args:
        by: Name of a numeric field of ``ScaleOptions``, or ``completed_items_per_s``: the rate that
            was reached, which may be below the one that was asked for.
        runs: At least two, with at least two values of that option.

    Raises:
        SweepError: When a run did not come into step, or no line is determined.
    """
    for run in runs:
        if run.outcome != "complete":
            raise SweepError(f"{run.command}: {run.outcome}")
    sizes = [_size(by, run) for run in runs]
    slopes = []
    for name, unit, cost in _COSTS:
        points = [Point(size, cost(run)) for size, run in zip(sizes, runs, strict=True)]
        slopes.append(SweepSlope(name=name, cost_unit=unit, points=points, fit=_fit(by, points)))
    return Sweep(
        by=by,
        commits=sorted({run.commit for run in runs}),
        load_averages=[run.load_before for run in runs],
        slopes=slopes,
    )


def _size(by: str, run: ScaleResult) -> float:
    if by == COMPLETED_ITEMS_PER_S:
        return run.gateways.leases.completed_items / run.window_s
    size = getattr(run.options, by, None)
    if not isinstance(size, int | float):
        raise SweepError(f"by {by}: no size of a run has this name")
    return float(size)


def _fit(by: str, points: list[Point]) -> LineFit:
    try:
        return fit_line(points)
    except ValueError as error:
        raise SweepError(f"by {by}: {error}") from error


def _alive(run: ScaleResult) -> list[ControlResult]:
    return [control for control in run.controls if control.usage is not None]


def _core_of_all(run: ScaleResult) -> float:
    return sum(control.usage.core_ratio for control in _alive(run) if control.usage) * MILLI


def _core_of_busiest(run: ScaleResult) -> float:
    return max(control.usage.core_ratio for control in _alive(run) if control.usage) * MILLI


def _memory_of_largest(run: ScaleResult) -> float:
    return max(control.usage.rss_bytes for control in _alive(run) if control.usage) / MEGABYTE


def _wire_of_mean(run: ScaleResult) -> float:
    alive = _alive(run)
    return sum(control.wire_bytes_per_s for control in alive) / len(alive) / KILOBYTE


def _disk_of_all(run: ScaleResult) -> float:
    alive = _alive(run)
    return sum(one.usage.written_bytes_per_s for one in alive if one.usage) / KILOBYTE


_COSTS: tuple[tuple[str, str, Callable[[ScaleResult], float]], ...] = (
    ("processor time of all control processes", "milli-cores", _core_of_all),
    ("processor time of the busiest control process", "milli-cores", _core_of_busiest),
    ("memory of the largest control process", "MB", _memory_of_largest),
    ("traffic of a control process, mean", "KB/s", _wire_of_mean),
    ("disk writes of all control processes", "KB/s", _disk_of_all),
    ("traffic of a gateway", "B/s", lambda run: run.gateways.wire_bytes_per_gateway_s),
    (
        "processor time of a hollow gateway",
        "milli-cores",
        lambda run: run.gateways.core_ratio_per_gateway * MILLI,
    ),
    ("exchange, p50", "ms", lambda run: run.gateways.exchange_ms.p50),
    ("exchange, p99", "ms", lambda run: run.gateways.exchange_ms.p99),
)
