"""``testbed experiment changes``: how fast a change is in force everywhere, in virtual time."""

from __future__ import annotations

import json
import sys
import time
from pathlib import Path

import fire
import msgspec
from loguru import logger

from testbed.simulation.cli import fix_hash_seed
from testbed.simulation.seeded.change_times import change_times
from testbed.simulation.seeded.fault_kinds import SeededFault, SeededFaultKind
from testbed.simulation.seeded.shape import SeededShape
from testbed.simulation.seeded.world import CHAOS_S, START_S, SeededWorld

LIST = "list"
AFTER_S = 5.0
"""Life after the last change that counts, so that it can arrive everywhere."""

FEWEST_CONTROL = 3


def _fault(at_s: float, kind: SeededFaultKind, duration_s: float, target: int) -> SeededFault:
    return SeededFault(at_s, kind, duration_s, target, at_leader=False)


CASES: dict[str, tuple[SeededFault, ...]] = {
    "quiet": (),
    "hubs": tuple(
        fault
        for number, at_s in enumerate((8.0, 17.0, 26.0))
        for fault in (
            _fault(at_s, SeededFaultKind.KILL_CONTROL, 5.0, number),
            _fault(at_s, SeededFaultKind.FREEZE_CONTROL, 5.0, number + 1),
        )
    ),
    "start": tuple(
        _fault(at_s, SeededFaultKind.RESTART_ALL_CONTROL, 1.0, 0) for at_s in (8.0, 17.0, 26.0)
    ),
}
"""Faults by the name of a case: nothing; a control process ended and another frozen, three times;
all control processes ended and started at once, three times."""


def changes(
    case: str = "quiet",
    gateways: int = 340,
    control: int = 15,
    routes: int = 400,
    seeds: int = 1,
    first_seed: int = 1,
    json_file: str = "",
) -> int:
    """Play changes in virtual time and print how long they took.

    Args:
        case: What goes wrong meanwhile; ``list`` prints the cases.
        gateways: Number of gateways.
        control: Number of control processes.
        routes: Routes of each table.
        seeds: Plays.
        first_seed: Seed of the first.
        json_file: File that gets the figures of each play.

    Returns:
        0, or 2 for a wrong argument.
    """
    logger.remove()
    if case == LIST:
        print("\n".join(CASES))
        return 0
    if case not in CASES:
        return _refuse(f"no case {case!r}; expected one of: {', '.join(CASES)}")
    if min(gateways, routes, seeds) < 1:
        return _refuse("gateways, routes and seeds are at least 1")
    if control < FEWEST_CONTROL:
        return _refuse(f"{control} control processes: a majority of {FEWEST_CONTROL} is needed")
    shape = SeededShape(
        control_sizes=(control,),
        fewest_gateways=gateways,
        most_gateways=gateways,
        routes=routes,
        fixed_faults=CASES[case],
    )
    rows = []
    for seed in range(first_seed, first_seed + seeds):
        rows.append({"case": case, "gateways": gateways, "seed": seed, **_play(shape, seed)})
        print(" ".join(f"{name}={value}" for name, value in rows[-1].items()), flush=True)
    if json_file:
        Path(json_file).write_text(json.dumps(rows, indent=1) + "\n", encoding="utf8")
    return 0


def _play(shape: SeededShape, seed: int) -> dict[str, float]:
    began_s = time.process_time()
    world = SeededWorld(shape, seed)
    history = world.run(AFTER_S)
    times = change_times(history, START_S, START_S + CHAOS_S)
    figures: dict[str, float] = msgspec.to_builtins(times)
    each = world.board.answered_bytes.values()
    figures["answered_kb_a_change"] = max(each) / max(1, len(history.acknowledged)) / 1000
    figures["cpu_s"] = time.process_time() - began_s
    return {name: round(value, 3) for name, value in figures.items()}


def _refuse(reason: str) -> int:
    print(f"testbed: {reason}", file=sys.stderr)
    return 2


if __name__ == "__main__":
    fix_hash_seed(["-m", "testbed.simulation.seeded.changes_cli", *sys.argv[1:]])
    sys.exit(fire.Fire(changes, serialize=lambda _result: None))
