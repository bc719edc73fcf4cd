"""Back ends that send bytes which never become an answer: each ends early, and is counted."""

from __future__ import annotations

import asyncio
import time
import tracemalloc
from collections.abc import Iterator

import pytest
from tests.unit.proxy_support import Proxy, request_headers

from leverjunction.errors import Execution, Failure, FailureKind
from leverjunction.lots.attempts import is_endless
from leverjunction.lots.item_stream import ItemStream
from leverjunction.platform.headers import PlatformDialect
from leverjunction.proxy import answer_bounds
from leverjunction.proxy.answer_bounds import MAX_EVENT_BYTES, MAX_ITEM_OUTPUT_BYTES
from leverjunction.proxy.attempt import Sender
from leverjunction.proxy.events import EventSplitter
from leverjunction.proxy.runner_pool import RunnerPool
from leverjunction.routes import RouteClass
from testbed.routed import RawReply, RunnerStandIn, make_route, make_table
from testbed.routed.behaviours import BEHAVIOURS
from testbed.routed.exchange import Exchange

DEADLINE_MS = 8000
PART_TIME_S = 0.4
PARTS = 50_000
ANSWER_BYTES = 8 * 1024 * 1024
EARLY_S = 4.0
"""Half of the deadline, which was the only bound in time."""

CHUNKED = b"Transfer-Encoding: chunked\r\n\r\n"
FLOOD = b"x" * 65536
EVENT = b"id: 1\ndata: event 1\n\n"
EVENTS = b"".join(b"id: %d\ndata: event %d\n\n" % (n, n) for n in range(1, 6))


def chunk(data: bytes) -> bytes:
    return b"%x\r\n%b\r\n" % (len(data), data)


# What is sent before the head, after the head, then again and again, and the pause in between.
HEADS = {
    "head, a field without end": (b"HTTP/1.1 200 OK\r\nX: ", b"", FLOOD, 0.0),
    "head, a dripped field": (b"HTTP/1.1 200 OK\r\nX: ", b"", b"x", 0.05),
    "head, fields without end": (b"HTTP/1.1 200 OK\r\n", b"", b"X-1: y\r\n" * 4096, 0.0),
    "informational heads": (b"", b"", b"HTTP/1.1 103 Early Hints\r\n\r\n" * 2048, 0.01),
}
BODIES = {
    "chunks": (b"", CHUNKED, chunk(FLOOD), 0.0),
    "chunks of a byte": (b"", CHUNKED, chunk(b"x") * 8192, 0.0),
    "until the connection closes": (b"", b"Connection: close\r\n\r\n", FLOOD, 0.0),
    "a length beyond any": (b"", b"Content-Length: 99999999999\r\n\r\n", FLOOD, 0.0),
    "chunk extension": (b"", CHUNKED + b"1;a=", FLOOD, 0.0),
    "dripped chunk extension": (b"", CHUNKED + b"1;a=", b"x", 0.05),
    "long extensions of short chunks": (b"", CHUNKED, b"1;a=" + b"x" * 9999 + b"\r\ny\r\n", 0.0),
    "trailers": (b"", CHUNKED + b"0\r\n", b"X-1: y\r\n" * 4096, 0.0),
    "dripped trailers": (b"", CHUNKED + b"0\r\n", b"X-1: y\r\n", 0.05),
}
EVENT_CASES = {
    "event": (b"", CHUNKED + chunk(EVENT + b"data: "), chunk(FLOOD), 0.0),
    "event in chunks of a byte": (b"", CHUNKED + chunk(EVENT), chunk(b"x") * 8192, 0.0),
    "dripped event": (b"", CHUNKED + chunk(EVENT + b"data: "), chunk(b"x"), 0.05),
}


def _register(name: str, before: bytes, after: bytes, again: bytes, pause_s: float) -> None:
    async def send(exchange: Exchange) -> None:
        loop = asyncio.get_running_loop()
        started_s = loop.time()
        exchange.raw(before)
        if after:
            exchange.raw(b"HTTP/1.1 200 OK\r\n")
            for field, value in exchange.headers():
                exchange.raw(f"{field}: {value}\r\n".encode())
            exchange.raw(after)
        try:
            while not exchange.is_gone():
                exchange.raw(again)
                await exchange.flush()
                await asyncio.sleep(pause_s)
        except ConnectionError:
            pass
        exchange.seen.gone_after_s = loop.time() - started_s
        raise ConnectionResetError

    BEHAVIOURS[name] = send


