"""A gateway that was suspended waits for current registry state before it handles requests."""

from __future__ import annotations

import threading
import time
from collections.abc import Iterator

import pytest
from tests.unit.proxy_support import ZONE, Proxy

from leverjunction.registry.records import RunnerRecord
from leverjunction.routes import RouteIndex, RouteTable
from testbed.routed import SERVICE, RawReply, RunnerStandIn, make_table

PATHS = ("/once/x", "/repeatable/x", "/stream/x")
HELD_S = 0.3


@pytest.fixture
def leaving() -> Iterator[RunnerStandIn]:
    with RunnerStandIn("i-1") as runner:
        yield runner


@pytest.fixture
def staying() -> Iterator[RunnerStandIn]:
    with RunnerStandIn("i-2") as runner:
        yield runner


@pytest.mark.parametrize("path", PATHS)
def test_a_request_after_a_suspension_waits_for_the_current_back_ends(
    leaving: RunnerStandIn, staying: RunnerStandIn, path: str
) -> None:
    """With the state from before, it went to a back end that had left during the suspension."""
    with Proxy(make_table(), [leaving]) as proxy:
        proxy.is_in_doubt = True
        replies: list[RawReply] = []
        caller = threading.Thread(target=lambda: replies.append(proxy.ask(path)))
        caller.start()
        time.sleep(HELD_S)
        assert leaving.seen == []
        record = RunnerRecord(
            runner_id=staying.runner_id,
            service=SERVICE,
            address=staying.address,
            zone=ZONE,
            slots=4,
        )
        proxy.call(lambda: proxy.balancer.replace([record]))
        proxy.is_in_doubt = False
        caller.join()
    assert [reply.status for reply in replies] == [200]
    assert leaving.seen == []


def test_a_route_that_was_added_during_the_suspension_is_served(staying: RunnerStandIn) -> None:
    """The route table from before the suspension didn't contain it, so the request was rejected."""
    with Proxy(RouteTable(version=1), [staying]) as proxy:
        proxy.is_in_doubt = True
        replies: list[RawReply] = []
        caller = threading.Thread(target=lambda: replies.append(proxy.ask(PATHS[0])))
        caller.start()
        time.sleep(HELD_S)
        proxy.call(lambda: proxy.forwarder.set_table(RouteIndex(make_table(version=2))))
        proxy.is_in_doubt = False
        caller.join()
    assert [reply.status for reply in replies] == [200]


def test_a_request_waits_no_longer_than_its_deadline(staying: RunnerStandIn) -> None:
    with Proxy(make_table(), [staying]) as proxy:
        proxy.is_in_doubt = True
        reply = proxy.ask(PATHS[0], Leverjunction_Deadline_Ms="300")
    assert reply.status == 503, "no back end was tried"
    assert staying.seen == []
