"""Back ends that stop within the head of their answer, or just after it: that is no answer.

Whatever the cut head looks like, the caller gets a whole answer of another back end where the
request may repeat, and a failure otherwise; never a success that is framed as whole.
"""

from __future__ import annotations

import asyncio
from collections.abc import Iterator
from contextlib import ExitStack

import pytest
from tests.unit.proxy_support import Proxy
from tests.unit.raw_server import RawServer
from tests.unit.test_proxy_contract import WHOLE_STREAM, make_full_table

from leverjunction.errors import Execution, Failure
from leverjunction.platform.headers import PlatformDialect
from leverjunction.proxy.attempt import Sender
from leverjunction.proxy.runner_pool import RunnerPool
from leverjunction.routes import RouteClass
from testbed.routed import RawReply, RunnerStandIn, make_route, make_table
from testbed.routed.behaviours import BEHAVIOURS
from testbed.routed.exchange import Exchange

BODY = b"whole"
FIELDS = "Leverjunction-Request-Id: %s\r\nLeverjunction-Server-Stamp: stamp\r\n"
LENGTH = f"Content-Length: {len(BODY)}\r\n"
CHUNKED = "Transfer-Encoding: chunked\r\n"
# What is sent up to where the body begins, or as far as it says nothing of its end.
HEADS = {
    "a length": f"HTTP/1.1 200 OK\r\n{FIELDS}{LENGTH}\r\n",
    "a length first": f"HTTP/1.1 200 OK\r\n{LENGTH}{FIELDS}\r\n",
    "no body": f"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n{FIELDS}\r\n",
    "chunks": f"HTTP/1.1 200 OK\r\n{FIELDS}{CHUNKED}\r\n10;ext=1\r\n",
    "no length": f"HTTP/1.1 200 OK\r\n{FIELDS}Connection: close\r\n\r\n",
    "HTTP/1.0": f"HTTP/1.0 200 OK\r\n{FIELDS}Content-Type: text/plain\r\n\r\n",
    "a bare status": f"HTTP/1.1 200\r\n{FIELDS}{LENGTH}\r\n",
    "bare line feeds": f"HTTP/1.1 200 OK\r\n{FIELDS}{LENGTH}\r\n".replace("\r", ""),
    "a folded field": f"HTTP/1.1 200 OK\r\n{FIELDS}Server: a\r\n server\r\n{LENGTH}\r\n",
    "other than ASCII": f"HTTP/1.1 200 OK\r\n{FIELDS}Server: \xe9\xff\r\n{LENGTH}\r\n",
    "after 100": f"HTTP/1.1 100 Continue\r\nA: b\r\n\r\nHTTP/1.1 200 OK\r\n{FIELDS}{LENGTH}\r\n",
    "after 103": f"HTTP/1.1 103 Early Hints\r\n{FIELDS}\r\nHTTP/1.1 200 OK\r\n{FIELDS}{LENGTH}\r\n",
    "a refusal": f"HTTP/1.1 503 Full\r\nLeverjunction-Not-Executed: 1\r\n{FIELDS}{LENGTH}\r\n",
    "another's": f"HTTP/1.1 421 Misdirected\r\n{FIELDS}{LENGTH}\r\n",
}
MAY_BE_WHOLE = ("no body", "no length", "HTTP/1.0")
"""Answers that are whole once their heads are, without any body."""

REFUSALS = ("a refusal", "another's")


class Cut:
    """What the next request gets, whichever back end receives it.

    Attributes:
        head: What would be sent.
        size: How many bytes of it are sent; None to answer as usual.
        by_reset: Whether the connection is reset, not closed in order.
        taken: Requests that were cut.
    """

    def __init__(self) -> None:
        self.head = ""
        self.size: int | None = None
        self.by_reset = False
        self.taken = 0

    def bytes_for(self, request_id: str) -> bytes:
        return self.head.replace("%s", request_id).encode("latin-1")


