"""Tests of one hub's view of the cluster, event by event."""

from __future__ import annotations

import msgspec
import pytest

from leverjunction.backends.machine_list import Machine, MachineList, MachineState
from leverjunction.control.membership import GATEWAY_TIMEOUT_S, HUB_TIMEOUT_S, Membership
from leverjunction.control.messages import (
    HubState,
    HubSync,
    PlacementRecord,
    RunnerReading,
    Withdrawal,
)
from leverjunction.control.versioned import VersionCounter, VersionedMap
from leverjunction.wire.messages import GatewayState, RunnerDigest


def gateway(name: str = "g1", incarnation: int = 1, **changes: object) -> GatewayState:
    state = GatewayState(
        gateway_id=name, address="a:1", rpc_address="a:2", zone="z", incarnation=incarnation
    )
    return msgspec.structs.replace(state, **changes)


def machines(as_of_ms: int, **states: str) -> MachineList:
    listed = [
        Machine(
            id=name,
            address="127.0.0.1:9",
            zone="z",
            service="llm",
            state=MachineState(state),
            incarnation=1,
        )
        for name, state in states.items()
    ]
    return MachineList(as_of_ms=as_of_ms, machines=listed)


def reading(name: str = "r1", reachable: bool = True, **changes: object) -> RunnerReading:
    base = RunnerReading(runner_id=name, reachable=reachable, incarnation=1, models=["m"])
    return msgspec.structs.replace(base, **changes)


def digest(as_of_ms: int, running: int = 1, healthy: bool = True) -> RunnerDigest:
    return RunnerDigest(
        runner_id="r1",
        running=running,
        waiting=0,
        batch_running=0,
        kv_used_ratio=0.0,
        as_of_ms=as_of_ms,
        healthy=healthy,
    )


def sync(
    from_version: int, to_version: int, *, full: bool = False, hub: str = "c2", **lists: object
) -> HubSync:
    placement = lists.pop("placement", None)
    assert placement is None or isinstance(placement, PlacementRecord)
    incarnation = lists.pop("incarnation", 1)
    assert isinstance(incarnation, int)
    state = HubState(
        name=hub, rpc_address="a:3", zone="z", incarnation=incarnation, placement=placement
    )
    base = HubSync(
        hub=state,
        from_version=from_version,
        to_version=to_version,
        full=full,
        gateways=[],
        gone_gateways=[],
        readings=[],
        gone_readings=[],
        digests=[],
    )
    return msgspec.structs.replace(base, **lists)


def test_versioned_map_returns_changes_since_a_version() -> None:
    known: VersionedMap[int] = VersionedMap(VersionCounter())
    known.put("a", 1)
    known.put("b", 1)
    since = known._counter.value
    assert not known.put("a", 1)
    known.put("a", 2)
    known.remove("b")
    delta = known.since(since)
    assert (delta.changed, delta.removed) == ([2], ["b"])
    known.put("b", 3)
    assert known.since(since).removed == []
    assert known.since(0).changed == [3, 2]


def test_a_silent_gateway_is_removed_after_its_timeout() -> None:
    view = Membership()
    view.update_gateway(gateway(), 0.0)
    view.expire(GATEWAY_TIMEOUT_S)
    assert "g1" in view.gateways
    view.expire(GATEWAY_TIMEOUT_S + 0.1)
    assert "g1" not in view.gateways


def test_a_delayed_exchange_of_an_older_incarnation_is_refused() -> None:
    view = Membership()
    assert view.update_gateway(gateway(incarnation=2), 0.0)
    assert not view.update_gateway(gateway(incarnation=1), 0.1)
    merged = view.gateways.get("g1")
    assert merged is not None
    assert merged.incarnation == 2


def test_a_gateway_stays_stopping_until_its_next_start() -> None:
    view = Membership()
    view.update_gateway(gateway(stopping=True), 0.0)
    view.handle_sync(sync(0, 5, full=True, gateways=[gateway(stopping=False)]), 0.0)
    merged = view.gateways.get("g1")
    assert merged is not None
    assert merged.stopping
    view.handle_sync(sync(5, 6, gateways=[gateway(incarnation=2)]), 0.0)
    merged = view.gateways.get("g1")
    assert merged is not None
    assert not merged.stopping


def test_settings_versions_do_not_change_the_gateways_view() -> None:
    view = Membership()
    view.update_gateway(gateway(settings_version=1), 0.0)
    before = view.view_counter.value
    view.update_gateway(gateway(settings_version=2), 1.0)
    assert view.view_counter.value == before
    assert view.settings_versions == {"g1": 2}


@pytest.mark.parametrize(
    ("listed", "read", "draining", "expected"),
    [
        ("live", None, [], False),
        ("live", reading(), [], False),
        ("leaving", reading(), [], True),
        ("live", reading(leaving=True), [], True),
        ("live", reading(), ["r1"], True),
        ("live", reading(reachable=False), [], False),
        ("missing", reading(), [], True),
        ("missing", reading(reachable=False), [], None),
        ("missing", None, [], None),
    ],
)
def test_leaving(
    listed: str, read: RunnerReading | None, draining: list[str], expected: bool | None
) -> None:
    view = Membership()
    view.update_machine_list(machines(1, r1="live"))
    if read is not None:
        view.update_reading(read)
    view.set_drains(draining)
    view.update_machine_list(machines(2) if listed == "missing" else machines(2, r1=listed))
    state = view.runners.get("r1")
    assert (state.leaving if state is not None else None) is expected


