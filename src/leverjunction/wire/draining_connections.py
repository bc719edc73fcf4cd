"""Graceful stop of the listening socket and of the idle keep-alive connections.

cheroot closes both at once when it stops. A caller whose connection was still in the accept
backlog, or whose request had just arrived on a keep-alive connection, then saw a reset and could
not know whether its request had run. Here each of them still gets a response.
"""

from __future__ import annotations

import ctypes
import selectors
import socket
from typing import Any

from cheroot.connections import ConnectionManager
from loguru import logger

HANDSHAKE_S = 0.05
"""Time for connections whose handshake has begun to reach the accept queue, in seconds."""

SO_ATTACH_FILTER = 26
"""Linux socket option that :mod:`socket` does not name."""


class _FilterStep(ctypes.Structure):
    """One instruction of a classic BPF program."""

    _fields_ = (
        ("code", ctypes.c_uint16),
        ("jump_true", ctypes.c_uint8),
        ("jump_false", ctypes.c_uint8),
        ("operand", ctypes.c_uint32),
    )


class _Filter(ctypes.Structure):
    _fields_ = (("length", ctypes.c_uint16), ("steps", ctypes.POINTER(_FilterStep)))


_DROP_SYN = (_FilterStep * 5)(
    _FilterStep(0x30, 0, 0, 13),  # load the flags of the TCP header
    _FilterStep(0x54, 0, 0, 0x12),  # keep SYN and ACK
    _FilterStep(0x15, 0, 1, 0x02),  # SYN alone: a new connection
    _FilterStep(0x06, 0, 0, 0),  # drop it
    _FilterStep(0x06, 0, 0, 0xFFFFFFFF),  # accept everything else
)


def drop_new_connections(listener: socket.socket) -> None:
    """Make the kernel drop the first packet of each new connection to a listener.

    Its caller sends the packet again after a second, and is refused once the listener is closed.
    Without this, a connection that is made between the last ``accept`` and the closing is reset.
    """
    program = _Filter(len(_DROP_SYN), _DROP_SYN)
    try:
        listener.setsockopt(socket.SOL_SOCKET, SO_ATTACH_FILTER, bytes(program))
    except OSError as error:
        logger.warning("a connection made while the listener closes may be reset: {}", error)


class DrainingConnectionManager(ConnectionManager):
    """Connection manager that serves connections and requests that arrived before the stop."""

    _selector: Any

    def stop(self) -> None:
        """Stop the accept loop, then serve the waiting connections and requests."""
        super().stop()
        listener: socket.socket = self.server.socket
        # Many new callers cannot delay the stop: the queue only gets shorter from here on.
        drop_new_connections(listener)
        self._accept_backlog(listener)
        # From here on connections are refused, which tells the caller that no request has run.
        listener.close()
        self._serve_keep_alive()

    def _accept_backlog(self, listener: socket.socket) -> None:
        with selectors.DefaultSelector() as selector:
            selector.register(listener, selectors.EVENT_READ)
            for _ in range(self.server.request_queue_size):
                if not selector.select(HANDSHAKE_S):
                    return
                self._accept(listener)

    def _accept(self, listener: socket.socket) -> None:
        try:
            accepted, address = listener.accept()
        except OSError:
            # The caller disconnected while it waited in the backlog.
            return
        accepted.settimeout(self.server.timeout)
        connection = self.server.ConnectionClass(self.server, accepted)
        connection.remote_addr, connection.remote_port = address[:2]
        self.server.process_conn(connection)

    def _serve_keep_alive(self) -> None:
        """Pass keep-alive connections with a new request to the worker threads."""
        for descriptor, connection in self._selector.select(timeout=0):
            if connection is not self.server:
                self._selector.unregister(descriptor)
                self.server.process_conn(connection)
