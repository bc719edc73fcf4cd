"""An RPC client that counts its bytes on the wire.

The kernel counts for us (``TCP_INFO``), so HTTP headers and envelopes are in the figure without
touching the client's code path. ``wire_bytes`` adds what Ethernet, IP and TCP headers would cost.
"""

from __future__ import annotations

import socket
import struct
import threading

import msgspec
import urllib3
from urllib3.connection import HTTPConnection
from urllib3.connectionpool import HTTPConnectionPool

from leverjunction.wire.rpc_client import CONNECTIONS_PER_PEER, RpcClient

PACKET_OVERHEAD_BYTES = 66
"""Ethernet 14, IPv4 20, TCP 20, TCP timestamps 12."""

SEGMENT_PAYLOAD_BYTES = 1448
"""Payload of a full segment at an Ethernet MTU; loopback's own segments are larger."""

_TCP_INFO_BYTES = 256
_BYTES_ACKED = struct.Struct("=Q")
_BYTES_ACKED_OFFSET = 120
_BYTES_RECEIVED_OFFSET = 128
_SEGMENTS = struct.Struct("=II")
_SEGMENTS_OFFSET = 136


class WireCount(msgspec.Struct, frozen=True):
    """Bytes and segments of a client's connections since it started."""

    sent_bytes: int = 0
    received_bytes: int = 0
    segments: int = 0

    def plus(self, other: WireCount) -> WireCount:
        """Return the sum of two counts."""
        return WireCount(
            self.sent_bytes + other.sent_bytes,
            self.received_bytes + other.received_bytes,
            self.segments + other.segments,
        )

    def minus(self, other: WireCount) -> WireCount:
        """Return this count since ``other``."""
        return WireCount(
            self.sent_bytes - other.sent_bytes,
            self.received_bytes - other.received_bytes,
            self.segments - other.segments,
        )

    @property
    def payload_bytes(self) -> int:
        """Bytes that TCP carried, both ways."""
        return self.sent_bytes + self.received_bytes

    @property
    def wire_bytes(self) -> int:
        """Payload plus packet headers, with large loopback segments split at an Ethernet MTU."""
        full_segments = self.payload_bytes // SEGMENT_PAYLOAD_BYTES
        return self.payload_bytes + PACKET_OVERHEAD_BYTES * max(self.segments, full_segments)


def read_socket_count(connection: socket.socket) -> WireCount:
    """Return the kernel's counts of one TCP connection (all zero once it is closed)."""
    try:
        info = connection.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, _TCP_INFO_BYTES)
    except OSError:
        return WireCount()
    if len(info) < _SEGMENTS_OFFSET + _SEGMENTS.size:
        return WireCount()
    (acked,) = _BYTES_ACKED.unpack_from(info, _BYTES_ACKED_OFFSET)
    (received,) = _BYTES_ACKED.unpack_from(info, _BYTES_RECEIVED_OFFSET)
    segments_out, segments_in = _SEGMENTS.unpack_from(info, _SEGMENTS_OFFSET)
    return WireCount(acked, received, segments_out + segments_in)


class WireCounter:
    """Sums the counts of open and closed connections. Thread-safe."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._open: dict[int, socket.socket] = {}
        self._closed = WireCount()

    def opened(self, connection: socket.socket) -> None:
        """Begin to count a connection."""
        with self._lock:
            self._open[id(connection)] = connection

    def closing(self, connection: socket.socket) -> None:
        """Take the last count of a connection that is about to be closed."""
        with self._lock:
            if self._open.pop(id(connection), None) is not None:
                self._closed = self._closed.plus(read_socket_count(connection))

    def read(self) -> WireCount:
        """Return the count so far."""
        with self._lock:
            total = self._closed
            for connection in self._open.values():
                total = total.plus(read_socket_count(connection))
            return total


class CountingRpcClient(RpcClient):
    """The product's RPC client over connections whose bytes are counted."""

    def __init__(self, cluster_key: bytes, incarnation: int, counter: WireCounter) -> None:
        super().__init__(cluster_key, incarnation)
        self._pool = _counting_pool(counter)


def _counting_pool(counter: WireCounter) -> urllib3.PoolManager:
    class CountedConnection(HTTPConnection):
        def connect(self) -> None:
            super().connect()
            if self.sock is not None:
                counter.opened(self.sock)

        def close(self) -> None:
            if self.sock is not None:
                counter.closing(self.sock)
            super().close()

    class CountedPool(HTTPConnectionPool):
        ConnectionCls = CountedConnection

    manager = urllib3.PoolManager(maxsize=CONNECTIONS_PER_PEER, block=False, retries=False)
    manager.pool_classes_by_scheme = {"http": CountedPool}
    return manager
