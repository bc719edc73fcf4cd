"""Plots and pages of the harm experiment."""

from __future__ import annotations

from pathlib import Path

import matplotlib

matplotlib.use("Agg")

from matplotlib import pyplot
from matplotlib.axes import Axes

from testbed.load.harm.experiment import HarmExperiment
from testbed.load.harm.run import Mode, ModeResult

FIGURE_INCHES = (12.0, 7.0)
DOTS_PER_INCH = 110
_SHOWN = (Mode.ONLINE_ALONE, Mode.NO_YIELD, Mode.HARVEST, Mode.ORACLE)
_COLOURS = {
    Mode.ONLINE_ALONE: "#5b8db8",
    Mode.NO_YIELD: "#c9553d",
    Mode.HARVEST: "#3a8f5c",
    Mode.ORACLE: "#9a9a9a",
    Mode.BATCH_ALONE: "#d9b44a",
}


def write_report(experiment: HarmExperiment, folder: Path) -> list[Path]:
    """Write the plots into ``folder`` and return their paths."""
    folder.mkdir(parents=True, exist_ok=True)
    name = experiment.summary.scenario
    figure, axes = pyplot.subplots(2, 2, figsize=FIGURE_INCHES, layout="constrained")
    figure.suptitle(f"Batch beside online work: {name}, {len(experiment.summary.seeds)} seeds")
    _plot_latency(axes[0][0], experiment.results, "first token")
    _plot_latency(axes[0][1], experiment.results, "between tokens")
    _plot_batch(axes[1][0], experiment.results)
    _plot_frontier(axes[1][1], experiment)
    path = folder / f"harm-{name}.png"
    figure.savefig(path, dpi=DOTS_PER_INCH)
    pyplot.close(figure)
    return [path]


def _plot_latency(axis: Axes, results: list[ModeResult], which: str) -> None:
    for position, mode in enumerate(_SHOWN):
        for result in results:
            if result.mode is mode:
                summary = result.first_token if which == "first token" else result.inter_token
                axis.plot(
                    [summary.p50_ms, summary.p99_ms],
                    [position, position],
                    color=_COLOURS[mode],
                    alpha=0.35,
                    linewidth=5,
                )
                axis.plot(summary.p99_ms, position, "o", color=_COLOURS[mode])
    axis.set_yticks(range(len(_SHOWN)), [mode.value for mode in _SHOWN])
    axis.invert_yaxis()
    axis.set_xlabel(f"{which}, ms: p50 to p99 (dot), one line a seed")
    axis.set_xlim(left=0)


def _plot_batch(axis: Axes, results: list[ModeResult]) -> None:
    shown = (Mode.BATCH_ALONE, Mode.NO_YIELD, Mode.HARVEST, Mode.ORACLE)
    for position, mode in enumerate(shown):
        rates = [result.batch_items_per_s for result in results if result.mode is mode]
        axis.barh(position, sum(rates) / len(rates), color=_COLOURS[mode], alpha=0.8)
        axis.plot(rates, [position] * len(rates), "k.", markersize=4)
    axis.set_yticks(range(len(shown)), [mode.value for mode in shown])
    axis.invert_yaxis()
    axis.set_xlabel("batch items/s (mean; one dot a seed)")


def _plot_frontier(axis: Axes, experiment: HarmExperiment) -> None:
    points = experiment.frontier
    axis.set_xlabel("batch items/s over batch alone")
    axis.set_ylabel("p99 over online alone")
    axis.axhline(1.0, color="#cccccc", linewidth=1)
    if not points:
        return
    share = [point.batch_over_alone for point in points]
    axis.plot(share, [p.ttft_p99_ratio for p in points], "o-", label="first token")
    axis.plot(share, [p.itl_p99_ratio for p in points], "s-", label="between tokens")
    for point in points:
        axis.annotate(f"{point.interference:g}", (point.batch_over_alone, point.ttft_p99_ratio))
    axis.legend(title="labels: interference")
