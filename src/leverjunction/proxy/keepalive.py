"""Keep-alive probes: a connection whose path has gone silent for good ends as one that was reset.

There is no TCP_USER_TIMEOUT beside them. It would also end a connection on which a living back end
leaves its window closed for that long, as one that reads a long body late, and it would take the
place of the number of probes. Unacknowledged requests are bounded by their own limits.
"""

from __future__ import annotations

import asyncio
import socket

from loguru import logger

PROBE_IDLE_S = 2
"""Seconds without a byte before the first probe: no usual pause between events lasts as long, so
that probes cost next to nothing on streams, and one small packet in this time elsewhere.
"""

PROBE_INTERVAL_S = 1
"""Seconds between probes, the least that TCP has."""

PROBE_COUNT = 2
"""Unanswered probes that end a connection, 4 s after its last byte: one may be lost."""


def enable_keepalive(transport: asyncio.BaseTransport) -> None:
    """Have a connection probed while it is silent."""
    connection = transport.get_extra_info("socket")
    if connection is None:
        return
    try:
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, PROBE_IDLE_S)
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, PROBE_INTERVAL_S)
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, PROBE_COUNT)
    except OSError as error:
        # It has broken already, which its protocol is told as well.
        logger.debug("a connection is not probed: {}", error)
