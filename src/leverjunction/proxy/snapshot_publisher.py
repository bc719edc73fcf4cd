"""Passes snapshots of the registry on to the components of a gateway."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Mapping

from loguru import logger

from leverjunction.registry.follower import Snapshot

RETRY_S = 0.5
"""Delay before receivers that failed get the newest snapshot again."""

Receiver = Callable[[Snapshot], None]


class SnapshotPublisher:
    """Publishes snapshots to receivers; used by one event loop.

    A receiver that raises an exception doesn't affect the others, and gets the newest snapshot
    again until it succeeds. Otherwise an error in one back end's record would leave a gateway on an
    old route table.

    Args:
        receivers: Callbacks by name, called with each newer snapshot in this order.
    """

    def __init__(self, receivers: Mapping[str, Receiver]) -> None:
        self._receivers = receivers
        self._loop = asyncio.get_running_loop()
        self._newest: Snapshot | None = None
        self._failing: set[str] = set()
        self._retry_timer: asyncio.TimerHandle | None = None

    def failing(self) -> int:
        """Return the number of receivers that failed to process the newest snapshot."""
        return len(self._failing)

    def publish(self, snapshot: Snapshot) -> None:
        """Pass a newer snapshot on to all receivers."""
        self._newest = snapshot
        for name in self._receivers:
            self._deliver(name, snapshot)
        self._schedule_retry()

    def close(self) -> None:
        """Cancel a scheduled retry."""
        if self._retry_timer is not None:
            self._retry_timer.cancel()

    def _deliver(self, name: str, snapshot: Snapshot) -> None:
        try:
            self._receivers[name](snapshot)
        except Exception:
            # Logs only the first failure in a row, since the call is repeated until it succeeds.
            if name not in self._failing:
                logger.exception("{}: cannot apply the registry snapshot", name)
            self._failing.add(name)
            return
        if name in self._failing:
            logger.info("{}: registry snapshots are applied again", name)
            self._failing.discard(name)

    def _schedule_retry(self) -> None:
        if self._failing and self._retry_timer is None:
            self._retry_timer = self._loop.call_later(RETRY_S, self._retry_failing)

    def _retry_failing(self) -> None:
        self._retry_timer = None
        assert self._newest is not None
        for name in sorted(self._failing):
            self._deliver(name, self._newest)
        self._schedule_retry()
