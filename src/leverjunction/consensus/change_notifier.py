"""Notifies a process that the tables of its replica have changed."""

from __future__ import annotations

from collections.abc import Callable

from loguru import logger

ChangeListener = Callable[[bool], None]
"""Callback of the replica's driver after entries were applied. Its argument is True when a snapshot
has replaced the tables. It must neither block nor query the replica.
"""


class ChangeNotifier:
    """Tracks changes that the listener of one replica has not been notified of.

    Applying entries never depends on the listener: it is notified afterwards, and a notification
    that fails stays pending and is retried.
    """

    __slots__ = ("_failing", "_group", "_is_pending", "_listener", "_replaced")

    def __init__(self, group: str, listener: ChangeListener) -> None:
        self._group = group
        self._listener = listener
        self._is_pending = False
        self._replaced = False
        self._failing = False

    def mark_applied(self) -> None:
        """Record that a command was applied."""
        self._is_pending = True

    def mark_replaced(self) -> None:
        """Record that a snapshot has replaced the tables."""
        self._is_pending = True
        self._replaced = True

    def notify(self) -> None:
        """Notify the listener if a change is pending."""
        if not self._is_pending:
            return
        try:
            self._listener(self._replaced)
        except Exception:
            # Only the first consecutive failure is logged: each batch retries the notification.
            if not self._failing:
                logger.exception("group {}: change listener failed, will be retried", self._group)
            self._failing = True
            return
        if self._failing:
            logger.info("group {}: change listener succeeded after a failure", self._group)
        self._is_pending = self._replaced = self._failing = False


def ignore_changes(_replaced: bool) -> None:
    """Discard a notification; the default listener."""
