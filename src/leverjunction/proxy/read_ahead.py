"""Stops reading from a caller that pipelines much while its request is in progress.

Bytes of later requests wait for the answer of the current one. Beyond a bound they stay in the
kernel, so that the caller is slowed down instead of filling this process's memory.
"""

from __future__ import annotations

import asyncio
import errno
import socket
from collections.abc import Callable

from loguru import logger

MAX_PIPELINED_BYTES = 64 * 1024
"""Bytes beyond the current request after which reading pauses. A single read may exceed it."""

CHECK_INTERVAL_S = 0.25
"""Interval at which a connection that is not read is checked for a caller that has left."""

_CLOSED_STATES = frozenset({7, 8})
"""Values of ``tcpi_state``: the connection is closed, or the peer has closed its side."""

_NOT_SUPPORTED = frozenset({errno.ENOPROTOOPT, errno.EOPNOTSUPP, errno.EINVAL, errno.ENOSYS})


class ReadAhead:
    """Pauses and resumes the reading of one connection.

    A paused transport reports neither the end of the stream nor a reset, so the socket's state is
    checked meanwhile. The end of a stream is known once the kernel has taken all bytes before it.

    Args:
        transport: The connection.
        on_left: Called when the caller has closed its side while reading is paused.
    """

    __slots__ = ("_loop", "_on_left", "_timer", "_transport")

    def __init__(self, transport: asyncio.Transport, on_left: Callable[[], None]) -> None:
        self._transport = transport
        self._on_left = on_left
        self._loop = asyncio.get_running_loop()
        self._timer: asyncio.TimerHandle | None = None

    @property
    def is_paused(self) -> bool:
        """Whether nothing is read at the moment."""
        return self._timer is not None

    def update(self, waiting_bytes: int) -> bool:
        """Pause or resume by the bytes that wait for the current request's answer.

        Returns:
            Whether reading has just been paused.
        """
        is_much = waiting_bytes > MAX_PIPELINED_BYTES and not self._transport.is_closing()
        if is_much == self.is_paused:
            return False
        if is_much:
            self._transport.pause_reading()
            self._check_later()
            return True
        self.stop()
        if not self._transport.is_closing():
            self._transport.resume_reading()
        return False

    def stop(self) -> None:
        """Stop checking."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _check_later(self) -> None:
        self._timer = self._loop.call_later(CHECK_INTERVAL_S, self._check)

    def _check(self) -> None:
        self._check_later()
        if has_left(self._transport.get_extra_info("socket")):
            self._on_left()


def has_left(connection: socket.socket | None) -> bool:
    """Return whether the peer of a TCP connection has closed its side or reset it."""
    option = getattr(socket, "TCP_INFO", None)
    if connection is None or option is None:
        return False
    try:
        return connection.getsockopt(socket.IPPROTO_TCP, option, 1)[0] in _CLOSED_STATES
    except OSError as error:
        if error.errno in _NOT_SUPPORTED:
            return False
        logger.debug("the connection of a caller has broken: {}", error)
        return True


__all__ = ["CHECK_INTERVAL_S", "MAX_PIPELINED_BYTES", "ReadAhead", "has_left"]
