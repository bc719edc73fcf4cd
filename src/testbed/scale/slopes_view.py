"""Cost of the cluster view in a gateway: a reply taken in, ownership found, bytes of the parts."""

from __future__ import annotations

from functools import partial

from leverjunction.gateway.ownership import owned_runners
from leverjunction.gateway.view import ClusterSnapshot, apply_reply
from leverjunction.wire.codec import decode, encode
from leverjunction.wire.messages import (
    ExchangeReply,
    GatewayState,
    RunnerDigest,
    RunnerState,
)
from testbed.scale.lease_traffic import MODELS, SERVICE
from testbed.scale.options import zone_name
from testbed.scale.slope_report import Slope, processor_s, slope
from testbed.scale.slopes import Point

RUNNERS = (80, 300, 600, 1200)
GATEWAYS = (22, 85, 170, 340)
DIGESTS = (0, 20, 80, 300, 1200)
ZONES = 15
CALLS = 50
US = 1e6
SOME_MS = 1_796_194_325_123


def measure() -> list[Slope]:
    """Return the slopes of the view."""
    return [*_full_view(), *_digests(), _ownership()]


def gateway_states(count: int) -> list[GatewayState]:
    """Return gateways dealt to the zones."""
    return [
        GatewayState(
            gateway_id=f"gateway-{zone_name(index, ZONES)}-{index:03d}",
            address=f"10.1.{index % 250}.1:8080",
            rpc_address=f"10.1.{index % 250}.1:9090",
            zone=zone_name(index, ZONES),
            incarnation=SOME_MS,
            settings_version=1234,
        )
        for index in range(count)
    ]


def runner_states(count: int) -> list[RunnerState]:
    """Return runners dealt to the zones."""
    return [
        RunnerState(
            runner_id=f"{SERVICE}-{zone_name(index, ZONES)}-r{index:04d}",
            address=f"10.2.{index % 250}.1:8080",
            zone=zone_name(index, ZONES),
            service=SERVICE,
            models=MODELS,
            incarnation=SOME_MS,
        )
        for index in range(count)
    ]


def digests(runners: list[RunnerState]) -> list[RunnerDigest]:
    """Return one reading of each runner."""
    return [
        RunnerDigest(
            runner_id=runner.runner_id,
            running=37,
            waiting=2,
            batch_running=18,
            kv_used_ratio=0.578,
            as_of_ms=SOME_MS + index,
        )
        for index, runner in enumerate(runners)
    ]


def reply(
    gateways: list[GatewayState],
    runners: list[RunnerState],
    readings: list[RunnerDigest],
    full: bool,
) -> ExchangeReply:
    """Return a hub's reply that carries these."""
    return ExchangeReply(
        settings_version=1234,
        settings=[],
        view_version=SOME_MS,
        hub_incarnation=SOME_MS,
        full_view=full,
        gateways=gateways,
        gone_gateways=[],
        runners=runners,
        gone_runners=[],
        digests=readings,
        lost_lease_ids=[],
        cancelled_jobs=[],
        hubs=[],
        quorum_age_s=0.0123,
    )


def _full_view() -> list[Slope]:
    by_runner: list[Point] = []
    for count in RUNNERS:
        by_runner.append(Point(count, len(encode(reply([], runner_states(count), [], True)))))
    by_gateway: list[Point] = []
    for count in GATEWAYS:
        by_gateway.append(Point(count, len(encode(reply(gateway_states(count), [], [], True)))))
    return [
        slope("view: bytes of a full view by runners", "B", "runner", by_runner),
        slope("view: bytes of a full view by gateways", "B", "gateway", by_gateway),
    ]


def _digests() -> list[Slope]:
    runners = runner_states(1200)
    readings = digests(runners)
    state = apply_reply(ClusterSnapshot(), reply(gateway_states(340), runners, readings, True))
    size: list[Point] = []
    cost: list[Point] = []
    for count in DIGESTS:
        delta = reply([], [], readings[:count], False)
        body = encode(delta)
        size.append(Point(count, len(body)))
        taken_s = processor_s(partial(_take_in, state, body))
        cost.append(Point(count, taken_s * US / CALLS))
    return [
        slope("view: bytes of a reply by digests", "B", "digest", size),
        slope("view: gateway decodes and applies a reply", "us", "digest", cost),
    ]


def _take_in(state: ClusterSnapshot, body: bytes) -> None:
    for _ in range(CALLS):
        decoded = decode(body, ExchangeReply)
        assert isinstance(decoded, ExchangeReply)
        apply_reply(state, decoded)


def _ownership() -> Slope:
    gateways = gateway_states(340)
    points: list[Point] = []
    for count in RUNNERS:
        runners = runner_states(count)
        taken_s = processor_s(partial(owned_runners, gateways[0].gateway_id, runners, gateways))
        points.append(Point(count, taken_s * US))
    return slope("view: gateway finds its owned runners, 340 gateways", "us", "runner", points)
