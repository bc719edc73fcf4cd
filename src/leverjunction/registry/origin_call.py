"""Calls about the origins of streams; all of them may be repeated."""

from __future__ import annotations

from typing import TypeVar

import msgspec

from leverjunction.clock import steady_s
from leverjunction.errors import Failure
from leverjunction.wire.envelope import MessageKind
from leverjunction.wire.rpc_client import RpcClient

T = TypeVar("T")

CALL_TIMEOUT_S = 0.3
CALL_ATTEMPTS = 3
"""Calls at once after one that failed at once: after a reset, kept connections are useless."""


def call_again(
    rpc: RpcClient, peer: str, kind: MessageKind, message: msgspec.Struct, reply_type: type[T]
) -> T | Failure:
    """Call a process, again at once if the call fails at once."""
    until_s = steady_s() + CALL_TIMEOUT_S / 2
    for _ in range(CALL_ATTEMPTS - 1):
        reply = rpc.call(peer, kind, message, reply_type, timeout_s=CALL_TIMEOUT_S)
        if not isinstance(reply, Failure) or steady_s() >= until_s:
            return reply
    return rpc.call(peer, kind, message, reply_type, timeout_s=CALL_TIMEOUT_S)


__all__ = ["call_again"]
