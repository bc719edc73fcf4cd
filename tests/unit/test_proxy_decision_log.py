"""Tests that the decision log shows why a request failed, and that its id finds all its lines."""

from __future__ import annotations

import errno
import json
import time
from types import SimpleNamespace

import pytest
from prometheus_client import Counter
from tests.unit.proxy_support import Proxy
from tests.unit.seeded_support import wait_until

from leverjunction.proxy import decision_log
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
    assert 0 <= int(str(failed["sent_ms"])) < int(str(failed["waited_ms"]))
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


@pytest.mark.parametrize(
    ("behaviour", "has_output"), [("stream that stops", True), ("silent", False)]
)
def test_a_stream_that_breaks_off_is_logged_with_its_back_end_and_its_output(
    capfd: pytest.CaptureFixture[str], behaviour: str, has_output: bool
) -> None:
    """Whether the gateway sent it late, or the back end did not answer, or stopped to."""
    route = make_route(RouteClass.STREAM, name="short", prefix="/short/", timeout_ms=300.0)
    with (
        RunnerStandIn("i-1", usual=behaviour) as back_end,
        Proxy(make_table(route), [back_end]) as proxy,
    ):
        proxy.ask("/short/x", Leverjunction_Request_Id="cut")
        lines = wait_for_lines(capfd, "cut", 1 if has_output else 2)
    (line,) = [item for item in lines if item["event"] in ("broken_off", "send_failed")]
    assert (line["event"] == "broken_off") == has_output
    assert line["runner_id"] == "i-1"
    assert 0 <= int(str(line["sent_ms"])) < 280
    assert ("output_ms" in line) == has_output
    if has_output:
        assert int(str(line["sent_ms"])) <= int(str(line["output_ms"])) < 300


def test_lines_are_written_after_an_error(monkeypatch: pytest.MonkeyPatch) -> None:
    """A full disk, or a reader that left for a moment, ended the lines of a process for good."""

    class Output:
        def __init__(self) -> None:
            self.failed = False
            self.written = b""

        def write(self, data: bytes) -> None:
            if not self.failed:
                self.failed = True
                raise OSError(errno.ENOSPC, "no space left on device")
            self.written += data

        def flush(self) -> None: ...

    output = Output()
    monkeypatch.setattr(decision_log, "sys", SimpleNamespace(stdout=SimpleNamespace(buffer=output)))
    lost = Counter("lost_lines_total", "", registry=None)
    writer = decision_log.LineWriter(lost)
    writer.put(b"first")
    wait_until(lambda: output.failed)
    writer.put(b"second")
    wait_until(lambda: output.written == b"second\n")
    assert lost._value.get() == 1
