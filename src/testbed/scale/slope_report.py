"""What the fleet-less slope modules share: measuring processor time, and one report format."""

from __future__ import annotations

import gc
import statistics
import time
from collections.abc import Callable

import msgspec
from rich.console import Console
from rich.table import Table

from testbed.scale.resources import load_average
from testbed.scale.slopes import LineFit, Point, fit_line

REPEATS = 3


class Slope(msgspec.Struct, frozen=True, kw_only=True):
    """One cost over one size.

    Attributes:
        name: What was measured.
        cost_unit: Unit of the cost.
        size_unit: Unit of the size.
        points: The measurements.
        fit: Line through them.
        load_average: Load of the machine when it was measured.
    """

    name: str
    cost_unit: str
    size_unit: str
    points: list[Point]
    fit: LineFit
    load_average: float


def slope(name: str, cost_unit: str, size_unit: str, points: list[Point]) -> Slope:
    """Fit a line through ``points`` and name it."""
    return Slope(
        name=name,
        cost_unit=cost_unit,
        size_unit=size_unit,
        points=points,
        fit=fit_line(points),
        load_average=load_average(),
    )


def processor_s(work: Callable[[], object], repeats: int = REPEATS) -> float:
    """Return the median processor time of one call, in seconds, over ``repeats`` calls."""
    taken = []
    for _ in range(repeats):
        gc.collect()
        started_s = time.process_time()
        work()
        taken.append(time.process_time() - started_s)
    return statistics.median(taken)


def print_slopes(title: str, slopes: list[Slope]) -> None:
    """Print slopes as a table."""
    table = Table("what", "slope", "+-", "at 0", "residual max", "from", "to", "n", "load")
    for item in slopes:
        fit = item.fit
        table.add_row(
            item.name,
            f"{fit.slope:.4g} {item.cost_unit}/{item.size_unit}",
            f"{fit.slope_error:.2g}",
            f"{fit.intercept:.4g}",
            f"{fit.residual_max:.3g}",
            f"{fit.smallest:g}",
            f"{fit.largest:g}",
            str(fit.points),
            f"{item.load_average:.1f}",
        )
    console = Console(width=160)
    console.print(f"[bold]{title}[/bold]")
    console.print(table)
