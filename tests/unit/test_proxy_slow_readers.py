"""Callers that read slowly: back ends are read on, within a budget, and answers stay whole."""

from __future__ import annotations

import asyncio
import socket
import time
from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor
from contextlib import contextmanager

import h11
import pytest
from tests.unit.proxy_support import Proxy, request_headers

from leverjunction.proxy.answer_buffer import (
    STANDSTILL_S,
    AnswerBuffer,
    KeptAnswer,
)
from leverjunction.proxy.runner_connection import MAX_UNREAD_BYTES
from leverjunction.routes import RouteClass
from testbed.routed import RawCaller, RawReply, RunnerStandIn, make_route, make_table
from testbed.routed.behaviours import BEHAVIOURS
from testbed.routed.exchange import Exchange

MB = 1024 * 1024
TIMEOUT_MS = 20_000
SOCKET_BYTES = 128 * 1024
EVENT = b"id: %d\ndata: " + b"x" * 32_000 + b"\n\n"
EVENTS = 96
"""Events of a long answer, about 3 MB."""

MANY_EVENTS = 640
"""Events of an answer of about 20 MB: more than all sockets on its way take."""


def whole(events: int = EVENTS) -> bytes:
    return b"".join(EVENT % number for number in range(events))


async def _long_answer(exchange: Exchange) -> None:
    """Write a long stream as fast as it is taken; note when all of it was taken."""
    loop = asyncio.get_running_loop()
    exchange.head(200, [*exchange.headers(), ("Content-Type", "text/event-stream")])
    started_s = loop.time()
    try:
        for number in range(MANY_EVENTS if exchange.seen.target.endswith("many") else EVENTS):
            exchange.data(EVENT % number)
            await exchange.flush()
    except ConnectionError:
        exchange.seen.gone_after_s = loop.time() - started_s
        raise
    exchange.end()
    await exchange.flush()


BEHAVIOURS["long answer"] = _long_answer


class SlowCaller(RawCaller):
    """A caller whose socket takes little, so that what it does not read stays at the gateway."""

    def __init__(
        self,
        address: str,
        deadline_ms: int = TIMEOUT_MS,
        path: str = "/stream/x",
        **headers: str,
    ) -> None:
        host, _, port = address.rpartition(":")
        self._h11 = h11.Connection(h11.CLIENT)
        self._socket = socket.socket()
        self._socket.settimeout(15.0)
        self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SOCKET_BYTES)
        self._socket.connect((host, int(port)))
        fields = request_headers(Leverjunction_Deadline_Ms=str(deadline_ms), **headers)
        self.send("POST", path, fields, b"ask")

    def receive(self, into: RawReply | None = None, pause_s: float = 0.0) -> RawReply:
        """Read one answer, with a pause after each event; its long body is joined once."""
        reply = into or RawReply()
        parts: list[bytes] = []
        try:
            while not reply.complete and self._take(reply):
                if reply.body:
                    parts.append(reply.body)
                    reply.body = b""
                    time.sleep(pause_s)
        except (OSError, h11.RemoteProtocolError):
            pass
        reply.body = b"".join(parts)
        return reply


@pytest.fixture
def runner() -> Iterator[RunnerStandIn]:
    with RunnerStandIn("i-1", usual="long answer") as runner:
        yield runner


@contextmanager
def _proxy(runner: RunnerStandIn, kept_limit_bytes: int) -> Iterator[Proxy]:
    routes = [make_route(kind, timeout_ms=float(TIMEOUT_MS)) for kind in RouteClass]
    with Proxy(make_table(*routes), [runner], kept_limit_bytes=kept_limit_bytes) as proxy:
        yield proxy


def _requests_under_way(proxy: Proxy) -> int:
    """Return the number of requests that the gateway counts at its back ends."""
    return sum(item.own_requests for item in list(proxy.balancer._runners.values()))


def _wait_until_ended(runner: RunnerStandIn, number: int, timeout_s: float) -> bool:
    """Wait until a number of answers were taken from the back end completely."""
    until_s = time.monotonic() + timeout_s
    while time.monotonic() < until_s:
        if sum(seen.whole for seen in runner.seen) >= number:
            return True
        time.sleep(0.02)
    return False


