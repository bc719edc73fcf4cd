"""Client for the stores' lots group: tries the stores in turn until the group's leader answers.

A lot is a batch job of opaque items. Stores do not forward these calls: a store that is not the
leader replies at once with the leader's address, or that it knows none. A partitioned store would
delay a call that it had to forward, and forwarding would transfer a lot's bodies between stores one
more time.
"""

from __future__ import annotations

import asyncio
import threading
import time
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from itertools import chain, repeat
from typing import Generic, TypeVar

import msgspec

from leverjunction.clock import steady_s
from leverjunction.errors import Execution, Failure, FailureKind, Step
from leverjunction.lots.commands import LotCommand, encode_command
from leverjunction.registry.follower import RegistryFollower
from leverjunction.registry.records import JOBS_GROUP
from leverjunction.wire.codec import decode_reply, encode
from leverjunction.wire.envelope import MessageKind
from leverjunction.wire.rpc_client import RpcClient
from leverjunction.wire.silent_peers import SilentPeers

T = TypeVar("T")

THREADS = 8
FIRST_ROUND_TIMEOUT_S = 0.25
"""Timeout of the first call; short, so that an unresponsive store is skipped while the caller still
waits.
"""

SEARCH_TIMEOUTS_S = (FIRST_ROUND_TIMEOUT_S, 0.5)
"""Timeouts of the calls of the first rounds of a search for the leader. They grow, because all
stores may be slow, and a round must soon end while the stores elect another leader.
"""

CALL_TIMEOUT_S = 1.8
"""Timeout of each call of later rounds, and of calls to a leader that is known to be slow."""

MIN_TIMEOUT_S = 0.01

ROUND_PAUSE_S = 0.1
"""Pause between two rounds over the stores, which may be electing a leader."""

MIN_BYTES_PER_S = 1_000_000
"""Lowest transfer rate to allow for: timeouts grow by the size of a call divided by this rate."""

CALL_BUDGET_S = 3.0
"""Time of a call, from its start to its last reply: after it the caller has turned to another
gateway, and the thread is needed for other calls.
"""

RETRY_AFTER_S = 0.5

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


