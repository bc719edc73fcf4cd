"""Passes newer states of the registry on to the parts of a gateway."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Mapping

from loguru import logger

from leverjunction.registry.follower import Snapshot

RETRY_S = 0.5

Receiver = Callable[[Snapshot], None]


class SnapshotPublisher:
    """Receivers by name; used by one event loop.

    A receiver that raises keeps no news from the others, and gets the newest state again until it
    takes it: an error on one back end's record left a gateway on its old route table.

    Args:
        receivers: Called with each newer state, in this order.
    """

    def __init__(self, receivers: Mapping[str, Receiver]) -> None:
        self._receivers = receivers
        self._loop = asyncio.get_running_loop()
        self._newest: Snapshot | None = None
        self._failing: set[str] = set()
        self._retry: asyncio.TimerHandle | None = None

    def failing(self) -> int:
        """Return how many receivers did not take the newest state."""
        return len(self._failing)

    def publish(self, snapshot: Snapshot) -> None:
        """Pass a newer state on to all."""
        self._newest = snapshot
        for name in self._receivers:
            self._tell(name, snapshot)
        self._retry_later()

    def close(self) -> None:
        """Try nothing again."""
        if self._retry is not None:
            self._retry.cancel()

    def _tell(self, name: str, snapshot: Snapshot) -> None:
        try:
            self._receivers[name](snapshot)
        except Exception:
            # Only the first of a row: it is repeated until it is taken.
            if name not in self._failing:
                logger.exception("{}: the registry's news are not taken over", name)
            self._failing.add(name)
            return
        if name in self._failing:
            logger.info("{}: the registry's news are taken over again", name)
            self._failing.discard(name)

    def _retry_later(self) -> None:
        if self._failing and self._retry is None:
            self._retry = self._loop.call_later(RETRY_S, self._try_again)

    def _try_again(self) -> None:
        self._retry = None
        assert self._newest is not None
        for name in sorted(self._failing):
            self._tell(name, self._newest)
        self._retry_later()
