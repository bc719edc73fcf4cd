"""Streams that crash each engine which runs or continues them."""

from __future__ import annotations

import json
import time
from collections.abc import Callable, Iterator
from pathlib import Path
from typing import Any, NamedTuple

import pytest
import urllib3
from tests.unit.gateway_support import (
    API_KEY,
    MODEL,
    WAIT_S,
    WORDS,
    GatewayRuntime,
    StubEngine,
    StubHub,
    sse_chunk,
    start_gateway,
    wait_until,
)

from leverjunction.backends.sse import has_event
from leverjunction.errors import Failure
from leverjunction.gateway.relay import RelayLoop
from leverjunction.gateway.relay_stream import RelayStream
from leverjunction.gateway.view import ClusterView
from leverjunction.quarantine.records import EvidenceNotice, EvidenceReply
from leverjunction.wire.control_client import EVIDENCE_TIMEOUT_S, ControlClient

pytestmark = pytest.mark.usefixtures("extended_poll_timeout")

ENGINES = 12
TRIES = 6
MAX_CRASHES = 3
"""Engines that may crash on one request before it is refused."""

POISON = [{"role": "user", "content": "crash"}]


class Course(NamedTuple):
    """What an engine does with ``POISON`` after the response head.

    Attributes:
        wait_s: Time before the first event, or before the crash without events.
        events: Events before the crash.
        silence_s: Time between the last event and the crash.
    """

    wait_s: float
    events: int
    silence_s: float = 0.0


COURSES = {
    "at once": Course(0.0, 0),
    "after some events": Course(0.0, 2),
    "at the end of a long wait": Course(0.5, 0),
    "after the first event, which came late": Course(0.5, 1),
    "a while after the first event": Course(0.0, 1, silence_s=0.5),
}


class CrashingEngine(StubEngine):
    """An engine that stops listening in the course of ``POISON``; its head is sent at once."""

    def __init__(self, name: str, course: Course) -> None:
        super().__init__(name)
        self.course = course
        self.is_crashed = False

    def _app(self, environ: dict[str, Any], start: Callable[..., Any]) -> Any:
        if self.is_crashed:
            raise SystemExit
        answer = super()._app(environ, start)
        is_generation = environ["PATH_INFO"].startswith("/v1/c")
        if not is_generation or self.started[-1]["messages"] != POISON:
            return answer
        return self._broken_off(len(self.started[-1].get("continue_text", "").split()))

    def _broken_off(self, done: int) -> Iterator[bytes]:
        yield b": open\n\n"
        time.sleep(self.course.wait_s)
        for number in range(self.course.events):
            yield sse_chunk(number + 1, WORDS[done + number] + " ")
        time.sleep(self.course.silence_s)
        self.is_crashed = True
        # The port refuses connections from now on, as after the end of the process.
        self._server.socket.close()
        raise ConnectionResetError("the engine has crashed")


class CrashingFleet:
    """Gateways with a stub hub and engines that crash."""

    def __init__(self, folder: Path, gateways: int, course: Course) -> None:
        self.engines = [CrashingEngine(f"e{number}", course) for number in range(ENGINES)]
        self.hub = StubHub(list(self.engines))
        self.http = urllib3.PoolManager(retries=False)
        self.gateways: list[GatewayRuntime] = []
        for number in range(gateways):
            home = folder / f"g{number}"
            home.mkdir()
            self.gateways.append(start_gateway(home, [self.hub.address], name=f"g{number}"))
        for gateway in self.gateways:
            wait_until(lambda gateway=gateway: gateway.not_ready() is None, "gateway is ready")
            wait_until(lambda gateway=gateway: self._knows_all(gateway), "gateway knows the others")

    def _knows_all(self, gateway: GatewayRuntime) -> bool:
        """Return whether a gateway knows all to tell: one that has just started is not told yet."""
        return len(gateway.view.snapshot.gateways) == len(self.gateways)

    def crashes(self) -> int:
        return sum(engine.is_crashed for engine in self.engines)

    def send(self, gateway: int) -> urllib3.BaseHTTPResponse:
        # Not with the OpenAI library, which takes a comment after an event for an empty event.
        return self.http.request(
            "POST",
            f"http://{self.gateways[gateway].http_address}/v1/chat/completions",
            body=json.dumps({"model": MODEL, "messages": POISON, "stream": True}),
            headers={"Authorization": f"Bearer {API_KEY}", "Content-Type": "application/json"},
            timeout=WAIT_S,
        )

    def stop(self) -> None:
        for gateway in self.gateways:
            gateway.stop()
        for engine in self.engines:
            engine.stop()
        self.hub.stop()


