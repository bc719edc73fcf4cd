"""Proposals and reads that are waiting for their results on this replica."""

from __future__ import annotations

from collections.abc import Callable

from leverjunction.consensus.types import LogPosition
from leverjunction.errors import Execution, Failure, FailureKind, Step


class RequestTable:
    """Maps waiting requests to the log positions that complete them."""

    def __init__(self, answer: Callable[[int, bytes | Failure], None]) -> None:
        self._answer = answer
        self._proposals: dict[int, tuple[int, int]] = {}
        self._pending_queries: dict[int, bytes] = {}
        self._ready_reads: dict[int, int] = {}

    def add_read(self, request_id: int, query: bytes) -> None:
        """Store the query of a read until the read may be answered."""
        self._pending_queries[request_id] = query

    def forget(self, request_id: int) -> None:
        """Drop a read whose caller timed out; a proposal stays until its outcome is known."""
        self._pending_queries.pop(request_id, None)
        self._ready_reads.pop(request_id, None)

    def appended(self, request_id: int, position: LogPosition) -> None:
        """Record that a proposal is waiting for the entry at ``position``."""
        self._proposals[position.index] = (position.term, request_id)

    def refused(self, request_id: int, leader_address: str) -> None:
        """Answer a request that the core refused, since this replica is not the leader."""
        self.forget(request_id)
        self._answer(request_id, not_leader_failure(leader_address))

    def read_ready(self, request_id: int, index: int) -> None:
        """Record that a read may be answered once ``index`` is applied."""
        if request_id in self._pending_queries:
            self._ready_reads[request_id] = index

    def due_reads(self, applied_index: int) -> list[tuple[int, bytes]]:
        """Remove and return the request id and query of each read that may be answered now."""
        due = [
            request_id for request_id, index in self._ready_reads.items() if index <= applied_index
        ]
        for request_id in due:
            del self._ready_reads[request_id]
        return [(request_id, self._pending_queries.pop(request_id)) for request_id in due]

    def applied(self, index: int, term: int, reply: bytes) -> None:
        """Answer the proposal that is waiting for this entry, if any."""
        waiting = self._proposals.pop(index, None)
        if waiting is None:
            return
        proposed_term, request_id = waiting
        # Proposals are answered on stepping down, so a waiting one is from the current term.
        assert proposed_term == term
        self._answer(request_id, reply)

    def snapshot_installed(self, index: int) -> None:
        """Answer proposals up to ``index`` with an unknown outcome: a snapshot replaced them."""
        for position in [position for position in self._proposals if position <= index]:
            _, request_id = self._proposals.pop(position)
            self._answer(request_id, unknown_outcome_failure("a snapshot replaced the log"))

    def stepped_down(self, reason: str) -> None:
        """Answer all waiting proposals: the next leader may or may not commit them."""
        waiting = [request_id for _, request_id in self._proposals.values()]
        self._proposals.clear()
        for request_id in waiting:
            self._answer(request_id, unknown_outcome_failure(reason))


def not_leader_failure(leader_address: str) -> Failure:
    """Return the failure of a request that was refused because this replica is not the leader.

    Args:
        leader_address: RPC address of the leader, empty when none is known.
    """
    where = f"; the leader is {leader_address}" if leader_address else "; no leader is known"
    return Failure(
        kind=FailureKind.NOT_LEADER,
        reason=f"this replica is not the leader of its group{where}",
        step=Step.PROPOSING,
        execution=Execution.NOT_RUN,
        detail=leader_address,
    )


def unknown_outcome_failure(reason: str) -> Failure:
    """Return the failure of a proposal that may or may not be committed."""
    return Failure(
        kind=FailureKind.NO_QUORUM,
        reason=f"the command was appended but its commit was not confirmed: {reason}; retry it",
        step=Step.PROPOSING,
        execution=Execution.UNKNOWN,
    )
