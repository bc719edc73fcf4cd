"""The harm experiment on a small deployment: seeded, open loop, the same online work each way."""

from __future__ import annotations

import dataclasses
import random
from pathlib import Path

import pytest

from testbed.engine.types import EngineConfig, EngineRequest
from testbed.load.harm import experiment
from testbed.load.harm.batch_feed import BATCH_PRIORITY
from testbed.load.harm.cli import harm
from testbed.load.harm.experiment import run_experiment
from testbed.load.harm.online import ONLINE_PRIORITY
from testbed.load.harm.report import write_report
from testbed.load.harm.run import HarmRun, Mode, ModeResult
from testbed.load.harm.scenario import HARM_SCENARIOS, HarmScenario
from testbed.load.harm.virtual_runner import VirtualRunner
from testbed.load.harm.yield_meter import YieldMeter
from testbed.load.latency import LatencyRecorder
from testbed.load.workload import BatchHeap, OnlinePhase, RequestShape, online_arrivals
from testbed.simulation.scheduler import Scheduler

PHASES = (OnlinePhase(4.0, 3.0), OnlinePhase(2.0, 0.0), OnlinePhase(4.0, 6.0))


def small(interference: float = 0.02) -> HarmScenario:
    """Return Kilimo's scenario with three runners and ten seconds of work."""
    kilimo = HARM_SCENARIOS["kilimo"]
    workload = dataclasses.replace(
        kilimo.workload,
        phases=PHASES,
        batch=BatchHeap(5.0, 200, RequestShape(100, 300, 16, 48, shared_prefix=32)),
    )
    return dataclasses.replace(
        kilimo, runners=3, gateways_per_zone=1, interference=interference, workload=workload
    )


@pytest.fixture(scope="module")
def results() -> dict[Mode, ModeResult]:
    return {mode: HarmRun(small(), mode, 5).run() for mode in Mode}


def test_the_same_seed_gives_the_same_figures(results: dict[Mode, ModeResult]) -> None:
    assert HarmRun(small(), Mode.HARVEST, 5).run() == results[Mode.HARVEST]
    assert HarmRun(small(), Mode.HARVEST, 6).run() != results[Mode.HARVEST]


def test_each_mode_serves_the_same_online_work(results: dict[Mode, ModeResult]) -> None:
    offered = len(online_arrivals(small().workload, random.Random(5)))
    for mode in (Mode.ONLINE_ALONE, Mode.NO_YIELD, Mode.HARVEST, Mode.ORACLE):
        assert results[mode].online_finished == offered
        assert results[mode].online_refused == 0
    assert results[Mode.BATCH_ALONE].online_finished == 0


def test_batch_runs_in_every_mode_but_online_alone(results: dict[Mode, ModeResult]) -> None:
    assert results[Mode.ONLINE_ALONE].batch_items_per_s == 0
    for mode in set(Mode) - {Mode.ONLINE_ALONE}:
        assert results[mode].batch_items_per_s > 0


def test_harvest_harms_less_than_batch_without_yielding(results: dict[Mode, ModeResult]) -> None:
    baseline, harvest = results[Mode.NO_YIELD], results[Mode.HARVEST]
    assert harvest.inter_token.p99_ms < baseline.inter_token.p99_ms
    assert harvest.first_token.p99_ms < baseline.first_token.p99_ms
    assert harvest.to_yield.count > 0
    assert harvest.to_refill.count > 0


def test_arrivals_keep_to_their_phases() -> None:
    arrivals = online_arrivals(small().workload, random.Random(1))
    times = [arrival.at_s for arrival in arrivals]
    assert times == sorted(times)
    assert not [at_s for at_s in times if 4.0 <= at_s < 6.0]
    assert max(times) < small().workload.duration_s
    shape = small().workload.online
    lengths = [len(arrival.prompt.split()) for arrival in arrivals]
    assert min(lengths) >= shape.prompt_min
    assert max(lengths) <= shape.prompt_max


def test_recorder_merges_and_gives_percentiles() -> None:
    first, second = LatencyRecorder(), LatencyRecorder()
    for milliseconds in range(1, 100):
        first.record(milliseconds / 1_000)
    second.record(1.0)
    first.add(second)
    summary = first.summary()
    assert summary.count == 100
    assert summary.p50_ms == pytest.approx(50, rel=0.01)
    assert summary.p99_ms == pytest.approx(99, rel=0.01)
    assert summary.max_ms == pytest.approx(1_000, rel=0.01)


def test_meter_sees_batch_give_way_and_come_back() -> None:
    scheduler = Scheduler()
    runner = VirtualRunner(scheduler, "runner-0", "z", EngineConfig(models=["m"]), 1)
    meter = YieldMeter(scheduler, runner, allowed=0)
    for number in range(6):
        runner.submit(_request(f"b{number}", priority=BATCH_PRIORITY), lambda _emission: None)
    scheduler.run_until(0.2)
    meter.online_sent()
    runner.submit(_request("online", priority=ONLINE_PRIORITY, tokens=4), lambda _emission: None)
    for number in range(6):
        runner.cancel(f"b{number}")
    scheduler.run_until(2.0)
    assert meter.to_yield.summary().count == 1
    for number in range(6):
        runner.submit(_request(f"c{number}", priority=BATCH_PRIORITY), lambda _emission: None)
    scheduler.run_until(4.0)
    assert meter.to_refill.summary().count == 1


def test_summary_and_plots_of_an_experiment(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setitem(HARM_SCENARIOS, "small", small())
    monkeypatch.setattr(experiment, "WORKERS", 1)
    found = run_experiment("small", 5, 1, frontier=False)
    assert found.summary.online_ratio_itl_p99.median >= 1.0
    assert found.summary.batch_over_oracle.median > 0
    (path,) = write_report(found, tmp_path)
    assert path.stat().st_size > 0


def test_an_unknown_scenario_is_refused(capsys: pytest.CaptureFixture[str]) -> None:
    assert harm(scenario="none") == 2
    assert "known: kilimo, hanbit" in capsys.readouterr().err


def _request(name: str, priority: int, tokens: int = 400) -> EngineRequest:
    return EngineRequest(
        request_id=name, model="m", prompt="a b c", max_tokens=tokens, priority=priority
    )
