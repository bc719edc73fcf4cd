"""Command ``testbed simulate``: runs seeds, checks the promises, prints how to replay a failure."""

from __future__ import annotations

import json
import os
import sys
from pathlib import Path

import fire

from testbed.simulation.breaks import RULES
from testbed.simulation.faults import FaultKind
from testbed.simulation.result import Report, SeedResult
from testbed.simulation.run import Plan, run_seeds
from testbed.simulation.scenario import SCENARIOS

DEFAULT_SEEDS = 20
DEFAULT_WORKERS = 4
SHOWN_VIOLATIONS = 5
EXIT_HOLDS = 0
EXIT_VIOLATED = 1
EXIT_BAD_ARGUMENT = 2
HASH_SEED = "PYTHONHASHSEED"
LIST = "list"


def simulate(
    seeds: int = DEFAULT_SEEDS,
    first_seed: int = 1,
    scenario: str = "kilimo",
    break_rule: str = "",
    faults: str = "",
    workers: int = DEFAULT_WORKERS,
    json_file: str = "",
) -> int:
    """Run seeds in virtual time and check every promise.

    Args:
        seeds: Number of seeds.
        first_seed: The first one; a failing seed is replayed with ``--seeds 1 --first-seed S``.
        scenario: ``kilimo`` or ``hanbit``.
        break_rule: Rule to break on purpose (``--break``); ``list`` names all rules. The run then
            ends at the first seed that catches it.
        faults: Kinds of faults that strike, separated by commas; all when empty. ``list`` names
            them.
        workers: Processes that share the seeds.
        json_file: File for the report (``--json``).

    Returns:
        0 when every promise held, 1 after a violation, 2 for a bad argument. With a broken rule a
        violation is what the run is for, and 1 means that it was caught.
    """
    if break_rule == LIST:
        for name, rule in RULES.items():
            print(f"{name:36} {rule.summary} [{rule.caught_by}]")
        return EXIT_HOLDS
    if faults == LIST:
        print("\n".join(FaultKind))
        return EXIT_HOLDS
    only = _kinds(faults)
    if only is None:
        print(f"unknown fault in {faults!r}; see --faults list")
        return EXIT_BAD_ARGUMENT
    if scenario not in SCENARIOS or (break_rule and break_rule not in RULES):
        print(f"unknown scenario or rule; scenarios: {', '.join(SCENARIOS)}; --break list")
        return EXIT_BAD_ARGUMENT
    plan = Plan(scenario, break_rule, only)
    report = run_seeds(
        plan,
        range(first_seed, first_seed + seeds),
        min(workers, seeds),
        lambda result: _tell(result, plan),
    )
    _summarize(report)
    if json_file:
        Path(json_file).write_text(json.dumps(report.as_json(), indent=1) + "\n")
    if break_rule:
        caught = any(is_caught(result, break_rule) for result in report.failing)
        print(f"{break_rule}: {'caught' if caught else 'NOT caught'}")
        return EXIT_VIOLATED if caught else EXIT_HOLDS
    return EXIT_VIOLATED if report.failing else EXIT_HOLDS


def _kinds(faults: str | tuple[str, ...]) -> tuple[FaultKind, ...] | None:
    """Return the named kinds, none for an empty text; None when one of them is unknown."""
    # fire makes a tuple of names that are separated by commas.
    names = faults.split(",") if isinstance(faults, str) else faults
    try:
        return tuple(FaultKind(name) for name in names if name)
    except ValueError:
        return None


def _tell(result: SeedResult, plan: Plan) -> bool:
    """Print a failing seed with its replay command; go on unless a broken rule was caught."""
    if not result.violations:
        return True
    rule = f" --break {plan.broken_rule}" if plan.broken_rule else ""
    only = f" --faults {','.join(plan.only)}" if plan.only else ""
    print(f"seed {result.seed}: {len(result.violations)} violations")
    for text in result.violations[:SHOWN_VIOLATIONS]:
        print(f"  {text}")
    print(
        f"  replay: testbed simulate --scenario {plan.scenario} --seeds 1 "
        f"--first-seed {result.seed}{rule}{only}",
        flush=True,
    )
    return not (plan.broken_rule and is_caught(result, plan.broken_rule))


def is_caught(result: SeedResult, break_rule: str) -> bool:
    """Return whether the checker that shall notice a broken rule has noticed it."""
    caught_by = RULES[break_rule].caught_by
    return any(text.startswith(f"{caught_by}:") for text in result.violations)


def _summarize(report: Report) -> None:
    faults = sum(report.faults.values())
    print(
        f"{report.scenario}: {report.seeds} seeds, {sum(report.checks.values())} checks, "
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