for _cases in (HEADS, BODIES, EVENT_CASES):
    for _name, _case in _cases.items():
        _register(_name, *_case)


@pytest.fixture(autouse=True)
def short_bounds(monkeypatch: pytest.MonkeyPatch) -> None:
    """Shorten the bounds that would need long tests; the others apply as they are."""
    monkeypatch.setattr(answer_bounds, "PART_TIME_S", PART_TIME_S)
    monkeypatch.setattr(answer_bounds, "MAX_PARTS", PARTS)
    monkeypatch.setattr(answer_bounds, "MAX_ANSWER_BYTES", ANSWER_BYTES)


@pytest.fixture
def runners() -> Iterator[tuple[RunnerStandIn, RunnerStandIn]]:
    with RunnerStandIn("i-1") as first, RunnerStandIn("i-2") as second:
        yield first, second


@pytest.fixture
def proxy(runners: tuple[RunnerStandIn, RunnerStandIn]) -> Iterator[Proxy]:
    routes = [make_route(kind, timeout_ms=float(DEADLINE_MS)) for kind in RouteClass]
    resumable = make_route(
        RouteClass.STREAM,
        name="resumable",
        prefix="/resumable/",
        resumable=True,
        timeout_ms=float(DEADLINE_MS),
    )
    with Proxy(make_table(*routes, resumable), runners) as proxy:
        yield proxy


def _gone_after_s(runners: tuple[RunnerStandIn, RunnerStandIn], name: str) -> float:
    """Return when the misbehaving back end's connection was closed."""
    until_s = time.monotonic() + 2.0
    while time.monotonic() < until_s:
        for runner in runners:
            for seen in runner.seen:
                if seen.behaviour == name and seen.gone_after_s is not None:
                    return seen.gone_after_s
        time.sleep(0.01)
    return float("inf")


def _is_ejected(proxy: Proxy, runners: tuple[RunnerStandIn, RunnerStandIn], name: str) -> bool:
    """Return whether exactly the back end that misbehaved counts as failed."""
    bad = {
        runner.runner_id
        for runner in runners
        if any(seen.behaviour == name for seen in runner.seen)
    }
    failed = {
        runner.record.runner_id
        for runner in proxy.balancer._runners.values()
        if runner.ejected_until_s > 0
    }
    return failed == bad


def _ask(proxy: Proxy, path: str) -> RawReply:
    caller = proxy.caller()
    try:
        headers = request_headers(Leverjunction_Deadline_Ms=str(DEADLINE_MS))
        return caller.ask("POST", path, headers, b"ask")
    finally:
        caller.close()


def _misbehave_first(runners: tuple[RunnerStandIn, RunnerStandIn], name: str, usual: str) -> None:
    """Make the first request misbehave, whichever back end receives it."""
    taken: list[str] = []

    async def first_only(exchange: Exchange) -> None:
        taken.append(name)
        exchange.seen.behaviour = name if len(taken) == 1 else usual
        await BEHAVIOURS[exchange.seen.behaviour](exchange)

    BEHAVIOURS["first only"] = first_only
    for runner in runners:
        runner.usual = "first only"


@pytest.mark.parametrize("name", [*HEADS, *BODIES])
def test_what_may_run_once_ends_early_and_is_never_said_not_to_have_run(
    proxy: Proxy, runners: tuple[RunnerStandIn, RunnerStandIn], name: str
) -> None:
    for runner in runners:
        runner.then(name)
    reply = _ask(proxy, "/once/x")
    assert not (reply.status == 200 and reply.complete)
    assert reply.status in (0, 200, 502)
    assert reply.after_s < EARLY_S
    assert _gone_after_s(runners, name) < EARLY_S
    assert sum(len(runner.seen) for runner in runners) == 1
    assert _is_ejected(proxy, runners, name)


@pytest.mark.parametrize("name", [*HEADS, *(name for name in BODIES if "chunk ext" in name)])
def test_what_may_repeat_is_answered_whole_by_another_back_end(
    proxy: Proxy, runners: tuple[RunnerStandIn, RunnerStandIn], name: str
) -> None:
    _misbehave_first(runners, name, "whole")
    reply = _ask(proxy, "/repeatable/x")
    assert (reply.status, reply.complete) == (200, True)
    assert reply.body == b"answer to /repeatable/x"
    assert reply.after_s < EARLY_S