@pytest.mark.parametrize("gateways", [1, 2], ids=["one gateway", "two gateways"])
@pytest.mark.parametrize("course", COURSES)
def test_a_stream_crashes_at_most_three_engines(tmp_path: Path, course: str, gateways: int) -> None:
    fleet = CrashingFleet(tmp_path, gateways, COURSES[course])
    try:
        answers = [fleet.send(number % gateways) for number in range(TRIES)]
    finally:
        fleet.stop()
    assert fleet.crashes() <= MAX_CRASHES
    assert answers[-1].status == 400
    assert json.loads(answers[-1].data)["error"]["code"] == "harmful"


def test_a_stream_crashes_no_further_engine_at_a_gateway_that_has_just_started(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The others learn of it with their next exchange; until then they do not tell it."""
    fleet = CrashingFleet(tmp_path, 2, COURSES["at once"])
    sharing = fleet.gateways[0].evidence_sharing
    monkeypatch.setattr(sharing, "_view", ClusterView())
    monkeypatch.setattr(sharing, "on_view", lambda _snapshot: None)
    try:
        answers = [fleet.send(number % 2) for number in range(TRIES)]
    finally:
        fleet.stop()
    assert fleet.crashes() <= MAX_CRASHES
    assert answers[-1].status == 400


def test_a_crash_that_is_noticed_late_counts_in_full(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against crashes that count a third because a busy gateway noticed them late.

    The failure: an engine crashed after the first event, and the gateway read the end of its
    connection over 0.25 s after the event. The stream crashed a fourth engine.
    """
    notice = RelayLoop._handle_engine_failure
    delays_s = iter([0.0, 0.4])

    def notice_late(self: RelayLoop, stream: RelayStream, reason: str) -> None:
        time.sleep(next(delays_s, 0.0))
        notice(self, stream, reason)

    monkeypatch.setattr(RelayLoop, "_handle_engine_failure", notice_late)
    fleet = CrashingFleet(tmp_path, 1, COURSES["after the first event, which came late"])
    try:
        answers = [fleet.send(0) for _ in range(TRIES)]
    finally:
        fleet.stop()
    assert fleet.crashes() <= MAX_CRASHES
    assert answers[-1].status == 400


def test_a_caller_is_refused_once_the_other_gateways_have_heard(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against verdicts that another gateway has not heard of when the stream comes to it.

    The failure: the caller got its refusal 0.1 s after the third crash, while the message to the
    other gateway took longer on a busy machine, and crashed a fourth engine there.
    """
    share = ControlClient.share_evidence

    def share_late(
        self: ControlClient, rpc_address: str, notice: EvidenceNotice
    ) -> EvidenceReply | Failure:
        time.sleep(EVIDENCE_TIMEOUT_S * 0.6)
        return share(self, rpc_address, notice)

    monkeypatch.setattr(ControlClient, "share_evidence", share_late)
    fleet = CrashingFleet(tmp_path, 2, COURSES["at once"])
    try:
        answers = [fleet.send(number % 2) for number in range(TRIES)]
    finally:
        fleet.stop()
    assert fleet.crashes() <= MAX_CRASHES
    assert answers[-1].status == 400


@pytest.mark.parametrize(
    ("data", "expected"),
    [
        (b": comment\n\n", False),
        (b": data: of a comment\n\n", False),
        (b"event: without data\n\n", False),
        (b": comment\n\ndata: x\n\n", True),
        (b"id: 1\ndata: x\n\n", True),
        (b"id: 1\r\ndata: x\r\n\r\n", True),
        (b"data\n\n", True),
    ],
)
def test_comments_are_no_output(data: bytes, expected: bool) -> None:
    assert has_event(data) is expected
