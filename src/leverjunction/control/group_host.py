"""Proposals and queries: run on the local replica when it leads, else passed on to the leader."""

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

T = TypeVar("T")

LEADER_WAIT_S = 1.5
"""Longest wait for the leader's answer; below the gateways' own wait for their hub."""

HOPS = 3
"""Peers tried for one call: a leader that moved is found by following NOT_LEADER."""

CALLS_AT_ONCE = 32
"""Proposals and queries in progress, for gateways and for other hubs each.

The two are counted apart: two hubs whose calls wait for each other would otherwise stop for good.
The RPC server has more threads than both, so consensus messages are never held up.
"""

RETRY_AFTER_S = 0.1

Committed = Callable[[str, bytes, bytes], None]
"""Told of a group, command and reply after a proposal was applied on this leader."""


class RawCaller(Protocol):
    """The part of ``RpcClient`` that is used here."""

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
    """All groups as this process offers them to gateways, operators and its own tasks.

    Safe to share between threads.

    Args:
        address: RPC address of this process.
        local: Replicas that live here, by group.
        voters: RPC addresses of each group's first voters, by group.
        rpc: Client towards the other control processes.
        clock: Source of monotonic time.
        committed: Called on the leader after each applied proposal.
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
        committed: Committed | None = None,
        max_concurrent_calls: int = CALLS_AT_ONCE,
    ) -> None:
        self._address = address
        self._local = local
        self._voters = voters
        self._rpc = rpc
        self._clock = clock
        self._committed = committed
        self._leaders: dict[str, str] = {}
        self._client_slots = threading.BoundedSemaphore(max_concurrent_calls)
        self._forward_slots = threading.BoundedSemaphore(max_concurrent_calls)

    @property
    def groups(self) -> list[str]:
        """Names of all groups."""
        return list(self._voters)

    def local(self, group: str) -> ReplicatedGroup | None:
        """Return the local replica of a group, or None when none lives here."""
        return self._local.get(group)

    def statuses(self) -> list[GroupStatus]:
        """Return what the local replicas know of their groups."""
        return [replica.status() for replica in self._local.values()]

    def leads(self, group: str) -> bool:
        """Return whether the local replica leads a group."""
        replica = self._local.get(group)
        return replica is not None and replica.status().role == "leader"

    def propose(
        self, group: str, command: msgspec.Struct, reply_type: type[T], timeout_s: float
    ) -> T | Failure:
        """Propose a typed command for a task or an operator of this process."""
        raw = self.call(MessageKind.PROPOSE, group, encode(command), timeout_s)
        return raw if isinstance(raw, Failure) else decode_reply(raw, reply_type, self._address)

    def query(
        self, group: str, query: msgspec.Struct, reply_type: type[T], timeout_s: float
    ) -> T | Failure:
        """Ask a typed linearizable query for a task or an operator of this process."""
        raw = self.call(MessageKind.QUERY, group, encode(query), timeout_s)
        return raw if isinstance(raw, Failure) else decode_reply(raw, reply_type, self._address)

    def serve_client(self, envelope: Envelope, peer: str) -> bytes:
        """RPC handler of PROPOSE and QUERY, as gateways send them."""
        with _Slot(self._client_slots) as slot:
            if not slot.taken:
                return encode_reply(_overloaded())
            reply = self.call(envelope.kind, envelope.group, envelope.body, LEADER_WAIT_S)
            return encode_reply(reply) if isinstance(reply, Failure) else reply

    def serve_forwarded(self, envelope: Envelope, peer: str) -> bytes:
        """RPC handler of calls that another hub passed on: run here or refused, never sent on."""
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
        """Have a group's leader do something: this process, or another by a message of ``kind``.

        Args:
            group: The group.
            kind: Message that another process gets; it must run it there or refuse.
            body: Body of that message.
            run_here: Does it here; returns NOT_LEADER when another process leads.
            timeout_s: Longest wait in all.
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
        if not isinstance(reply, Failure) and self._committed is not None:
            self._committed(group, body, reply)
        return reply

    def _forward(
        self, kind: MessageKind, group: str, body: bytes, deadline_s: float
    ) -> bytes | Failure:
        tried: set[str] = {self._address}
        reply: bytes | Failure = _not_leader(group, "")
        for _ in range(HOPS):
            target = self._next_target(group, tried)
            left_s = deadline_s - self._clock.monotonic_s()
            if target is None or left_s <= 0:
                break
            tried.add(target)
            reply = self._rpc.call_raw(target, kind, body, group=group, timeout_s=left_s)
            refusal = reply if isinstance(reply, Failure) else _refusal_of(reply)
            if refusal is None:
                self._leaders[group] = target
                return reply
            reply = refusal
            self._learn_leader(group, refusal)
            if refusal.execution is not Execution.NOT_RUN:
                # It may have been appended: only the caller may decide on another try.
                return refusal
        return reply

    def _next_target(self, group: str, tried: set[str]) -> str | None:
        candidates = [self._leaders.get(group, ""), *self._voters[group]]
        return next((peer for peer in candidates if peer and peer not in tried), None)

    def _learn_leader(self, group: str, reply: bytes | Failure) -> None:
        leader = reply.detail if isinstance(reply, Failure) else ""
        if leader:
            self._leaders[group] = leader
        else:
            self._leaders.pop(group, None)


class _Slot:
    """Takes a place in a semaphore without waiting, for the length of a ``with`` block."""

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

_PASSED_ON = frozenset({FailureKind.NOT_LEADER, FailureKind.OVERLOADED, FailureKind.STOPPING})


def _refusal_of(reply: bytes) -> Failure | None:
    """Return the failure in a reply if it says that another peer should be tried."""
    if not is_failure_reply(reply):
        return None
    decoded = decode_reply(reply, msgspec.Raw)
    if isinstance(decoded, Failure) and decoded.kind in _PASSED_ON:
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
    )


def _no_such_group(group: str) -> Failure:
    return Failure(
        kind=FailureKind.NOT_FOUND, reason=f"there is no group {group!r}", step=Step.PROPOSING
    )


def _overloaded() -> Failure:
    return Failure(
        kind=FailureKind.OVERLOADED,
        reason="too many proposals and queries are in progress at this control process",
        step=Step.PROPOSING,
        retry_after_s=RETRY_AFTER_S,
    )