def _wait_until_read(runner: RunnerStandIn, proxy: Proxy, timeout_s: float) -> bool:
    """Wait until the gateway has read the only answer to its end, behind the sockets' buffers."""
    until_s = time.monotonic() + timeout_s
    if not _wait_until_ended(runner, 1, timeout_s):
        return False
    while _requests_under_way(proxy):
        if time.monotonic() > until_s:
            return False
        time.sleep(0.02)
    return True


@pytest.mark.parametrize(("kept_limit_bytes", "is_freed"), [(64 * MB, True), (0, False)])
def test_a_back_end_is_free_while_its_caller_still_has_to_read(
    runner: RunnerStandIn, kept_limit_bytes: int, is_freed: bool
) -> None:
    """Without reading ahead, the back end waits for as long as the caller does not read."""
    with _proxy(runner, kept_limit_bytes) as proxy:
        caller = SlowCaller(proxy.address, path="/stream/many")
        assert _wait_until_ended(runner, 1, timeout_s=2.0) is is_freed
        reply = caller.receive()
        caller.close()
    assert (reply.complete, reply.body) == (True, whole(MANY_EVENTS))


def test_all_callers_are_slow_at_once(runner: RunnerStandIn) -> None:
    """What is kept stays within the budget, the others are dropped and never look complete."""
    limit_bytes = 16 * MB
    with _proxy(runner, limit_bytes) as proxy:
        callers = [SlowCaller(proxy.address) for _ in range(12)]
        most_bytes = 0
        until_s = time.monotonic() + 8.0
        while len(runner.seen) < len(callers) or _requests_under_way(proxy):
            assert time.monotonic() < until_s
            most_bytes = max(most_bytes, proxy.kept.buffer.total_bytes)
            time.sleep(0.005)
        with ThreadPoolExecutor(len(callers)) as threads:
            replies = list(threads.map(lambda caller: caller.receive(), callers))
        quick = proxy.caller()
        quick.send("POST", "/once/x", request_headers())
        last = quick.receive()
        quick.close()
    assert limit_bytes / 2 < most_bytes <= limit_bytes + MAX_UNREAD_BYTES
    complete = [reply for reply in replies if reply.complete]
    assert all(reply.body == whole() for reply in complete)
    assert len(complete) >= 4
    assert len(proxy.dropped) == len(replies) - len(complete)
    assert (last.status, last.complete) == (200, True)


def test_a_planned_stop_delivers_what_is_kept(runner: RunnerStandIn) -> None:
    with _proxy(runner, 64 * MB) as proxy:
        caller = SlowCaller(proxy.address)
        assert _wait_until_ended(runner, 1, timeout_s=2.0)
        time.sleep(0.6)  # A new connection counts as busy for half a second.
        proxy.port.draining = True
        proxy.call(proxy.port.close_idle)
        time.sleep(0.1)
        assert proxy.port.count_busy() == 1
        reply = caller.receive()
        caller.close()
        time.sleep(0.1)
        proxy.call(proxy.port.close_idle)
        time.sleep(0.1)
        assert proxy.port.count_busy() == 0
    assert (reply.complete, reply.body) == (True, whole())


@pytest.mark.parametrize("way", ["the request asks for it", "the caller sends nothing more"])
def test_a_connection_that_closes_after_its_answer_delivers_what_is_kept(
    runner: RunnerStandIn, way: str
) -> None:
    with _proxy(runner, 64 * MB) as proxy:
        is_asked = way == "the request asks for it"
        caller = SlowCaller(proxy.address, Connection="close" if is_asked else "keep-alive")
        until_s = time.monotonic() + 3.0
        while not runner.seen or _requests_under_way(proxy):
            assert time.monotonic() < until_s
            time.sleep(0.01)
        assert proxy.kept.buffer.total_bytes > 0
        if not is_asked:
            caller._socket.shutdown(socket.SHUT_WR)
            time.sleep(0.1)
        reply = caller.receive()
        caller.close()
    assert (reply.complete, reply.body) == (True, whole())


