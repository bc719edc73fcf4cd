"""Tests of resumed streams while all back ends of their version are leaving.

A back end that reports ``draining`` keeps serving for ``DrainMs`` after the acknowledgement
(PROTOCOL.md, "Service discovery"), and requests may reach it for as long (RULES.md, DRAIN).
"""

from __future__ import annotations

import time
from collections.abc import Iterator
from contextlib import ExitStack
from random import Random

import msgspec
import pytest
from tests.unit.proxy_support import ZONE, Proxy
from tests.unit.test_proxy_contract import RESUMABLE, wait_until
from tests.unit.test_proxy_versions import CUT, NEW, OLD, start_proxy, start_runners

from leverjunction.proxy.balancer import Balancer
from leverjunction.proxy.departures import Departures
from leverjunction.proxy.prompt import Prompt
from leverjunction.registry.records import FleetView, RunnerRecord, RunnerState
from testbed.routed import SERVICE, RawReply, RunnerStandIn

DRAIN_S = 2.0


@pytest.fixture
def stack() -> Iterator[ExitStack]:
    with ExitStack() as entered:
        yield entered


def leave(proxy: Proxy, leaving: list[RunnerStandIn], ready: list[RunnerStandIn]) -> None:
    """Have a proxy hear that some of its back ends are leaving."""
    records = tuple(
        RunnerRecord(
            runner_id=runner.runner_id,
            service=SERVICE,
            address=runner.address,
            zone=ZONE,
            slots=4,
            version=runner.version,
            state=RunnerState.LEAVING if runner in leaving else RunnerState.READY,
        )
        for runner in [*leaving, *ready]
    )
    known: list[bool] = []

    def replace() -> None:
        proxy.balancer.replace(records)
        proxy.origins.update(FleetView(runners=records))
        known.append(True)

    proxy.call(replace)
    assert wait_until(lambda: bool(known))


def start(stack: ExitStack) -> tuple[Proxy, list[RunnerStandIn]]:
    """Return a proxy that relayed a broken stream of the older version, and all back ends."""
    runners = start_runners(stack, OLD, OLD, NEW)
    proxy = start_proxy(stack, runners[:2])
    for runner in runners[:2]:
        runner.then(CUT, CUT)
    assert not proxy.ask(RESUMABLE, Leverjunction_Request_Id="first").complete
    for runner in runners[:2]:
        runner._next.clear()
        runner.seen.clear()
        runner.then("stream")
    return proxy, runners


def resume(proxy: Proxy) -> RawReply:
    return proxy.ask(
        RESUMABLE, Leverjunction_Request_Id="again", Resumes="first", Last_Event_Id="2"
    )


def test_a_stream_goes_on_while_the_last_back_ends_of_its_version_are_leaving(
    stack: ExitStack,
) -> None:
    proxy, runners = start(stack)
    leave(proxy, runners[:2], runners[2:])
    reply = resume(proxy)
    assert (reply.status, reply.complete) == (200, True)
    assert not runners[2].seen


def test_no_stream_is_sent_to_a_back_end_that_has_been_leaving_for_long(stack: ExitStack) -> None:
    proxy, runners = start(stack)
    leave(proxy, runners[:2], runners[2:])
    time.sleep(DRAIN_S)
    assert resume(proxy).status == 503
    assert not any(runner.seen for runner in runners)


def test_a_stream_does_not_go_on_at_a_leaving_back_end_while_another_is_ready(
    stack: ExitStack,
) -> None:
    proxy, runners = start(stack)
    leave(proxy, runners[:1], runners[1:])
    for _ in range(4):
        assert resume(proxy).complete
    assert not runners[0].seen


def test_no_new_stream_begins_at_a_leaving_back_end(stack: ExitStack) -> None:
    proxy, runners = start(stack)
    leave(proxy, runners[:2], runners[2:])
    for number in range(4):
        assert proxy.ask(RESUMABLE, Leverjunction_Request_Id=f"new-{number}").complete
    assert not any(runner.seen for runner in runners[:2])


