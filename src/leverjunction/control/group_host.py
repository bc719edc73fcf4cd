"""Runs proposals and queries on the local replica if it leads, else forwards them to the leader."""

from __future__ import annotations

import threading
from collections.abc import Callable, Mapping
from typing import Protocol, TypeVar

import msgspec

from leverjunction.clock import Clock
from leverjunction.consensus.api import GroupStatus, ReplicatedGroup
from leverjunction.errors import Execution, Failure, FailureKind, Step
from leverjunction.wire.codec import decode_reply, encode, encode_reply, is_failure_reply
from leverjunction.wire.envelope import Envelope, MessageKind
from leverjunction.wire.silent_peers import SilentPeers

T = TypeVar("T")

LEADER_WAIT_S = 1.5
"""Timeout of a call to the leader. It is below the timeout of a gateway's call to its hub."""

MAX_FORWARDS = 3
"""Peers tried for one call. NOT_LEADER replies lead to the current leader after a change."""

MAX_CONCURRENT_CALLS = 32
"""Default limit of proposals and queries in progress, for gateways and for other hubs each.

Each has its own limit: with a common one, two hubs whose calls wait for each other would deadlock.
The RPC server has more threads than both limits together, so consensus messages are never blocked.
"""

RETRY_AFTER_S = 0.1

CommitCallback = Callable[[str, bytes, bytes], None]
"""Called with the group, the command and the reply once this leader has applied a proposal."""


class RawCaller(Protocol):
    """The method of ``RpcClient`` that ``GroupHost`` needs."""

    def call_raw(
        self,
        peer: str,
        kind: MessageKind,
        body: bytes,
        *,
        group: str = "",
        timeout_s: float = 2.0,
    ) -> bytes | Failure:
        """Send encoded bytes to a peer and return the bytes of its reply."""
        ...


class GroupHost:
    """Gives gateways, operators and the tasks of this process access to all consensus groups.

    Safe to share between threads.

    Args:
        address: RPC address of this process.
        local: Replicas of this process, by group.
        voters: RPC addresses of each group's initial voters, by group.
        rpc: Client for calls to the other control processes.
        clock: Source of monotonic time.
        on_commit: Called on the leader after each applied proposal.
        max_concurrent_calls: Calls in progress at most, for gateways and for other hubs each. The
            RPC server needs more than twice as many threads.
    """

    def __init__(
        self,
        address: str,
        local: Mapping[str, ReplicatedGroup],
        voters: Mapping[str, list[str]],
        rpc: RawCaller,
        clock: Clock,
        on_commit: CommitCallback | None = None,
        max_concurrent_calls: int = MAX_CONCURRENT_CALLS,
    ) -> None:
        self._address = address
        self._local = local
        self._voters = voters
        self._rpc = rpc
        self._clock = clock
        self._on_commit = on_commit
        self._leaders: dict[str, str] = {}
        self._silent_peers = SilentPeers()
        self._client_slots = threading.BoundedSemaphore(max_concurrent_calls)
        self._forward_slots = threading.BoundedSemaphore(max_concurrent_calls)

    @property
    def groups(self) -> list[str]:
        """Names of all groups."""
        return list(self._voters)

    def local(self, group: str) -> ReplicatedGroup | None:
        """Return the local replica of a group, or None if this process has none."""
        return self._local.get(group)

    def statuses(self) -> list[GroupStatus]:
        """Return the status of each local replica."""
        return [replica.status() for replica in self._local.values()]

    def leads(self, group: str) -> bool:
        """Return whether the local replica leads a group."""
        replica = self._local.get(group)
        return replica is not None and replica.status().role == "leader"

    def propose(
        self, group: str, command: msgspec.Struct, reply_type: type[T], timeout_s: float
    ) -> T | Failure:
        """Propose a typed command and return its typed reply."""
        raw = self.call(MessageKind.PROPOSE, group, encode(command), timeout_s)
        return raw if isinstance(raw, Failure) else decode_reply(raw, reply_type, self._address)

    def query(
        self, group: str, query: msgspec.Struct, reply_type: type[T], timeout_s: float
    ) -> T | Failure:
        """Run a typed linearizable query and return its typed reply."""
        raw = self.call(MessageKind.QUERY, group, encode(query), timeout_s)
        return raw if isinstance(raw, Failure) else decode_reply(raw, reply_type, self._address)

    def serve_client(self, envelope: Envelope, peer: str) -> bytes:
        """Handle a PROPOSE or QUERY message from a gateway."""
        with _Slot(self._client_slots) as slot:
            if not slot.taken:
                return encode_reply(_overloaded())
            reply = self.call(envelope.kind, envelope.group, envelope.body, LEADER_WAIT_S)
            return encode_reply(reply) if isinstance(reply, Failure) else reply

    def serve_forwarded(self, envelope: Envelope, peer: str) -> bytes:
        """Handle a call that another hub forwarded: run it here or refuse it, never forward it."""
        with _Slot(self._forward_slots) as slot:
            if not slot.taken:
                return encode_reply(_overloaded())
            kind = _DIRECT[envelope.kind]
            reply = self._run_here(kind, envelope.group, envelope.body, LEADER_WAIT_S)
            return encode_reply(reply) if isinstance(reply, Failure) else reply

    def call(self, kind: MessageKind, group: str, body: bytes, timeout_s: float) -> bytes | Failure:
        """Run an encoded proposal or query on the group's leader and return its encoded reply."""
        return self.run_on_leader(
            group,
            _FORWARDED[kind],
            body,
            lambda: self._run_here(kind, group, body, timeout_s),
            timeout_s,
        )

    def run_on_leader(
        self,
        group: str,
        kind: MessageKind,
        body: bytes,
        run_here: Callable[[], bytes | Failure],
        timeout_s: float,
    ) -> bytes | Failure:
        """Run an operation on a group's leader, in this process or by a message to another one.

        Args:
            group: The group.
            kind: Kind of the message sent to another process, whose handler runs the operation
                there or refuses it.
            body: Body of that message.
            run_here: Runs the operation in this process, or returns NOT_LEADER when another
                process leads the group.
            timeout_s: Limit for the whole call.
        """
        if group not in self._voters:
            return _no_such_group(group)
        deadline_s = self._clock.monotonic_s() + timeout_s
        if group in self._local:
            reply = run_here()
            if not _is_not_leader(reply):
                return reply
            self._learn_leader(group, reply)
        return self._forward(kind, group, body, deadline_s)

    def _run_here(
        self, kind: MessageKind, group: str, body: bytes, timeout_s: float
    ) -> bytes | Failure:
        replica = self._local.get(group)
        if replica is None:
            return _not_leader(group, self._leaders.get(group, ""))
        if kind is MessageKind.QUERY:
            return replica.query(body, timeout_s)
        reply = replica.propose(body, timeout_s)
        if not isinstance(reply, Failure) and self._on_commit is not None:
            self._on_commit(group, body, reply)
        return reply

    def _forward(
        self, kind: MessageKind, group: str, body: bytes, deadline_s: float
    ) -> bytes | Failure:
        tried: set[str] = {self._address}
        reply: bytes | Failure = _not_leader(group, "")
        for _ in range(MAX_FORWARDS):
            target = self._next_target(group, tried)
            left_s = deadline_s - self._clock.monotonic_s()
            if target is None or left_s <= 0:
                break
            tried.add(target)
            reply = self._rpc.call_raw(target, kind, body, group=group, timeout_s=left_s)
            self._silent_peers.record(target, reply, self._clock.monotonic_s())
            refusal = reply if isinstance(reply, Failure) else _refusal_of(reply)
            if refusal is None:
                self._leaders[group] = target
                return reply
            reply = refusal
            self._learn_leader(group, refusal)
            if refusal.execution is not Execution.NOT_RUN:
                # The command may be in the log: only the caller can decide whether to retry.
                return refusal
        return reply

    def _next_target(self, group: str, tried: set[str]) -> str | None:
        # A silent voter would use up the time of each call. It comes first again once another
        # voter names it as the leader.
        voters = self._silent_peers.in_order(self._voters[group])
        candidates = [self._leaders.get(group, ""), *voters]
        return next((peer for peer in candidates if peer and peer not in tried), None)

    def _learn_leader(self, group: str, reply: bytes | Failure) -> None:
        leader = reply.detail if isinstance(reply, Failure) else ""
        if leader:
            self._leaders[group] = leader
        else:
            self._leaders.pop(group, None)


