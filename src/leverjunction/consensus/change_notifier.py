"""Tells a process that the tables of its replica have changed."""

from __future__ import annotations

from collections.abc import Callable

from loguru import logger

ChangeListener = Callable[[bool], None]
"""Called by the replica's driver after entries were applied; True when a snapshot has replaced the
tables. It must not block, nor ask the replica."""


class ChangeNotifier:
    """What the listener of one replica has not been told yet.

    What is applied never depends on the listener: it is told afterwards, and a notice that fails
    stays due and is repeated.
    """

    __slots__ = ("_failing", "_group", "_is_due", "_listener", "_replaced")

    def __init__(self, group: str, listener: ChangeListener) -> None:
        self._group = group
        self._listener = listener
        self._is_due = False
        self._replaced = False
        self._failing = False

    def mark_applied(self) -> None:
        """A command was applied."""
        self._is_due = True

    def mark_replaced(self) -> None:
        """A snapshot has replaced the tables."""
        self._is_due = True
        self._replaced = True

    def notify(self) -> None:
        """Tell the listener if there is something new."""
        if not self._is_due:
            return
        try:
            self._listener(self._replaced)
        except Exception:
            # Only the first of a row: it is repeated with each batch.
            if not self._failing:
                logger.exception("group {}: a listener failed, it is told again", self._group)
            self._failing = True
            return
        if self._failing:
            logger.info("group {}: the listener was told", self._group)
        self._is_due = self._replaced = self._failing = False


def ignore_changes(_replaced: bool) -> None:
    """Take a notice that nobody waits for."""
