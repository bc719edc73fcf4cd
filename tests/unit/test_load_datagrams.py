"""Datagrams between a gateway and the leader of batch work, over real sockets."""

from __future__ import annotations

import asyncio
import os
from collections.abc import Callable, Iterator

import pytest
from loguru import logger

from leverjunction.lots.load_listener import LoadListener
from leverjunction.proxy.load_row import BackEndOrder
from leverjunction.proxy.load_socket import LoadSocket
from leverjunction.proxy.online_loads import MIN_REPORT_INTERVAL_S
from leverjunction.proxy.tracked_runner import TrackedRunner
from leverjunction.registry.records import RunnerRecord

HOST = f"127.{20 + os.getpid() % 200}.251.1"
STORE = f"{HOST}:19081"
GATEWAY = f"{HOST}:19082"
KEY = b"key"


def runner(own: int) -> TrackedRunner:
    record = RunnerRecord(runner_id="i1", service="s", address="a:1", zone="z", slots=8)
    made = TrackedRunner(record)
    made.own_requests = own
    return made


async def until(holds: Callable[[], bool], timeout_s: float = 3.0) -> None:
    async with asyncio.timeout(timeout_s):
        while not holds():
            await asyncio.sleep(0.005)


@pytest.fixture
def lines() -> Iterator[list[str]]:
    """What is logged."""
    logged: list[str] = []
    handler = logger.add(logged.append, level="WARNING")
    yield logged
    logger.remove(handler)


class Pair:
    """A gateway's port and a store's."""

    def __init__(self, gateway_key: bytes = KEY) -> None:
        self.has_work = True
        self.words = 0
        self.totals = {"i1": 5}
        self.others: dict[str, int] = {}
        self.lag_s = -1.0
        self.order = BackEndOrder(["i1", "i2"])
        self.listener = LoadListener(
            KEY, lambda: self.has_work, self._heard, lambda: self.totals, lambda: self.order
        )
        self.known = self.order
        self.port = LoadSocket(
            "g", gateway_key, 7, lambda: (STORE,), lambda: self.known, self._others_told
        )

    def _heard(self) -> None:
        self.words += 1

    def _others_told(self, others: dict[str, int], lag_s: float) -> None:
        self.others = others
        self.lag_s = lag_s

    async def __aenter__(self) -> Pair:
        await self.listener.start(STORE)
        await self.port.start(GATEWAY)
        return self

    async def __aexit__(self, *_error: object) -> None:
        self.port.stop()
        self.listener.close()
        await asyncio.sleep(0)


def test_a_change_reaches_the_leader_at_once() -> None:
    async def play() -> None:
        async with Pair() as pair:
            await until(lambda: pair.listener.loads.tellers == 1)
            await asyncio.sleep(0.05)
            started_s = asyncio.get_running_loop().time()
            pair.port.runner_changed(runner(2))
            pair.port.held_changed("s", 3)
            await until(lambda: pair.listener.loads.at_runner("i1") == 2)
            assert asyncio.get_running_loop().time() - started_s < 0.2
            await until(lambda: pair.listener.loads.held("s") == 3)
            pair.port.runner_changed(runner(0))
            await until(lambda: pair.listener.loads.at_runner("i1") == 0)

    asyncio.run(play())


def test_a_gateway_hears_what_the_others_have() -> None:
    async def play() -> None:
        async with Pair() as pair:
            await until(lambda: pair.others == {"i1": 5})
            assert pair.lag_s == pytest.approx(MIN_REPORT_INTERVAL_S / 2, abs=MIN_REPORT_INTERVAL_S)
            pair.port.runner_changed(runner(2))
            await until(lambda: pair.others == {"i1": 3}, 0.5)
            pair.totals = {"i1": 9}
            await until(lambda: pair.others == {"i1": 7}, 0.5)

    asyncio.run(play())


def test_loads_of_other_back_ends_are_not_taken() -> None:
    """A row names no back end: read in another order, it would tell of others."""

    async def play() -> None:
        async with Pair() as pair:
            pair.known = BackEndOrder(["i1", "i2", "i3"])
            await until(lambda: pair.listener.loads.tellers == 1)
            await asyncio.sleep(0.2)
            assert pair.others == {}
            pair.order = pair.known
            await until(lambda: pair.others == {"i1": 5})

    asyncio.run(play())


def test_a_store_without_batch_work_is_not_told_of_changes() -> None:
    async def play() -> None:
        async with Pair() as pair:
            pair.has_work = False
            pair.port.runner_changed(runner(1))
            await asyncio.sleep(0.2)
            assert pair.words == 0
            pair.has_work = True
            await until(lambda: pair.listener.loads.at_runner("i1") == 1)

    asyncio.run(play())


def test_a_stranger_is_not_heard() -> None:
    async def play() -> None:
        async with Pair(gateway_key=b"another") as pair:
            await asyncio.sleep(0.3)
            assert (pair.words, pair.listener.loads.tellers) == (0, 0)

    asyncio.run(play())


def test_a_taken_port_leaves_batch_to_the_reports(lines: list[str]) -> None:
    async def play() -> None:
        async with Pair() as pair:
            second = LoadListener(KEY, lambda: True, lambda: None, dict, lambda: pair.order)
            await second.start(STORE)
            assert second.loads.tellers == 0
            second.close()
            await until(lambda: pair.listener.loads.tellers == 1)

    asyncio.run(play())
    assert any("no datagrams of gateways are heard" in line for line in lines)
