"""Watches a store's own threads from another one: a loop that hangs can't tell of itself."""

from __future__ import annotations

import sys
import threading
import traceback
from collections.abc import Callable

from loguru import logger

from leverjunction.clock import Clock
from leverjunction.lots import metrics
from leverjunction.lots.stall_watch import AgeWatch

WATCH_INTERVAL_S = 1.0
STEP_LATE_S = 3.0
"""Seconds without a step of the runner: six times its longest pause (``runner.IDLE_STEP_S``)."""

REGISTRY_SILENT_S = 5.0
"""Seconds without an answer: three whole calls and more (``follower.CALL_TIMEOUT_S``)."""

STACK_DEPTH = 8
"""Innermost calls of a thread that a line names."""


class NodeWatch:
    """Used by one thread."""

    __slots__ = ("_clock", "_registry", "_steps")

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._registry = AgeWatch("no control process has answered", REGISTRY_SILENT_S)
        self._steps = AgeWatch("the runner of lots has not taken a step", STEP_LATE_S)

    def registry(self, age_s: float) -> None:
        """Take the time since a control process answered."""
        metrics.REGISTRY_AGE_S.set(age_s)
        word = self._registry.update(age_s, self._clock.monotonic_s())
        if word:
            logger.warning("{}", word)

    def steps(self, age_s: float, describe_thread: Callable[[], str]) -> None:
        """Take the time since the runner's last step.

        Args:
            age_s: That time.
            describe_thread: Tells what its thread is doing; asked for when a line is written.
        """
        metrics.STEP_AGE_S.set(age_s)
        word = self._steps.update(age_s, self._clock.monotonic_s())
        if word:
            logger.warning("{}; {}", word, describe_thread())


def stack_of(thread: threading.Thread) -> str:
    """Return where a thread is, for a person."""
    frame = sys._current_frames().get(thread.ident or 0)
    if frame is None or not thread.is_alive():
        return f"thread {thread.name} has ended"
    calls = traceback.extract_stack(frame)[-STACK_DEPTH:]
    path = " > ".join(
        f"{call.name} ({call.filename.rpartition('/')[2]}:{call.lineno})" for call in calls
    )
    return f"thread {thread.name} is in {path}"
