"""A back end's connection whose reader is in no hurry."""

from __future__ import annotations

import asyncio
import socket
import time

import pytest

from leverjunction.errors import Failure
from leverjunction.proxy.probes import PROBE_IDLE_S, PROBE_INTERVAL_S, PROBES
from leverjunction.proxy.runner_connection import (
    ResponseEnd,
    ResponseHead,
    RunnerConnection,
    RunnerPool,
)

PACE_S = 0.2
EVENTS = 40
EVENT_INTERVAL_S = 0.01
HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"


class Reads(RunnerConnection):
    """Counts how often it is given bytes."""

    def __init__(self, address: str) -> None:
        super().__init__(address)
        self.count = 0

    def data_received(self, data: bytes) -> None:
        self.count += 1
        super().data_received(data)


async def _stream(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    while await reader.readuntil(b"\r\n\r\n"):
        writer.write(HEAD)
        for number in range(EVENTS):
            writer.write(b"4\r\n%04d\r\n" % number)
            await writer.drain()
            await asyncio.sleep(EVENT_INTERVAL_S)
        writer.write(b"0\r\n\r\n")


async def _read(connection: RunnerConnection, pace_s: float) -> bytes:
    connection.send(b"GET", b"/", [(b"Host", b"h")], b"")
    body = b""
    while True:
        event = await connection.next_event()
        if isinstance(event, ResponseHead):
            connection.set_read_interval(pace_s)
        elif isinstance(event, bytes):
            body += event
        else:
            assert isinstance(event, ResponseEnd)
            return body


async def _answers(*paces_s: float) -> tuple[list[bytes], list[int], list[bool]]:
    """Read one answer after the other on one connection."""
    server = await asyncio.start_server(_stream, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    loop = asyncio.get_running_loop()
    _, connection = await loop.create_connection(lambda: Reads("s"), "127.0.0.1", port)
    bodies, reads, kept = [], [], []
    for pace_s in paces_s:
        before = connection.count
        bodies.append(await _read(connection, pace_s))
        reads.append(connection.count - before)
        kept.append(connection.finish_request())
    connection.close()
    server.close()
    return bodies, reads, kept


@pytest.mark.parametrize("paces_s", [(PACE_S, 0.0), (PACE_S, PACE_S)])
def test_a_paced_answer_is_whole_and_costs_few_reads(paces_s: tuple[float, ...]) -> None:
    """The stores spent their time on a wake-up for every event of every item."""
    bodies, reads, kept = asyncio.run(_answers(*paces_s))
    whole = b"".join(b"%04d" % number for number in range(EVENTS))
    assert bodies == [whole, whole]
    assert kept == [True, True]
    assert reads[0] <= EVENTS * EVENT_INTERVAL_S / PACE_S + 8 < EVENTS
    if not paces_s[1]:
        assert reads[1] > reads[0]


def test_a_connection_that_is_closed_at_rest_stays_closed() -> None:
    async def close_at_rest() -> bool:
        server = await asyncio.start_server(_stream, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        loop = asyncio.get_running_loop()
        _, connection = await loop.create_connection(lambda: Reads("s"), "127.0.0.1", port)
        connection.send(b"GET", b"/", [(b"Host", b"h")], b"")
        await connection.next_event()
        connection.set_read_interval(PACE_S)
        await connection.next_event()
        connection.close()
        count = connection.count
        await asyncio.sleep(PACE_S * 2)
        server.close()
        return connection.count == count

    started_s = time.monotonic()
    assert asyncio.run(close_at_rest())
    assert time.monotonic() - started_s < 5


async def _hold(reader: asyncio.StreamReader, _writer: asyncio.StreamWriter) -> None:
    await reader.read()


def test_nobody_waits_at_a_connection_that_was_closed_here() -> None:
    """A reader waited on for good, or until a limit of its own, for an answer that cannot come.

    Symptom: a request holds its place after its connection has been closed by this process.
    Sequence: a request is sent, the connection is closed here, the next event is asked for; or it
    is asked for already when the connection closes.
    Cause: only an end that the other side brought about was told to the reader.
    Settled by: ``next_event`` after ``close`` did not return within a second.
    """

    async def play(waits: bool) -> object:
        server = await asyncio.start_server(_hold, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        loop = asyncio.get_running_loop()
        _, connection = await loop.create_connection(
            lambda: RunnerConnection("s"), "127.0.0.1", port
        )
        connection.send(b"GET", b"/", [(b"Host", b"h")], b"")
        reading = loop.create_task(connection.next_event()) if waits else None
        await asyncio.sleep(0.05)
        connection.close()
        async with asyncio.timeout(1.0):
            event = await (reading or connection.next_event())
        server.close()
        return event

    for waits in (True, False):
        assert isinstance(asyncio.run(play(waits)), Failure)


def test_a_silent_connection_is_probed() -> None:
    """A path that goes silent for good shows in nothing else."""

    async def play() -> list[int]:
        server = await asyncio.start_server(_hold, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        transport, connection = await asyncio.get_running_loop().create_connection(
            lambda: RunnerConnection("s"), "127.0.0.1", port
        )
        sock = transport.get_extra_info("socket")
        levels = [(socket.SOL_SOCKET, socket.SO_KEEPALIVE)]
        for option in (socket.TCP_KEEPIDLE, socket.TCP_KEEPINTVL, socket.TCP_KEEPCNT):
            levels.append((socket.IPPROTO_TCP, option))
        figures = [sock.getsockopt(*level) for level in levels]
        connection.close()
        server.close()
        return figures

    assert asyncio.run(play()) == [1, PROBE_IDLE_S, PROBE_INTERVAL_S, PROBES]


def test_a_back_end_that_was_silent_is_sent_nothing_more_on_kept_connections() -> None:
    """When a path goes silent, it does so for all connections that are open."""

    async def play() -> tuple[bool, bool]:
        server = await asyncio.start_server(_stream, "127.0.0.1", 0)
        address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
        pool = RunnerPool()
        taken = [await pool.acquire(address, 0.8, 1.0) for _ in range(2)]
        kept = [connection for connection in taken if isinstance(connection, RunnerConnection)]
        for connection in kept:
            await _read(connection, 0.0)
            pool.release(connection, keep=True)
        used_again = await pool.acquire(address, 0.8, 1.0) in kept
        pool.close_idle_connections(address)
        after = await pool.acquire(address, 0.8, 1.0)
        assert isinstance(after, RunnerConnection)
        closed = after not in kept and not kept[0].is_usable
        after.close()
        pool.close()
        server.close()
        return used_again, closed

    assert asyncio.run(play()) == (True, True)
