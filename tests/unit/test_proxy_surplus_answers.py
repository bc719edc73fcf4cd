"""Back ends answer twice: no copy of an answer may pass for the answer to another sending."""

from __future__ import annotations

from collections.abc import Iterator

import pytest
from tests.unit.proxy_support import Proxy, request_headers
from tests.unit.test_proxy_contract import ONCE, STREAM, make_full_table

from testbed.routed import RawReply, RunnerStandIn

RAN = ("late", "whole", "stream")
COPIES = ["not run, again late", "not run, again with the next"]


@pytest.fixture
def runner() -> Iterator[RunnerStandIn]:
    with RunnerStandIn("i-1") as runner:
        yield runner


@pytest.fixture
def proxy(runner: RunnerStandIn) -> Iterator[Proxy]:
    with Proxy(make_full_table(), [runner]) as proxy:
        yield proxy


def ask(proxy: Proxy, path: str, request_id: str) -> RawReply:
    return proxy.ask(path, **{"Leverjunction_Request_Id": request_id})


def runs(runner: RunnerStandIn, request_id: str) -> int:
    """Return how often the back end has run a request."""
    return sum(
        seen.behaviour in RAN and seen.headers["leverjunction-request-id"] == request_id
        for seen in runner.seen
    )


@pytest.mark.parametrize("copy", COPIES)
def test_a_refusal_that_comes_twice_does_not_let_its_request_run_twice(
    proxy: Proxy, runner: RunnerStandIn, copy: str
) -> None:
    """The copy passed for the answer to the next sending of the request on the same connection."""
    runner.then(copy, "late")
    runner.usual = "late"
    reply = ask(proxy, ONCE, "a")
    assert (reply.status, runs(runner, "a")) == (200, 1)


@pytest.mark.parametrize("copy", COPIES)
def test_a_refusal_that_comes_twice_does_not_refuse_a_request_that_runs(
    proxy: Proxy, runner: RunnerStandIn, copy: str
) -> None:
    runner.then("not run", "not run", copy, "late")
    runner.usual = "late"
    reply = ask(proxy, ONCE, "a")
    assert (reply.status, runs(runner, "a")) == (200, 1)


def test_a_caller_that_sends_an_id_again_does_not_get_the_copy_of_its_refusal(
    proxy: Proxy, runner: RunnerStandIn
) -> None:
    runner.then("not run", "not run", "not run", "not run, again with the next", "late")
    runner.usual = "late"
    assert ask(proxy, ONCE, "a").status == 503
    reply = ask(proxy, ONCE, "a")
    assert (reply.status, runs(runner, "a")) == (200, 1)


def test_a_failed_run_that_is_answered_twice_does_not_fail_the_next_run(
    proxy: Proxy, runner: RunnerStandIn
) -> None:
    """As an item of a batch job runs again, whose failed runs are counted."""
    runner.then("fault, again with the next", "late")
    assert ask(proxy, ONCE, "a").status == 500
    assert ask(proxy, ONCE, "a").status == 200


@pytest.mark.parametrize("path", [ONCE, STREAM])
@pytest.mark.parametrize(
    "copy",
    ["not run, again with the next", "whole, again with the next", "fault, again with the next"],
)
def test_the_copy_of_an_answer_does_not_cost_another_request_its_own(
    proxy: Proxy, runner: RunnerStandIn, copy: str, path: str
) -> None:
    """The other request was told 502, although its back end ran it to its end."""
    runner.then(*["not run"] * 3 if copy.startswith("not run") else [], copy)
    ask(proxy, ONCE, "a")
    runner.then("stream" if path == STREAM else "late")
    reply = ask(proxy, path, "b")
    assert (reply.status, reply.complete, runs(runner, "b")) == (200, True, 1)
    assert runner.accepted == (4 if copy.startswith("not run") else 1)


def test_a_copy_that_is_too_large_to_skip_ends_its_connection(
    proxy: Proxy, runner: RunnerStandIn
) -> None:
    runner.then("large, again with the next", "late")
    ask(proxy, ONCE, "a")
    reply = ask(proxy, ONCE, "b")
    assert (reply.status, runs(runner, "b")) == (502, 1)


@pytest.mark.parametrize("refusal", ["not run, without an id", "another, without an id"])
def test_a_refusal_without_an_id_promises_nothing(
    proxy: Proxy, runner: RunnerStandIn, refusal: str
) -> None:
    """It was believed, though every answer of a back end echoes the id of its request."""
    runner.then(refusal)
    reply = ask(proxy, ONCE, "a")
    assert (reply.status, len(runner.seen)) == (502, 1)


def test_an_id_is_not_sent_twice_on_one_connection(proxy: Proxy, runner: RunnerStandIn) -> None:
    caller = proxy.caller()
    for request_id in ("a", "a", "b"):
        headers = request_headers(**{"Leverjunction_Request_Id": request_id})
        assert caller.ask("POST", ONCE, headers).status == 200
    peers = [seen.peer for seen in runner.seen]
    assert peers[0] != peers[1] == peers[2]
