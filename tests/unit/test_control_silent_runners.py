"""Tests of a hub that watches runners many of which stand still."""

from __future__ import annotations

import time
from collections.abc import Callable, Iterable
from typing import Any, cast

from silent_peer import SilentPeer

from leverjunction.backends.client import EngineClient
from leverjunction.backends.types import LoadReport
from leverjunction.control.messages import RunnerReading
from leverjunction.control.runner_watch import READ_TIMEOUT_S, READER_THREADS, RunnerWatch
from leverjunction.errors import Failure
from leverjunction.wire.messages import RunnerState

SILENT_RUNNERS = 2 * READER_THREADS + 8
WELL = "well"
REPORT = LoadReport(
    as_of_ms=0,
    incarnation=1,
    running=0,
    waiting=0,
    batch_running=0,
    batch_waiting=0,
    kv_blocks_used=0,
    kv_blocks_total=1,
    step_ms=0.0,
)


class Engines(EngineClient):
    """Engines of which one answers."""

    def load(self, address: str, timeout_s: float = READ_TIMEOUT_S) -> LoadReport | Failure:
        return REPORT if address == WELL else super().load(address, timeout_s)


class Hub:
    """Test double of a hub that watches all runners.

    Attributes:
        read_s: Time of the last reading of the runner that answers.
        reachable: Whether each runner is reachable, by id, as last read.
    """

    def __init__(self, silent: str) -> None:
        addresses = {f"s{number}": silent for number in range(SILENT_RUNNERS)} | {"w": WELL}
        self._runners = [
            RunnerState(runner_id=name, address=address, zone="z", service="s", models=["m"])
            for name, address in addresses.items()
        ]
        self.read_s = 0.0
        self.reachable: dict[str, bool] = {}

    def standstills(self) -> int:
        return 0

    def live_hubs(self) -> list[object]:
        return []

    def runners(self) -> list[RunnerState]:
        return self._runners

    def update_readings(
        self, readings: Iterable[RunnerReading], _unwatched: Iterable[str], _standstills: int
    ) -> bool:
        for reading in readings:
            self.reachable[reading.runner_id] = reading.reachable
            if reading.runner_id == "w":
                self.read_s = time.monotonic()
        return True


def test_a_runner_is_read_soon_while_many_others_are_silent(paused_s: Callable[[], float]) -> None:
    """Guards against news of runners that wait until all silent ones have timed out.

    The failure: a round ended when the last runner had answered or timed out, and more runners than
    there are threads stood still. Others were read once in over three seconds, and gateways heard
    too late of a runner that was about to leave.
    """
    with SilentPeer() as silent:
        hub = Hub(silent.address)
        watch = RunnerWatch(cast(Any, hub), Engines(), "hub", {"hub": "z"})
        watch.tick()
        for _ in range(3):
            watch.tick()
        assert hub.reachable["w"]
        assert not any(reachable for name, reachable in hub.reachable.items() if name != "w")
        started_s, paused_before_s = time.monotonic(), paused_s()
        watch.tick()
        ended_s, stood_still_s = time.monotonic(), paused_s() - paused_before_s
        watch.close()
    assert hub.read_s - started_s < READ_TIMEOUT_S / 2 + stood_still_s
    assert ended_s - started_s < READ_TIMEOUT_S * 1.5 + stood_still_s