@pytest.mark.parametrize("name", [*EVENT_CASES])
def test_a_stream_goes_on_elsewhere_after_an_event_without_end(
    proxy: Proxy, runners: tuple[RunnerStandIn, RunnerStandIn], name: str
) -> None:
    _misbehave_first(runners, name, "stream")
    reply = _ask(proxy, "/resumable/x")
    assert (reply.status, reply.complete, reply.body) == (200, True, EVENTS)
    assert reply.after_s < EARLY_S
    assert _gone_after_s(runners, name) < EARLY_S


@pytest.mark.parametrize("name", [*EVENT_CASES])
def test_a_stream_that_may_not_repeat_never_looks_complete(
    proxy: Proxy, runners: tuple[RunnerStandIn, RunnerStandIn], name: str
) -> None:
    for runner in runners:
        runner.then(name)
    reply = _ask(proxy, "/stream/x")
    assert (reply.status, reply.complete) == (200, False)
    assert reply.body == EVENT
    assert reply.after_s < EARLY_S
    assert sum(len(runner.seen) for runner in runners) == 1
    assert _is_ejected(proxy, runners, name)


def test_bytes_after_an_answer_do_not_reach_the_next_caller(
    proxy: Proxy, runners: tuple[RunnerStandIn, RunnerStandIn]
) -> None:
    async def beyond_length(exchange: Exchange) -> None:
        await BEHAVIOURS["whole"](exchange)
        try:
            while not exchange.is_gone():
                exchange.raw(FLOOD)
                await exchange.flush()
        finally:
            exchange.seen.gone_after_s = 0.0

    BEHAVIOURS["beyond its length"] = beyond_length
    for runner in runners:
        runner.then("beyond its length")
    for number in range(6):
        reply = _ask(proxy, f"/once/{number}")
        assert reply.body == b"answer to /once/%d" % number
    assert _gone_after_s(runners, "beyond its length") == 0.0


def test_a_document_without_end_is_not_collected() -> None:
    """Load and health reports were collected for as long as they kept coming."""

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(b"HTTP/1.1 200 OK\r\n" + CHUNKED)
        try:
            while True:
                writer.write(chunk(FLOOD))
                await writer.drain()
        except ConnectionError:
            writer.close()

    async def fetch() -> bytes | Failure:
        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
        sender = Sender(RunnerPool(), None, PlatformDialect())  # type: ignore[arg-type]
        try:
            async with asyncio.timeout(EARLY_S):
                return await sender.fetch(address, b"/load", [])
        finally:
            server.close()

    outcome = asyncio.run(fetch())
    assert isinstance(outcome, Failure)
    assert outcome.kind is FailureKind.BACKEND_MISMATCH
    assert outcome.execution is Execution.UNKNOWN


def test_output_of_an_item_is_bounded_by_run_and_by_event() -> None:
    stream = ItemStream()
    stream.feed(EVENTS)
    assert not is_endless(stream, len(EVENTS))
    assert is_endless(stream, MAX_ITEM_OUTPUT_BYTES + 1)
    stream.feed(b"x" * (MAX_EVENT_BYTES + 1))
    assert is_endless(stream, len(EVENTS))


@pytest.mark.parametrize("end", [b"\n\n", b"\r\n\r\n", b"\r\r"])
def test_the_end_of_an_event_is_found_wherever_reads_cut_it(end: bytes) -> None:
    data = b"id: 7\ndata: x" + end + b"data: rest"
    for cut in range(len(data)):
        splitter = EventSplitter()
        whole = splitter.feed(data[:cut]) + splitter.feed(data[cut:])
        assert (whole, splitter.pending_bytes) == (data[: -len(b"data: rest")], 10)


def test_tiny_events_of_an_item_end_before_they_take_many_times_their_bytes() -> None:
    events = b"data:xy\n\n" * 4096
    stream = ItemStream()
    output_bytes = 0
    tracemalloc.start()
    try:
        before_bytes = tracemalloc.get_traced_memory()[0]
        while not is_endless(stream, output_bytes):
            stream.feed(events)
            output_bytes += len(events)
        kept_bytes = tracemalloc.get_traced_memory()[0] - before_bytes
    finally:
        tracemalloc.stop()
    assert kept_bytes < MAX_ITEM_OUTPUT_BYTES
