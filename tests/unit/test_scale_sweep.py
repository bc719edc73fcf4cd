from __future__ import annotations

import pytest

from testbed.scale.lease_traffic import LeaseCount
from testbed.scale.options import ScaleOptions
from testbed.scale.resources import Usage
from testbed.scale.result import ControlResult, GatewaySide, Quantiles, ScaleResult
from testbed.scale.sweep import SweepError, fit_sweep

BASE_CORE = 0.1
CORE_PER_GATEWAY = 0.002


def control(name: str, core_ratio: float, killed: bool = False) -> ControlResult:
    usage = Usage(core_ratio=core_ratio, rss_bytes=80_000_000, written_bytes_per_s=500.0, threads=9)
    return ControlResult(
        name=name,
        usage=None if killed else usage,
        wire_bytes_per_s=2000.0,
        struck=killed,
        data_bytes=1,
    )


def run_of(
    gateways: int, outcome: str = "complete", leases: LeaseCount | None = None
) -> ScaleResult:
    core_ratio = BASE_CORE + CORE_PER_GATEWAY * gateways
    return ScaleResult(
        options=ScaleOptions(gateways=gateways),
        commit="abc1234",
        command=f"testbed scale --gateways={gateways}",
        window_s=10.0,
        load_before=3.0,
        load_after=4.0,
        start_s=1.0,
        controls=[
            control("control-0", core_ratio),
            control("control-1", core_ratio / 2),
            control("control-2", 0.0, killed=True),
        ],
        gateways=GatewaySide(
            exchanges_per_s=gateways,
            failed_exchanges=0,
            full_views=0,
            exchange_ms=Quantiles(5.0, 9.0, 12.0, 100),
            payload_bytes_per_gateway_s=900.0,
            wire_bytes_per_gateway_s=1000.0 + gateways,
            sent_payload_bytes_per_gateway_s=400.0,
            received_payload_bytes_per_gateway_s=500.0,
            digests_per_gateway_s=3.0,
            core_ratio_per_gateway=0.002,
            rss_bytes_per_gateway=1e6,
            leases=leases or LeaseCount(),
            failure_reasons={},
        ),
        real_gateways=[],
        real_gateway_wire_bytes_per_s=[],
        real_gateway_control_bytes_per_s=[],
        changes=[],
        struck=None,
        machine_list_polls_per_s=1.0,
        jobs_submitted_s=0.0,
        outcome=outcome,
    )


def test_costs_of_a_gateway_come_out_and_killed_processes_do_not_count() -> None:
    sweep = fit_sweep("gateways", [run_of(40), run_of(120), run_of(340)])
    slopes = {slope.name: slope.fit for slope in sweep.slopes}
    assert slopes["processor time of all control processes"].slope == pytest.approx(3.0)
    assert slopes["processor time of the busiest control process"].slope == pytest.approx(2.0)
    assert slopes["processor time of the busiest control process"].intercept == pytest.approx(100)
    assert slopes["traffic of a gateway"].slope == pytest.approx(1.0)
    assert slopes["traffic of a control process, mean"].at(340) == pytest.approx(2.0)
    assert slopes["disk writes of all control processes"].intercept == pytest.approx(1.0)
    assert sweep.commits == ["abc1234"]


def test_a_run_that_did_not_come_into_step_is_refused() -> None:
    with pytest.raises(SweepError, match="not all gateways came into step"):
        fit_sweep("gateways", [run_of(40), run_of(80, "not all gateways came into step")])


def test_runs_that_do_not_differ_in_the_option_are_refused() -> None:
    with pytest.raises(SweepError, match="by runners"):
        fit_sweep("runners", [run_of(40), run_of(80)])


def test_the_rate_that_was_reached_is_a_size() -> None:
    few = run_of(40, leases=LeaseCount(completed_items=100))
    many = run_of(340, leases=LeaseCount(completed_items=400))
    sweep = fit_sweep("completed_items_per_s", [few, many])
    assert [point.size for point in sweep.slopes[0].points] == [10.0, 40.0]


def test_a_size_that_runs_do_not_have_is_refused() -> None:
    with pytest.raises(SweepError, match="by adapters"):
        fit_sweep("adapters", [run_of(40), run_of(80)])
