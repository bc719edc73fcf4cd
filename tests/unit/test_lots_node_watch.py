"""A store logs when its runner loop hangs or has ended, and when no control process answers."""

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
def captured_logs() -> Iterator[list[str]]:
    """Collect the messages that are logged in the context."""
    messages: list[str] = []
    handler = logger.add(lambda record: messages.append(str(record)), format="{message}")
    try:
        yield messages
    finally:
        logger.remove(handler)


def logs_of(call: Callable[[], None]) -> list[str]:
    with captured_logs() as messages:
        call()
    return messages


def test_hanging_loop_is_logged_with_its_stack() -> None:
    """Guards against a runner thread that hangs unnoticed while the replica remains leader."""
    store = OneStore()
    released = threading.Event()
    hanging = threading.Event()

    def status() -> GroupStatus:
        hanging.set()
        released.wait(10.0)
        return OneStore.status(store)

    store.status = status  # type: ignore[method-assign]
    runner = LotsRunner(store, "z", PlatformDialect(), SystemClock(), Random(1))
    runner.start()
    assert hanging.wait(5.0)
    watch = NodeWatch(SystemClock())
    wait_until(lambda: runner.step_age_s() > 0.3)
    (message,) = logs_of(
        lambda: watch.check_step_age(runner.step_age_s() + 3.0, runner.describe_thread)
    )
    assert message.startswith("the runner of lots has not taken a step for 3.")
    assert "thread lots-runner is in" in message
    assert "_step (runner.py:" in message
    assert (
        logs_of(lambda: watch.check_step_age(runner.step_age_s() + 3.5, runner.describe_thread))
        == []
    )
    released.set()
    wait_until(lambda: runner.step_age_s() < 0.3)
    (recovery,) = logs_of(lambda: watch.check_step_age(runner.step_age_s(), runner.describe_thread))
    assert recovery.startswith("the runner of lots has not taken a step: over, after ")
    runner.stop()
    assert runner.describe_thread() == "thread lots-runner has ended"


def test_store_logs_missing_control_processes(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(node_watch, "REGISTRY_TIMEOUT_S", 0.5)
    fleet = SeededFleet(tmp_path)
    with captured_logs() as messages:
        try:
            fleet.start_store(1)
            wait_until(
                lambda: any(
                    "no control process has answered for" in message for message in messages
                )
            )
        finally:
            fleet.stop()
    assert (REGISTRY.get_sample_value("lots_registry_age_seconds") or 0) > 0.5
