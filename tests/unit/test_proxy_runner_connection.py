"""Tests connections to back ends: paused reads, closing, TCP keep-alive and the pool."""

from __future__ import annotations

import asyncio
import socket
import time

import pytest

from leverjunction.errors import Failure
from leverjunction.proxy.keepalive import PROBE_COUNT, PROBE_IDLE_S, PROBE_INTERVAL_S
from leverjunction.proxy.runner_connection import (
    ResponseEnd,
    ResponseHead,
    RunnerConnection,
)
from leverjunction.proxy.runner_pool import RunnerPool

READ_INTERVAL_S = 0.2
EVENTS = 40
EVENT_INTERVAL_S = 0.01
HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"


class CountingConnection(RunnerConnection):
    """Counts the reads from the socket."""

    def __init__(self, address: str) -> None:
        super().__init__(address)
        self.count = 0

    def data_received(self, data: bytes) -> None:
        self.count += 1
        super().data_received(data)


async def _serve_stream(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    while await reader.readuntil(b"\r\n\r\n"):
        writer.write(HEAD)
        for number in range(EVENTS):
            writer.write(b"4\r\n%04d\r\n" % number)
            await writer.drain()
            await asyncio.sleep(EVENT_INTERVAL_S)
        writer.write(b"0\r\n\r\n")


async def _read(connection: RunnerConnection, read_interval_s: float) -> bytes:
    connection.send(b"GET", b"/", [(b"Host", b"h")], b"")
    body = b""
    while True:
        event = await connection.next_event()
        if isinstance(event, ResponseHead):
            connection.set_read_interval(read_interval_s)
        elif isinstance(event, bytes):
            body += event
        else:
            assert isinstance(event, ResponseEnd)
            return body


async def _read_responses(*read_intervals_s: float) -> tuple[list[bytes], list[int], list[bool]]:
    """Read responses one after the other on one connection; return bodies, reads and reuse."""
    server = await asyncio.start_server(_serve_stream, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    loop = asyncio.get_running_loop()
    _, connection = await loop.create_connection(lambda: CountingConnection("s"), "127.0.0.1", port)
    bodies, reads, kept = [], [], []
    for read_interval_s in read_intervals_s:
        before = connection.count
        bodies.append(await _read(connection, read_interval_s))
        reads.append(connection.count - before)
        kept.append(connection.finish_request())
    connection.close()
    server.close()
    return bodies, reads, kept


@pytest.mark.parametrize(
    "read_intervals_s", [(READ_INTERVAL_S, 0.0), (READ_INTERVAL_S, READ_INTERVAL_S)]
)
def test_a_response_with_a_read_interval_is_complete_after_few_reads(
    read_intervals_s: tuple[float, ...],
) -> None:
    """Guards against one wake-up per event of each batch item, which kept the stores busy."""
    bodies, reads, kept = asyncio.run(_read_responses(*read_intervals_s))
    whole = b"".join(b"%04d" % number for number in range(EVENTS))
    assert bodies == [whole, whole]
    assert kept == [True, True]
    assert reads[0] <= EVENTS * EVENT_INTERVAL_S / READ_INTERVAL_S + 8 < EVENTS
    if not read_intervals_s[1]:
        assert reads[1] > reads[0]


def test_a_connection_that_is_closed_during_a_read_pause_stays_closed() -> None:
    async def close_while_paused() -> bool:
        server = await asyncio.start_server(_serve_stream, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        loop = asyncio.get_running_loop()
        _, connection = await loop.create_connection(
            lambda: CountingConnection("s"), "127.0.0.1", port
        )
        connection.send(b"GET", b"/", [(b"Host", b"h")], b"")
        await connection.next_event()
        connection.set_read_interval(READ_INTERVAL_S)
        await connection.next_event()
        connection.close()
        count = connection.count
        await asyncio.sleep(READ_INTERVAL_S * 2)
        server.close()
        return connection.count == count

    started_s = time.monotonic()
    assert asyncio.run(close_while_paused())
    assert time.monotonic() - started_s < 5


async def _serve_silence(reader: asyncio.StreamReader, _writer: asyncio.StreamWriter) -> None:
    await reader.read()


def test_a_reader_is_told_when_this_process_closes_the_connection() -> None:
    """A reader once waited without end, or until its own timeout, after ``close``.

    Only a close by the other side was reported to the reader, so ``next_event`` did not return,
    whether it was called before or after ``close``, and the request kept its slot.
    """

    async def run_case(waits: bool) -> object:
        server = await asyncio.start_server(_serve_silence, "127.0.0.1", 0)
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
        assert isinstance(asyncio.run(run_case(waits)), Failure)


def test_tcp_keepalive_is_enabled_on_connections() -> None:
    """Keep-alive probes are the only way to detect a network path that stays silent."""

    async def run_case() -> list[int]:
        server = await asyncio.start_server(_serve_silence, "127.0.0.1", 0)
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

    assert asyncio.run(run_case()) == [1, PROBE_IDLE_S, PROBE_INTERVAL_S, PROBE_COUNT]


def test_idle_connections_to_a_back_end_that_was_silent_are_not_reused() -> None:
    """When a network path goes silent, all open connections on it do."""

    async def run_case() -> tuple[bool, bool]:
        server = await asyncio.start_server(_serve_stream, "127.0.0.1", 0)
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

    assert asyncio.run(run_case()) == (True, True)
