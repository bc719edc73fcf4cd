"""Tests of the search for batch requests of gateways that are gone."""

from __future__ import annotations

import random
import threading

import pytest

from leverjunction.backends.types import HeldRequest
from leverjunction.batch.leasing import LEASE_DURATION_S
from leverjunction.batch.orphan_sweep import REPEAT_QUERY_DELAYS_S, OrphanSweep, RequestOwner
from leverjunction.clock import SystemClock
from leverjunction.errors import Execution, Failure, FailureKind, Step
from leverjunction.gateway.orphan_sweeper import OrphanSweeper
from leverjunction.gateway.view import ClusterSnapshot
from leverjunction.observability.counters import GatewayCounters
from leverjunction.wire.messages import GatewayState, RunnerState
from testbed.engine.model import EngineModel
from testbed.engine.types import EngineConfig, EngineRequest

RUNNER = RunnerState(runner_id="r1", address="a", zone="z", service="llm")
ME, MY_INCARNATION = "gateway-1", 50
WAIT_S = 20.0
UNREACHABLE = Failure(
    kind=FailureKind.UNREACHABLE, reason="", step=Step.CONNECTING, execution=Execution.NOT_RUN
)


def gateway(name: str, incarnation: int) -> GatewayState:
    return GatewayState(
        gateway_id=name, address="", rpc_address="", zone="z", incarnation=incarnation
    )


def held(name: str, incarnation: int, may_repeat: bool = True) -> HeldRequest:
    owner = RequestOwner(name, incarnation, may_repeat)
    return HeldRequest(f"{name}-{incarnation}", owner.label())


def sweep_with(*others: GatewayState) -> OrphanSweep:
    sweep = OrphanSweep(ME, MY_INCARNATION)
    sweep.update([RUNNER], others, 0.0)
    return sweep


@pytest.mark.parametrize("may_repeat", [True, False])
@pytest.mark.parametrize("name", ["gateway-1", "zone/a/gateway"])
def test_an_owner_can_be_parsed_from_its_label(name: str, may_repeat: bool) -> None:
    owner = RequestOwner(name, 17, may_repeat)
    assert RequestOwner.from_label(owner.label()) == owner


@pytest.mark.parametrize("label", ["", "x", "g/1", "g/x/repeat", "g/1/often"])
def test_a_request_with_another_kind_of_label_is_not_cancelled(label: str) -> None:
    assert RequestOwner.from_label(label) is None
    assert sweep_with().find_orphans("r1", [HeldRequest("x", label)], 0.0) == []


@pytest.mark.parametrize(
    ("request_held", "is_cancelled"),
    [
        (held(ME, MY_INCARNATION), False),
        (held(ME, MY_INCARNATION - 1), True),
        (held(ME, MY_INCARNATION - 1, may_repeat=False), True),
        (held("gateway-2", 7), False),
        (held("gateway-2", 6), True),
        (held("gateway-2", 8), False),
        (held("gone", 7), True),
        (held("gone", 7, may_repeat=False), False),
    ],
)
def test_which_requests_are_cancelled_immediately(
    request_held: HeldRequest, is_cancelled: bool
) -> None:
    cancelled = sweep_with(gateway("gateway-2", 7)).find_orphans("r1", [request_held], 0.0)
    assert cancelled == ([request_held.request_id] if is_cancelled else [])


def test_an_unrepeatable_request_is_kept_for_a_lease_duration() -> None:
    sweep, once = sweep_with(), held("gone", 7, may_repeat=False)
    assert sweep.find_orphans("r1", [once], 1.0) == []
    assert sweep.find_orphans("r1", [once], LEASE_DURATION_S + 0.9) == []
    assert sweep.find_orphans("r1", [once], LEASE_DURATION_S + 1.0) == [once.request_id]


def test_the_time_of_a_missing_gateway_restarts_after_it_came_back() -> None:
    sweep, once = sweep_with(), held("gateway-2", 7, may_repeat=False)
    assert sweep.find_orphans("r1", [once], 0.0) == []
    sweep.update([RUNNER], [gateway("gateway-2", 7)], 5.0)
    sweep.update([RUNNER], [], 9.0)
    assert sweep.find_orphans("r1", [once], LEASE_DURATION_S) == []


