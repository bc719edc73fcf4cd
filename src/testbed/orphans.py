"""Ends a worker whose starter is gone: nobody is left to send it the signal by which it stops."""

from __future__ import annotations

import os
import threading
import time
from collections.abc import Callable

POLL_S = 1.0
"""How often a worker looks: it is left over for so long at most."""


def end_with_starter(stop: Callable[[], object]) -> None:
    """Call ``stop``, from a thread of its own, once the process that started this one is gone."""
    starter = os.getppid()

    def watch() -> None:
        # Whoever adopts the worker has another id than its starter.
        while os.getppid() == starter:
            time.sleep(POLL_S)
        stop()

    threading.Thread(target=watch, name="starter", daemon=True).start()


__all__ = ["end_with_starter"]
