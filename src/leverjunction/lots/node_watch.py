"""Watchdog for the threads of a store.

It runs in a thread of its own, because a loop that hangs cannot log that it hangs.
"""

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
STEP_TIMEOUT_S = 3.0
"""Time without a step of the runner before a warning: six times its longest pause
(``runner.IDLE_STEP_S``).
"""

REGISTRY_TIMEOUT_S = 5.0
"""Time without an answer of a control process before a warning: more than three calls of the
registry follower that time out.
"""

STACK_DEPTH = 8
"""Number of innermost calls in the one-line stack of a thread."""


class NodeWatch:
    """Logs when the registry follower or the runner makes no progress, and when it does again.

    Not thread-safe: use it from one thread.
    """

    __slots__ = ("_clock", "_registry", "_steps")

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._registry = AgeWatch("no control process has answered", REGISTRY_TIMEOUT_S)
        self._steps = AgeWatch("the runner of lots has not taken a step", STEP_TIMEOUT_S)

    def check_registry_age(self, age_s: float) -> None:
        """Export and check the time since a control process answered.

        Args:
            age_s: That time in seconds.
        """
        metrics.REGISTRY_AGE_S.set(age_s)
        message = self._registry.update(age_s, self._clock.monotonic_s())
        if message:
            logger.warning("{}", message)

    def check_step_age(self, age_s: float, describe_thread: Callable[[], str]) -> None:
        """Export and check the time since the runner's last step.

        Args:
            age_s: That time in seconds.
            describe_thread: Returns the current stack of the runner's thread; called only when a
                warning is logged.
        """
        metrics.STEP_AGE_S.set(age_s)
        message = self._steps.update(age_s, self._clock.monotonic_s())
        if message:
            logger.warning("{}; {}", message, describe_thread())


def format_thread_stack(thread: threading.Thread) -> str:
    """Return the current stack of a thread on one line, for log messages."""
    frame = sys._current_frames().get(thread.ident or 0)
    if frame is None or not thread.is_alive():
        return f"thread {thread.name} has ended"
    calls = traceback.extract_stack(frame)[-STACK_DEPTH:]
    path = " > ".join(
        f"{call.name} ({call.filename.rpartition('/')[2]}:{call.lineno})" for call in calls
    )
    return f"thread {thread.name} is in {path}"
