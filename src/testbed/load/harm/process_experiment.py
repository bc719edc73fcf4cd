"""The modes on real processes over several seeds, one after the other, and the ratios."""

from __future__ import annotations

import sys
from dataclasses import dataclass

from testbed.load.harm.experiment import Spread, spread_of
from testbed.load.harm.process_run import PROCESS_MODES, ProcessHarmRun, ProcessModeResult
from testbed.load.harm.run import Mode
from testbed.load.harm.scenario import HARM_SCENARIOS


@dataclass(frozen=True)
class ProcessHarmSummary:
    """Ratios on real processes; there is no oracle there."""

    scenario: str
    seeds: list[int]
    online_ratio_ttft_p99: Spread
    online_ratio_itl_p99: Spread
    baseline_ratio_ttft_p99: Spread
    baseline_ratio_itl_p99: Spread
    batch_items_per_s: Spread
    batch_over_baseline: Spread


@dataclass(frozen=True)
class ProcessHarmExperiment:
    """Everything one experiment on real processes gives."""

    summary: ProcessHarmSummary
    results: list[ProcessModeResult]


def run_process_experiment(
    name: str, first_seed: int, seeds: int, span_s: float
) -> ProcessHarmExperiment:
    """Run each mode for each seed on a fleet of its own; progress goes to standard error."""
    results: list[ProcessModeResult] = []
    chosen = list(range(first_seed, first_seed + seeds))
    for seed in chosen:
        for mode in PROCESS_MODES:
            print(f"{name}, seed {seed}: {mode.value}", file=sys.stderr)
            results.append(ProcessHarmRun(HARM_SCENARIOS[name], mode, seed, span_s).run())
    return ProcessHarmExperiment(_summary(name, chosen, results), results)


def _summary(name: str, seeds: list[int], results: list[ProcessModeResult]) -> ProcessHarmSummary:
    by_key = {(result.mode, result.seed): result for result in results}

    def first_token(mode: Mode) -> Spread:
        return spread_of(
            by_key[mode, seed].first_token.p99_ms
            / by_key[Mode.ONLINE_ALONE, seed].first_token.p99_ms
            for seed in seeds
        )

    def inter_token(mode: Mode) -> Spread:
        return spread_of(
            by_key[mode, seed].inter_token.p99_ms
            / by_key[Mode.ONLINE_ALONE, seed].inter_token.p99_ms
            for seed in seeds
        )

    harvest = [by_key[Mode.HARVEST, seed].batch_items_per_s for seed in seeds]
    baseline = [by_key[Mode.NO_YIELD, seed].batch_items_per_s for seed in seeds]
    return ProcessHarmSummary(
        scenario=name,
        seeds=seeds,
        online_ratio_ttft_p99=first_token(Mode.HARVEST),
        online_ratio_itl_p99=inter_token(Mode.HARVEST),
        baseline_ratio_ttft_p99=first_token(Mode.NO_YIELD),
        baseline_ratio_itl_p99=inter_token(Mode.NO_YIELD),
        batch_items_per_s=spread_of(harvest),
        batch_over_baseline=spread_of(
            ours / theirs for ours, theirs in zip(harvest, baseline, strict=True)
        ),
    )
