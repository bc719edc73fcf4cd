"""Runs single seeds, or many of them in several processes."""

from __future__ import annotations

import hashlib
import multiprocessing
import time
import traceback
from collections.abc import Callable, Iterator, Sequence
from dataclasses import dataclass

from loguru import logger

from testbed.simulation.breaks import RUN_ENDS, BrokenRule
from testbed.simulation.checkers import all_checkers
from testbed.simulation.checkers.base import Finding
from testbed.simulation.faults import Fault, FaultKind
from testbed.simulation.history import History
from testbed.simulation.result import Report, SeedResult
from testbed.simulation.scenario import SCENARIOS
from testbed.simulation.seeded.checkers import CHECKERS as SEEDED_CHECKERS
from testbed.simulation.seeded.fault_kinds import SeededFault, SeededFaultKind
from testbed.simulation.seeded.routed.checkers import (
    RELEASE_CHECKERS,
    ROUTED_CHECKERS,
    STREAM_CHECKERS,
)
from testbed.simulation.seeded.shape import SHAPES
from testbed.simulation.seeded.timeline import follow as follow_seeded
from testbed.simulation.seeded.world import SeededWorld
from testbed.simulation.seeded.world import planned_faults as seeded_faults
from testbed.simulation.timeline import follow
from testbed.simulation.variation import Variation
from testbed.simulation.world import World, planned_faults


@dataclass(frozen=True)
class Plan:
    """What seeds are run on.

    Attributes:
        scenario: Name of the scenario.
        broken_rule: Rule to break, empty for none.
        only: Kinds of faults that strike; empty for all.
        variation: What is drawn otherwise than in the seeds' own histories; None for nothing.
        without: Positions of planned faults that do not strike.
    """

    scenario: str
    broken_rule: str = ""
    only: tuple[FaultKind | SeededFaultKind, ...] = ()
    variation: Variation | None = None
    without: tuple[int, ...] = ()


def faults_of(plan: Plan, seed: int) -> Sequence[Fault | SeededFault]:
    """Return the schedule of faults of a seed; ``Plan.without`` names positions in it."""
    if plan.scenario in SHAPES:
        kinds = [kind for kind in plan.only if isinstance(kind, SeededFaultKind)]
        return seeded_faults(SHAPES[plan.scenario], seed, kinds, plan.variation)
    return planned_faults(seed, _kinds(plan), plan.variation)


def _kinds(plan: Plan) -> tuple[FaultKind, ...]:
    return tuple(kind for kind in plan.only if isinstance(kind, FaultKind))


def run_seed(plan: Plan, seed: int, timeline: list[str] | None = None) -> SeedResult:
    """Run one seed and check every promise; ``timeline`` gets a line for all that happened."""
    logger.remove()
    began_s = time.process_time()
    play = _play_seeded if plan.scenario in SHAPES else _play
    with BrokenRule(plan.broken_rule):
        result = play(plan, seed, timeline)
    result.variation = plan.variation.name if plan.variation else ""
    result.cpu_s = time.process_time() - began_s
    return result


def _play(plan: Plan, seed: int, timeline: list[str] | None) -> SeedResult:
    scenario = SCENARIOS[plan.scenario]
    world = World(scenario, seed, _kinds(plan), plan.variation, plan.without)
    errors = _errors_of(world.fibers.threads)
    if timeline is not None:
        follow(world, timeline)
    history = world.parts.history
    result = SeedResult(seed, faults=history.faults, counts=history.counts)
    _run(world, result)
    history.internal_errors += errors
    result.digest = digest_of(history)
    if not result.violations:
        for checker in all_checkers():
            _note(result, checker.name, checker.check(history))
    return result


def _play_seeded(plan: Plan, seed: int, timeline: list[str] | None) -> SeedResult:
    kinds = [kind for kind in plan.only if isinstance(kind, SeededFaultKind)]
    world = SeededWorld(SHAPES[plan.scenario], seed, kinds, plan.variation, plan.without)
    errors = _errors_of(world.fibers.threads)
    if timeline is not None:
        follow_seeded(world, timeline)
    history = world.history
    result = SeedResult(seed, faults=history.faults, counts=history.counts)
    _run(world, result)
    result.violations += [f"internal_errors: {text.strip()}" for text in errors]
    result.digest = _hash(
        (
            history.acknowledged,
            history.in_force,
            history.reads,
            history.asked,
            history.runs,
            sorted(history.faults.items()),
        )
    )
    has_releases = SHAPES[plan.scenario].spare_back_ends > 0
    checkers = [
        *SEEDED_CHECKERS,
        *(ROUTED_CHECKERS if world.back_ends else ()),
        *(STREAM_CHECKERS if world.history.streams and not has_releases else ()),
        *(RELEASE_CHECKERS if has_releases else ()),
    ]
    for checker in checkers:
        _note(result, checker.name, checker.check(history))
    return result


def _errors_of(threads: set[int]) -> list[str]:
    """Return a list that gets the errors that the product logs in a run.

    Threads that earlier runs left in this process have errors of their own.
    """
    errors: list[str] = []
    logger.add(
        errors.append,
        level="ERROR",
        format="{name}: {message}",
        filter=lambda record: record["thread"].id in threads,
    )
    return errors


def _run(world: World | SeededWorld, result: SeedResult) -> None:
    try:
        world.run()
    except Exception as error:
        # A crash is a finding too: the rest of the run is lost, other seeds go on.
        text = traceback.format_exception_only(error)[-1].strip()
        result.violations.append(f"{RUN_ENDS}: {text} at {_place(error)}")
        world.end()


def _note(result: SeedResult, checker: str, finding: Finding) -> None:
    result.checks[checker] += finding.checks
    result.violations += [f"{checker}: {text}" for text in finding.violations]


def digest_of(history: History) -> str:
    """Return a hash over everything that is recorded, to tell two runs of a seed apart."""
    recorded = (
        history.runs,
        history.online,
        history.settings,
        history.in_force,
        history.stops,
        [(key, job.pages, job.operations, job.final_lines) for key, job in history.jobs.items()],
        sorted(history.faults.items()),
    )
    return _hash(recorded)


def _hash(recorded: object) -> str:
    return hashlib.sha256(repr(recorded).encode()).hexdigest()


def _place(error: Exception) -> str:
    frame = traceback.extract_tb(error.__traceback__)[-1]
    return f"{frame.filename.rpartition('/')[2]}:{frame.lineno} {frame.name}"


def run_plans(
    runs: Sequence[tuple[Plan, int]],
    workers: int,
    on_result: Callable[[SeedResult], bool],
) -> Report:
    """Run many seeds, each by a plan of its own, and return the sum.

    Args:
        runs: Plans and seeds, at least one, all of one scenario.
        workers: Processes; 1 runs everything in this one.
        on_result: Told of each seed; returns False to run no further ones.
    """
    report = Report(runs[0][0].scenario, runs[0][0].broken_rule)
    results = map(_run_one, runs) if workers <= 1 else _in_processes(runs, workers)
    for result in results:
        report.add(result)
        if not on_result(result):
            break
    return report


def _run_one(run: tuple[Plan, int]) -> SeedResult:
    return run_seed(*run)


def _in_processes(runs: Sequence[tuple[Plan, int]], workers: int) -> Iterator[SeedResult]:
    # A fresh process now and then gives back what a run leaves behind (counters, threads).
    context = multiprocessing.get_context("spawn")
    with context.Pool(workers, maxtasksperchild=50) as pool:
        yield from pool.imap(_run_one, runs)
