"""A request that crashes back ends must be stopped after a few crashes.

A caller keeps retrying a request with the same path and body, each time with a new id and at
another gateway. Every back end that starts it crashes, which breaks off all other requests there.
When each gateway treated each attempt as a new request, 13 back ends crashed within 12 s, 8 of them
after the third. Eleven crashes on a recorded day looked like these, each of them during an attempt
with the same key at another gateway:

    46.7202 front-2 run_lost i-11c7af38de ... relaying, peer closed connection without sending
    complete message body
    47.0807 front-6 run_lost i-b1d1608502 ... relaying, peer closed connection without sending
    complete message body

The evidence against a request is replicated and sent to all gateways. After crashes of three
distinct starts without a complete response in between, gateways answer it with 400 at once.
"""

from __future__ import annotations

import json
import time
from collections.abc import Callable, Iterator
from pathlib import Path

import pytest
from tests.unit.proxy_support import request_headers
from tests.unit.seeded_support import GatewayThread, SeededFleet, wait_until

from leverjunction.cli.commands import main
from leverjunction.cli.output import ExitCode
from leverjunction.errors import Failure
from leverjunction.routes import RouteClass
from testbed.routed import MortalRunner, RawCaller, RawReply, make_route, make_table

CONTROLS = 3
GATEWAYS = 2
RUNNERS = 6
RESTART_S = 1.0
ATTEMPTS = 16
PAUSE_S = 0.4
REFUSAL_CRASHES = 3
"""Crashed back ends from which a request counts as the cause."""

PROPAGATION_S = 1.0
"""Time in which all gateways must know about the verdict."""

MAX_SENT_MEANWHILE = 2
"""Attempts that may reach a back end in that time."""


class Cluster:
    """Control processes, gateways and back ends that crash on requests with the body ``deadly``."""

    def __init__(self, directory: Path) -> None:
        self.fleet = SeededFleet(directory)
        self.runners: list[MortalRunner] = []

    def start(self) -> None:
        for number in range(1, CONTROLS + 1):
            self.fleet.start_control(number)
        wait_until(lambda: self.fleet.leader() is not None)
        node = next(iter(self.fleet.controls.values()))
        routes = (
            make_route(RouteClass.STREAM),
            make_route(RouteClass.STREAM, name="resumed", prefix="/stream/r/", resumable=True),
            make_route(RouteClass.REPEATABLE),
            make_route(RouteClass.ONCE),
        )
        wait_until(lambda: not isinstance(node.put_table(make_table(*routes), "{}"), Failure))
        for number in range(RUNNERS):
            runner = MortalRunner(f"i-{number}", b"deadly", RESTART_S, node.handle_heartbeat)
            self.runners.append(runner)
        for number in range(1, GATEWAYS + 1):
            gateway = self.fleet.start_gateway(number)
            wait_until(gateway.is_ready)
        wait_until(lambda: len(node.hub.view().runners) == RUNNERS)
        time.sleep(0.5)

    @property
    def gateways(self) -> list[GatewayThread]:
        return list(self.fleet.gateways.values())

    def sends(self, path: str) -> list[float]:
        """Return when the harmful request arrived at a back end, in monotonic seconds."""
        seen = [item for runner in self.runners for item in runner.begun(b"deadly")]
        return sorted(item.began_s for item in seen if item.target == path)

    def ends(self, path: str) -> int:
        ended = [item for runner in self.runners for item in runner.ends]
        return sum(1 for item in ended if item.target == path)

    def stop(self) -> None:
        for runner in self.runners:
            runner.stop()
        self.fleet.stop()


@pytest.fixture
def cluster(tmp_path: Path) -> Iterator[Cluster]:
    cluster = Cluster(tmp_path)
    try:
        cluster.start()
        yield cluster
    finally:
        cluster.stop()


def ask(gateway: GatewayThread, path: str, body: bytes, request_id: str) -> RawReply:
    caller = RawCaller(gateway.address)
    try:
        headers = request_headers(Leverjunction_Request_Id=request_id)
        return caller.ask("POST", path, headers, body)
    finally:
        caller.close()


PATHS = {"once": ("/stream/a", "/once/a"), "repeated": ("/stream/r/a", "/repeatable/a")}


@pytest.mark.parametrize("paths", PATHS.values(), ids=PATHS)
def test_retries_crash_no_more_than_a_few_back_ends(
    cluster: Cluster, paths: tuple[str, ...], paused_s: Callable[[], float]
) -> None:
    for path in paths:
        replies: list[RawReply] = []
        asked_s: list[float] = []
        before_s = paused_s()
        for number in range(ATTEMPTS):
            gateway = cluster.gateways[number % GATEWAYS]
            asked_s.append(time.monotonic())
            replies.append(ask(gateway, path, b"deadly", f"r{number}"))
            time.sleep(PAUSE_S)
        sends = cluster.sends(path)
        assert cluster.ends(path) >= REFUSAL_CRASHES, "the request crashed too few back ends"
        # All processes of this fleet are threads of this one, so they are suspended together.
        propagation_s = PROPAGATION_S + paused_s() - before_s
        later = [at_s for at_s in sends if at_s > sends[REFUSAL_CRASHES - 1] + propagation_s]
        assert later == []
        meanwhile = [
            reply
            for reply, at_s in zip(replies, asked_s, strict=True)
            if at_s > sends[REFUSAL_CRASHES - 1] and reply.status != 400
        ]
        assert len(meanwhile) <= MAX_SENT_MEANWHILE
        # The refusal is immediate and final, so that a well-behaved caller doesn't retry.
        assert [reply.status for reply in replies[-4:]] == [400] * 4
        assert max(reply.after_s for reply in replies[-4:]) < 0.5
        # Another body with the same path is another request.
        assert ask(cluster.gateways[0], path, b"sound", "other").status == 200


def test_an_operator_sees_and_clears_a_verdict(
    cluster: Cluster, capsys: pytest.CaptureFixture[str]
) -> None:
    for number in range(REFUSAL_CRASHES):
        ask(cluster.gateways[number % GATEWAYS], "/once/a", b"deadly", f"r{number}")
        time.sleep(PAUSE_S)
    node = next(iter(cluster.fleet.controls.values()))
    wait_until(
        lambda: any(len(item.starts) >= REFUSAL_CRASHES for item in node.hub.suspects().suspects)
    )
    control = f"--control={cluster.fleet.control_addresses()[1]}"
    assert run("suspects", "list", "--json", control) == ExitCode.OK
    output = capsys.readouterr().out
    # Log lines of the gateways come before it; only the list is printed over several lines.
    listed, _ = json.JSONDecoder().raw_decode(output[output.index("{\n") :])
    [record] = listed["suspects"]
    assert record["route"] == "once"
    assert run("suspects", "clear", "0123", control) != ExitCode.OK
    assert run("suspects", "clear", record["key"][:10], control) == ExitCode.OK
    wait_until(lambda: not node.hub.suspects().suspects)
    assert run("suspects", "list", "--control=127.0.0.1:1") != ExitCode.OK


def run(*arguments: str) -> int:
    with pytest.raises(SystemExit) as caught:
        main(arguments)
    assert isinstance(caught.value.code, int)
    return caught.value.code