def test_an_unlisted_runner_is_removed_once_it_stops_responding() -> None:
    view = Membership()
    view.update_machine_list(machines(1, r1="live"))
    view.update_reading(reading())
    view.update_machine_list(machines(2))
    view.update_reading(reading(reachable=False))
    assert "r1" not in view.runners


def test_an_older_machine_list_is_ignored() -> None:
    view = Membership()
    view.update_machine_list(machines(5, r1="leaving"))
    view.update_machine_list(machines(4, r1="live"))
    state = view.runners.get("r1")
    assert state is not None
    assert state.leaving


def test_removing_a_drain_mark_resets_leaving() -> None:
    view = Membership()
    view.update_machine_list(machines(1, r1="live"))
    view.set_drains(["r1"])
    view.set_drains([])
    state = view.runners.get("r1")
    assert state is not None
    assert not state.leaving


def test_the_newest_digest_wins_and_an_unhealthy_one_of_the_same_time_replaces_it() -> None:
    view = Membership()
    view.update_machine_list(machines(1, r1="live"))
    view.update_digests([digest(5, running=3)])
    view.handle_sync(sync(0, 5, full=True, digests=[digest(4, running=9)]), 0.0)
    assert view.digests.get("r1") == digest(5, running=3)
    view.update_digests([digest(5, running=3, healthy=False)])
    assert view.digests.get("r1") == digest(5, running=3, healthy=False)


def test_withdrawn_models_are_hidden_until_a_newer_leader_lifts_the_withdrawal() -> None:
    view = Membership()
    view.update_machine_list(machines(1, r1="live"))
    view.update_reading(reading(models=["m", "n"]))
    out = PlacementRecord(term=3, withdrawn=[Withdrawal("r1", "m")], orders=[])
    view.handle_sync(sync(0, 5, full=True, placement=out), 0.0)
    state = view.runners.get("r1")
    assert state is not None
    assert state.models == ["n"]
    # While the leader is silent its withdrawals stay in force, and older records are ignored.
    view.expire(HUB_TIMEOUT_S + 1)
    view.set_placement(PlacementRecord(term=2, withdrawn=[], orders=[]))
    state = view.runners.get("r1")
    assert state is not None
    assert state.models == ["n"]
    view.set_placement(PlacementRecord(term=4, withdrawn=[], orders=[]))
    state = view.runners.get("r1")
    assert state is not None
    assert state.models == ["m", "n"]


def test_a_withdrawn_model_hides_its_adapters_too() -> None:
    view = Membership()
    view.update_machine_list(machines(1, r1="live"))
    view.update_reading(reading(models=["m", "m:x", "mm:x", "n:x"]))
    out = PlacementRecord(
        term=3, withdrawn=[Withdrawal("r1", "m"), Withdrawal("r1", "n:x")], orders=[]
    )
    view.set_placement(out)
    state = view.runners.get("r1")
    assert state is not None
    assert state.models == ["mm:x"]


@pytest.mark.parametrize(
    ("message", "answer", "known"),
    [
        (sync(5, 6, gateways=[gateway("g2")]), 6, {"g1", "g2"}),
        (sync(4, 6, gateways=[gateway("g2")]), 6, {"g1", "g2"}),
        (sync(5, 6, gone_gateways=["g1"]), 6, set()),
        (sync(2, 4, gone_gateways=["g1"]), 5, {"g1"}),
        (sync(7, 8, gateways=[gateway("g2")]), 0, {"g1"}),
        (sync(5, 6, gateways=[gateway("g2")], incarnation=2), 0, {"g1"}),
        (sync(0, 2, full=True, gateways=[gateway("g2")], incarnation=2), 2, {"g2"}),
        (sync(0, 9, full=True, gateways=[gateway("g2")], incarnation=0), 0, {"g1"}),
    ],
    ids=["next", "repeats", "gone", "late", "gap", "restarted", "full", "old incarnation"],
)
def test_sync_messages_of_another_hub(message: HubSync, answer: int, known: set[str]) -> None:
    view = Membership()
    view.handle_sync(sync(0, 5, full=True, gateways=[gateway("g1")]), 0.0)
    assert view.handle_sync(message, 1.0) == answer
    assert set(view.gateways.keys()) == known


def test_a_silent_hub_is_removed_with_its_gateways() -> None:
    view = Membership()
    view.handle_sync(sync(0, 5, full=True, gateways=[gateway("g1"), gateway("g2")]), 0.0)
    view.update_gateway(gateway("g2"), HUB_TIMEOUT_S)
    view.expire(HUB_TIMEOUT_S + 0.1)
    assert view.gateways.keys() == ["g2"]
    assert view.live_hubs() == []


def test_the_last_reading_of_a_silent_hub_is_used_until_another_hub_reads_the_runner() -> None:
    """Guards against models vanishing for 0.8 s after the hub that watched their runner died."""
    view = Membership()
    view.update_machine_list(machines(1, r1="live"))
    view.handle_sync(sync(0, 5, full=True, readings=[reading()]), 0.0)
    view.expire(HUB_TIMEOUT_S + 0.1)
    state = view.runners.get("r1")
    assert state is not None
    assert state.models == ["m"]
    view.update_reading(reading(models=[]))
    state = view.runners.get("r1")
    assert state is not None
    assert state.models == []


def test_an_unreadable_entry_does_not_mark_a_machine_in_use_as_leaving() -> None:
    view = Membership()
    view.update_machine_list(machines(1, r1="live", r2="live"))
    view.update_machine_list(MachineList(as_of_ms=2, machines=[], unreadable=["r1", "r9"]))
    state = view.runners.get("r1")
    assert state is not None
    assert state.leaving is False
    assert [machine.id for machine in view.machine_list().machines] == ["r1"]
