"""Counts requests in progress, for a stop that cuts none."""

from __future__ import annotations

import threading
from collections.abc import Iterator
from contextlib import contextmanager


class Inflight:
    """Thread-safe count with a stopping mark."""

    def __init__(self) -> None:
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
        """Count a request while the block runs; yields False when it must be refused.

        The check and the count are one step, so that a stop misses no request.
        """
        with self._changed:
            accepted = not self._stopping
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