class _Slot:
    """Holds a semaphore for a ``with`` block if it can be acquired without waiting."""

    def __init__(self, semaphore: threading.BoundedSemaphore) -> None:
        self._semaphore = semaphore
        self.taken = False

    def __enter__(self) -> _Slot:
        self.taken = self._semaphore.acquire(blocking=False)
        return self

    def __exit__(self, *_error: object) -> None:
        if self.taken:
            self._semaphore.release()


_FORWARDED = {
    MessageKind.PROPOSE: MessageKind.FORWARDED_PROPOSE,
    MessageKind.QUERY: MessageKind.FORWARDED_QUERY,
}
_DIRECT = {forwarded: direct for direct, forwarded in _FORWARDED.items()}

_RETRY_ELSEWHERE = frozenset({FailureKind.NOT_LEADER, FailureKind.OVERLOADED, FailureKind.STOPPING})


def _refusal_of(reply: bytes) -> Failure | None:
    """Return the failure in a reply if another peer may succeed, else None."""
    if not is_failure_reply(reply):
        return None
    decoded = decode_reply(reply, msgspec.Raw)
    if isinstance(decoded, Failure) and decoded.kind in _RETRY_ELSEWHERE:
        return decoded
    return None


def _is_not_leader(reply: bytes | Failure) -> bool:
    return isinstance(reply, Failure) and reply.kind is FailureKind.NOT_LEADER


def _not_leader(group: str, leader: str) -> Failure:
    return Failure(
        kind=FailureKind.NOT_LEADER,
        reason=f"no leader of group {group} was found; try again shortly",
        step=Step.PROPOSING,
        retry_after_s=RETRY_AFTER_S,
        detail=leader,
        execution=Execution.NOT_RUN,
    )


def _no_such_group(group: str) -> Failure:
    return Failure(
        kind=FailureKind.NOT_FOUND,
        reason=f"there is no group {group!r}",
        step=Step.PROPOSING,
        execution=Execution.NOT_RUN,
    )


def _overloaded() -> Failure:
    return Failure(
        kind=FailureKind.OVERLOADED,
        reason="too many proposals and queries are in progress at this control process",
        step=Step.PROPOSING,
        retry_after_s=RETRY_AFTER_S,
        execution=Execution.NOT_RUN,
    )
