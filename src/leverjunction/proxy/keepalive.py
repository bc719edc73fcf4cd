"""TCP keep-alive: a connection whose network path has failed ends as if it had been reset.

TCP_USER_TIMEOUT is not set in addition. It would also close a connection on which a healthy back
end keeps its receive window closed for that long, for example while it is late to read a long body,
and it would override the number of probes. Unacknowledged requests are bounded by their own limits.
"""

from __future__ import annotations

import asyncio
import socket

from loguru import logger

PROBE_IDLE_S = 2
"""Idle seconds before the first probe. Pauses between events are normally shorter, so that streams
cause almost no probes; other connections cost one small packet per such period.
"""

PROBE_INTERVAL_S = 1
"""Seconds between probes; the minimum that TCP allows."""

PROBE_COUNT = 2
"""Unanswered probes that close a connection, 4 s after its last byte. With two, one may be lost."""


def enable_keepalive(transport: asyncio.BaseTransport) -> None:
    """Enable keep-alive probes on a connection; ignored if the connection has already broken."""
    connection = transport.get_extra_info("socket")
    if connection is None:
        return
    try:
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, PROBE_IDLE_S)
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, PROBE_INTERVAL_S)
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, PROBE_COUNT)
    except OSError as error:
        # The connection has already broken, which its protocol learns by itself.
        logger.debug("cannot enable keep-alive on a connection: {}", error)