class _Question(Generic[T]):
    """One call on the group, and what became of it.

    Attributes:
        kind: Kind of the message to the leader.
        body: Encoded command or query.
        reply_type: Type of the reply.
        is_final: A reply was received, or a failure that another store would return as well.
    """

    __slots__ = ("_deadline_s", "_may_have_run", "_reply", "body", "is_final", "kind", "reply_type")

    def __init__(
        self, kind: MessageKind, body: bytes, reply_type: type[T], deadline_s: float
    ) -> None:
        self.kind = kind
        self.body = body
        self.reply_type = reply_type
        self.is_final = False
        self._deadline_s = deadline_s
        self._reply: T | Failure | None = None
        self._may_have_run = False

    def left_s(self) -> float:
        """Return the rest of the call's time in seconds."""
        return self._deadline_s - steady_s()

    def take(self, reply: T | Failure) -> None:
        """Take the reply of a store, or the failure to get one."""
        self._reply = reply
        self.is_final = not isinstance(reply, Failure) or not _may_succeed_elsewhere(reply)
        if isinstance(reply, Failure):
            self._may_have_run = self._may_have_run or reply.execution is not Execution.NOT_RUN

    def result(self, *, has_stores: bool) -> T | Failure:
        """Return the reply, else a failure whose ``execution`` covers all attempts."""
        reply = self._reply
        if reply is None:
            return _not_sent() if has_stores else _no_store()
        # An earlier attempt may still reach the leader after the refusal of a later one.
        if isinstance(reply, Failure) and self._may_have_run:
            return msgspec.structs.replace(reply, execution=Execution.UNKNOWN)
        return reply


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
        self._silent_peers = SilentPeers()
        self._leader = ""
        self._leader_took_s = 0.0
        self._answers = 0
        self._search_lock = threading.Lock()

    async def propose(self, command: LotCommand, reply_type: type[T]) -> T | Failure:
        """Replicate a command and return the reply to it; commands are safe to repeat.

        Args:
            command: The command.
            reply_type: Type of the reply.

        Returns:
            The reply, or a failure whose ``execution`` says whether the command may have run.
        """
        return await self._in_thread(
            self._ask_leader, MessageKind.FORWARDED_PROPOSE, encode_command(command), reply_type
        )

    async def query(self, query: msgspec.Struct, reply_type: type[T]) -> T | Failure:
        """Run a query on a store in this zone if its state is recent, otherwise on the leader.

        Args:
            query: The query.
            reply_type: Type of the reply.

        Returns:
            The reply, or the failure of the last store tried.
        """
        return await self._in_thread(
            self._query, MessageKind.FORWARDED_QUERY, encode(query), reply_type
        )

    async def _in_thread(
        self,
        call: Callable[[_Question[T]], T | Failure],
        kind: MessageKind,
        body: bytes,
        reply_type: type[T],
    ) -> T | Failure:
        # The time in the queue counts: a caller that waited for so long has turned elsewhere.
        deadline_s = steady_s() + CALL_BUDGET_S + len(body) / MIN_BYTES_PER_S
        question = _Question(kind, body, reply_type, deadline_s)
        loop = asyncio.get_running_loop()
        return await loop.run_in_executor(self._threads, call, question)

    def _query(self, question: _Question[T]) -> T | Failure:
        local_store = self._local_store()
        if local_store is not None and self._silent_peers.may_try(local_store, steady_s()):
            timeout_s = min(FIRST_ROUND_TIMEOUT_S, question.left_s())
            if timeout_s > 0:
                reply = self._call(question, local_store, MessageKind.RECENT_QUERY, timeout_s)
                if not isinstance(reply, Failure):
                    return reply
                self._leader = reply.detail or self._leader
        return self._ask_leader(question, ask_last=local_store)

    def _ask_leader(self, question: _Question[T], ask_last: str | None = None) -> T | Failure:
        """Ask the leader that is known; if it does not answer, look for another one.

        One thread at a time looks for the leader, and the others wait for what it finds: otherwise
        each caller would ask each store, and all threads would wait for the same silent one.

        Args:
            question: The call.
            ask_last: Store to try last in each round, since it has just failed to answer.
        """
        is_slow = self._leader_took_s > FIRST_ROUND_TIMEOUT_S
        timeout_s = CALL_TIMEOUT_S if is_slow else FIRST_ROUND_TIMEOUT_S
        # A call that cannot get its reply in time would only delay those that can.
        while question.left_s() > self._leader_took_s:
            leader = self._usable_leader()
            if leader and self._ask(question, leader, timeout_s):
                break
            # If another thread finds the same leader, it is slow rather than silent.
            timeout_s = CALL_TIMEOUT_S
            answers = self._answers
            if not self._search_lock.acquire(timeout=max(0.0, question.left_s())):
                break
            try:
                if answers == self._answers:
                    self._leader_took_s = 0.0
                    self._search(question, ask_last)
                    break
            finally:
                self._search_lock.release()
        return question.result(has_stores=bool(self._voters()))

    def _search(self, question: _Question[T], ask_last: str | None) -> None:
        """Call the stores in turn, round after round, until one answers or the time is over.

        The order is evaluated before each call, so that a leader named by a reply comes next.
        """
        for timeout_s in chain(SEARCH_TIMEOUTS_S, repeat(CALL_TIMEOUT_S)):
            asked: set[str] = set()
            has_refusal = False
            while store := next(
                (item for item in self._stores(ask_last) if item not in asked), None
            ):
                if question.left_s() <= 0:
                    return
                asked.add(store)
                if self._ask(question, store, self._patience_s(store, timeout_s, has_refusal)):
                    return
                has_refusal = has_refusal or not self._silent_peers.is_silent(store)
            if question.left_s() <= ROUND_PAUSE_S:
                return
            time.sleep(ROUND_PAUSE_S)

    def _patience_s(self, store: str, timeout_s: float, has_refusal: bool) -> float:
        """Return the timeout of a call: short for a silent store that the others do not name.

        The stores that refused in this round would name a leader that is merely slow.
        """
        is_not_named = has_refusal and store != self._leader
        is_gone = is_not_named and self._silent_peers.is_silent(store)
        return FIRST_ROUND_TIMEOUT_S if is_gone else timeout_s

    def _ask(self, question: _Question[T], store: str, timeout_s: float) -> bool:
        """Call a store as the leader; return whether its reply ends the call."""
        transfer_s = len(question.body) / MIN_BYTES_PER_S
        timeout_s = min(timeout_s + transfer_s, max(question.left_s(), MIN_TIMEOUT_S))
        sent_s = steady_s()
        reply = self._call(question, store, question.kind, timeout_s)
        question.take(reply)
        is_own_failure = isinstance(reply, Failure) and reply.peer == store
        if question.is_final and not is_own_failure:
            self._leader = store
            self._leader_took_s = max(0.0, steady_s() - sent_s - transfer_s)
            self._answers += 1
        elif isinstance(reply, Failure) and not question.is_final:
            self._leader = reply.detail or ("" if store == self._leader else self._leader)
        return question.is_final

    def _call(
        self, question: _Question[T], store: str, kind: MessageKind, timeout_s: float
    ) -> T | Failure:
        raw = self._rpc.call_raw(store, kind, question.body, group=JOBS_GROUP, timeout_s=timeout_s)
        self._silent_peers.record(store, raw, steady_s())
        return raw if isinstance(raw, Failure) else decode_reply(raw, question.reply_type, store)

    def _usable_leader(self) -> str:
        """Return the leader that is known unless it is silent, else an empty string."""
        leader = self._leader
        is_usable = leader in self._voters() and not self._silent_peers.is_silent(leader)
        return leader if is_usable else ""

    def _stores(self, ask_last: str | None) -> list[str]:
        """Return the stores in the order in which to ask them for the leader, silent ones last."""
        return sorted(
            self._silent_peers.in_order(self._voters()),
            key=lambda address: (
                self._silent_peers.is_silent(address),
                address != self._leader,
                address == ask_last,
            ),
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


def _may_succeed_elsewhere(failure: Failure) -> bool:
    """Return whether another store may answer a call that failed at one."""
    return failure.kind in _TRY_NEXT_KINDS or failure.step is Step.STORING


def _no_store() -> Failure:
    return Failure(
        kind=FailureKind.NO_QUORUM,
        reason="no store machine is known yet",
        step=Step.QUERYING,
        retry_after_s=RETRY_AFTER_S,
        execution=Execution.NOT_RUN,
    )


def _not_sent() -> Failure:
    return Failure(
        kind=FailureKind.DEADLINE_EXCEEDED,
        reason="the call waited too long for the leader of the stores and was not sent",
        step=Step.QUEUEING,
        retry_after_s=RETRY_AFTER_S,
        execution=Execution.NOT_RUN,
    )
