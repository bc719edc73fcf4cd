"""Tests of single planner steps, and of whole rollouts against simulated engines."""

from __future__ import annotations

from collections.abc import Collection

import msgspec
import pytest

from leverjunction.backends.types import OrderAction
from leverjunction.control.messages import Withdrawal
from leverjunction.control.placement import (
    DRAIN_LIMIT_S,
    SETTLE_S,
    Plan,
    RunnerStatus,
    WantedModel,
    is_done,
    plan,
)

LONG_UP_S = 100.0


def wanted(version: str = "1", replicas: int = 0, adapter: str = "") -> WantedModel:
    return WantedModel(service="s", model="m", adapter=adapter, version=version, replicas=replicas)


def runner(name: str, version: str | None = None, **changes: object) -> RunnerStatus:
    status = RunnerStatus(
        runner_id=name,
        service="s",
        usable=True,
        models=[] if version is None else ["m"],
        versions={} if version is None else {"m": version},
        busy=0,
        up_s=LONG_UP_S,
        ordered=False,
    )
    return msgspec.structs.replace(status, **changes)


def steps(
    entries: list[WantedModel],
    runners: list[RunnerStatus],
    withdrawn: dict[Withdrawal, float] | None = None,
    *,
    applied: Collection[Withdrawal] | None = None,
    loads: int = 0,
    max_loads: int = 4,
    now_s: float = 1000.0,
) -> Plan:
    applied = (withdrawn or {}) if applied is None else applied
    return plan(entries, runners, withdrawn or {}, applied, loads, max_loads, now_s)


WITHDRAWN_FROM_A = Withdrawal("a", "m")


@pytest.mark.parametrize(
    ("runners", "loads", "expected"),
    [
        ([runner("a"), runner("b", "1")], 0, ["a"]),
        ([runner("a"), runner("b")], 3, 1),
        ([runner("a")], 4, []),
        ([runner("a", usable=False)], 0, []),
        ([runner("a", ordered=True)], 0, []),
        ([runner("a", up_s=1.0)], 0, []),
        ([runner("a", service="other")], 0, []),
    ],
    ids=["missing", "one slot", "no slot", "unusable", "ordered", "just started", "elsewhere"],
)
def test_missing_models_are_loaded(
    runners: list[RunnerStatus], loads: int, expected: list[str] | int
) -> None:
    orders = steps([wanted()], runners, loads=loads).orders
    assert all(order.action is OrderAction.LOAD for order in orders)
    loaded = [order.runner_id for order in orders]
    assert (len(loaded) if isinstance(expected, int) else loaded) == expected


@pytest.mark.parametrize(
    ("age_s", "busy", "reloaded"),
    [
        (SETTLE_S - 0.1, 0, False),
        (SETTLE_S, 0, True),
        (SETTLE_S, 2, False),
        (DRAIN_LIMIT_S, 2, True),
    ],
)
def test_a_withdrawn_runner_is_changed_once_idle(age_s: float, busy: int, reloaded: bool) -> None:
    runners = [runner("a", "1", busy=busy), runner("b", "1"), runner("c", "1")]
    result = steps([wanted("2")], runners, {WITHDRAWN_FROM_A: 1000.0 - age_s})
    assert [order.runner_id for order in result.orders] == (["a"] if reloaded else [])
    assert result.withdrawn == {WITHDRAWN_FROM_A: 1000.0 - age_s}


@pytest.mark.parametrize(("age_s", "reloaded"), [(SETTLE_S, False), (DRAIN_LIMIT_S, True)])
def test_a_withdrawal_waits_until_every_gateway_has_applied_it(
    age_s: float, reloaded: bool
) -> None:
    runners = [runner("a", "1"), runner("b", "1"), runner("c", "1")]
    result = steps([wanted("2")], runners, {WITHDRAWN_FROM_A: 1000.0 - age_s}, applied=())
    assert [order.runner_id for order in result.orders] == (["a"] if reloaded else [])


def test_a_reverted_change_lifts_the_withdrawal() -> None:
    runners = [runner("a", "1"), runner("b", "1")]
    result = steps([wanted("1")], runners, {WITHDRAWN_FROM_A: 999.0})
    assert (result.orders, result.withdrawn) == ([], {})


def test_the_only_ready_runner_is_never_withdrawn() -> None:
    result = steps([wanted("2")], [runner("a", "1")])
    assert (result.orders, result.withdrawn) == ([], {})
    assert "only one" in result.blocked[0]