def remove(proxy: Proxy, left: list[RunnerStandIn], known_for_s: float = 0.0) -> None:
    """Have a proxy hear that back ends have left, with a state of some age before it."""
    records = tuple(
        RunnerRecord(
            runner_id=runner.runner_id,
            service=SERVICE,
            address=runner.address,
            zone=ZONE,
            slots=4,
            version=runner.version,
        )
        for runner in left
    )
    known: list[bool] = []

    def replace() -> None:
        proxy.origins.update(FleetView(runners=records), proxy.loop_s() - known_for_s)
        proxy.balancer.replace(records, proxy.origins.reachable_departures())
        known.append(True)

    proxy.call(replace)
    assert wait_until(lambda: bool(known))


@pytest.mark.parametrize(("known_for_s", "status"), [(0.0, 200), (DRAIN_S, 503)])
def test_a_stream_goes_on_at_a_back_end_that_has_just_left_the_registry(
    stack: ExitStack, known_for_s: float, status: int
) -> None:
    """Some back ends never report that they drain: they leave, and serve for as long."""
    proxy, runners = start(stack)
    remove(proxy, runners[2:], known_for_s)
    assert resume(proxy).status == status
    assert not runners[2].seen


def test_a_stream_is_not_sent_to_the_next_start_at_the_address_of_one_that_left() -> None:
    old = RunnerRecord(
        runner_id="i", service=SERVICE, address="a:1", zone=ZONE, slots=4, version=OLD
    )
    new = RunnerRecord(
        runner_id="j", service=SERVICE, address="a:1", zone=ZONE, slots=4, version=NEW
    )
    balancer = Balancer(ZONE, Random(1))
    balancer.replace([old])
    balancer.replace([new], {old.start})
    assert balancer.departing(SERVICE, OLD, {old.start}) == []


def test_a_back_end_that_serves_again_is_no_longer_departing() -> None:
    departures = Departures(DRAIN_S)
    ready = RunnerRecord(runner_id="i", service=SERVICE, address="a:1", zone=ZONE, slots=4)
    departures.update([ready], 0.0, 0.0)
    departures.update([], 1.0, 1.0)
    assert departures.reachable(1.0) == {ready.start}
    departures.update([ready], 1.5, 1.5)
    departures.update([ready], 2.0, 2.0)
    assert departures.reachable(2.0) == frozenset()


def test_a_back_end_that_is_removed_after_a_silence_is_not_departing() -> None:
    departures = Departures(DRAIN_S)
    ready = RunnerRecord(runner_id="i", service=SERVICE, address="a:1", zone=ZONE, slots=4)
    silent = msgspec.structs.replace(ready, state=RunnerState.SILENT)
    for records in ([ready], [silent], []):
        departures.update(records, 0.0, 0.0)
        assert departures.reachable(0.0) == frozenset()


def test_a_stream_goes_on_at_a_leaving_back_end_though_a_crashed_one_is_still_listed() -> None:
    crashed, leaving = (
        RunnerRecord(
            runner_id=name, service=SERVICE, address=f"{name}:1", zone=ZONE, slots=4, version=OLD
        )
        for name in ("crashed", "leaving")
    )
    crashed = msgspec.structs.replace(crashed, state=RunnerState.SILENT)
    balancer = Balancer(ZONE, Random(1))
    balancer.replace([crashed, msgspec.structs.replace(leaving, state=RunnerState.LEAVING)])
    departing = {leaving.start}
    for choice in (
        balancer.choose(SERVICE, Prompt((), 500), (), 1.0, OLD, departing),
        balancer.choose_least_loaded(SERVICE, (), 1.0, OLD, departing),
    ):
        assert choice is not None
        assert (choice.runner.record.runner_id, choice.is_departing) == ("leaving", True)
    # It may be silent only because it cannot reach the control processes.
    again = balancer.choose(SERVICE, Prompt((), 500), departing, 1.0, OLD, departing)
    assert again is not None
    assert (again.runner.record.runner_id, again.is_departing) == ("crashed", False)


def test_a_stream_that_full_leaving_back_ends_decline_waits_for_a_slot(stack: ExitStack) -> None:
    proxy, runners = start(stack)
    for runner in runners[:2]:
        runner._next.clear()
        runner.then(*["not run"] * 4, "stream")
    leave(proxy, runners[:2], runners[2:])
    reply = resume(proxy)
    assert (reply.status, reply.complete) == (200, True)
    assert not runners[2].seen
