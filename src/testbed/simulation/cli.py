"""Command ``testbed simulate``: runs seeds, checks the promises, prints how to replay a failure."""

from __future__ import annotations

import json
import os
import sys
from dataclasses import replace
from pathlib import Path

import fire

from testbed.simulation.arguments import (
    NO_SEED,
    Asked,
    BadArgumentError,
    Names,
    Positions,
    listing,
    read_plan,
    read_runs,
)
from testbed.simulation.breaks import rule_of
from testbed.simulation.result import Report, SeedResult
from testbed.simulation.run import Plan, faults_of, run_plans, run_seed
from testbed.simulation.shrink import shrink as shrunk
from testbed.simulation.variation import Variation

DEFAULT_SEEDS = 20
DEFAULT_WORKERS = 4
SHOWN_VIOLATIONS = 5
EXIT_HOLDS = 0
EXIT_VIOLATED = 1
EXIT_BAD_ARGUMENT = 2
HASH_SEED = "PYTHONHASHSEED"


def simulate(
    seeds: int = DEFAULT_SEEDS,
    first_seed: int = 1,
    scenario: str = "kilimo",
    break_rule: str = "",
    faults: Names = "",
    workers: int = DEFAULT_WORKERS,
    json_file: str = "",
    near: int = NO_SEED,
    source: Names = "",
    draw: str = "",
    without: Positions = "",
    shrink: bool = False,
    timeline: bool = False,
) -> int:
    """Run seeds in virtual time and check every promise.

    Args:
        seeds: Number of seeds.
        first_seed: The first one; a failing seed is replayed with ``--seeds 1 --first-seed S``.
        scenario: ``kilimo``, ``hanbit``, or ``seeded``: machines that find each other by seeds;
            ``seeded-wide`` for another shape of it, ``seeded-routed`` with callers and back ends,
            ``seeded-versions`` with back ends of two versions and streams that are taken up again,
            ``seeded-releases`` with releases beside ends of what knows the origins of streams.
        break_rule: Rule to break on purpose (``--break``); ``list`` names all rules. The run then
            ends at the first seed that catches it.
        faults: Kinds of faults that strike, separated by commas; all when empty. ``list`` names
            them.
        workers: Processes that share the seeds.
        json_file: File for the report (``--json``).
        near: A seed: ``seeds`` histories beside its own are run, with the same callers and faults
            and other draws of one source each (``--source`` names it; all in turn when empty), or
            with one fault moved in time.
        source: Sources that are drawn otherwise, separated by commas; ``list`` names them.
        draw: Name of a history that ``--near`` told of, such as ``network:17``: it is run again.
        without: Positions of planned faults, from 0, that do not strike, separated by commas.
        shrink: Take faults away from each failing history while the same checker fails.
        timeline: Print what happened when in each failing history.

    Returns:
        0 when every promise held, 1 after a violation, 2 for a bad argument. With a broken rule a
        violation is what the run is for, and 1 means that it was caught.
    """
    lines = listing(scenario, break_rule, faults, source)
    if lines:
        print("\n".join(lines))
        return EXIT_HOLDS
    try:
        plan = read_plan(scenario, break_rule, faults, draw, without)
        asked = read_runs(plan, seeds, first_seed, near, source)
    except BadArgumentError as error:
        print(error)
        return EXIT_BAD_ARGUMENT
    return _play(asked, workers, shrink, timeline, json_file)


def _play(asked: Asked, workers: int, shrink: bool, timeline: bool, json_file: str) -> int:
    """Run the histories, tell of them, and return the exit status."""
    plan, broken_rule = asked.plan, asked.plan.broken_rule
    workers = min(workers, len(asked.runs))
    report = run_plans(asked.runs, workers, lambda result: _tell(result, plan))
    _summarize(report, beside=any(one.variation for one, _ in asked.runs))
    for result in report.failing if shrink or timeline else []:
        _examine(plan, result, shrink, timeline)
    if json_file:
        Path(json_file).write_text(json.dumps(report.as_json(), indent=1) + "\n")
    if broken_rule:
        caught = any(is_caught(result, broken_rule) for result in report.failing)
        print(f"{broken_rule}: {'caught' if caught else 'NOT caught'}")
        return EXIT_VIOLATED if caught else EXIT_HOLDS
    return EXIT_VIOLATED if report.failing else EXIT_HOLDS


