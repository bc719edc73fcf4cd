"""A store tells when its own loop hangs or has ended, and when it hears of no control process."""

from __future__ import annotations

import threading
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from pathlib import Path
from random import Random

import pytest
from loguru import logger
from prometheus_client import REGISTRY
from tests.unit.seeded_support import SeededFleet, wait_until
from tests.unit.test_lots_runner import OneStore

from leverjunction.clock import SystemClock
from leverjunction.consensus.api import GroupStatus
from leverjunction.lots import node_watch
from leverjunction.lots.node_watch import NodeWatch
from leverjunction.lots.runner import LotsRunner
from leverjunction.platform.headers import PlatformDialect


@contextmanager
def heard() -> Iterator[list[str]]:
    """Give the plain lines that are written meanwhile."""
    words: list[str] = []
    handler = logger.add(lambda message: words.append(str(message)), format="{message}")
    try:
        yield words
    finally:
        logger.remove(handler)


def hear(tell: Callable[[], None]) -> list[str]:
    with heard() as words:
        tell()
    return words


def test_a_loop_that_hangs_is_told_with_where_it_is() -> None:
    """Nothing watched this thread: it could hang while the replica went on leading."""
    store = OneStore()
    let_go = threading.Event()
    hangs = threading.Event()

    def status() -> GroupStatus:
        hangs.set()
        let_go.wait(10.0)
        return OneStore.status(store)

    store.status = status  # type: ignore[method-assign]
    runner = LotsRunner(store, "z", PlatformDialect(), SystemClock(), Random(1))
    runner.start()
    assert hangs.wait(5.0)
    watch = NodeWatch(SystemClock())
    wait_until(lambda: runner.step_age_s() > 0.3)
    (word,) = hear(lambda: watch.steps(runner.step_age_s() + 3.0, runner.describe_thread))
    assert word.startswith("the runner of lots has not taken a step for 3.")
    assert "thread lots-runner is in" in word
    assert "_step (runner.py:" in word
    assert hear(lambda: watch.steps(runner.step_age_s() + 3.5, runner.describe_thread)) == []
    let_go.set()
    wait_until(lambda: runner.step_age_s() < 0.3)
    (over,) = hear(lambda: watch.steps(runner.step_age_s(), runner.describe_thread))
    assert over.startswith("the runner of lots has not taken a step: over, after ")
    runner.stop()
    assert runner.describe_thread() == "thread lots-runner has ended"


def test_a_store_without_control_processes_tells_so(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(node_watch, "REGISTRY_SILENT_S", 0.5)
    fleet = SeededFleet(tmp_path)
    with heard() as words:
        try:
            fleet.start_store(1)
            wait_until(lambda: any("no control process has answered for" in word for word in words))
        finally:
            fleet.stop()
    assert (REGISTRY.get_sample_value("lots_registry_age_seconds") or 0) > 0.5
