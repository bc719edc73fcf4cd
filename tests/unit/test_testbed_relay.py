"""The stand-in network: a cut loses nothing and closes nothing, and touches no other link."""

from __future__ import annotations

import asyncio

from testbed.fleet.network import CutRequest, Front, Links, NetworkConfig, Source
from testbed.fleet.plan import PortPicker
from testbed.fleet.relay import FrontListener

TARGET_IP = "127.0.0.1"
FIRST_IP = "127.0.0.31"
SECOND_IP = "127.0.0.32"


def config_of(front: Front) -> NetworkConfig:
    return NetworkConfig(
        host=TARGET_IP,
        port=0,
        zone_delay_ms=1.0,
        client_delay_ms=0.0,
        fronts=[front],
        sources={
            FIRST_IP: Source(process="gateway-1", zone="a"),
            SECOND_IP: Source(process="gateway-2", zone="b"),
        },
    )


async def echo(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    while data := await reader.read(1024):
        writer.write(data)
    writer.close()


class Network:
    """A relayed echo server in zone c."""

    async def open(self) -> None:
        self.server = await asyncio.start_server(echo, TARGET_IP, 0)
        target = self.server.sockets[0].getsockname()
        self.listen = (TARGET_IP, PortPicker().pick(TARGET_IP))
        front = Front(
            process="control-1",
            zone="c",
            listen=f"{self.listen[0]}:{self.listen[1]}",
            target=f"{target[0]}:{target[1]}",
        )
        self.links = Links(config_of(front))
        listener = FrontListener(self.listen, target, lambda ip: self.links.find(front, ip))
        await listener.open()

    async def connect(self, ip: str) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        return await asyncio.open_connection(*self.listen, local_addr=(ip, 0))


async def ask(
    streams: tuple[asyncio.StreamReader, asyncio.StreamWriter], data: bytes, expected: int
) -> bytes:
    streams[1].write(data)
    return await streams[0].readexactly(expected)


def test_a_cut_holds_bytes_back_and_healing_delivers_them_in_order() -> None:
    async def scenario() -> None:
        network = Network()
        await network.open()
        first, second = await network.connect(FIRST_IP), await network.connect(SECOND_IP)
        assert await ask(first, b"before", 6) == b"before"
        network.links.apply(CutRequest(first="gateway-1", second="c"))
        first[1].write(b"one")
        waiting = asyncio.create_task(ask(first, b"two", 6))
        # The other link works all the time, many round trips of it.
        for number in range(20):
            assert await ask(second, b"%02d" % number, 2) == b"%02d" % number
        assert not waiting.done()
        network.links.apply(CutRequest(first="gateway-1", second="c", cut=False))
        assert await waiting == b"onetwo"

    asyncio.run(scenario())


def test_a_new_connection_over_a_cut_link_opens_once_it_is_healed() -> None:
    async def scenario() -> None:
        network = Network()
        await network.open()
        network.links.apply(CutRequest(first="a"))
        streams = await network.connect(FIRST_IP)
        waiting = asyncio.create_task(ask(streams, b"hello", 5))
        other = await network.connect(SECOND_IP)
        assert await ask(other, b"other", 5) == b"other"
        assert not waiting.done()
        network.links.apply(CutRequest(first="a", cut=False))
        assert await waiting == b"hello"

    asyncio.run(scenario())


def test_a_dead_target_refuses_callers_until_it_is_back() -> None:
    async def scenario() -> None:
        network = Network()
        await network.open()
        network.server.close()
        await network.server.wait_closed()
        reader, _ = await network.connect(FIRST_IP)
        assert await is_closed(reader)
        try:
            again, _ = await network.connect(FIRST_IP)
        except ConnectionRefusedError:
            return
        assert await is_closed(again)

    asyncio.run(scenario())


async def is_closed(reader: asyncio.StreamReader) -> bool:
    try:
        return await reader.read(1) == b""
    except ConnectionResetError:
        return True
