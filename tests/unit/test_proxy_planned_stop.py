"""A planned stop of a gateway: each request that it reads gets a whole answer."""

from __future__ import annotations

import asyncio
import socket
import threading
import time
from collections.abc import Callable, Iterator

import pytest
from tests.unit.proxy_support import Proxy, request_headers

from leverjunction.proxy import draining
from leverjunction.proxy.stop_schedule import ACCEPT_AFTER_STOP_S
from leverjunction.routes import RouteClass
from testbed.routed import RawCaller, RawReply, RunnerStandIn, make_route, make_table
from testbed.routed.exchange import WORK_MS_HEADER

GRACE_S = 5.0
DEADLINE_MS = 8000
NOT_RUN = 503
UNKNOWN = 504
READ_TIMEOUT_S = 10.0
END_TIMEOUT_S = 15.0


@pytest.fixture
def runner() -> Iterator[RunnerStandIn]:
    with RunnerStandIn("i-1") as runner:
        yield runner


@pytest.fixture
def proxy(runner: RunnerStandIn) -> Iterator[Proxy]:
    routes = [make_route(kind, timeout_ms=float(DEADLINE_MS)) for kind in RouteClass]
    resumable = make_route(
        RouteClass.STREAM,
        name="resumable",
        prefix="/resumable/",
        resumable=True,
        timeout_ms=float(DEADLINE_MS),
    )
    with Proxy(make_table(*routes, resumable), [runner]) as proxy:
        yield proxy


def headers(request_id: str, work_s: float = 0.0) -> dict[str, str]:
    fields = request_headers(
        Leverjunction_Request_Id=request_id, Leverjunction_Deadline_Ms=str(DEADLINE_MS)
    )
    if work_s:
        fields[WORK_MS_HEADER] = str(round(work_s * 1000))
    return fields


class Asking:
    """A caller that sends a request and reads its answer in a thread of its own."""

    def __init__(self, work: Callable[[], RawReply]) -> None:
        self._work = work
        self.reply = RawReply()
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()

    def _run(self) -> None:
        self.reply = self._work()

    def join(self) -> RawReply:
        self._thread.join(END_TIMEOUT_S)
        assert not self._thread.is_alive()
        return self.reply


def ask(proxy: Proxy, path: str, request_id: str, work_s: float = 0.0) -> RawReply:
    caller = RawCaller(proxy.address, READ_TIMEOUT_S)
    try:
        return caller.ask("POST", path, headers(request_id, work_s), b"ask")
    finally:
        caller.close()


def sent(runner: RunnerStandIn, request_id: str) -> int:
    """Return how often a request reached the back end."""
    return sum(item.headers.get("leverjunction-request-id") == request_id for item in runner.seen)


def until(proxy: Proxy, after_stop_s: float) -> None:
    """Wait until a time after the request to stop."""
    time.sleep(max(0.0, proxy.stop_asked_s + after_stop_s - proxy.loop_s()))


def asked_to_stop(proxy: Proxy) -> None:
    proxy.stop(GRACE_S)
    while not proxy.stop_asked_s:
        time.sleep(0.001)


def test_a_request_behind_a_stream_that_outlasts_the_listener_is_not_cut(
    proxy: Proxy, runner: RunnerStandIn
) -> None:
    """The stream's head went out before the stop, so its caller keeps the connection."""
    runner.usual = "stream"
    caller = RawCaller(proxy.address, READ_TIMEOUT_S)
    caller.send("POST", "/stream/x", headers("r1", ACCEPT_AFTER_STOP_S + 0.6), b"ask")
    time.sleep(0.3)
    asked_to_stop(proxy)
    first = caller.receive()
    assert (first.status, first.complete) == (200, True)
    assert proxy.loop_s() > proxy.stop_asked_s + ACCEPT_AFTER_STOP_S
    second = caller.ask("POST", "/stream/x", headers("r2", 4.0), b"ask")
    caller.close()
    assert proxy.ended.wait(END_TIMEOUT_S)
    assert (second.status, second.complete) == (NOT_RUN, True)
    assert sent(runner, "r2") == 0