async def _cut_head(exchange: Exchange, cut: Cut) -> None:
    if cut.size is None:
        is_stream = "stream" in exchange.seen.target or "resumable" in exchange.seen.target
        await BEHAVIOURS["stream" if is_stream else "whole"](exchange)
        return
    request_id = exchange.seen.headers["leverjunction-request-id"]
    exchange.raw(cut.bytes_for(request_id)[: cut.size])
    cut.size = None
    cut.taken += 1
    await exchange.flush()
    if cut.by_reset:
        await asyncio.sleep(0.004)
        exchange.reset()
    else:
        exchange.close()


@pytest.fixture
def cut() -> Iterator[Cut]:
    cut = Cut()
    BEHAVIOURS["cut head"] = lambda exchange: _cut_head(exchange, cut)
    yield cut
    del BEHAVIOURS["cut head"]


@pytest.fixture
def runners() -> Iterator[tuple[RunnerStandIn, RunnerStandIn]]:
    with RunnerStandIn("i-1", "cut head") as first, RunnerStandIn("i-2", "cut head") as second:
        yield first, second


@pytest.fixture
def proxy(runners: tuple[RunnerStandIn, RunnerStandIn], cut: Cut) -> Iterator[Proxy]:
    with Proxy(make_full_table(), runners) as proxy:
        yield proxy


def _sent(runners: tuple[RunnerStandIn, ...], request_id: str) -> int:
    return sum(
        seen.headers["leverjunction-request-id"] == request_id
        for runner in runners
        for seen in runner.seen
    )


def _wrong(path: str, reply: RawReply, sent: int) -> str:
    """Return what is wrong with the answer to a request whose first answer was cut."""
    got = f"{reply.status} {reply.body!r} whole={reply.complete} sent={sent}"
    if path in ("/once/x", "/stream/x"):
        return "" if (reply.status, sent) == (502, 1) else got
    body = WHOLE_STREAM if path == "/resumable/x" else b"answer to " + path.encode()
    is_whole = (reply.status, reply.complete, reply.body) == (200, True, body)
    return "" if is_whole and sent == 2 else got


def _cut_sizes(name: str) -> list[int]:
    """Return where to cut: within and after each line, and between its CR and LF."""
    head = HEADS[name].replace("%s", "r000").encode("latin-1")
    ends = [place + 1 for place, byte in enumerate(head) if byte == 10]
    places = {0, *(end - step for end in ends for step in (0, 1, 2, 9))}
    # Refusals are believed once their heads are whole.
    most = len(head) - (name in (*MAY_BE_WHOLE, *REFUSALS))
    return sorted(place for place in places if 0 <= place <= most)


@pytest.mark.parametrize(
    ("name", "by_reset"),
    [*((name, False) for name in HEADS), ("a length", True), ("chunks", True), ("HTTP/1.0", True)],
)
@pytest.mark.parametrize("path", ["/repeatable/x", "/once/x", "/stream/x", "/resumable/x"])
def test_a_cut_head_is_answered_elsewhere_or_fails(
    proxy: Proxy,
    runners: tuple[RunnerStandIn, RunnerStandIn],
    cut: Cut,
    name: str,
    path: str,
    by_reset: bool,
) -> None:
    cut.head, cut.by_reset = HEADS[name], by_reset
    sizes = _cut_sizes(name)
    wrong = {}
    for size in sizes:
        cut.size = size
        request_id = f"r{size:03}"
        reply = proxy.ask(path, Leverjunction_Request_Id=request_id)
        if found := _wrong(path, reply, _sent(runners, request_id)):
            wrong[size] = f"{found} after {cut.bytes_for(request_id)[:size][-20:]!r}"
    assert cut.taken == len(sizes)
    assert not wrong


@pytest.mark.parametrize("by_reset", [False, True])
@pytest.mark.parametrize("name", [*HEADS])
def test_a_document_that_is_cut_at_any_byte_of_its_head_is_a_failure(
    name: str, by_reset: bool
) -> None:
    """Reads of load and health take the way that requests take, without an id."""
    head = HEADS[name].replace(FIELDS, "Server: e\r\n").replace(FIELDS.replace("\r", ""), "A: b\n")
    data = head.encode("latin-1")
    ends = len(data) if name in MAY_BE_WHOLE else len(data) + 1
    size = 0

    async def fetch_all() -> list[bytes | Failure]:
        nonlocal size
        sender = Sender(RunnerPool(), None, PlatformDialect())  # type: ignore[arg-type]
        outcomes = []
        async with asyncio.timeout(20.0):
            while size < ends:
                outcomes.append(await sender.fetch(server.address, b"/load", []))
                size += 1
        return outcomes

    server = RawServer(lambda _head, _body: data[:size])
    server.by_reset = by_reset
    outcomes = asyncio.run(fetch_all())
    server.close()
    assert len(outcomes) == ends
    assert all(
        isinstance(outcome, Failure) and outcome.execution is Execution.UNKNOWN
        for outcome in outcomes
    )


