"""Decision lines: what decided is in them, and a request that failed can be followed by its id."""

from __future__ import annotations

import json
import time

import pytest
from tests.unit.proxy_support import Proxy

from leverjunction.routes import RouteClass
from testbed.routed import RunnerStandIn, make_route, make_table

Line = dict[str, object]


def lines_of(text: str, request_id: str) -> list[Line]:
    lines = [json.loads(line) for line in text.splitlines() if line.startswith("{")]
    return [line for line in lines if line["request_id"] == request_id]


def wait_for_lines(capfd: pytest.CaptureFixture[str], request_id: str, count: int) -> list[Line]:
    """Wait for a request's lines: a thread of its own writes them."""
    text = ""
    until_s = time.monotonic() + 5.0
    while len(lines_of(text, request_id)) < count and time.monotonic() < until_s:
        time.sleep(0.02)
        text += capfd.readouterr().out
    return lines_of(text, request_id)


def test_a_late_request_tells_what_it_was_allowed_and_how_long_it_waited(
    capfd: pytest.CaptureFixture[str],
) -> None:
    route = make_route(RouteClass.ONCE, name="short", prefix="/short/", timeout_ms=300.0)
    table = make_table(route, version=7)
    with RunnerStandIn("i-1", usual="silent") as back_end, Proxy(table, [back_end]) as proxy:
        assert proxy.ask("/short/x", Leverjunction_Request_Id="late").status == 504
        failed, refused = wait_for_lines(capfd, "late", 2)
    assert (failed["event"], failed["runner_id"], failed["route"]) == (
        "send_failed",
        "i-1",
        "short",
    )
    assert (failed["table"], failed["allowed_ms"]) == (7, 300)
    assert 280 <= int(str(failed["waited_ms"])) <= 1000
    # It never told its load, which is not the same as having told it just now.
    assert "load_age_ms" not in failed
    assert (refused["event"], refused["status"], refused["table"]) == ("refused", 504, 7)
    assert int(str(refused["waited_ms"])) >= 280


def test_a_request_without_a_route_tells_by_which_table(capfd: pytest.CaptureFixture[str]) -> None:
    with Proxy(make_table(make_route(RouteClass.ONCE), version=9), []) as proxy:
        assert proxy.ask("/nowhere/x", Leverjunction_Request_Id="lost").status == 404
        (refused,) = wait_for_lines(capfd, "lost", 1)
    assert (refused["status"], refused["table"], refused["step"]) == (404, 9, "routing")


def test_a_request_before_the_first_table_tells_so(capfd: pytest.CaptureFixture[str]) -> None:
    with Proxy(None, []) as proxy:
        assert proxy.ask("/once/x", Leverjunction_Request_Id="early").status == 503
        (refused,) = wait_for_lines(capfd, "early", 1)
    assert "table" not in refused
    assert "no route table" in str(refused["reason"])