def test_the_first_request_of_a_connection_as_the_listener_closes_is_not_cut(
    proxy: Proxy, runner: RunnerStandIn
) -> None:
    runner.usual = "stream"
    asked_to_stop(proxy)
    until(proxy, ACCEPT_AFTER_STOP_S - 0.1)
    caller = RawCaller(proxy.address, READ_TIMEOUT_S)
    until(proxy, ACCEPT_AFTER_STOP_S + 0.2)
    reply = caller.ask("POST", "/stream/x", headers("r1", 4.0), b"ask")
    caller.close()
    assert proxy.ended.wait(END_TIMEOUT_S)
    assert (reply.status, reply.complete) == (NOT_RUN, True)
    assert sent(runner, "r1") == 0


@pytest.mark.parametrize("path", ["/once/x", "/repeatable/x", "/stream/x", "/resumable/x"])
@pytest.mark.parametrize("after_stop_s", [-0.5, 2.0])
def test_a_request_at_a_silent_back_end_gets_a_whole_answer_before_the_process_ends(
    proxy: Proxy, runner: RunnerStandIn, path: str, after_stop_s: float
) -> None:
    runner.usual = "silent"
    if after_stop_s < 0:
        asking = Asking(lambda: ask(proxy, path, "r1"))
        time.sleep(-after_stop_s)
        asked_to_stop(proxy)
    else:
        asked_to_stop(proxy)
        until(proxy, after_stop_s)
        asking = Asking(lambda: ask(proxy, path, "r1"))
    reply = asking.join()
    assert proxy.ended.wait(END_TIMEOUT_S)
    assert proxy.stop_ended_s - proxy.stop_asked_s < GRACE_S
    assert (reply.status, reply.complete) == (UNKNOWN, True)
    attempts = 2 if path.startswith(("/repeatable", "/resumable")) else 1
    assert 1 <= sent(runner, "r1") <= attempts


def test_a_request_whose_upload_outlasts_the_stop_is_refused_whole(
    proxy: Proxy, runner: RunnerStandIn
) -> None:
    caller = RawCaller(proxy.address, READ_TIMEOUT_S)
    asked_to_stop(proxy)
    until(proxy, 2.5)
    caller.send_head("POST", "/once/x", headers("r1"), length=100)
    reply = caller.receive()
    caller.close()
    assert proxy.ended.wait(END_TIMEOUT_S)
    assert (reply.status, reply.complete) == (NOT_RUN, True)
    assert not runner.seen


def test_a_connection_in_the_queue_of_the_listener_is_served_as_it_closes(proxy: Proxy) -> None:
    """It comes after the loop has last accepted, so the kernel would reset it."""

    async def connect_and_close() -> RawCaller:
        caller = RawCaller(proxy.address, READ_TIMEOUT_S)
        caller.send("POST", "/once/x", headers("r1"), b"ask")
        await proxy.stop_accepting()
        return caller

    caller = proxy.run(connect_and_close())
    reply = caller.receive()
    caller.close()
    assert (reply.status, reply.complete) == (200, True)


def test_a_waiting_caller_that_has_left_does_not_hide_those_behind_it() -> None:
    class Queue:
        def __init__(self) -> None:
            self.waiting: list[socket.socket | OSError] = [
                ConnectionAbortedError(),
                socket.socket(),
                BlockingIOError(),
            ]

        def accept(self) -> tuple[socket.socket, str]:
            first = self.waiting.pop(0)
            if isinstance(first, OSError):
                raise first
            return first, ""

    accepted = list(draining._accept_waiting(Queue()))  # type: ignore[arg-type]
    assert len(accepted) == 1
    accepted[0].close()


