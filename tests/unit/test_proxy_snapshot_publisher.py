"""A receiver that fails to apply a registry snapshot doesn't affect the others, and is retried."""

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


class Receivers:
    """Receivers, one of which fails a number of times."""

    def __init__(self, failing: str, failures: int) -> None:
        self.failing = failing
        self.failures = failures
        self.taken: dict[str, list[int]] = {name: [] for name in NAMES}

    def receivers(self) -> dict[str, Callable[[Snapshot], None]]:
        return {name: self._receiver(name) for name in NAMES}

    def _receiver(self, name: str) -> Callable[[Snapshot], None]:
        def take(state: Snapshot) -> None:
            if name == self.failing and self.failures:
                self.failures -= 1
                raise KeyError("i-1")
            self.taken[name].append(state.table.version)

        return take


@pytest.fixture(autouse=True)
def _short_retry_delay(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(snapshot_publisher, "RETRY_S", 0.02)


@pytest.mark.parametrize("failing", NAMES)
def test_a_snapshot_reaches_the_other_receivers_at_once_and_the_failing_one_later(
    failing: str,
) -> None:
    """An error in a back end's record kept the gateway from applying a route table."""
    receivers = Receivers(failing, failures=3)

    async def run() -> tuple[int, int]:
        publisher = SnapshotPublisher(receivers.receivers())
        publisher.publish(snapshot(5))
        at_once = publisher.failing()
        await asyncio.sleep(0.3)
        return at_once, publisher.failing()

    assert asyncio.run(run()) == (1, 0)
    assert receivers.taken == {name: [5] for name in NAMES}


def test_a_retry_uses_the_newest_snapshot() -> None:
    receivers = Receivers("route table", failures=2)

    async def run() -> None:
        publisher = SnapshotPublisher(receivers.receivers())
        publisher.publish(snapshot(5))
        publisher.publish(snapshot(6))
        await asyncio.sleep(0.2)

    asyncio.run(run())
    assert receivers.taken["route table"] == [6]
    assert receivers.taken["back ends"] == [5, 6]
