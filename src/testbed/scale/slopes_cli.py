"""Measures the slopes that need no fleet: ``python -m testbed.scale.slopes_cli settings jobs``."""

from __future__ import annotations

import importlib
import sys
from pathlib import Path

import fire
import msgspec
from loguru import logger

from testbed.scale.resources import load_average
from testbed.scale.run import current_commit
from testbed.scale.slope_report import Slope, print_slopes

PARTS = ("settings", "jobs", "wire", "view", "consensus", "exchange")


class SlopeFile(msgspec.Struct, frozen=True, kw_only=True):
    """Slopes of one run, as written by ``--json``."""

    command: str
    commit: str
    load_average: float
    slopes: list[Slope]


def slopes(*parts: str, json: str = "") -> int:
    """Measure and print the slopes of the given parts (all parts when none is given).

    Args:
        parts: Names out of settings, jobs, wire, view, consensus, exchange.
        json: File that gets them as one JSON object.
    """
    logger.remove()
    logger.add(sys.stderr, level="WARNING")
    chosen = parts or PARTS
    started_load = load_average()
    measured: list[Slope] = []
    for part in chosen:
        found = importlib.import_module(f"testbed.scale.slopes_{part}").measure()
        print_slopes(f"{part}, commit {current_commit()}", found)
        measured += found
    if json:
        document = SlopeFile(
            command="python -m testbed.scale.slopes_cli " + " ".join(chosen),
            commit=current_commit(),
            load_average=started_load,
            slopes=measured,
        )
        Path(json).write_bytes(msgspec.json.format(msgspec.json.encode(document), indent=1))
    return 0


def main() -> None:
    """Entry point."""
    sys.exit(fire.Fire(slopes, serialize=lambda _: None))


if __name__ == "__main__":
    main()
