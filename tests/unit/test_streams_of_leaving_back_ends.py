"""Tests of resumed streams while all back ends of their version are leaving.

A back end that reports ``draining`` keeps serving for ``DrainMs`` after the acknowledgement
(PROTOCOL.md, "Service discovery"), and requests may reach it for as long (RULES.md, DRAIN).
"""

from __future__ import annotations

import time
from collections.abc import Iterator
from contextlib import ExitStack

import pytest
from tests.unit.proxy_support import ZONE, Proxy
from tests.unit.test_proxy_contract import RESUMABLE, wait_until
from tests.unit.test_proxy_versions import CUT, NEW, OLD, start_proxy, start_runners

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
