"""Requests that are held at a gateway: let go, refused, or left by their callers."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Iterator
from random import Random

import pytest
from tests.unit.proxy_support import Proxy, request_headers
from tests.unit.test_proxy_decision_log import wait_for_lines

from leverjunction.errors import Execution, Failure
from leverjunction.proxy.admission import Ticket
from leverjunction.proxy.admission_gate import READS_AT_ONCE, AdmissionGate
from leverjunction.proxy.balancer import KNOWN_S, Balancer
from leverjunction.proxy.dialect import EngineLoad
from leverjunction.proxy.runner_seat import RunnerSeat
from leverjunction.registry.records import RunnerRecord
from leverjunction.routes import RouteClass
from testbed.routed import SERVICE, RunnerStandIn, make_route, make_table

SLOTS = 4
FULL = 40


class Loads:
    """Reads back ends' loads as they are set here."""

    def __init__(self) -> None:
        self.load = EngineLoad(FULL, 0, SLOTS)
        self.reads = 0

    async def read_load(self, seat: RunnerSeat) -> EngineLoad:
        self.reads += 1
        seat.told(self.load, asyncio.get_running_loop().time())
        return self.load


def gate_over(
    loads: Loads, runners: int, changes: list[tuple[str, int]]
) -> tuple[AdmissionGate, Balancer]:
    balancer = Balancer("z", Random(1))
    balancer.replace(
        RunnerRecord(runner_id=f"i{n}", service=SERVICE, address="a:1", zone="z", slots=SLOTS)
        for n in range(runners)
    )
    now_s = asyncio.get_running_loop().time()
    balancer.ran(SERVICE, 0.4)
    for seat in balancer.seats(SERVICE):
        seat.told(loads.load, now_s)
    gate = AdmissionGate(balancer, loads, lambda *change: changes.append(change))  # type: ignore[arg-type]
    return gate, balancer


def ticket(last_in_s: float = 1.5) -> Ticket:
    now_s = asyncio.get_running_loop().time()
    return Ticket(now_s, now_s + 0.2, now_s + last_in_s, 0.02)


def test_a_held_request_goes_once_its_back_end_has_room() -> None:
    async def play() -> None:
        loads, changes = Loads(), list[tuple[str, int]]()
        loads.load = EngineLoad(SLOTS, 6, SLOTS)
        gate, _ = gate_over(loads, 1, changes)
        held = asyncio.create_task(gate.enter(SERVICE, ticket()))
        await asyncio.sleep(0.2)
        assert not held.done()
        assert changes == [(SERVICE, 1)]
        loads.load = EngineLoad(1, 0, SLOTS)
        assert await asyncio.wait_for(held, 0.3) is None
        assert changes == [(SERVICE, 1), (SERVICE, 0)]

    asyncio.run(play())


def test_how_many_are_held_and_for_how_long_is_seen() -> None:
    async def play() -> None:
        loads = Loads()
        loads.load = EngineLoad(SLOTS, 6, SLOTS)
        gate, _ = gate_over(loads, 1, [])
        assert gate.waiting() == {}
        held = [asyncio.create_task(gate.enter(SERVICE, ticket())) for _ in range(2)]
        await asyncio.sleep(0.2)
        assert gate.waiting() == {SERVICE: (2, pytest.approx(0.2, abs=0.1))}
        loads.load = EngineLoad(1, 0, SLOTS)
        await asyncio.wait_for(asyncio.gather(*held), 1.0)
        assert gate.waiting() == {SERVICE: (0, 0.0)}

    asyncio.run(play())


def test_a_request_that_is_too_late_is_refused_before_its_caller_leaves() -> None:
    async def play() -> None:
        loads = Loads()
        loads.load = EngineLoad(SLOTS, 6, SLOTS)
        gate, _ = gate_over(loads, 1, [])
        refusal = await asyncio.wait_for(gate.enter(SERVICE, ticket(0.8)), 0.8)
        assert isinstance(refusal, Failure)
        assert refusal.execution is Execution.NOT_RUN
        assert refusal.retry_after_s == pytest.approx(6 * 0.4 / SLOTS, rel=0.2)

    asyncio.run(play())


