"""Prefix-aware routing on and off, on multi-turn traffic with late and gappy cache events.

Run with ``python -m testbed.load.prefix_experiment``. Virtual time, the engine model of the testbed
and the product's own routing, prefix index, send ledger and ownership. As in the product, only a
runner's owner gateway reads its cache events; other gateways know their own sends alone.
"""

from __future__ import annotations

import sys
from dataclasses import dataclass
from enum import StrEnum
from pathlib import Path

import fire
import msgspec
from rich.console import Console
from rich.table import Table

from testbed.load.harm.scenario import HARM_SCENARIOS
from testbed.load.prefix_run import CacheFaults, PrefixRun, PrefixSource, RunFigures
from testbed.load.prefix_traffic import ConversationShape

RATES = {"kilimo": 4.0, "hanbit": 6.0}
"""Conversations a second: runners are busy, and their caches too small to hold every context."""

LATE_EVENTS = CacheFaults(delay_s=2.0, gap_ratio=0.2)
USUAL_EVENTS = CacheFaults(delay_s=0.5, gap_ratio=0.02)


class Variant(StrEnum):
    """A way to route."""

    OFF = "off"
    OWN_SENDS = "own sends only"
    EVENTS = "own sends and events"
    LATE_EVENTS = "own sends and late events"
    ORACLE = "true caches"


@dataclass(frozen=True)
class VariantPlan:
    """What a variant uses."""

    weight: float
    source: PrefixSource
    faults: CacheFaults = USUAL_EVENTS


class VariantFigures(msgspec.Struct, frozen=True, kw_only=True):
    """Figures of one variant: means over the seeds, with the lowest and highest seed.

    Attributes:
        variant: The variant.
        weight: ``prefix_weight`` used.
        hit_ratio: Share of prompt blocks that the chosen runner's cache held at arrival.
        hit_ratio_range: Lowest and highest seed.
        ttft_p50_ms: Time to the first token.
        ttft_p99_ms: Time to the first token.
        ttft_p99_range_ms: Lowest and highest seed.
        believed_wrongly: Share of believed blocks that the chosen runner did not hold.
        requests: Requests of all seeds.
        refused: Requests that found no room.
    """

    variant: str
    weight: float
    hit_ratio: float
    hit_ratio_range: tuple[float, float]
    ttft_p50_ms: float
    ttft_p99_ms: float
    ttft_p99_range_ms: tuple[float, float]
    believed_wrongly: float
    requests: int
    refused: int


class PrefixReport(msgspec.Struct, frozen=True, kw_only=True):
    """All figures of one scenario."""

    scenario: str
    seeds: int
    first_seed: int
    variants: list[VariantFigures]


def plans(weight: float) -> dict[Variant, VariantPlan]:
    """Return what each variant uses."""
    return {
        Variant.OFF: VariantPlan(0.0, PrefixSource.NOTHING),
        Variant.OWN_SENDS: VariantPlan(weight, PrefixSource.OWN_SENDS),
        Variant.EVENTS: VariantPlan(weight, PrefixSource.EVENTS),
        Variant.LATE_EVENTS: VariantPlan(weight, PrefixSource.EVENTS, LATE_EVENTS),
        Variant.ORACLE: VariantPlan(weight, PrefixSource.TRUTH),
    }


def run_experiment(
    scenario: str, seeds: int, first_seed: int, weight: float, shape: ConversationShape
) -> PrefixReport:
    """Run every variant with every seed; the conversations of a seed are the same in all."""
    figures = []
    for variant, plan in plans(weight).items():
        runs = [
            PrefixRun(
                HARM_SCENARIOS[scenario], shape, seed, plan.weight, plan.source, plan.faults
            ).run()
            for seed in range(first_seed, first_seed + seeds)
        ]
        figures.append(_figures(variant, plan, runs))
    return PrefixReport(scenario=scenario, seeds=seeds, first_seed=first_seed, variants=figures)


def _figures(variant: Variant, plan: VariantPlan, runs: list[RunFigures]) -> VariantFigures:
    hits = [run.hit_ratio for run in runs]
    p99 = [run.first_token.p99_ms for run in runs]
    return VariantFigures(
        variant=variant.value,
        weight=plan.weight,
        hit_ratio=round(_mean(hits), 3),
        hit_ratio_range=(round(min(hits), 3), round(max(hits), 3)),
        ttft_p50_ms=round(_mean([run.first_token.p50_ms for run in runs]), 1),
        ttft_p99_ms=round(_mean(p99), 1),
        ttft_p99_range_ms=(round(min(p99), 1), round(max(p99), 1)),
        believed_wrongly=round(_mean([run.believed_wrongly for run in runs]), 3),
        requests=sum(run.requests for run in runs),
        refused=sum(run.refused for run in runs),
    )


def _mean(values: list[float]) -> float:
    return sum(values) / len(values)


def prefix(
    scenario: str = "kilimo",
    seeds: int = 5,
    first_seed: int = 1,
    weight: float = 1.0,
    rate: float = 0.0,
    duration_s: float = 60.0,
    turns: int = 6,
    json: str = "",
) -> int:
    """Measure prefix-aware routing against routing by load alone.

    Args:
        scenario: kilimo or hanbit.
        seeds: Number of seeds.
        first_seed: First seed.
        weight: ``prefix_weight`` of the variants that use one.
        rate: Conversations a second; 0 takes the scenario's own.
        duration_s: Virtual time in which conversations begin.
        turns: Most turns of a conversation; 1 measures what the routing costs where it cannot help.
        json: File for the figures as one JSON object.

    Returns:
        0, or 2 for an unknown scenario.
    """
    if scenario not in HARM_SCENARIOS:
        known = ", ".join(HARM_SCENARIOS)
        print(f"unknown scenario {scenario!r}; known: {known}", file=sys.stderr)
        return 2
    shape = ConversationShape(
        conversations_per_s=float(rate) or RATES[scenario],
        duration_s=float(duration_s),
        turns_min=min(2, int(turns)),
        turns_max=int(turns),
    )
    report = run_experiment(scenario, int(seeds), int(first_seed), float(weight), shape)
    _print(report)
    if json:
        Path(json).write_bytes(msgspec.json.format(msgspec.json.encode(report)))
    return 0


def _print(report: PrefixReport) -> None:
    table = Table(title=f"prefix-aware routing, {report.scenario}, {report.seeds} seeds")
    for name in VariantFigures.__struct_fields__:
        table.add_column(name, justify="right")
    for item in report.variants:
        table.add_row(*(str(value) for value in msgspec.structs.astuple(item)))
    Console(width=180).print(table)


if __name__ == "__main__":
    sys.exit(fire.Fire(prefix, serialize=lambda _result: None))
