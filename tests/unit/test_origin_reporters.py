"""Tests of reporters and questions about origins while control processes come and go."""

from __future__ import annotations

import asyncio

import pytest
from tests.unit.test_registry_origins import NEW, SERVICE, member

from leverjunction.errors import Execution, Failure, FailureKind, Step
from leverjunction.proxy.stream_origins import FIND_TIMEOUT_S
from leverjunction.registry.origin_client import OriginClient
from leverjunction.registry.origin_finder import OriginFinder
from leverjunction.registry.origin_reporter import rank_holders
from leverjunction.registry.origins import (
    FindOrigins,
    FoundOrigins,
    OriginsStored,
    ReportOrigins,
)
from leverjunction.wire.envelope import MessageKind


class Fleet:
    """Control processes as an RPC client sees them; those in ``silent`` do not answer."""

    def __init__(self) -> None:
        self.silent: set[str] = set()

    def call(
        self, peer: str, kind: MessageKind, message: object, result_type: type, **_: object
    ) -> OriginsStored | FoundOrigins | Failure:
        if peer in self.silent:
            return Failure(
                kind=FailureKind.TIMEOUT,
                reason="silent",
                step=Step.RESPONDING,
                peer=peer,
                execution=Execution.NOT_RUN,
            )
        if isinstance(message, ReportOrigins):
            return OriginsStored(incarnation=1)
        assert isinstance(message, FindOrigins)
        return FoundOrigins(origins={item: NEW for item in message.services[SERVICE]})


@pytest.mark.parametrize("count", [3, 6, 15])
def test_origins_are_recorded_after_control_processes_were_silent_one_after_the_other(
    count: int,
) -> None:
    """All of them answer again."""

    async def run() -> None:
        controls = [member(number, "abc"[number % 3]) for number in range(count)]
        fleet = Fleet()
        client = OriginClient(
            fleet,  # type: ignore[arg-type]
            lambda number: rank_holders("front-1", controls, number),
            lambda: [item.address for item in controls],
            dict,
        )
        client.start()
        assert await client.record(0, NEW)
        preferred = [rank_holders("front-1", controls, number)[0] for number in range(3)]
        for stream, address in enumerate(preferred[:2], 1):
            fleet.silent = {address}
            await client.record(stream, NEW)
            await asyncio.sleep(0.5)
        fleet.silent = set()
        await asyncio.sleep(2.5)
        # The first report finds out who answers, the second one that recording works.
        for stream in (7, 8):
            client.report({stream: NEW})
            await asyncio.sleep(0.5)
        assert await client.record(9, NEW)
        client.stop()

    asyncio.run(run())


def test_a_reporter_uses_its_own_control_process_again_once_it_answers() -> None:
    """Otherwise all gateways leave each process that restarts, for good."""

    async def run() -> None:
        controls = [member(number, "abc"[number % 3]) for number in range(6)]
        fleet = Fleet()
        client = OriginClient(
            fleet,  # type: ignore[arg-type]
            lambda number: rank_holders("front-1", controls, number),
            lambda: [item.address for item in controls],
            dict,
        )
        client.start()
        own = rank_holders("front-1", controls, 0)[0]
        fleet.silent = {own}
        await client.record(1, NEW)
        fleet.silent = set()
        for stream in range(2, 8):
            await asyncio.sleep(1.0)
            client.report({stream: NEW})
        await asyncio.sleep(0.5)
        assert client._reporters[0]._told == (own, 1)
        client.stop()

    asyncio.run(run())


@pytest.mark.parametrize("count", [3, 15, 30, 60])
def test_streams_that_come_one_after_the_other_are_found_whatever_the_number_of_control_processes(
    count: int,
) -> None:
    async def run() -> None:
        addresses = [f"10.0.0.{number}:1" for number in range(count)]
        finder = OriginFinder(Fleet(), lambda: addresses)  # type: ignore[arg-type]
        for stream in range(5):
            found = await finder.find(stream, SERVICE, FIND_TIMEOUT_S)
            assert found.origin == NEW, stream
        finder.stop()

    asyncio.run(run())