@pytest.mark.parametrize(("cuts", "answer"), [(2, (200, 3)), (3, (502, 3))])
def test_cut_heads_are_tried_again_as_often_as_the_route_allows(
    cuts: int, answer: tuple[int, int]
) -> None:
    head = HEADS["a length"].encode()
    left = cuts

    async def cut_first(exchange: Exchange) -> None:
        nonlocal left
        left -= 1
        if left < 0:
            await BEHAVIOURS["whole"](exchange)
            return
        exchange.raw(head[: len(head) // 2])
        await exchange.flush()
        exchange.close()

    BEHAVIOURS["cut first"] = cut_first
    route = make_route(RouteClass.REPEATABLE, max_attempts=3)
    names = ("i-1", "i-2", "i-3", "i-4")
    with ExitStack() as stack:
        back_ends = [stack.enter_context(RunnerStandIn(name, "cut first")) for name in names]
        proxy = stack.enter_context(Proxy(make_table(route), back_ends))
        reply = proxy.ask("/repeatable/x")
        sent = [len(back_end.seen) for back_end in back_ends]
    del BEHAVIOURS["cut first"]
    assert (reply.status, sum(sent)) == answer
    assert max(sent) == 1


SECOND = f"HTTP/1.1 500 Fault\r\n{FIELDS}Content-Length: 5\r\n\r\nfault"


def _ask_until_sent(
    proxy: Proxy, runners: tuple[RunnerStandIn, RunnerStandIn], request_id: str
) -> tuple[RawReply, str]:
    """Send a request that may run once; return the reply, and the id under which it was sent.

    A pause of this process may use up its deadline before the proxy sends it: it is refused, truly
    as not run, and another one takes its place.
    """
    while True:
        fields = {"Leverjunction_Request_Id": request_id, "Leverjunction_Deadline_Ms": "300"}
        reply = proxy.ask("/once/x", **fields)
        if reply.status != 503 or _sent(runners, request_id):
            return reply, request_id
        request_id = chr(ord(request_id[0]) + 1) + request_id[1:]


@pytest.mark.parametrize("stays_open", [False, True])
@pytest.mark.parametrize("name", ["a length", "no length", "after 103", "a refusal"])
def test_a_cut_head_and_the_answer_that_follows_it_are_not_one_answer(
    proxy: Proxy,
    runners: tuple[RunnerStandIn, RunnerStandIn],
    cut: Cut,
    name: str,
    stays_open: bool,
) -> None:
    """The status and the fields of the first passed for those of the second: a failure became a
    success, and a run a refusal.
    """

    async def answer_twice(exchange: Exchange) -> None:
        request_id = exchange.seen.headers["leverjunction-request-id"]
        second = SECOND.replace("%s", request_id).encode()
        exchange.raw(cut.bytes_for(request_id)[: cut.size] + second)
        await exchange.flush()
        if stays_open:
            await exchange.until_gone()
        else:
            exchange.close()

    BEHAVIOURS["two answers"] = answer_twice
    for runner in runners:
        runner.usual = "two answers"
    cut.head = HEADS[name]
    wrong = {}
    for size in range(1, len(cut.bytes_for("r000")) - 1):
        cut.size = size
        reply, request_id = _ask_until_sent(proxy, runners, f"r{size:03}")
        is_failure = reply.status in (502, 504) or (reply.status, reply.body) == (500, b"fault")
        if not is_failure or _sent(runners, request_id) > 1:
            end = cut.bytes_for(request_id)[:size][-20:]
            wrong[size] = f"{reply.status} {reply.body!r} after {end!r}"
    del BEHAVIOURS["two answers"]
    assert not wrong
