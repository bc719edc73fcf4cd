"""Hedged requests: another back end is tried while waiting for a late response head."""

from __future__ import annotations

import time
from collections.abc import Callable, Iterator

import pytest
from tests.unit.proxy_support import Proxy, request_headers

from leverjunction.routes import RouteClass, RouteTable
from testbed.routed import SERVICE, RunnerStandIn, make_route, make_table

REPEATABLE = "/repeatable/x"
ONCE = "/once/x"
TARGET_S = 0.2
"""Target latency of the repeatable route, in seconds."""

WARM_UP_REQUESTS = 40


@pytest.fixture
def first() -> Iterator[RunnerStandIn]:
    with RunnerStandIn("i-1") as runner:
        yield runner


@pytest.fixture
def second() -> Iterator[RunnerStandIn]:
    with RunnerStandIn("i-2") as runner:
        yield runner


def test_the_response_of_a_late_back_end_is_used_if_the_other_one_is_silent(
    first: RunnerStandIn, second: RunnerStandIn, paused_s: Callable[[], float]
) -> None:
    with Proxy(_table(), [first, second]) as proxy:
        _warm_up(proxy)
        first.usual, second.usual = "silent", "late"
        replies = [proxy.ask(REPEATABLE) for _ in range(4)]
    assert [reply.status for reply in replies] == [200] * 4
    assert max(reply.after_s for reply in replies) < TARGET_S + 0.1 + paused_s()


def test_the_only_back_end_is_retried(first: RunnerStandIn, paused_s: Callable[[], float]) -> None:
    with Proxy(_table(), [first]) as proxy:
        _warm_up(proxy)
        served = len(first.seen)
        first.usual = "silent"
        reply = proxy.ask(REPEATABLE, Leverjunction_Deadline_Ms="600")
    assert reply.status == 504
    assert reply.after_s < 0.7 + paused_s()
    assert len(first.seen) - served == 2


def test_a_request_that_may_run_only_once_is_not_hedged(
    first: RunnerStandIn, second: RunnerStandIn
) -> None:
    with Proxy(_table(), [first, second]) as proxy:
        _warm_up(proxy)
        served = len(first.seen) + len(second.seen)
        first.usual = second.usual = "late"
        statuses = {proxy.ask(ONCE, Leverjunction_Request_Id=f"r{n}").status for n in range(4)}
    assert statuses == {200}
    assert len(first.seen) + len(second.seen) - served == 4


def test_a_caller_that_disconnects_ends_both_runs(
    first: RunnerStandIn, second: RunnerStandIn
) -> None:
    with Proxy(_table(), [first, second]) as proxy:
        _warm_up(proxy)
        first.usual = second.usual = "silent"
        served = len(first.seen) + len(second.seen)
        caller = proxy.caller()
        caller.send("POST", REPEATABLE, request_headers(Leverjunction_Deadline_Ms="20000"), b"ask")
        _wait(lambda: len(first.seen) + len(second.seen) == served + 2)
        caller.close()
        _wait(lambda: not (first.held or second.held))
        runners = proxy.balancer.available(SERVICE)
        _wait(lambda: [runner.own_requests for runner in runners] == [0, 0])


def test_the_slower_attempt_is_cancelled(first: RunnerStandIn, second: RunnerStandIn) -> None:
    with Proxy(_table(), [first, second]) as proxy:
        _warm_up(proxy)
        first.usual = "silent"
        for _ in range(6):
            assert proxy.ask(REPEATABLE).status == 200
        _wait(lambda: not first.held)
        runners = proxy.balancer.available(SERVICE)
        _wait(lambda: [runner.own_requests for runner in runners] == [0, 0])


def _table() -> RouteTable:
    return make_table(*(make_route(kind) for kind in RouteClass))


def _warm_up(proxy: Proxy) -> None:
    for _ in range(WARM_UP_REQUESTS):
        assert proxy.ask(REPEATABLE).status == 200


def _wait(condition: Callable[[], bool], limit_s: float = 5.0) -> None:
    until_s = time.monotonic() + limit_s
    while not condition():
        assert time.monotonic() < until_s
        time.sleep(0.01)