def _varied(plan: Plan, result: SeedResult) -> Plan:
    return replace(plan, variation=Variation.from_name(result.variation))


def _examine(plan: Plan, result: SeedResult, shorten: bool, with_timeline: bool) -> None:
    """Print the shortest form of a failing history, and what happened in it."""
    plan = _varied(plan, result)
    if shorten:
        plan, result = shrunk(plan, result.seed, lambda line: print(f"  {line}", flush=True))
        faults = faults_of(plan, result.seed)
        print(f"shortest form: {len(faults) - len(plan.without)} of {len(faults)} faults")
        print(f"  replay: {_replay(plan, result.seed)}")
    if with_timeline:
        lines: list[str] = []
        run_seed(plan, result.seed, lines)
        print("\n".join(lines))


def _replay(plan: Plan, seed: int) -> str:
    """Return the command that plays one history again."""
    options = [f"--scenario {plan.scenario} --seeds 1 --first-seed {seed}"]
    if plan.broken_rule:
        options.append(f"--break {plan.broken_rule}")
    if plan.only:
        options.append(f"--faults {','.join(plan.only)}")
    if plan.variation:
        options.append(f"--draw {plan.variation.name}")
    if plan.without:
        options.append(f"--without {','.join(map(str, plan.without))}")
    return f"testbed simulate {' '.join(options)}"


def _tell(result: SeedResult, plan: Plan) -> bool:
    """Print a failing seed with its replay command; go on unless a broken rule was caught."""
    if not result.violations:
        return True
    history = f" ({result.variation})" if result.variation else ""
    print(f"seed {result.seed}{history}: {len(result.violations)} violations")
    for text in result.violations[:SHOWN_VIOLATIONS]:
        print(f"  {text}")
    print(f"  replay: {_replay(_varied(plan, result), result.seed)}", flush=True)
    return not (plan.broken_rule and is_caught(result, plan.broken_rule))


def is_caught(result: SeedResult, break_rule: str) -> bool:
    """Return whether the checker that shall notice a broken rule has noticed it."""
    caught_by = rule_of(break_rule).caught_by
    return any(text.startswith(f"{caught_by}:") for text in result.violations)


def _summarize(report: Report, beside: bool) -> None:
    faults = sum(report.faults.values())
    what = f"histories ({len(report.digests)} distinct)" if beside else "seeds"
    print(
        f"{report.scenario}: {report.seeds} {what}, {sum(report.checks.values())} checks, "
        f"{faults} faults, {len(report.failing)} failing seeds, {report.cpu_s:.0f} s of processor"
    )


def fix_hash_seed(arguments: list[str]) -> None:
    """Run this program again with a fixed hash seed: the order of sets must not differ."""
    if os.environ.get(HASH_SEED) != "0":
        environment = os.environ | {HASH_SEED: "0"}
        os.execve(sys.executable, [sys.executable, *arguments], environment)


def rename_options(arguments: list[str]) -> list[str]:
    """Return the arguments with ``--break`` and ``--json`` as fire can take them."""
    names = {"--break": "--break_rule", "--json": "--json_file"}
    renamed = []
    for argument in arguments:
        name, equals, value = argument.partition("=")
        renamed.append(names.get(name, name) + equals + value)
    return renamed


def main(arguments: list[str] | None = None) -> None:
    """Run the command line ``simulate ...``."""
    given = sys.argv[1:] if arguments is None else arguments
    fix_hash_seed(["-m", "testbed.simulation.cli", *given])
    if given[:1] == ["simulate"]:
        given = given[1:]
    sys.exit(fire.Fire(simulate, command=rename_options(given), serialize=lambda _code: None))


if __name__ == "__main__":
    main()
