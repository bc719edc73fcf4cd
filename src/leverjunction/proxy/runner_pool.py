"""Pool of the proxy's connections to back ends."""

from __future__ import annotations

import asyncio

from leverjunction.errors import Execution, Failure, FailureKind, Step
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
        self, address: str, idle_share: float, connect_timeout_s: float, request_id: str = ""
    ) -> RunnerConnection | Failure:
        """Return an idle connection, or open a new one.

        A connection carries no request id twice: a late copy of the first answer could not be told
        from the second one.

        Args:
            address: ``host:port`` of the back end.
            idle_share: Share of the back end's keep-alive time after which an idle connection is
                not reused. If the back end closes a connection just as a request is sent, it is
                unknown whether the request ran.
            connect_timeout_s: Timeout for opening a new connection, in seconds.
            request_id: Id of the request to send; empty if it has none.
        """
        idle = self._idle.get(address, [])
        now_s = self._loop.time()
        for connection in reversed(idle[:]):
            if not _is_fresh(connection, idle_share, now_s):
                idle.remove(connection)
                connection.close()
            elif not request_id or not connection.carried.has(request_id):
                idle.remove(connection)
                return connection
        return await self._connect(address, connect_timeout_s)

    def release(self, connection: RunnerConnection, keep: bool) -> None:
        """Return a connection to the pool after a response.

        Args:
            connection: A connection from ``acquire``.
            keep: Whether it may be reused; if not, it is closed.
        """
        if not connection.finish_request() or not keep or connection.carried.is_full:
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
                execution=Execution.NOT_RUN,
            )
        self.opened_total += 1
        return connection


def _is_fresh(connection: RunnerConnection, idle_share: float, now_s: float) -> bool:
    """Return whether a connection can be used, and its back end has no reason yet to close it."""
    keep_alive_s = (
        DEFAULT_KEEP_ALIVE_S if connection.keep_alive_s is None else connection.keep_alive_s
    )
    return now_s - connection.idle_since_s <= keep_alive_s * idle_share and connection.is_usable


__all__ = ["RunnerPool"]