def test_what_cannot_be_served_is_refused_at_once() -> None:
    async def play() -> None:
        gate, _ = gate_over(Loads(), 1, [])
        started_s = time.monotonic()
        refusal = await gate.enter(SERVICE, ticket())
        assert isinstance(refusal, Failure)
        assert time.monotonic() - started_s < 0.05
        assert refusal.retry_after_s == pytest.approx((FULL - SLOTS) * 0.4 / SLOTS, rel=0.1)

    asyncio.run(play())


def test_an_old_word_of_a_load_holds_nothing_back() -> None:
    async def play() -> None:
        gate, balancer = gate_over(Loads(), 1, [])
        for seat in balancer.seats(SERVICE):
            seat.told_s -= KNOWN_S + 0.1
        assert await gate.enter(SERVICE, ticket()) is None

    asyncio.run(play())


def test_readings_are_bounded_however_many_back_ends_there_are() -> None:
    async def play() -> None:
        loads = Loads()
        loads.load = EngineLoad(SLOTS, 6, SLOTS)
        gate, _ = gate_over(loads, 50, [])
        held = [asyncio.create_task(gate.enter(SERVICE, ticket())) for _ in range(5)]
        await asyncio.sleep(0.35)
        assert READS_AT_ONCE <= loads.reads <= 4 * READS_AT_ONCE
        for task in held:
            task.cancel()
        await asyncio.gather(*held, return_exceptions=True)
        await asyncio.sleep(0.05)
        reads = loads.reads
        await asyncio.sleep(0.2)
        assert loads.reads == reads, "nobody waits any more"

    asyncio.run(play())


@pytest.fixture
def runner() -> Iterator[RunnerStandIn]:
    with RunnerStandIn("i-1") as made:
        yield made


@pytest.fixture
def proxy(runner: RunnerStandIn) -> Iterator[Proxy]:
    """A proxy that knows its back end to be overloaded by others."""
    runner.online = 9
    with Proxy(make_table(make_route(RouteClass.REPEATABLE)), [runner]) as made:
        busy(made)
        yield made


def busy(proxy: Proxy) -> None:
    def tell() -> None:
        proxy.balancer.ran(SERVICE, 0.4)
        for seat in proxy.balancer.seats(SERVICE):
            seat.told(EngineLoad(SLOTS, 5, SLOTS), asyncio.get_running_loop().time())

    proxy.call(tell)


def test_a_held_request_is_answered_after_the_overload(
    proxy: Proxy, runner: RunnerStandIn, capfd: pytest.CaptureFixture[str]
) -> None:
    caller = proxy.caller()
    caller.send("POST", "/repeatable/x", request_headers(), b"ask")
    time.sleep(0.3)
    assert runner.seen == []
    runner.online = 0
    assert caller.receive().status == 200
    assert len(runner.seen) == 1
    (line,) = wait_for_lines(capfd, "r1", 1)
    assert (line["event"], line["execution"]) == ("held", "not_run")
    assert int(str(line["waited_ms"])) >= 300


def test_a_request_whose_caller_left_while_it_was_held_reaches_nobody(
    proxy: Proxy, runner: RunnerStandIn
) -> None:
    caller = proxy.caller()
    caller.send("POST", "/repeatable/x", request_headers(), b"ask")
    time.sleep(0.2)
    caller.close()
    time.sleep(0.1)
    runner.online = 0
    time.sleep(0.4)
    assert runner.seen == []


def test_a_refusal_after_holding_says_not_run_and_when_to_come_back(
    proxy: Proxy, runner: RunnerStandIn
) -> None:
    reply = proxy.ask("/repeatable/x", Leverjunction_Deadline_Ms="900")
    assert reply.status == 503
    assert float(reply.headers["retry-after"]) >= 0.2
    assert reply.after_s < 0.9
    assert runner.seen == []
