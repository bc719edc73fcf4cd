"""What one part of a gateway cannot take over keeps no news from the others, and is not lost."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import pytest

from leverjunction.proxy import snapshot_publisher
from leverjunction.proxy.snapshot_publisher import SnapshotPublisher
from leverjunction.registry.follower import Snapshot
from leverjunction.registry.records import FleetView
from leverjunction.routes.types import RouteTable

NAMES = ("route table", "back ends", "suspects")


def snapshot(version: int) -> Snapshot:
    return Snapshot(RouteTable(version=version), FleetView(revision=version))


class Parts:
    """Receivers of which one fails a number of times."""

    def __init__(self, broken: str, failures: int) -> None:
        self.broken = broken
        self.failures = failures
        self.taken: dict[str, list[int]] = {name: [] for name in NAMES}

    def receivers(self) -> dict[str, Callable[[Snapshot], None]]:
        return {name: self._receiver(name) for name in NAMES}

    def _receiver(self, name: str) -> Callable[[Snapshot], None]:
        def take(state: Snapshot) -> None:
            if name == self.broken and self.failures:
                self.failures -= 1
                raise KeyError("i-1")
            self.taken[name].append(state.table.version)

        return take


@pytest.fixture(autouse=True)
def _soon(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(snapshot_publisher, "RETRY_S", 0.02)


@pytest.mark.parametrize("broken", NAMES)
def test_news_reach_all_others_and_the_broken_one_later(broken: str) -> None:
    """A table was not put in force, since an error on a back end's record came before it."""
    parts = Parts(broken, failures=3)

    async def run() -> tuple[int, int]:
        publisher = SnapshotPublisher(parts.receivers())
        publisher.publish(snapshot(5))
        at_once = publisher.failing()
        await asyncio.sleep(0.3)
        return at_once, publisher.failing()

    assert asyncio.run(run()) == (1, 0)
    assert parts.taken == {name: [5] for name in NAMES}


def test_the_newest_state_is_what_is_tried_again() -> None:
    parts = Parts("route table", failures=2)

    async def run() -> None:
        publisher = SnapshotPublisher(parts.receivers())
        publisher.publish(snapshot(5))
        publisher.publish(snapshot(6))
        await asyncio.sleep(0.2)

    asyncio.run(run())
    assert parts.taken["route table"] == [6]
    assert parts.taken["back ends"] == [5, 6]
