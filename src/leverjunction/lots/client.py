"""Calls of a gateway to the stores: one after the other until the group's leader has answered.

A store that does not lead is not asked to pass a call on: it says at once who leads, or that it
does not know. One that is cut off from the others would hold the call, and a lot's bodies would
cross between stores once more.
"""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable, Iterator
from concurrent.futures import ThreadPoolExecutor
from typing import TypeVar

import msgspec

from leverjunction.clock import steady_s
from leverjunction.errors import Execution, Failure, FailureKind, Step
from leverjunction.lots.commands import LotCommand, encode_command
from leverjunction.registry.follower import RegistryFollower
from leverjunction.registry.records import JOBS_GROUP
from leverjunction.wire.codec import decode_reply, encode
from leverjunction.wire.envelope import MessageKind
from leverjunction.wire.rpc_client import RpcClient

T = TypeVar("T")

THREADS = 8
FIRST_TIMEOUT_S = 0.25
"""For the stores' first answers: a silent one is passed over while the caller still waits."""

CALL_TIMEOUT_S = 1.8
"""From then on: they may all be slow."""

ROUND_PAUSE_S = 0.1
"""Between two rounds over the stores, while they elect a leader."""

SLOWEST_BYTES_PER_S = 1_000_000
"""Large calls may take as much longer as this."""

CALL_BUDGET_S = 3.0
"""For all stores together: a caller has turned to another gateway by then, and the thread is
needed for others.
"""

_TRY_NEXT = frozenset(
    {
        FailureKind.UNREACHABLE,
        FailureKind.NOT_LISTENING,
        FailureKind.NOT_LEADER,
        FailureKind.NO_QUORUM,
        FailureKind.STOPPING,
        FailureKind.OVERLOADED,
        FailureKind.TIMEOUT,
    }
)


class LotsClient:
    """Used from one event loop; the calls run in threads of their own.

    Args:
        rpc: Client of the internal RPC.
        follower: Knows the stores.
        zone: Zone of this process: its own zone's store is read from.
    """

    def __init__(self, rpc: RpcClient, follower: RegistryFollower, zone: str) -> None:
        self._rpc = rpc
        self._follower = follower
        self._zone = zone
        self._threads = ThreadPoolExecutor(THREADS, thread_name_prefix="lots")
        self._leader = ""

    async def propose(self, command: LotCommand, reply_type: type[T]) -> T | Failure:
        """Have a command replicated. Repeating it is harmless."""
        return await self._in_thread(self._propose, encode_command(command), reply_type)

    async def query(self, query: msgspec.Struct, reply_type: type[T]) -> T | Failure:
        """Ask a query, of a store nearby if its state is recent, else of the leader."""
        return await self._in_thread(self._read, encode(query), reply_type)

    async def _in_thread(
        self,
        call: Callable[[bytes, type[T]], T | Failure],
        body: bytes,
        reply_type: type[T],
    ) -> T | Failure:
        loop = asyncio.get_running_loop()
        return await loop.run_in_executor(self._threads, call, body, reply_type)

    def _propose(self, body: bytes, reply_type: type[T]) -> T | Failure:
        return self._ask_leader(MessageKind.FORWARDED_PROPOSE, body, reply_type)

    def _read(self, body: bytes, reply_type: type[T]) -> T | Failure:
        near = self._near_store()
        if near is not None:
            raw = self._rpc.call_raw(
                near,
                MessageKind.RECENT_QUERY,
                body,
                group=JOBS_GROUP,
                timeout_s=FIRST_TIMEOUT_S,
            )
            reply = raw if isinstance(raw, Failure) else decode_reply(raw, reply_type, near)
            if not isinstance(reply, Failure):
                return reply
            self._leader = reply.detail or self._leader
        return self._ask_leader(MessageKind.FORWARDED_QUERY, body, reply_type, last=near)

    def _ask_leader(
        self, kind: MessageKind, body: bytes, reply_type: type[T], last: str | None = None
    ) -> T | Failure:
        """Ask the stores until the leader answers; ``last`` did not answer a moment ago."""
        sending_s = len(body) / SLOWEST_BYTES_PER_S
        until_s = steady_s() + CALL_BUDGET_S + sending_s
        failure = _no_store()
        maybe_ran = False
        for store, timeout_s in self._tries(until_s, last):
            most_s = min(timeout_s + sending_s, until_s - steady_s())
            raw = self._rpc.call_raw(store, kind, body, group=JOBS_GROUP, timeout_s=most_s)
            reply = raw if isinstance(raw, Failure) else decode_reply(raw, reply_type, store)
            if not isinstance(reply, Failure):
                self._leader = store
                return reply
            maybe_ran = maybe_ran or reply.execution is not Execution.NOT_RUN
            if reply.kind not in _TRY_NEXT:
                return reply
            self._leader = reply.detail or ("" if store == self._leader else self._leader)
            failure = reply
        if maybe_ran:
            return msgspec.structs.replace(failure, execution=Execution.UNKNOWN)
        return failure

    def _tries(self, until_s: float, last: str | None) -> Iterator[tuple[str, float]]:
        """Yield the stores to ask and for how long, round after round, a told leader next."""
        timeout_s = FIRST_TIMEOUT_S
        while True:
            asked: set[str] = set()
            while store := next((item for item in self._stores(last) if item not in asked), None):
                if steady_s() >= until_s:
                    return
                asked.add(store)
                yield store, timeout_s
            if steady_s() + ROUND_PAUSE_S >= until_s:
                return
            time.sleep(ROUND_PAUSE_S)
            timeout_s = CALL_TIMEOUT_S

    def _stores(self, last: str | None) -> list[str]:
        return sorted(
            self._voters(), key=lambda address: (address != self._leader, address == last)
        )

    def _voters(self) -> tuple[str, ...]:
        snapshot = self._follower.snapshot()
        return snapshot.view.voters(JOBS_GROUP) if snapshot is not None else ()

    def _near_store(self) -> str | None:
        """Return a store of the group in this zone, the leader if it is there."""
        snapshot = self._follower.snapshot()
        if snapshot is None:
            return None
        voters = self._voters()
        here = [
            member.address
            for member in snapshot.view.members
            if member.zone == self._zone and member.address in voters
        ]
        return min(here, key=lambda address: (address != self._leader, address), default=None)


def _no_store() -> Failure:
    return Failure(
        kind=FailureKind.NO_QUORUM,
        reason="no store machine is known yet",
        step=Step.QUERYING,
        retry_after_s=0.5,
    )
