"""Sends and receives consensus messages over the internal RPC."""

from __future__ import annotations

from collections.abc import Callable, Mapping

from leverjunction.errors import Failure
from leverjunction.wire.envelope import Envelope, MessageKind
from leverjunction.wire.rpc_client import MIN_LINK_BYTES_PER_S, RpcClient

SEND_TIMEOUT_S = 1.0
"""Reply timeout for a small message. The transfer time of a large one is added: the RPC client
counts it as sent once it is in the local socket buffers, long before it has arrived.
"""

Receive = Callable[[bytes], bytes]
"""The ``receive`` method of a local replica, from encoded messages to encoded replies."""


class RpcRaftTransport:
    """Implements the ``RaftTransport`` of a ``GroupReplica``. Safe to share between threads.

    The replica handles order, batching and loss, with one sender thread for each peer.
    """

    def __init__(self, rpc: RpcClient) -> None:
        self._rpc = rpc

    def send(self, peer_address: str, group: str, body: bytes) -> bytes | Failure:
        """Send messages to a peer's replica and return the body of the reply."""
        timeout_s = SEND_TIMEOUT_S + len(body) / MIN_LINK_BYTES_PER_S
        return self._rpc.call_raw(
            peer_address, MessageKind.RAFT, body, group=group, timeout_s=timeout_s
        )


def serve_raft(receivers: Mapping[str, Receive], envelope: Envelope) -> bytes:
    """Pass a peer's messages to the local replica of the group; drop them if there is none."""
    receive = receivers.get(envelope.group)
    return receive(envelope.body) if receive is not None else b""
