"""Fits slopes over scale runs: ``python -m testbed.scale.sweep_cli --by=gateways A.json ...``."""

from __future__ import annotations

import sys
from pathlib import Path

import fire
import msgspec
from rich.console import Console
from rich.table import Table

from testbed.scale.result import ScaleResult
from testbed.scale.sweep import Sweep, SweepError, fit_sweep

EXIT_FAILED = 1


def sweep(*results: str, by: str, at: float = 0.0, json: str = "") -> int:
    """Print what one more of a size costs, over runs that differ in it.

    Args:
        results: Files written by ``python -m testbed.scale.cli --json``.
        by: Option that differs between them, such as ``gateways`` or ``runners``.
        at: Size for which the line's value is printed beside it; 0 for none.
        json: File that gets the slopes as one JSON object.
    """
    try:
        runs = [msgspec.json.decode(Path(path).read_bytes(), type=ScaleResult) for path in results]
        found = fit_sweep(by, runs)
    except (OSError, msgspec.DecodeError, SweepError) as error:
        Console(stderr=True).print(f"no sweep: {error}")
        return EXIT_FAILED
    _print(found, at)
    if json:
        Path(json).write_bytes(msgspec.json.format(msgspec.json.encode(found), indent=1))
    return 0


def _print(found: Sweep, at: float) -> None:
    columns = ["what", "slope", "+-", "at 0", "residual max", "from", "to", "n"]
    if at:
        columns.append(f"at {at:g}")
    table = Table(*columns)
    for slope in found.slopes:
        fit = slope.fit
        cells = [
            slope.name,
            f"{fit.slope:.4g} {slope.cost_unit}",
            f"{fit.slope_error:.2g}",
            f"{fit.intercept:.4g}",
            f"{fit.residual_max:.3g}",
            f"{fit.smallest:g}",
            f"{fit.largest:g}",
            str(fit.points),
        ]
        if at:
            cells.append(f"{fit.at(at):.4g}" + (" *" if fit.is_extrapolated(at) else ""))
        table.add_row(*cells)
    loads = ", ".join(f"{load:.0f}" for load in found.load_averages)
    console = Console(width=150)
    commits = ", ".join(found.commits)
    console.print(f"[bold]by {found.by}[/bold], {commits}, load {loads}; * extrapolated")
    console.print(table)


def main() -> None:
    """Entry point."""
    sys.exit(fire.Fire(sweep, serialize=lambda _: None))


if __name__ == "__main__":
    main()
