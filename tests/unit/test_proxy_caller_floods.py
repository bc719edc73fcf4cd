"""Callers that send without end or without reason: what a gateway keeps for them is bounded."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import struct
import tracemalloc
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager

import pytest

from leverjunction.proxy.caller_connection import (
    MAX_BODY_CHUNKS,
    CallerConnection,
    CallerPort,
    Responder,
)
from leverjunction.proxy.caller_request import CallerRequest
from leverjunction.proxy.request_buffer import KeptRequest, RequestBuffer
from leverjunction.routes.types import RequestLimits

KB = 1024
MB = 1024 * KB
FLOOD_BYTES = 24 * MB
WAIT_S = 5.0
ROOM_BYTES = 8 * MB
READ_BYTES = 256 * KB
"""Bytes that the event loop reads at once."""

CHUNKED_HEAD = b"POST /x HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"


class Server:
    """A callers' port whose handler answers with the length of the body, once it may."""

    def __init__(self) -> None:
        self.may_answer = asyncio.Event()
        self.bodies: list[bytes] = []
        self.cancelled = 0
        self.writers: list[asyncio.StreamWriter] = []
        self.port = self.new_port()
        self.address = ("", 0)

    def new_port(self) -> CallerPort:
        return CallerPort(self.handle, RequestLimits, bodies=RequestBuffer(ROOM_BYTES))

    async def handle(self, request: CallerRequest, responder: Responder) -> None:
        self.bodies.append(request.body)
        try:
            await self.may_answer.wait()
        except asyncio.CancelledError:
            self.cancelled += 1
            raise
        responder.respond(200, [], b"%d" % len(request.body))

    def unfinished_bytes(self) -> int:
        """Return what the connections keep of bodies that have not arrived whole."""
        return sum(len(item._body) for item in self.port.connections)

    def unparsed_bytes(self) -> int:
        """Return what the connections keep beyond their requests in progress."""
        return sum(len(item._h11.trailing_data[0]) for item in self.port.connections)

    async def connect(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        return await asyncio.open_connection(*self.address)


@asynccontextmanager
async def serve(server: Server) -> AsyncIterator[Server]:
    loop = asyncio.get_running_loop()
    listener = await loop.create_server(lambda: CallerConnection(server.port), "127.0.0.1", 0)
    server.address = listener.sockets[0].getsockname()[:2]
    try:
        yield server
    finally:
        listener.close()
        for connection in list(server.port.connections):
            connection.abort()
        await asyncio.sleep(0.05)


def request(body: bytes = b"ask") -> bytes:
    return b"POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body)


async def until(condition: Callable[[], object], timeout_s: float = WAIT_S) -> bool:
    loop = asyncio.get_running_loop()
    until_s = loop.time() + timeout_s
    while not condition():
        if loop.time() > until_s:
            return False
        await asyncio.sleep(0.01)
    return True


def test_a_caller_that_pipelines_without_end_is_not_read_on() -> None:
    async def run() -> int:
        async with serve(Server()) as server:
            _, writer = await server.connect()
            writer.write(request())
            assert await until(lambda: server.bodies)
            for _ in range(FLOOD_BYTES // MB):
                writer.write(request(b"x" * MB))
                try:
                    await asyncio.wait_for(writer.drain(), 0.1)
                except TimeoutError:
                    break
            await asyncio.sleep(0.3)
            kept_bytes = server.unparsed_bytes()
            assert server.cancelled == 0
            assert server.port.read_pauses == 1
            writer.transport.abort()
            return kept_bytes

    assert asyncio.run(run()) < MB


@pytest.mark.parametrize("size", [1 * KB, 16 * KB, 3 * MB])
def test_requests_pipelined_beyond_the_bound_are_all_answered(size: int) -> None:
    async def run() -> None:
        async with serve(Server()) as server:
            reader, writer = await server.connect()
            count = max(5, 2 * MB // size)
            writer.write(request())
            assert await until(lambda: server.bodies)
            writer.write(request(b"x" * size) * count)
            await asyncio.sleep(0.2)
            server.may_answer.set()
            answers = []
            for _ in range(count + 1):
                head = await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), WAIT_S)
                length = int(head.lower().partition(b"content-length: ")[2].split()[0])
                answers.append(await reader.readexactly(length))
            assert answers == [b"3", *[b"%d" % size] * count]
            writer.close()

    asyncio.run(run())


@pytest.mark.parametrize("is_reset", [False, True])
def test_a_caller_that_leaves_while_it_is_not_read_is_noticed(is_reset: bool) -> None:
    async def run() -> None:
        async with serve(Server()) as server:
            _, writer = await server.connect()
            writer.write(request())
            assert await until(lambda: server.bodies)
            writer.write(request(b"x" * 200 * KB))
            await asyncio.wait_for(writer.drain(), WAIT_S)
            await asyncio.sleep(0.2)
            writer.write(b"y" * 20 * KB)
            await asyncio.sleep(0.1)
            if is_reset:
                linger = struct.pack("ii", 1, 0)
                writer.get_extra_info("socket").setsockopt(
                    socket.SOL_SOCKET, socket.SO_LINGER, linger
                )
            writer.close()
            assert await until(lambda: server.cancelled == 1, 1.0)
            assert await until(lambda: not server.port.connections, 1.0)

    asyncio.run(run())


def test_a_body_in_tiny_chunks_takes_little_more_memory_than_its_bytes() -> None:
    count = MAX_BODY_CHUNKS - 1

    async def run() -> int:
        async with serve(Server()) as server:
            _, writer = await server.connect()
            writer.write(CHUNKED_HEAD)
            tracemalloc.start()
            before_bytes = tracemalloc.get_traced_memory()[0]
            writer.write(b"2\r\nxy\r\n" * count)
            await asyncio.wait_for(writer.drain(), WAIT_S)
            (connection,) = server.port.connections
            assert await until(lambda: len(connection._body) == 2 * count, 2 * WAIT_S)
            kept_bytes = tracemalloc.get_traced_memory()[0] - before_bytes
            writer.write(b"0\r\n\r\n")
            assert await until(lambda: server.bodies)
            assert server.bodies == [b"xy" * count]
            writer.transport.abort()
            return kept_bytes

    try:
        assert asyncio.run(run()) < 2 * count + READ_BYTES
    finally:
        tracemalloc.stop()


def test_a_body_of_tiny_chunks_without_end_is_refused_before_it_takes_the_loop() -> None:
    async def run() -> None:
        async with serve(Server()) as server:
            reader, writer = await server.connect()
            writer.write(CHUNKED_HEAD)
            writer.write(b"1\r\nx\r\n" * (MAX_BODY_CHUNKS + 1))
            status = await asyncio.wait_for(reader.readline(), WAIT_S)
            assert status.startswith(b"HTTP/1.1 413 ")
            assert server.bodies == []
            writer.transport.abort()

    asyncio.run(run())


async def begin_body(server: Server, sent_bytes: int) -> asyncio.StreamReader:
    """Send a part of a body of 4 MB."""
    reader, writer = await server.connect()
    writer.write(b"POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 4194304\r\n\r\n")
    writer.write(b"x" * sent_bytes)
    with contextlib.suppress(ConnectionError):
        await asyncio.wait_for(writer.drain(), WAIT_S)
    server.writers.append(writer)
    return reader


def test_bodies_that_never_end_are_refused_beyond_the_room_and_small_requests_run() -> None:
    async def run() -> None:
        async with serve(Server()) as server:
            readers = [await begin_body(server, 3 * MB) for _ in range(12)]
            await asyncio.sleep(0.3)
            assert server.unfinished_bytes() <= ROOM_BYTES
            assert server.port.refused_for_room == 10
            refused = [reader for reader in readers if reader.at_eof() or reader._buffer]
            assert len(refused) == 10
            for reader in refused:
                answer = await asyncio.wait_for(reader.read(), WAIT_S)
                assert answer.startswith(b"HTTP/1.1 503 ")
                assert answer.endswith(b"\r\n\r\n")
            assert server.bodies == []
            server.may_answer.set()
            reader, writer = await server.connect()
            writer.write(request(b"x" * 200 * KB))
            assert (await asyncio.wait_for(reader.readline(), WAIT_S)).startswith(b"HTTP/1.1 200")
            for opened in [*server.writers, writer]:
                opened.transport.abort()
            assert await until(lambda: not server.port.connections)
            assert server.port.bodies is not None
            assert server.port.bodies.total_bytes == 0

    asyncio.run(run())


def test_requests_in_progress_count_until_they_are_answered_and_are_never_refused() -> None:
    async def run() -> None:
        async with serve(Server()) as server:
            callers = [await server.connect() for _ in range(2)]
            for _, writer in callers:
                writer.write(request(b"x" * (ROOM_BYTES // 2)))
            assert await until(lambda: len(server.bodies) == 2)
            reader, writer = await server.connect()
            writer.write(request(b"x" * KB))
            assert (await asyncio.wait_for(reader.readline(), WAIT_S)).startswith(b"HTTP/1.1 503")
            writer.transport.abort()
            server.may_answer.set()
            for reader, _ in callers:
                status = await asyncio.wait_for(reader.readline(), WAIT_S)
                assert status.startswith(b"HTTP/1.1 200 ")
            assert server.port.bodies is not None
            assert await until(lambda: server.port.bodies.total_bytes == 0)
            for _, writer in callers:
                writer.write(request(b"x" * KB))
            assert await until(lambda: len(server.bodies) == 4)
            for _, writer in callers:
                writer.transport.abort()

    asyncio.run(run())


def test_the_largest_unfinished_request_is_refused_first_and_a_single_one_never() -> None:
    buffer = RequestBuffer(100)
    whole, large, small = KeptRequest(), KeptRequest(), KeptRequest()
    buffer.update(large, 150)
    assert buffer.next_refusal() is None
    buffer.update(large, 30)
    buffer.update(whole, 60)
    whole.is_whole = True
    buffer.update(small, 10)
    assert buffer.next_refusal() is None
    buffer.update(small, 11)
    assert buffer.next_refusal() is large
    buffer.update(large, 0)
    assert buffer.next_refusal() is None
    buffer.update(whole, 90)
    assert buffer.next_refusal() is small
    buffer.update(small, 0)
    assert (buffer.next_refusal(), buffer.total_bytes) == (None, 90)