def test_a_request_that_would_outlast_the_process_is_refused_at_once(
    proxy: Proxy, runner: RunnerStandIn
) -> None:
    runner.usual = "stream"
    usual = [
        Asking(lambda name=f"usual-{number}": ask(proxy, "/stream/x", name, 3.0))
        for number in range(5)
    ]
    assert all(asking.join().complete for asking in usual)
    asked_to_stop(proxy)
    until(proxy, 2.0)
    reply = ask(proxy, "/stream/x", "r2", 3.0)
    short = ask(proxy, "/once/x", "r3", 0.1)
    assert proxy.ended.wait(END_TIMEOUT_S)
    assert (reply.status, reply.complete) == (NOT_RUN, True)
    assert reply.after_s < 0.5
    assert reply.headers["retry-after"] == "0.000"
    assert sent(runner, "r2") == 0
    assert (short.status, short.complete) == (200, True)


def test_a_request_sent_as_the_signal_is_handled_late_is_not_cut(
    proxy: Proxy, runner: RunnerStandIn
) -> None:
    """It is later than it seems; one whose deadline fits is answered in any case."""
    runner.usual = "stream"
    asked_to_stop(proxy)
    until(proxy, ACCEPT_AFTER_STOP_S - 0.3)
    long = ask(proxy, "/stream/x", "r1", 4.0)
    caller = RawCaller(proxy.address, READ_TIMEOUT_S)
    fields = {**headers("r2", 0.2), "Leverjunction-Deadline-Ms": "1000"}
    short = caller.ask("POST", "/stream/x", fields, b"ask")
    caller.close()
    assert proxy.ended.wait(END_TIMEOUT_S)
    assert (long.status, long.complete) == (NOT_RUN, True)
    assert sent(runner, "r1") == 0
    assert (short.status, short.complete) == (200, True)


def test_a_batch_job_that_stores_have_perhaps_taken_is_not_said_to_be_refused(
    runner: RunnerStandIn,
) -> None:
    """The gateway answers it itself, and waits for the stores as the process ends."""

    async def wait_for_stores(*_call: object) -> bool:
        await asyncio.sleep(READ_TIMEOUT_S)
        return True

    with Proxy(make_table(), [runner], local_handler=wait_for_stores) as proxy:
        asking = Asking(lambda: ask(proxy, "/lots", "r1"))
        time.sleep(0.3)
        asked_to_stop(proxy)
        reply = asking.join()
        assert proxy.ended.wait(END_TIMEOUT_S)
    assert (reply.status, reply.complete) == (UNKNOWN, True)


def test_streams_that_go_on_are_answered_whole_during_a_stop(
    proxy: Proxy, runner: RunnerStandIn
) -> None:
    runner.usual = "stream"
    early = Asking(lambda: ask(proxy, "/stream/x", "r1", GRACE_S - 1.5))
    time.sleep(0.3)
    asked_to_stop(proxy)
    until(proxy, 2.0)
    late = Asking(lambda: ask(proxy, "/stream/x", "r2", 1.5))
    replies = [early.join(), late.join()]
    assert proxy.ended.wait(END_TIMEOUT_S)
    assert [(reply.status, reply.complete) for reply in replies] == [(200, True)] * 2
    assert replies[1].headers.get("connection") == "close"


def test_a_request_that_arrives_while_the_stopping_process_is_paused_is_not_reset(
    proxy: Proxy, runner: RunnerStandIn
) -> None:
    """The process goes on where it was about to close connections without a request."""
    caller = RawCaller(proxy.address, READ_TIMEOUT_S)
    first = caller.ask("POST", "/once/x", headers("r1"), b"ask")
    assert (first.status, first.complete) == (200, True)
    paused, sent_next = threading.Event(), threading.Event()

    def pause_and_close_idle() -> None:
        paused.set()
        sent_next.wait(READ_TIMEOUT_S)
        proxy.port.close_idle()

    proxy.call(pause_and_close_idle)
    assert paused.wait(READ_TIMEOUT_S)
    caller.send("POST", "/once/x", headers("r2"), b"ask")
    sent_next.set()
    second = caller.receive()
    caller.close()
    assert (second.status, second.complete) == (200, True)
    assert sent(runner, "r2") == 1
