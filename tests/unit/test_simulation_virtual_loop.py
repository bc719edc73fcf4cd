"""The event loop in virtual time: what protocols see of connections, freezes, cuts and ends."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable, Coroutine
from typing import Any

import pytest

from testbed.simulation.fiber import Fibers
from testbed.simulation.machine import Machine
from testbed.simulation.network import Network, NetworkProfile
from testbed.simulation.scheduler import Scheduler
from testbed.simulation.virtual_loop import StreamBoard, VirtualLoop

PORT = 80
Main = Callable[[VirtualLoop], Coroutine[Any, Any, None]]


class Place:
    """Two machines on one network, the second with a server that answers each message."""

    def __init__(self) -> None:
        self.scheduler = Scheduler()
        profile = NetworkProfile(loss=0.0, duplication=0.0, straggler=0.0)
        self.network = Network(self.scheduler, random.Random(1), profile)
        self.fibers = Fibers()
        self.streams = StreamBoard(self.scheduler, self.network)
        self.client = self.network.add(Machine("client", "a", self.scheduler))
        self.server = self.network.add(Machine("server", "a", self.scheduler))
        self.accepted: list[Echo] = []
        self.run_on(self.server, self._serve)

    def run_on(self, machine: Machine, main: Main) -> None:
        loop = VirtualLoop(machine, self.fibers, self.streams)
        loop.begin(lambda: main(loop))

    def until(self, moment_s: float) -> None:
        self.scheduler.run_until(moment_s)

    async def _serve(self, loop: VirtualLoop) -> None:
        def accept() -> Echo:
            self.accepted.append(Echo())
            return self.accepted[-1]

        await loop.create_server(accept, "server", PORT)


class Echo(asyncio.Protocol):
    """Sends back what comes."""

    def __init__(self) -> None:
        self.lost = False
        self._transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport

    def data_received(self, data: bytes) -> None:
        assert self._transport is not None
        self._transport.write(data)

    def connection_lost(self, exc: Exception | None) -> None:
        self.lost = True


class Client(asyncio.Protocol):
    """Connects, sends a message now and then, and notes what comes, and when."""

    def __init__(self, place: Place) -> None:
        self.place = place
        self.came: list[tuple[bytes, float]] = []
        self.ended_s: float | None = None
        self.error: Exception | None = None
        self.transport: Any = None
        self.loop: Any = None

    async def main(self, loop: VirtualLoop) -> None:
        self.loop = loop
        try:
            self.transport, _ = await loop.create_connection(lambda: self, "server", PORT)
        except ConnectionRefusedError as error:
            self.error, self.ended_s = error, loop.time()

    def data_received(self, data: bytes) -> None:
        self.came.append((data, self.place.scheduler.now_s))

    def connection_lost(self, exc: Exception | None) -> None:
        self.error, self.ended_s = exc, self.place.scheduler.now_s


@pytest.fixture
def place() -> Place:
    made = Place()
    made.until(1.0)
    return made


@pytest.fixture
def client(place: Place) -> Client:
    """A client that is connected from 2.0 s on."""
    made = Client(place)
    place.run_on(place.client, made.main)
    place.until(2.0)
    return made


def test_what_is_sent_comes_back_in_order(place: Place, client: Client) -> None:
    for message in (b"one", b"two", b"three"):
        client.transport.write(message)
    place.until(3.0)
    assert b"".join(data for data, _ in client.came) == b"onetwothree"


def test_a_timer_runs_at_its_moment(place: Place) -> None:
    woken: list[float] = []

    async def sleep(loop: VirtualLoop) -> None:
        await asyncio.sleep(2.5)
        woken.append(loop.time())

    place.run_on(place.client, sleep)
    place.until(10.0)
    assert woken == [pytest.approx(3.5)]


def test_a_machine_whose_process_ended_refuses(place: Place) -> None:
    place.server.kill()
    client = Client(place)
    place.run_on(place.client, client.main)
    place.until(2.0)
    assert isinstance(client.error, ConnectionRefusedError)


def test_the_end_of_a_process_ends_its_connections(place: Place, client: Client) -> None:
    place.server.kill()
    place.until(3.0)
    assert client.ended_s == pytest.approx(2.0, abs=0.1)


def test_a_frozen_process_answers_when_it_wakes(place: Place, client: Client) -> None:
    place.server.freeze()
    client.transport.write(b"late")
    place.until(5.0)
    assert client.came == []
    place.server.wake()
    place.until(6.0)
    assert [data for data, _ in client.came] == [b"late"]


def test_a_cut_holds_back_what_is_sent_and_connections_that_are_opened(
    place: Place, client: Client
) -> None:
    place.network.isolate("client", ["server"])
    client.transport.write(b"held")
    second = Client(place)
    place.run_on(place.client, second.main)
    place.until(4.0)
    assert (client.came, second.transport) == ([], None)
    place.network.heal("client")
    place.until(6.0)
    assert [data for data, _ in client.came] == [b"held"]
    assert second.transport is not None


@pytest.mark.parametrize("probed", [True, False])
def test_only_a_probed_connection_that_went_silent_is_given_up(
    place: Place, client: Client, probed: bool
) -> None:
    if probed:
        client.loop.call_soon_threadsafe(client.transport.probe)
    for channel in place.streams.connections.of(place.client):
        channel.silent = True
    client.transport.write(b"lost")
    place.until(30.0)
    assert client.came == []
    assert isinstance(client.error, TimeoutError) == probed


def test_a_killed_process_hears_nothing_more(place: Place, client: Client) -> None:
    client.transport.write(b"last")
    place.client.kill()
    place.until(4.0)
    assert client.came == []
    assert place.accepted[0].lost
