"""All modes over several seeds, the interference frontier, and the figures derived from them."""

from __future__ import annotations

import dataclasses
import statistics
from collections.abc import Iterable
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass

from testbed.load.harm.run import HarmRun, Mode, ModeResult
from testbed.load.harm.scenario import HARM_SCENARIOS, HarmScenario

WORKERS = 3
FRONTIER_TARGETS = (0.0, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 3.0)


@dataclass(frozen=True)
class Spread:
    """Median, lowest and highest over the seeds."""

    median: float
    lowest: float
    highest: float


@dataclass(frozen=True)
class HarmSummary:
    """By how much batch work slows online requests in one scenario, as ratios of percentiles."""

    scenario: str
    seeds: list[int]
    online_ratio_ttft_p99: Spread
    online_ratio_itl_p99: Spread
    baseline_ratio_ttft_p99: Spread
    baseline_ratio_itl_p99: Spread
    oracle_ratio_ttft_p99: Spread
    oracle_ratio_itl_p99: Spread
    batch_items_per_s: Spread
    batch_over_oracle: Spread
    batch_over_alone: Spread
    baseline_batch_over_alone: Spread
    time_to_yield_p99_ms: Spread
    time_to_refill_p99_ms: Spread


@dataclass(frozen=True)
class FrontierPoint:
    """Harm and throughput at one interference target, first seed only."""

    interference: float
    ttft_p99_ratio: float
    itl_p99_ratio: float
    batch_over_alone: float


@dataclass(frozen=True)
class HarmExperiment:
    """Everything one experiment gives."""

    summary: HarmSummary
    results: list[ModeResult]
    frontier: list[FrontierPoint]


@dataclass(frozen=True)
class _Job:
    scenario: HarmScenario
    mode: Mode
    seed: int


def run_experiment(name: str, first_seed: int, seeds: int, *, frontier: bool) -> HarmExperiment:
    """Run every mode for every seed, in a few worker processes of the testbed."""
    scenario = HARM_SCENARIOS[name]
    chosen = list(range(first_seed, first_seed + seeds))
    jobs = [_Job(scenario, mode, seed) for seed in chosen for mode in Mode]
    sweep = [
        _Job(_with_target(scenario, target), Mode.HARVEST, first_seed) for target in _targets()
    ]
    with ProcessPoolExecutor(max_workers=WORKERS) as pool:
        results = list(pool.map(_run, jobs))
        swept = list(pool.map(_run, sweep)) if frontier else []
    by_key = {(result.mode, result.seed): result for result in results}
    points = [
        _point(target, result, by_key) for target, result in zip(_targets(), swept, strict=False)
    ]
    return HarmExperiment(_summary(name, chosen, by_key), results, points)


def _targets() -> tuple[float, ...]:
    return FRONTIER_TARGETS


def _run(job: _Job) -> ModeResult:
    return HarmRun(job.scenario, job.mode, job.seed).run()


def _with_target(scenario: HarmScenario, target: float) -> HarmScenario:
    return dataclasses.replace(scenario, interference=target)


_Results = dict[tuple[Mode, int], ModeResult]


def _summary(name: str, seeds: list[int], results: _Results) -> HarmSummary:
    def ttft(mode: Mode) -> Spread:
        return spread_of(
            _ttft_ratio(results[mode, s], results[Mode.ONLINE_ALONE, s]) for s in seeds
        )

    def itl(mode: Mode) -> Spread:
        return spread_of(_itl_ratio(results[mode, s], results[Mode.ONLINE_ALONE, s]) for s in seeds)

    def batch(mode: Mode, over: Mode) -> Spread:
        return spread_of(_batch_ratio(results[mode, s], results[over, s]) for s in seeds)

    harvest = [results[Mode.HARVEST, seed] for seed in seeds]
    return HarmSummary(
        scenario=name,
        seeds=seeds,
        online_ratio_ttft_p99=ttft(Mode.HARVEST),
        online_ratio_itl_p99=itl(Mode.HARVEST),
        baseline_ratio_ttft_p99=ttft(Mode.NO_YIELD),
        baseline_ratio_itl_p99=itl(Mode.NO_YIELD),
        oracle_ratio_ttft_p99=ttft(Mode.ORACLE),
        oracle_ratio_itl_p99=itl(Mode.ORACLE),
        batch_items_per_s=spread_of(result.batch_items_per_s for result in harvest),
        batch_over_oracle=batch(Mode.HARVEST, Mode.ORACLE),
        batch_over_alone=batch(Mode.HARVEST, Mode.BATCH_ALONE),
        baseline_batch_over_alone=batch(Mode.NO_YIELD, Mode.BATCH_ALONE),
        time_to_yield_p99_ms=spread_of(result.to_yield.p99_ms for result in harvest),
        time_to_refill_p99_ms=spread_of(result.to_refill.p99_ms for result in harvest),
    )


def _point(target: float, result: ModeResult, results: _Results) -> FrontierPoint:
    alone = results[Mode.ONLINE_ALONE, result.seed]
    return FrontierPoint(
        interference=target,
        ttft_p99_ratio=_ttft_ratio(result, alone),
        itl_p99_ratio=_itl_ratio(result, alone),
        batch_over_alone=_batch_ratio(result, results[Mode.BATCH_ALONE, result.seed]),
    )


def _ttft_ratio(result: ModeResult, alone: ModeResult) -> float:
    return result.first_token.p99_ms / alone.first_token.p99_ms


def _itl_ratio(result: ModeResult, alone: ModeResult) -> float:
    return result.inter_token.p99_ms / alone.inter_token.p99_ms


def _batch_ratio(result: ModeResult, over: ModeResult) -> float:
    return result.batch_items_per_s / over.batch_items_per_s


def spread_of(values: Iterable[float]) -> Spread:
    """Return median, lowest and highest of the values."""
    known = list(values)
    return Spread(
        median=round(statistics.median(known), 3),
        lowest=round(min(known), 3),
        highest=round(max(known), 3),
    )
