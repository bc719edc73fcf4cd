"""Pool of the proxy's connections to back ends."""

from __future__ import annotations

import asyncio

from leverjunction.errors import Failure, FailureKind, Step
from leverjunction.proxy.runner_connection import RunnerConnection

DEFAULT_KEEP_ALIVE_S = 4.0
"""Keep-alive time of a back end that does not state one."""

MAX_IDLE_CONNECTIONS = 8
"""Limit of idle connections to one back end."""


class RunnerPool:
    """Keeps idle connections by back end and opens new ones.

    Attributes:
        opened_total: Number of connections that were opened.
    """

    __slots__ = ("_idle", "_loop", "opened_total")

    def __init__(self) -> None:
        self._idle: dict[str, list[RunnerConnection]] = {}
        self._loop = asyncio.get_running_loop()
        self.opened_total = 0

    async def acquire(
        self, address: str, idle_share: float, connect_timeout_s: float
    ) -> RunnerConnection | Failure:
        """Return an idle connection, or open a new one.

        Args:
            address: ``host:port`` of the back end.
            idle_share: Share of the back end's keep-alive time after which an idle connection is
                not reused. If the back end closes a connection just as a request is sent, it is
                unknown whether the request ran.
            connect_timeout_s: Timeout for opening a new connection, in seconds.
        """
        idle = self._idle.get(address, [])
        now_s = self._loop.time()
        while idle:
            connection = idle.pop()
            keep_alive_s = (
                DEFAULT_KEEP_ALIVE_S if connection.keep_alive_s is None else connection.keep_alive_s
            )
            is_fresh = now_s - connection.idle_since_s <= keep_alive_s * idle_share
            if is_fresh and connection.is_usable:
                return connection
            connection.close()
        return await self._connect(address, connect_timeout_s)

    def release(self, connection: RunnerConnection, keep: bool) -> None:
        """Return a connection to the pool after a response.

        Args:
            connection: A connection from ``acquire``.
            keep: Whether it may be reused; if not, it is closed.
        """
        if not connection.finish_request() or not keep:
            connection.close()
            return
        connection.idle_since_s = self._loop.time()
        idle = self._idle.setdefault(connection.address, [])
        idle.append(connection)
        if len(idle) > MAX_IDLE_CONNECTIONS:
            idle.pop(0).close()

    def close_idle_connections(self, address: str) -> None:
        """Close the idle connections to a back end.

        After one connection went silent, the others on the same network path may be silent too.
        """
        for connection in self._idle.pop(address, ()):
            connection.close()

    def close(self) -> None:
        """Close all idle connections."""
        for connections in self._idle.values():
            for connection in connections:
                connection.close()
        self._idle.clear()

    async def _connect(self, address: str, timeout_s: float) -> RunnerConnection | Failure:
        host, _, port = address.rpartition(":")
        try:
            async with asyncio.timeout(timeout_s):
                _, connection = await self._loop.create_connection(
                    lambda: RunnerConnection(address, self.opened_total + 1), host, int(port)
                )
        except (OSError, TimeoutError) as error:
            is_refused = isinstance(error, ConnectionRefusedError)
            return Failure(
                kind=FailureKind.NOT_LISTENING if is_refused else FailureKind.UNREACHABLE,
                reason=f"no connection: {error or 'timed out'}",
                step=Step.CONNECTING,
                peer=address,
            )
        self.opened_total += 1
        return connection


__all__ = ["RunnerPool"]
