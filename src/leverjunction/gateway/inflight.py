"""Counts requests in progress, so that a graceful shutdown can wait for them."""

from __future__ import annotations

import threading
from collections.abc import Iterator
from contextlib import contextmanager


class InflightRequests:
    """Thread-safe count of requests in progress, with a flag for the shutdown.

    Args:
        limit: Maximum number of requests in progress, None for no limit. Each request occupies a
            thread, and some threads must stay free for probes, operators and rejections.
    """

    def __init__(self, limit: int | None = None) -> None:
        self._limit = limit
        self._changed = threading.Condition()
        self._count = 0
        self._stopping = False
        self._refusing_unread = False

    @property
    def stopping(self) -> bool:
        """Whether the gateway is shutting down, so that new requests are rejected."""
        return self._stopping

    def begin_stop(self) -> None:
        """Reject all new requests from now on."""
        with self._changed:
            self._stopping = True

    @property
    def refusing_unread(self) -> bool:
        """Whether requests whose bodies have not been read completely are refused as well."""
        return self._refusing_unread

    def refuse_unread(self) -> None:
        """Refuse the requests whose bodies have not been read completely from now on."""
        self._refusing_unread = True

    @contextmanager
    def track(self) -> Iterator[bool]:
        """Count a request while the block runs; yields False if the request must be rejected.

        The check and the increment are atomic, so that a shutdown does not miss a request.
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
        """Wait until no request is in progress; returns False if ``timeout_s`` passes first."""
        with self._changed:
            return self._changed.wait_for(lambda: self._count == 0, timeout_s)
