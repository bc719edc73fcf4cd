"""Client for the stores' lots group: tries the stores in turn until the group's leader answers.

A lot is a batch job of opaque items. Stores do not forward these calls: a store that is not the
leader replies at once with the leader's address, or that it knows none. A partitioned store would
delay a call that it had to forward, and forwarding would transfer a lot's bodies between stores one
more time.
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
FIRST_ROUND_TIMEOUT_S = 0.25
"""Timeout of each call of the first round; short, so that an unresponsive store is skipped while
the caller still waits.
"""

CALL_TIMEOUT_S = 1.8
"""Timeout of each call of later rounds; longer, because all stores may be slow."""

ROUND_PAUSE_S = 0.1
"""Pause between two rounds over the stores, which may be electing a leader."""

MIN_BYTES_PER_S = 1_000_000
"""Lowest transfer rate to allow for: timeouts grow by the size of a call divided by this rate."""

CALL_BUDGET_S = 3.0
"""Time for all stores together: after it the caller has turned to another gateway, and the thread
is needed for other calls.
"""

_TRY_NEXT_KINDS = frozenset(
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
    """Asynchronous client of the lots group; the blocking RPC calls run in a thread pool.

    Use it from one event loop only.

    Args:
        rpc: Client of the internal RPC.
        follower: Source of the stores' addresses and zones.
        zone: Zone of this process; reads go to a store in the same zone if there is one.
    """

    def __init__(self, rpc: RpcClient, follower: RegistryFollower, zone: str) -> None:
        self._rpc = rpc
        self._follower = follower
        self._zone = zone
        self._threads = ThreadPoolExecutor(THREADS, thread_name_prefix="lots")
        self._leader = ""

    async def propose(self, command: LotCommand, reply_type: type[T]) -> T | Failure:
        """Replicate a command and return the reply to it; commands are safe to repeat.

        Args:
            command: The command.
            reply_type: Type of the reply.

        Returns:
            The reply, or a failure whose ``execution`` says whether the command may have run.
        """
        return await self._in_thread(self._propose, encode_command(command), reply_type)

    async def query(self, query: msgspec.Struct, reply_type: type[T]) -> T | Failure:
        """Run a query on a store in this zone if its state is recent, otherwise on the leader.

        Args:
            query: The query.
            reply_type: Type of the reply.

        Returns:
            The reply, or the failure of the last store tried.
        """
        return await self._in_thread(self._query, encode(query), reply_type)

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

    def _query(self, body: bytes, reply_type: type[T]) -> T | Failure:
        local_store = self._local_store()
        if local_store is not None:
            raw = self._rpc.call_raw(
                local_store,
                MessageKind.RECENT_QUERY,
                body,
                group=JOBS_GROUP,
                timeout_s=FIRST_ROUND_TIMEOUT_S,
            )
            reply = raw if isinstance(raw, Failure) else decode_reply(raw, reply_type, local_store)
            if not isinstance(reply, Failure):
                return reply
            self._leader = reply.detail or self._leader
        return self._ask_leader(MessageKind.FORWARDED_QUERY, body, reply_type, ask_last=local_store)

    def _ask_leader(
        self, kind: MessageKind, body: bytes, reply_type: type[T], ask_last: str | None = None
    ) -> T | Failure:
        """Call the stores in turn until the leader answers or the time budget is used up.

        Args:
            kind: Kind of the message.
            body: Encoded command or query.
            reply_type: Type of the reply.
            ask_last: Store to try last in each round, since it has just failed to answer.
        """
        transfer_s = len(body) / MIN_BYTES_PER_S
        deadline_s = steady_s() + CALL_BUDGET_S + transfer_s
        failure = _no_store()
        may_have_run = False
        for store, timeout_s in self._attempts(deadline_s, ask_last):
            call_timeout_s = min(timeout_s + transfer_s, deadline_s - steady_s())
            raw = self._rpc.call_raw(store, kind, body, group=JOBS_GROUP, timeout_s=call_timeout_s)
            reply = raw if isinstance(raw, Failure) else decode_reply(raw, reply_type, store)
            if not isinstance(reply, Failure):
                self._leader = store
                return reply
            may_have_run = may_have_run or reply.execution is not Execution.NOT_RUN
            if reply.kind not in _TRY_NEXT_KINDS:
                return reply
            self._leader = reply.detail or ("" if store == self._leader else self._leader)
            failure = reply
        if may_have_run:
            return msgspec.structs.replace(failure, execution=Execution.UNKNOWN)
        return failure

    def _attempts(self, deadline_s: float, ask_last: str | None) -> Iterator[tuple[str, float]]:
        """Yield the stores to call and the timeout of each call in seconds, round after round.

        The order is evaluated before each call, so that a leader named by a reply comes next.
        """
        timeout_s = FIRST_ROUND_TIMEOUT_S
        while True:
            asked: set[str] = set()
            while store := next(
                (item for item in self._stores(ask_last) if item not in asked), None
            ):
                if steady_s() >= deadline_s:
                    return
                asked.add(store)
                yield store, timeout_s
            if steady_s() + ROUND_PAUSE_S >= deadline_s:
                return
            time.sleep(ROUND_PAUSE_S)
            timeout_s = CALL_TIMEOUT_S

    def _stores(self, ask_last: str | None) -> list[str]:
        return sorted(
            self._voters(), key=lambda address: (address != self._leader, address == ask_last)
        )

    def _voters(self) -> tuple[str, ...]:
        snapshot = self._follower.snapshot()
        return snapshot.view.voters(JOBS_GROUP) if snapshot is not None else ()

    def _local_store(self) -> str | None:
        """Return a voter of the group in this zone, preferably the leader; None if none."""
        snapshot = self._follower.snapshot()
        if snapshot is None:
            return None
        voters = self._voters()
        same_zone = [
            member.address
            for member in snapshot.view.members
            if member.zone == self._zone and member.address in voters
        ]
        return min(same_zone, key=lambda address: (address != self._leader, address), default=None)


def _no_store() -> Failure:
    return Failure(
        kind=FailureKind.NO_QUORUM,
        reason="no store machine is known yet",
        step=Step.QUERYING,
        retry_after_s=0.5,
    )
