"""Tests that new streams which must begin at one version are admitted by the load of that version.

Resumed streams of that version wait for the same slots.
"""

from __future__ import annotations

import asyncio
from collections.abc import Iterator
from contextlib import ExitStack

import pytest
from tests.unit.proxy_support import Proxy
from tests.unit.test_proxy_contract import RESUMABLE, wait_until
from tests.unit.test_proxy_versions import Recording, start_with_base

from leverjunction.proxy.dialect import EngineLoad
from testbed.routed import SERVICE, RunnerStandIn

SLOTS = 4
RUN_S = 1.0


@pytest.fixture
def stack() -> Iterator[ExitStack]:
    with ExitStack() as entered:
        yield entered


def set_loads(proxy: Proxy, waiting: dict[str, int]) -> None:
    """Have a proxy know how many requests wait at each back end, and how long one runs."""
    known: list[bool] = []

    def report() -> None:
        now_s = asyncio.get_running_loop().time()
        proxy.balancer.record_run(SERVICE, RUN_S)
        for runner in proxy.balancer.available(SERVICE):
            count = waiting[runner.record.runner_id]
            runner.report_load(EngineLoad(SLOTS if count else 0, count, SLOTS), now_s)
        known.append(True)

    proxy.call(report)
    assert wait_until(lambda: bool(known))


def start(stack: ExitStack, *, is_recording: bool) -> tuple[Proxy, list[RunnerStandIn]]:
    return start_with_base(stack, Recording(is_recording=is_recording))


def test_new_streams_held_to_a_full_version_do_not_fill_its_queue(stack: ExitStack) -> None:
    """The other version, which has room, does not count: none of them may begin there."""
    proxy, (old, newer) = start(stack, is_recording=False)
    for number in range(6):
        set_loads(proxy, {"i-0": 10 * SLOTS, "i-1": 0})
        reply = proxy.ask(RESUMABLE, Leverjunction_Request_Id=f"new-{number}")
        assert reply.status == 503
    assert not old.seen
    assert not newer.seen


def test_new_streams_begin_at_a_version_with_room_while_all_versions_may_be_used(
    stack: ExitStack,
) -> None:
    proxy, (old, newer) = start(stack, is_recording=True)
    for number in range(6):
        set_loads(proxy, {"i-0": 10 * SLOTS, "i-1": 0})
        assert proxy.ask(RESUMABLE, Leverjunction_Request_Id=f"new-{number}").complete
    assert newer.seen
    assert not old.seen


def test_new_streams_are_refused_while_all_versions_are_full(stack: ExitStack) -> None:
    proxy, runners = start(stack, is_recording=False)
    set_loads(proxy, {"i-0": 10 * SLOTS, "i-1": 10 * SLOTS})
    assert proxy.ask(RESUMABLE).status == 503
    assert not any(runner.seen for runner in runners)