def test_a_single_replica_is_replaced_through_a_spare_runner() -> None:
    result = steps([wanted("2", replicas=1)], [runner("a", "1"), runner("b")])
    assert [(order.runner_id, order.version) for order in result.orders] == [("b", "2")]
    after = steps([wanted("2", replicas=1)], [runner("a", "1"), runner("b", "2")])
    assert list(after.withdrawn) == [WITHDRAWN_FROM_A]
    last = steps(
        [wanted("2", replicas=1)], [runner("a", "1"), runner("b", "2")], {WITHDRAWN_FROM_A: 0.0}
    )
    assert [(order.runner_id, order.action) for order in last.orders] == [("a", OrderAction.UNLOAD)]


def test_surplus_models_stay_until_the_chosen_runners_are_ready() -> None:
    entry = wanted("2", replicas=2)
    result = steps([entry], [runner("a", "1"), runner("b", "2"), runner("c", "1")])
    assert all(order.action is not OrderAction.UNLOAD for order in result.orders)


def test_models_that_are_not_in_the_settings_are_left_loaded() -> None:
    result = steps([], [runner("a", "1")])
    assert (result.orders, result.withdrawn) == ([], {})


def test_an_adapter_is_loaded_where_its_model_is() -> None:
    entries = [wanted(), wanted(adapter="x")]
    orders = steps(entries, [runner("a", "1"), runner("b")]).orders
    assert {(order.runner_id, order.adapter) for order in orders} == {("a", "x"), ("b", "")}


@pytest.mark.parametrize("holder", ["a", "b", "c"])
def test_the_only_runner_of_an_adapter_is_not_withdrawn_for_its_model(holder: str) -> None:
    entries = [wanted("2"), wanted(adapter="x")]
    held = {"models": ["m", "m:x"], "versions": {"m": "1", "m:x": "1"}}
    runners = [runner(name, "1", **(held if name == holder else {})) for name in "abc"]
    result = steps(entries, runners)
    taken = [withdrawal.runner_id for withdrawal in result.withdrawn]
    assert len(taken) == 1
    assert taken != [holder]


def test_an_adapter_that_is_not_in_the_settings_does_not_delay_a_rollout() -> None:
    alone = runner("a", "1", models=["m", "m:x"], versions={"m": "1", "m:x": "1"})
    result = steps([wanted("2")], [alone, runner("b", "2")])
    assert list(result.withdrawn) == [WITHDRAWN_FROM_A]


@pytest.mark.parametrize("count", [2, 3, 6, 9, 20])
@pytest.mark.parametrize("replicas", [0, 2])
def test_a_rollout_always_leaves_ready_runners(count: int, replicas: int) -> None:
    """The simulated engines drop a model while they reload it; each load takes five rounds."""
    versions: dict[str, str | None] = {f"r{i}": "1" for i in range(count)}
    loading: dict[str, tuple[int, str]] = {}
    withdrawn: dict[Withdrawal, float] = {}
    entry = wanted("2", replicas=replicas)
    for now_s in range(2000):
        for name, (done_at, version) in list(loading.items()):
            if now_s >= done_at:
                versions[name] = version
                del loading[name]
        status = [
            runner(name, version, ordered=name in loading) for name, version in versions.items()
        ]
        result = steps([entry], status, withdrawn, loads=len(loading), now_s=float(now_s))
        withdrawn = result.withdrawn
        for order in result.orders:
            if order.action is OrderAction.LOAD:
                loading[order.runner_id] = (now_s + 5, order.version)
            versions[order.runner_id] = None
        hidden = {withdrawal.runner_id for withdrawal in withdrawn}
        ready = [name for name, version in versions.items() if version and name not in hidden]
        assert ready, f"no ready runner at {now_s}"
        assert len(loading) <= 4
    holders = [name for name, version in versions.items() if version is not None]
    assert all(versions[name] == "2" for name in holders)
    assert len(holders) == (replicas or count)
    assert not withdrawn


@pytest.mark.parametrize(
    ("action", "models", "versions", "done"),
    [
        (OrderAction.LOAD, ["m"], {"m": "2"}, True),
        (OrderAction.LOAD, ["m"], {"m": "1"}, False),
        (OrderAction.LOAD, [], {}, False),
        (OrderAction.UNLOAD, ["m"], {"m": "1"}, False),
        (OrderAction.UNLOAD, [], {}, True),
    ],
)
def test_is_done(
    action: OrderAction, models: list[str], versions: dict[str, str], done: bool
) -> None:
    result = steps([wanted("2")], [runner("a")])
    order = msgspec.structs.replace(result.orders[0], action=action)
    assert is_done(order, models, versions) is done
