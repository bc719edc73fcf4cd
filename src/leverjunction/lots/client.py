"""Calls of a gateway to the stores: one after the other until the group's leader has answered."""

from __future__ import annotations

import asyncio
import time
from concurrent.futures import ThreadPoolExecutor
from typing import TypeVar

import msgspec

from leverjunction.errors import Execution, Failure, FailureKind, Step
from leverjunction.lots.commands import LotCommand, encode_command
from leverjunction.registry.follower import RegistryFollower
from leverjunction.registry.records import JOBS_GROUP
from leverjunction.wire.codec import decode_reply, encode
from leverjunction.wire.envelope import MessageKind
from leverjunction.wire.rpc_client import RpcClient

T = TypeVar("T")

THREADS = 8
CALL_TIMEOUT_S = 1.8
"""Above the time that a store waits for the group's leader."""

ROUNDS = 2
CALL_BUDGET_S = 3.0
"""For all stores together: a caller has turned to another gateway by then, and the thread is
needed for others.
"""

_TRY_NEXT = frozenset(
    {
        FailureKind.UNREACHABLE,
        FailureKind.NOT_LEADER,
        FailureKind.NO_QUORUM,
        FailureKind.STOPPING,
        FailureKind.OVERLOADED,
        FailureKind.TIMEOUT,
    }
)


class LotsClient:
    """Used from one event loop; the calls run in threads of their own."""

    def __init__(self, rpc: RpcClient, follower: RegistryFollower) -> None:
        self._rpc = rpc
        self._follower = follower
        self._threads = ThreadPoolExecutor(THREADS, thread_name_prefix="lots")
        self._leader = ""

    async def propose(self, command: LotCommand, reply_type: type[T]) -> T | Failure:
        """Have a command replicated. Repeating it is harmless."""
        return await self._run(MessageKind.PROPOSE, encode_command(command), reply_type)

    async def query(self, query: msgspec.Struct, reply_type: type[T]) -> T | Failure:
        """Ask a linearizable query."""
        return await self._run(MessageKind.QUERY, encode(query), reply_type)

    async def _run(self, kind: MessageKind, body: bytes, reply_type: type[T]) -> T | Failure:
        loop = asyncio.get_running_loop()
        return await loop.run_in_executor(self._threads, self._call, kind, body, reply_type)

    def _call(self, kind: MessageKind, body: bytes, reply_type: type[T]) -> T | Failure:
        failure = _no_store()
        maybe_ran = False
        until_s = time.monotonic() + CALL_BUDGET_S
        for store in self._stores() * ROUNDS:
            timeout_s = min(CALL_TIMEOUT_S, until_s - time.monotonic())
            if timeout_s <= 0:
                break
            raw = self._rpc.call_raw(store, kind, body, group=JOBS_GROUP, timeout_s=timeout_s)
            reply = raw if isinstance(raw, Failure) else decode_reply(raw, reply_type, store)
            if not isinstance(reply, Failure):
                self._leader = store
                return reply
            maybe_ran = maybe_ran or reply.execution is not Execution.NOT_RUN
            if reply.kind not in _TRY_NEXT:
                return reply
            if reply.detail:
                self._leader = reply.detail
            failure = reply
        if maybe_ran:
            return msgspec.structs.replace(failure, execution=Execution.UNKNOWN)
        return failure

    def _stores(self) -> list[str]:
        snapshot = self._follower.snapshot()
        group = snapshot.view.group(JOBS_GROUP) if snapshot is not None else None
        voters = list(group.voters) if group is not None else []
        return sorted(voters, key=lambda address: address != self._leader)


def _no_store() -> Failure:
    return Failure(
        kind=FailureKind.NO_QUORUM,
        reason="no store machine is known yet",
        step=Step.QUERYING,
        retry_after_s=0.5,
    )
