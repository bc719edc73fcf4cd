"""Carries consensus messages between control processes by the internal RPC."""

from __future__ import annotations

from collections.abc import Callable, Mapping

from leverjunction.errors import Failure
from leverjunction.wire.envelope import Envelope, MessageKind
from leverjunction.wire.rpc_client import SLOWEST_BYTES_PER_S, RpcClient

SEND_TIMEOUT_S = 1.0
"""For a small message. A large one is given its time on the way besides: it is sent once it lies in
this machine's buffers, long before it has arrived.
"""

Receive = Callable[[bytes], bytes]
"""A local replica's ``receive``: takes encoded messages, returns its encoded replies."""


class RpcRaftTransport:
    """The transport that ``consensus.group.GroupReplica`` asks for. Safe between threads.

    Order, batching and loss are the replica's business: it has one sender thread for each peer.
    """

    def __init__(self, rpc: RpcClient) -> None:
        self._rpc = rpc

    def send(self, peer_address: str, group: str, body: bytes) -> bytes | Failure:
        """Call a peer's replica and return the body of its answer."""
        timeout_s = SEND_TIMEOUT_S + len(body) / SLOWEST_BYTES_PER_S
        return self._rpc.call_raw(
            peer_address, MessageKind.RAFT, body, group=group, timeout_s=timeout_s
        )


def serve_raft(receivers: Mapping[str, Receive], envelope: Envelope) -> bytes:
    """Give a peer's messages to the group's local replica; dropped when none lives here."""
    receive = receivers.get(envelope.group)
    return receive(envelope.body) if receive is not None else b""
