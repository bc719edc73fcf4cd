"""What a hub tells one gateway of load, and which hubs it names to it."""

from __future__ import annotations

from collections import Counter

import msgspec
import pytest

from leverjunction.backends.machine_list import Machine, MachineList, MachineState
from leverjunction.control.fanout import REFRESH_MS, GatewaySession, is_material
from leverjunction.control.layout import hubs_for_gateway
from leverjunction.control.membership import SMALL_CLUSTER_RUNNERS, Membership
from leverjunction.control.messages import RenewedLeases, RunnerReading
from leverjunction.control.renewals import RenewalBuffer
from leverjunction.wire.messages import PendingWork, RunnerDigest

ZONES = [f"zone-{number:02}" for number in range(15)]
PEERS = {f"control-{number}": f"10.0.0.{number}:1" for number in range(15)}
ZONE_OF = dict(zip(PEERS, ZONES, strict=True))
GATEWAY_ZONES = {f"gateway-{number}": ZONES[number % 15] for number in range(340)}


def region_of(zone: str) -> str:
    """Six regions of two or three zones each."""
    return f"region-{ZONES.index(zone) * 6 // 15}"


def digest(runner_id: str, **changes: object) -> RunnerDigest:
    base = RunnerDigest(
        runner_id=runner_id, running=10, waiting=0, batch_running=0, kv_used_ratio=0.5, as_of_ms=1
    )
    return msgspec.structs.replace(base, **changes)


def cluster(runners: int) -> Membership:
    """Two zones with every other runner; service ``far`` is only in zone b."""
    machines = [
        Machine(
            id=f"r{number}", address="127.0.0.1:9", zone="ab"[number % 2],
            service="far" if number % 10 == 1 else "llm", state=MachineState.LIVE, incarnation=1,
        )
        for number in range(runners)
    ]  # fmt: skip
    view = Membership()
    view.update_machine_list(MachineList(as_of_ms=1, machines=machines))
    for machine in machines:
        view.update_reading(RunnerReading(runner_id=machine.id, reachable=True, models=["m"]))
    view.update_digests(digest(machine.id) for machine in machines)
    return view


def told(session: GatewaySession, view: Membership) -> set[str]:
    ids: set[str] = set()
    while news := session.digests(view, "a"):
        ids |= {digest.runner_id for digest in news}
    return ids


def test_a_gateway_hears_of_its_zone_and_of_services_that_are_only_elsewhere() -> None:
    view = cluster(4 * SMALL_CLUSTER_RUNNERS)
    zones = {runner.runner_id: (runner.zone, runner.service) for runner in view.runners.values()}
    wanted = {name for name, (zone, service) in zones.items() if zone == "a" or service == "far"}
    assert told(GatewaySession(1), view) == wanted


def test_a_gateway_of_a_small_cluster_hears_of_all_runners() -> None:
    view = cluster(SMALL_CLUSTER_RUNNERS)
    assert told(GatewaySession(1), view) == set(view.runners.keys())


def test_a_far_runner_that_turns_unhealthy_and_back_is_told() -> None:
    view = cluster(4 * SMALL_CLUSTER_RUNNERS)
    session = GatewaySession(1)
    told(session, view)
    assert "r3" not in view.relevant_runners("a")
    view.update_digests([digest("r3", healthy=False, as_of_ms=2)])
    assert [one.runner_id for one in session.digests(view, "a")] == ["r3"]
    assert session.digests(view, "a") == []
    view.update_digests([digest("r3", healthy=True, as_of_ms=3)])
    assert [one.healthy for one in session.digests(view, "a")] == [True]


@pytest.mark.parametrize(
    ("changes", "expected"),
    [
        ({"running": 11}, False),
        ({"running": 12}, True),
        ({"waiting": 2}, True),
        ({"kv_used_ratio": 0.55}, False),
        ({"kv_used_ratio": 0.7}, True),
        ({"batch_running": 1}, True),
        ({"healthy": False}, True),
        ({"as_of_ms": REFRESH_MS}, False),
        ({"as_of_ms": REFRESH_MS + 1}, True),
    ],
)
def test_only_a_material_change_is_news(changes: dict[str, object], expected: bool) -> None:
    assert is_material(digest("r"), digest("r", **changes)) is expected


def test_changes_that_are_small_one_by_one_are_told_once_they_add_up() -> None:
    view = cluster(2)
    session = GatewaySession(1)
    told(session, view)
    view.update_digests([digest("r0", running=11, as_of_ms=2)])
    assert session.digests(view, "a") == []
    view.update_digests([digest("r0", running=12, as_of_ms=3)])
    assert [one.running for one in session.digests(view, "a")] == [12]


def hubs_of(gateway: str) -> list[str]:
    addresses = {address: name for name, address in PEERS.items()}
    zone = GATEWAY_ZONES[gateway]
    hubs = hubs_for_gateway(gateway, zone, PEERS, ZONE_OF, region_of)
    return [addresses[hub] for hub in hubs]


def test_the_own_zones_hub_comes_first_then_the_regions() -> None:
    for gateway, zone in GATEWAY_ZONES.items():
        zones = [ZONE_OF[hub] for hub in hubs_of(gateway)]
        assert sorted(zones) == ZONES
        assert zones[0] == zone
        regions = [region_of(one) == region_of(zone) for one in zones]
        assert regions == sorted(regions, reverse=True)


def test_gateways_of_dead_hubs_spread_over_the_rest() -> None:
    dead = {hub for hub, zone in ZONE_OF.items() if region_of(zone) == "region-0"}
    used = Counter(
        next(hub for hub in hubs_of(gateway) if hub not in dead) for gateway in GATEWAY_ZONES
    )
    assert len(used) == len(PEERS) - len(dead)
    assert max(used.values()) < 1.35 * 340 / len(used)


def test_pending_work_is_told_once_and_again_after_a_lost_reply() -> None:
    renewals, session = RenewalBuffer(), GatewaySession(1)
    assert session.changed_pending_work(renewals.pending_work()) == []
    renewals.record_reply("jobs-0", RenewedLeases([], [], ["llm"]))
    work = [PendingWork("jobs-0", ["llm"])]
    assert session.changed_pending_work(renewals.pending_work()) == work
    assert session.changed_pending_work(renewals.pending_work()) is None
    session.reset()
    assert session.changed_pending_work(renewals.pending_work()) == work
    renewals.record_reply("jobs-0", RenewedLeases([], []))
    assert session.changed_pending_work(renewals.pending_work()) == []
