"""A gateway that hears of the registry again: what it has not applied yet is not known to it."""

from __future__ import annotations

import asyncio
from pathlib import Path

import pytest

from leverjunction.config.machine import MachineConfig, MachineListen
from leverjunction.platform.gateway_calls import make_gateway_calls
from leverjunction.platform.headers import PlatformDialect
from leverjunction.proxy import process
from leverjunction.proxy.process import ProxyNode
from leverjunction.registry.commands import WatchReply
from leverjunction.registry.origins import OriginSource, Resumption, StreamOrigin
from leverjunction.registry.records import FleetView, RunnerRecord
from leverjunction.routes.types import RouteTable
from testbed.platform_words import READY_PATH
from testbed.routed import SERVICE

OLD, NEW = "v1", "v1.1"


class ClockStub:
    """Test double of ``SystemClock`` that a test sets."""

    def __init__(self) -> None:
        self.now_s = 1_000.0

    def monotonic_s(self) -> float:
        return self.now_s

    def wall_ms(self) -> int:
        return round(self.now_s * 1000)


def reply(revision: int, *versions: str) -> WatchReply:
    runners = tuple(
        RunnerRecord(
            runner_id=f"i-{version}",
            service=SERVICE,
            address="127.0.0.1:1",
            zone="z1",
            slots=4,
            version=version,
        )
        for version in versions
    )
    view = FleetView(revision=revision, runners=runners)
    return WatchReply(
        table=RouteTable(version=1), view=view, controls=("127.0.0.1:1",), contact_age_s=0.0
    )


class Gateway:
    """A gateway without a thread of its own that follows the registry: a test has it poll."""

    def __init__(self, folder: Path, monkeypatch: pytest.MonkeyPatch) -> None:
        self.clock = ClockStub()
        monkeypatch.setattr(process, "SystemClock", lambda: self.clock)
        config = MachineConfig(
            name="front-1",
            zone="z1",
            listen=MachineListen(rpc="127.0.0.1:1"),
            seeds=("127.0.0.1:1",),
            rpc_seed_port=1,
            data_folder=str(folder),
            first_start=False,
        )
        self._node = ProxyNode(config, PlatformDialect(), READY_PATH, make_gateway_calls)
        self._node._origins.directory = None

    def poll(self, answer: WatchReply) -> None:
        """Get a reply, as the thread that follows the registry does."""
        self._node._follower._poll = lambda _hub: answer  # type: ignore[method-assign]
        self._node._follower._poll_once()

    async def find(self) -> Resumption:
        """Look for what began a stream of another gateway."""
        return await self._node._origins.find(1, SERVICE)


def test_a_gateway_that_was_cut_off_goes_by_no_former_state_once_it_hears_again(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def play() -> list[Resumption]:
        gateway = Gateway(tmp_path, monkeypatch)
        gateway.poll(reply(1, OLD))
        await asyncio.sleep(0)
        found = [await gateway.find()]
        gateway.clock.now_s += 3.0
        found.append(await gateway.find())
        gateway.poll(reply(2, OLD, NEW))
        found.append(await gateway.find())
        await asyncio.sleep(0)
        found.append(await gateway.find())
        return found

    only = Resumption(StreamOrigin(SERVICE, OLD), OriginSource.ONLY_VERSION)
    unknown = Resumption(None, OriginSource.NOT_ASKED)
    assert asyncio.run(play()) == [only, unknown, unknown, unknown]


def test_a_gateway_whose_state_is_confirmed_unchanged_goes_by_it_again(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def play() -> Resumption:
        gateway = Gateway(tmp_path, monkeypatch)
        gateway.poll(reply(1, OLD))
        await asyncio.sleep(0)
        gateway.clock.now_s += 3.0
        gateway.poll(reply(1, OLD))
        await asyncio.sleep(0)
        return await gateway.find()

    only = Resumption(StreamOrigin(SERVICE, OLD), OriginSource.ONLY_VERSION)
    assert asyncio.run(play()) == only