def test_an_answer_that_is_kept_when_its_gateway_is_killed_never_looks_complete(
    runner: RunnerStandIn,
) -> None:
    with _proxy(runner, 64 * MB) as proxy:
        caller = SlowCaller(proxy.address)
        assert _wait_until_ended(runner, 1, timeout_s=2.0)
        for connection in list(proxy.port.connections):
            proxy.call(connection.abort)
        reply = caller.receive()
        caller.close()
    assert not reply.complete
    assert whole().startswith(reply.body)


def test_a_reader_that_stops_for_good_keeps_its_room_only_until_its_deadline(
    runner: RunnerStandIn, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr("leverjunction.proxy.answer_buffer.STANDSTILL_S", 0.5)
    with _proxy(runner, 64 * MB) as proxy:
        caller = SlowCaller(proxy.address, deadline_ms=2500)
        assert _wait_until_read(runner, proxy, timeout_s=2.0)
        assert proxy.kept.buffer.total_bytes > 0
        time.sleep(1.2)
        assert proxy.dropped == []
        until_s = time.monotonic() + 4.0
        while not proxy.dropped and time.monotonic() < until_s:
            time.sleep(0.05)
        assert proxy.dropped == ["standstill"]
        assert proxy.kept.buffer.total_bytes == 0
        caller.close()


def test_a_caller_that_reads_steadily_beyond_its_share_gets_all(runner: RunnerStandIn) -> None:
    """An answer larger than its share: the back end is read at the caller's pace."""
    with _proxy(runner, 8 * MB) as proxy:
        caller = SlowCaller(proxy.address, path="/stream/many")
        reply = caller.receive(pause_s=0.004)
        caller.close()
    assert (reply.complete, reply.body, proxy.dropped) == (True, whole(MANY_EVENTS), [])


def _kept(
    buffer: AnswerBuffer,
    kept_bytes: int,
    tenant: str = "",
    rank: int = 0,
    may_continue: bool = False,
    progress_s: float = 5.0,
) -> KeptAnswer:
    answer = KeptAnswer()
    buffer.describe(answer, tenant, (rank, 0), may_continue, until_s=20.0)
    buffer.update(answer, kept_bytes, 0, progress_s)
    return answer


@pytest.mark.parametrize(
    ("first", "other"),
    [
        ({"rank": 1}, {"rank": 0, "may_continue": True, "progress_s": 1.0}),
        ({"may_continue": True}, {"progress_s": 1.0}),
        ({"progress_s": 1.0}, {"kept_bytes": 60}),
        ({"kept_bytes": 60}, {}),
        ({"kept_bytes": 60}, {"kept_bytes": 10, "rank": 3, "may_continue": True}),
    ],
)
def test_the_first_to_be_dropped(first: dict[str, object], other: dict[str, object]) -> None:
    buffer = AnswerBuffer(60)
    answers = [_kept(buffer, **{"kept_bytes": 40, **item}) for item in (other, first)]  # type: ignore[arg-type]
    assert buffer.next_drop() is answers[1]
    buffer.remove(answers[1])
    assert buffer.next_drop() is None


def test_a_tenant_beyond_its_share_makes_room_for_others_by_its_own_answers() -> None:
    buffer = AnswerBuffer(100)
    other = _kept(buffer, 40, "other", rank=9)
    hot = [_kept(buffer, 20, "hot") for _ in range(3)]
    assert buffer.next_drop() in hot
    buffer.remove(hot[0])
    assert buffer.next_drop() is None
    nobody = [_kept(buffer, 10) for _ in range(2)]
    assert buffer.next_drop() is None
    assert buffer.total_bytes == 100
    for answer in (other, *hot[1:], *nobody):
        buffer.remove(answer)
    assert (buffer.total_bytes, buffer.count) == (0, 0)


def test_an_answer_is_given_up_after_its_deadline_and_without_progress_only() -> None:
    buffer = AnswerBuffer(100)
    answer = _kept(buffer, 40)
    assert buffer.given_up(19.0) == []
    assert buffer.given_up(21.0) == [answer]
    buffer.update(answer, 30, 10, 20.5)
    assert buffer.given_up(20.5 + STANDSTILL_S) == []
    assert buffer.given_up(20.6 + STANDSTILL_S) == [answer]


def test_the_room_follows_the_memory_limit_of_the_process() -> None:
    buffer = AnswerBuffer.for_memory(200)
    assert buffer.limit_bytes == 50 * MB
    assert buffer.may_read_on()
