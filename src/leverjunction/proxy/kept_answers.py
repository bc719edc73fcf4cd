"""Counts what connections keep for slow callers, and drops the ones that the budget gives up."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable
from typing import Protocol

from loguru import logger

from leverjunction.proxy.answer_buffer import AnswerBuffer, KeptAnswer

REVIEW_INTERVAL_S = 1.0
"""Interval at which connections are counted that keep something and write nothing more."""

LOG_INTERVAL_S = 10.0

UNSENT_BYTES = 128 * 1024
"""Bytes that the kernel takes before it can send them. It would take megabytes for each slow
caller, which no budget counts; what is under way to the caller is not limited.
"""

NO_LIMIT_BYTES = 2**31 - 1


def limit_unsent(transport: asyncio.BaseTransport) -> None:
    """Make a connection keep what the caller does not take yet here, not in the kernel."""
    _set_unsent_limit(transport, UNSENT_BYTES)


def lift_unsent_limit(transport: asyncio.BaseTransport) -> None:
    """Let the kernel take all it has room for: it goes on sending after this process has ended."""
    _set_unsent_limit(transport, NO_LIMIT_BYTES)


def _set_unsent_limit(transport: asyncio.BaseTransport, limit_bytes: int) -> None:
    connection = transport.get_extra_info("socket")
    option = getattr(socket, "TCP_NOTSENT_LOWAT", None)
    if connection is None or option is None:
        return
    try:
        connection.setsockopt(socket.IPPROTO_TCP, option, limit_bytes)
    except OSError as error:
        # The connection has already broken, which its protocol learns by itself.
        logger.debug("cannot limit what the kernel keeps for a connection: {}", error)


class KeepingConnection(Protocol):
    """A connection that keeps what its caller has not read yet."""

    @property
    def kept(self) -> KeptAnswer:
        """What is kept for its caller, as last counted."""
        ...

    def count_kept(self) -> tuple[int, int]:
        """Return the bytes that wait to be sent, and those that were sent so far."""
        ...

    def abort(self) -> None:
        """Close at once."""
        ...


class KeptAnswers:
    """The connections that keep something. It belongs to one event loop.

    Args:
        buffer: Decides what is kept.
        on_drop: Called with the reason of each drop: ``room`` (more is kept than the share of the
            process or of a tenant) or ``standstill``.

    Attributes:
        buffer: Decides what is kept.
    """

    __slots__ = ("_connections", "_dropped", "_logged_s", "_loop", "_on_drop", "_timer", "buffer")

    def __init__(
        self, buffer: AnswerBuffer, on_drop: Callable[[str], None] = lambda _reason: None
    ) -> None:
        self.buffer = buffer
        self._on_drop = on_drop
        self._connections: dict[KeptAnswer, KeepingConnection] = {}
        self._timer: asyncio.TimerHandle | None = None
        self._loop = asyncio.get_running_loop()
        self._dropped = 0
        self._logged_s = -LOG_INTERVAL_S

    def update(self, connection: KeepingConnection) -> None:
        """Count what a connection keeps after it was written to; drop what is too much in all."""
        kept_bytes, sent_bytes = connection.count_kept()
        answer = connection.kept
        if not kept_bytes and not answer.kept_bytes:
            return
        self._set(connection, kept_bytes, sent_bytes)
        if self._timer is None:
            self._timer = self._loop.call_later(REVIEW_INTERVAL_S, self._review)
        if self.buffer.next_drop() is not None:
            self._make_room()

    def remove(self, connection: KeepingConnection) -> None:
        """Forget a connection, which has closed."""
        self.buffer.remove(connection.kept)
        self._connections.pop(connection.kept, None)

    def drop(self, connection: KeepingConnection, reason: str) -> None:
        """Abort a connection, so that its answer does not look complete."""
        kept = connection.kept
        self._dropped += 1
        now_s = self._loop.time()
        if now_s - self._logged_s >= LOG_INTERVAL_S:
            logger.warning(
                "dropped {} answers that callers read too slowly; the last one kept {} bytes of {}"
                " in all, of which {} were allowed; reason: {}",
                self._dropped,
                kept.kept_bytes,
                self.buffer.total_bytes,
                self.buffer.limit_bytes,
                reason,
            )
            self._logged_s, self._dropped = now_s, 0
        self._on_drop(reason)
        kept.is_dropped = True
        self.remove(connection)
        connection.abort()

    def count_all(self) -> None:
        """Count again what all connections keep."""
        for connection in list(self._connections.values()):
            self._set(connection, *connection.count_kept())

    def _set(self, connection: KeepingConnection, kept_bytes: int, sent_bytes: int) -> None:
        self.buffer.update(connection.kept, kept_bytes, sent_bytes, self._loop.time())
        if kept_bytes:
            self._connections[connection.kept] = connection
        else:
            self._connections.pop(connection.kept, None)

    def _make_room(self) -> None:
        # Callers that have read in the meantime may have made enough.
        self.count_all()
        while (answer := self.buffer.next_drop()) is not None:
            self.drop(self._connections[answer], "room")

    def _review(self) -> None:
        self._timer = None
        self.count_all()
        for answer in self.buffer.given_up(self._loop.time()):
            self.drop(self._connections[answer], "standstill")
        if self._connections:
            self._timer = self._loop.call_later(REVIEW_INTERVAL_S, self._review)


__all__ = ["KeepingConnection", "KeptAnswers", "lift_unsent_limit", "limit_unsent"]
