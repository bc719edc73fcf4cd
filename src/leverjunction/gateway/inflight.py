"""Counts requests in progress, for a stop that cuts none."""

from __future__ import annotations

import threading
from collections.abc import Iterator
from contextlib import contextmanager


class InflightRequests:
    """Thread-safe count with a stopping mark.

    Args:
        limit: Most requests in progress; each holds a thread, and some threads must stay free for
            probes, operators and refusals. None for no limit.
    """

    def __init__(self, limit: int | None = None) -> None:
        self._limit = limit
        self._changed = threading.Condition()
        self._count = 0
        self._stopping = False

    @property
    def stopping(self) -> bool:
        """Whether new requests are refused."""
        return self._stopping

    def begin_stop(self) -> None:
        """Refuse new requests from here on."""
        with self._changed:
            self._stopping = True

    @contextmanager
    def track(self) -> Iterator[bool]:
        """Count a request while the block runs; yields False when it must be refused at once.

        The check and the count are one step, so that a stop misses no request.
        """
        with self._changed:
            is_full = self._limit is not None and self._count >= self._limit
            accepted = not self._stopping and not is_full
            if accepted:
                self._count += 1
        try:
            yield accepted
        finally:
            if accepted:
                with self._changed:
                    self._count -= 1
                    self._changed.notify_all()

    def wait_idle(self, timeout_s: float) -> bool:
        """Wait until no request is in progress; False when ``timeout_s`` passed before that."""
        with self._changed:
            return self._changed.wait_for(lambda: self._count == 0, timeout_s)
