"""A loop that hangs is distinguished from one that steps and from a suspended process."""

from __future__ import annotations

import threading
from random import Random

import pytest
from tests.unit.seeded_support import wait_until
from tests.unit.test_lots_outbox import SingleReplicaGroup

from leverjunction.clock import SystemClock
from leverjunction.consensus.api import GroupStatus
from leverjunction.errors import Failure
from leverjunction.lots import runner as lots_runner
from leverjunction.lots.loop_watchdog import LoopWatchdog
from leverjunction.lots.runner import LotsRunner
from leverjunction.platform.headers import PlatformDialect


def test_silence_is_counted_from_the_last_step_seen() -> None:
    watchdog = LoopWatchdog()
    assert watchdog.check(100.0) == 0.0
    assert watchdog.check(100.5) == 0.5
    assert watchdog.check(101.0) == 1.0
    watchdog.record_step()
    assert watchdog.check(101.5) == 0.0


def test_a_process_that_was_suspended_does_not_take_its_loop_for_hanging() -> None:
    watchdog = LoopWatchdog()
    watchdog.check(100.0)
    assert watchdog.check(500.0) == 1.0


class StuckGroup(SingleReplicaGroup):
    """A group whose status blocks until the test releases it."""

    def __init__(self) -> None:
        super().__init__()
        self.blocked = threading.Event()
        self.release = threading.Event()
        self.blocks = False

    def status(self) -> GroupStatus:
        if self.blocks:
            self.blocked.set()
            self.release.wait()
        return super().status()


def test_a_loop_that_hangs_is_a_fault(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a store that remains leader and silently runs nothing."""
    monkeypatch.setattr(lots_runner, "HANG_TIMEOUT_S", 1.5)
    group = StuckGroup()
    runner = LotsRunner(group, "z", PlatformDialect(), SystemClock(), Random(1))
    runner.start()
    found: list[Failure] = []

    def check() -> bool:
        fault = runner.fault()
        found.extend([fault] if fault is not None else [])
        return bool(found)

    with pytest.raises(AssertionError):
        wait_until(check, 2.5)
    group.blocks = True
    assert group.blocked.wait(5.0)
    wait_until(check, 5.0)
    assert "completed no step" in found[0].reason
    group.release.set()
    runner.stop()