def test_a_new_runner_is_queried_until_no_dead_gateway_can_start_requests() -> None:
    sweep, now_s, queries = sweep_with(), 0.0, []
    while now_s < 60.0:
        for runner in sweep.take_due(now_s):
            queries.append(now_s)
            sweep.find_orphans(runner.runner_id, [], now_s)
        now_s += 1.0
    assert queries == [0.0, REPEAT_QUERY_DELAYS_S[0], sum(REPEAT_QUERY_DELAYS_S)]
    assert queries[-1] > LEASE_DURATION_S


@pytest.mark.parametrize(
    ("others", "is_due"),
    [
        ([gateway("gateway-2", 7)], False),
        ([gateway("gateway-2", 7), gateway("gateway-3", 1)], False),
        ([gateway("gateway-2", 8)], True),
        ([], True),
    ],
)
def test_the_loss_of_any_gateway_restarts_the_queries(
    others: list[GatewayState], is_due: bool
) -> None:
    sweep = sweep_with(gateway("gateway-2", 7))
    for now_s in (0.0, 2.0, 12.0):
        assert sweep.take_due(now_s) == [RUNNER]
        sweep.find_orphans("r1", [], now_s)
    sweep.update([RUNNER], others, 20.0)
    assert bool(sweep.take_due(20.0)) is is_due


def test_a_runner_that_does_not_answer_is_queried_again() -> None:
    sweep = sweep_with()
    assert sweep.take_due(0.0) == [RUNNER]
    assert sweep.take_due(1.0) == [], "one query at a time"
    sweep.query_failed("r1", 1.0)
    assert sweep.take_due(1.0) == [RUNNER]


def test_a_runner_of_another_gateway_is_not_queried() -> None:
    sweep = sweep_with()
    sweep.update([], [], 1.0)
    assert sweep.take_due(1.0) == []
    assert sweep.find_orphans("r1", [held("gone", 7)], 1.0) == []


def test_an_engine_lists_running_and_waiting_requests_that_have_an_owner() -> None:
    engine = EngineModel(EngineConfig(models=["m"], max_running=1), random.Random(1))
    for name, owner in (("a", "x/1/repeat"), ("b", "x/1/repeat"), ("c", ""), ("d", "y/2/once")):
        engine.submit(EngineRequest(request_id=name, model="m", prompt="p", owner=owner), 0.0)
    engine.step(0.0)
    engine.cancel("a")
    assert [(each.request_id, each.owner) for each in engine.held_requests()] == [
        ("b", "x/1/repeat"),
        ("d", "y/2/once"),
    ]


class StubEngines:
    """Engine client with one orphaned request and one of this gateway.

    ``cancel_result`` is the result of each cancel.
    """

    def __init__(self) -> None:
        self.queries = 0
        self.cancelled: list[str] = []
        self.cancel_result: Failure | None = None
        self.done = threading.Semaphore(0)

    def held_requests(self, _address: str) -> list[HeldRequest] | Failure:
        self.queries += 1
        return [held("gone", 7), held(ME, MY_INCARNATION)]

    def cancel(self, _address: str, request_id: str) -> Failure | None:
        self.cancelled.append(request_id)
        self.done.release()
        return self.cancel_result


@pytest.mark.parametrize(("quorum_age_s", "queries"), [(0.0, 1), (60.0, 0)])
def test_the_sweeper_ignores_the_view_of_a_hub_without_a_quorum(
    quorum_age_s: float, queries: int
) -> None:
    engines = StubEngines()
    sweeper = OrphanSweeper(engines, SystemClock(), GatewayCounters(), ME, MY_INCARNATION)
    sweeper.update([RUNNER], ClusterSnapshot(quorum_age_s=quorum_age_s))
    if queries:
        assert engines.done.acquire(timeout=WAIT_S)
    sweeper._threads.shutdown(wait=True)
    assert engines.queries == queries
    assert engines.cancelled == ["gone-7"] * queries


def test_a_failed_cancel_is_repeated_after_the_next_query() -> None:
    engines = StubEngines()
    engines.cancel_result = UNREACHABLE
    sweeper = OrphanSweeper(engines, SystemClock(), GatewayCounters(), ME, MY_INCARNATION)
    for _ in range(2):
        while not engines.done.acquire(timeout=0.01):
            sweeper.update([RUNNER], ClusterSnapshot())
    sweeper.stop()
    assert engines.cancelled[:2] == ["gone-7", "gone-7"]
