"""``testbed experiment harm``: runs the experiment and prints a table or JSON."""

from __future__ import annotations

import dataclasses
import sys
from pathlib import Path

import fire
import msgspec
from rich.console import Console
from rich.table import Table

from testbed.load.harm.experiment import HarmExperiment, HarmSummary, Spread, run_experiment
from testbed.load.harm.process_experiment import (
    ProcessHarmExperiment,
    ProcessHarmSummary,
    run_process_experiment,
)
from testbed.load.harm.scenario import HARM_SCENARIOS

GOALS = {
    "kilimo": {"online_ratio_ttft_p99": 1.05, "online_ratio_itl_p99": 1.05},
    "hanbit": {"online_ratio_ttft_p99": 1.15, "online_ratio_itl_p99": 1.15},
}
BATCH_GOALS = {"kilimo": 0.80, "hanbit": 0.90}


def harm(
    scenario: str = "kilimo",
    seeds: int = 5,
    first_seed: int = 1,
    json: str = "",
    report: str = "",
    frontier: bool = True,
    processes: bool = False,
    seconds: float = 60.0,
) -> int:
    """Measure the harm of batch to the online tail, in virtual time or on real processes.

    Args:
        scenario: kilimo or hanbit.
        seeds: Number of seeds.
        first_seed: First seed.
        json: File for the figures as one JSON object.
        report: Folder for the plots.
        frontier: Also sweep the interference setting (virtual time only).
        processes: Use fleets of real processes, one after the other, without an oracle.
        seconds: Span of the work on real processes.

    Returns:
        0, or 2 for an unknown scenario. A missed goal is shown, not an error.
    """
    if scenario not in HARM_SCENARIOS:
        known = ", ".join(HARM_SCENARIOS)
        print(f"unknown scenario {scenario!r}; known: {known}", file=sys.stderr)
        return 2
    if processes:
        return _harm_of_processes(scenario, first_seed, seeds, float(seconds), json)
    experiment = run_experiment(scenario, first_seed, seeds, frontier=frontier)
    _print(experiment)
    if json:
        Path(json).write_bytes(msgspec.json.encode(_flat(experiment)))
    if report:
        from testbed.load.harm.report import write_report

        for path in write_report(experiment, Path(report)):
            print(f"wrote {path}")
    return 0


def _harm_of_processes(
    scenario: str, first_seed: int, seeds: int, seconds: float, json: str
) -> int:
    found = run_process_experiment(scenario, first_seed, seeds, seconds)
    _print_table(found.summary, f"harm, {scenario}, seeds {found.summary.seeds}, real processes")
    if json:
        Path(json).write_bytes(msgspec.json.encode(_flat(found)))
    return 0


def _flat(experiment: HarmExperiment | ProcessHarmExperiment) -> dict[str, object]:
    """Return the medians at the top level, with all results below."""
    summary = dataclasses.asdict(experiment.summary)
    flat = {key: _median(value) for key, value in summary.items()}
    flat["spread"] = {key: value for key, value in summary.items() if isinstance(value, dict)}
    flat["results"] = [dataclasses.asdict(result) for result in experiment.results]
    if isinstance(experiment, HarmExperiment):
        flat["frontier"] = [dataclasses.asdict(point) for point in experiment.frontier]
    return flat


def _median(value: object) -> object:
    return value["median"] if isinstance(value, dict) else value


def _print(experiment: HarmExperiment) -> None:
    summary = experiment.summary
    _print_table(summary, f"harm, {summary.scenario}, seeds {summary.seeds}, virtual time")
    for point in experiment.frontier:
        print(
            f"interference {point.interference:g}: ttft p99 x{point.ttft_p99_ratio:.2f}, "
            f"itl p99 x{point.itl_p99_ratio:.2f}, batch {point.batch_over_alone:.2f} of alone"
        )


def _print_table(summary: HarmSummary | ProcessHarmSummary, title: str) -> None:
    table = Table(title=title)
    for column in ("figure", "median", "lowest", "highest", "goal"):
        table.add_column(column)
    goals = GOALS[summary.scenario] | {"batch_over_oracle": BATCH_GOALS[summary.scenario]}
    for field in dataclasses.fields(summary):
        value = getattr(summary, field.name)
        if isinstance(value, Spread):
            goal = goals.get(field.name)
            shown = "" if goal is None else f"{goal:g}"
            table.add_row(
                field.name, f"{value.median:g}", f"{value.lowest:g}", f"{value.highest:g}", shown
            )
    Console().print(table)


def main() -> None:
    """Run as a program."""
    sys.exit(fire.Fire(harm, serialize=lambda _result: None))


if __name__ == "__main__":
    main()
