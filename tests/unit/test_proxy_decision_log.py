"""Tests that the decision log shows why a request failed, and that its id finds all its lines."""

from __future__ import annotations

import json
import time

import pytest
from tests.unit.proxy_support import Proxy

from leverjunction.routes import RouteClass
from testbed.routed import RunnerStandIn, make_route, make_table

Line = dict[str, object]


def parse_lines(text: str, request_id: str) -> list[Line]:
    lines = [json.loads(line) for line in text.splitlines() if line.startswith("{")]
    return [line for line in lines if line["request_id"] == request_id]


def wait_for_lines(capfd: pytest.CaptureFixture[str], request_id: str, count: int) -> list[Line]:
    """Wait for the lines of a request, which are written on a separate thread."""
    text = ""
    until_s = time.monotonic() + 5.0
    while len(parse_lines(text, request_id)) < count and time.monotonic() < until_s:
        time.sleep(0.02)
        text += capfd.readouterr().out
    return parse_lines(text, request_id)


def test_a_request_that_times_out_is_logged_with_its_time_limit_and_wait(
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
    # A back end that never reported its load differs from one that reported it just now.
    assert "load_age_ms" not in failed
    assert (refused["event"], refused["status"], refused["table"]) == ("refused", 504, 7)
    assert int(str(refused["waited_ms"])) >= 280


def test_a_request_without_a_route_is_logged_with_the_table_version(
    capfd: pytest.CaptureFixture[str],
) -> None:
    with Proxy(make_table(make_route(RouteClass.ONCE), version=9), []) as proxy:
        assert proxy.ask("/nowhere/x", Leverjunction_Request_Id="lost").status == 404
        (refused,) = wait_for_lines(capfd, "lost", 1)
    assert (refused["status"], refused["table"], refused["step"]) == (404, 9, "routing")


def test_a_request_before_the_first_table_is_logged_with_that_reason(
    capfd: pytest.CaptureFixture[str],
) -> None:
    with Proxy(None, []) as proxy:
        assert proxy.ask("/once/x", Leverjunction_Request_Id="early").status == 503
        (refused,) = wait_for_lines(capfd, "early", 1)
    assert "table" not in refused
    assert "no route table" in str(refused["reason"])
