"""``testbed experiment placement``: how gateways and batch share back ends, in virtual time."""

from __future__ import annotations

import json
import statistics
import sys
from pathlib import Path

import fire
import msgspec
from loguru import logger

from testbed.placement.experiment import Figures, Fleet, play
from testbed.placement.loads import PATTERNS

BACK_END_SHARE = 0.2425
"""Back ends for each gateway where none are named: as many as keep both busy."""


def placement(
    pattern: str = "bursts",
    gateways: int = 165,
    back_ends: int = 0,
    spread: bool = True,
    by_rate: bool = True,
    seeds: int = 1,
    first_seed: int = 1,
    json_file: str = "",
) -> int:
    """Play a load pattern and print how it was served.

    Args:
        pattern: Name of the pattern; ``list`` prints the names.
        gateways: Number of gateways.
        back_ends: Number of back ends of 8 slots; 0 for a quarter of the gateways.
        spread: False has each gateway take the back end that seems cheapest.
        by_rate: False has each gateway take all back ends as equally fast.
        seeds: Plays.
        first_seed: Seed of the first.
        json_file: File that gets the figures of each play.

    Returns:
        0, or 2 for a wrong argument.
    """
    logger.remove()
    if pattern == "list":
        print("\n".join(PATTERNS))
        return 0
    if pattern not in PATTERNS:
        return _refuse(f"no load pattern {pattern}; expected one of: {', '.join(PATTERNS)}")
    if min(gateways, seeds) < 1 or back_ends < 0:
        return _refuse("gateways and seeds are at least 1, back ends not below 0")
    fleet = Fleet(
        gateways=gateways,
        back_ends=back_ends or max(2, round(gateways * BACK_END_SHARE)),
        spread=spread,
        by_rate=by_rate,
    )
    played = []
    for seed in range(first_seed, first_seed + seeds):
        played.append(play(pattern, fleet, seed))
        print(f"{pattern}, {fleet.gateways} gateways, seed {seed}: {_line(played[-1])}", flush=True)
    if seeds > 1:
        print(f"mean: {_mean(played)}")
    if json_file:
        rows = [msgspec.to_builtins(figures) for figures in played]
        Path(json_file).write_text(json.dumps(rows, indent=1))
    return 0


def _line(figures: Figures) -> str:
    values = msgspec.to_builtins(figures)
    return " ".join(f"{name}={value:.4g}" for name, value in values.items())


def _mean(played: list[Figures]) -> str:
    rows = [msgspec.to_builtins(figures) for figures in played]
    means = {name: statistics.mean(row[name] for row in rows) for name in rows[0]}
    return " ".join(f"{name}={value:.4g}" for name, value in means.items())


def _refuse(reason: str) -> int:
    print(f"testbed: {reason}", file=sys.stderr)
    return 2


if __name__ == "__main__":
    sys.exit(fire.Fire(placement, serialize=lambda _result: None))
