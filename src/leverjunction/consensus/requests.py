"""Proposals and reads that wait for their answers on this replica."""

from __future__ import annotations

from collections.abc import Callable

from leverjunction.consensus.types import LogPosition
from leverjunction.errors import Execution, Failure, FailureKind, Step


class RequestTable:
    """Which request waits for which log position."""

    def __init__(self, answer: Callable[[int, bytes | Failure], None]) -> None:
        self._answer = answer
        self._proposals: dict[int, tuple[int, int]] = {}
        self._queries: dict[int, bytes] = {}
        self._ready_reads: dict[int, int] = {}

    def add_read(self, request_id: int, query: bytes) -> None:
        """Keep the query of a read."""
        self._queries[request_id] = query

    def forget(self, request_id: int) -> None:
        """Drop a read whose caller has given up; proposals go when their entry is decided."""
        self._queries.pop(request_id, None)
        self._ready_reads.pop(request_id, None)

    def appended(self, request_id: int, position: LogPosition) -> None:
        """A proposal now waits for the entry at ``position``."""
        self._proposals[position.index] = (position.term, request_id)

    def refused(self, request_id: int, leader_address: str) -> None:
        """Answer a request that was not taken."""
        self.forget(request_id)
        self._answer(request_id, not_leader(leader_address))

    def read_ready(self, request_id: int, index: int) -> None:
        """A read may be answered once ``index`` is applied."""
        if request_id in self._queries:
            self._ready_reads[request_id] = index

    def due_reads(self, applied_index: int) -> list[tuple[int, bytes]]:
        """Take the reads that may be answered now."""
        due = [
            request_id for request_id, index in self._ready_reads.items() if index <= applied_index
        ]
        for request_id in due:
            del self._ready_reads[request_id]
        return [(request_id, self._queries.pop(request_id)) for request_id in due]

    def applied(self, index: int, term: int, reply: bytes) -> None:
        """Answer the proposal that waits for this entry, if one does."""
        waiting = self._proposals.pop(index, None)
        if waiting is None:
            return
        proposed_term, request_id = waiting
        # Stepping down empties the table, so a proposal waits only for its own leader's entry.
        assert proposed_term == term
        self._answer(request_id, reply)

    def skipped_to(self, index: int) -> None:
        """A snapshot covered entries up to ``index``; whether proposals were among them is open."""
        for position in [position for position in self._proposals if position <= index]:
            _, request_id = self._proposals.pop(position)
            self._answer(request_id, unknown_outcome("a snapshot replaced the log"))

    def stepped_down(self, reason: str) -> None:
        """Answer all waiting proposals: they may or may not be committed by the next leader."""
        waiting = [request_id for _, request_id in self._proposals.values()]
        self._proposals.clear()
        for request_id in waiting:
            self._answer(request_id, unknown_outcome(reason))


def not_leader(leader_address: str) -> Failure:
    """Return the failure of a request that this replica did not take."""
    where = f"; ask {leader_address}" if leader_address else "; no leader is known"
    return Failure(
        kind=FailureKind.NOT_LEADER,
        reason=f"this replica does not lead its group{where}",
        step=Step.PROPOSING,
        execution=Execution.NOT_RUN,
        detail=leader_address,
    )


def unknown_outcome(reason: str) -> Failure:
    """Return the failure of a proposal whose fate is not known."""
    return Failure(
        kind=FailureKind.NO_QUORUM,
        reason=f"the command was appended but not seen committed: {reason}; repeat it",
        step=Step.PROPOSING,
        execution=Execution.UNKNOWN,
    )
