"""Failures of calls that only the leader of the registry answers."""

from __future__ import annotations

from leverjunction.errors import Execution, Failure, FailureKind, Step


def not_leader(leader: str) -> Failure:
    """Return the failure of a call to a process that does not lead the registry.

    Args:
        leader: Address of the leader; empty if unknown.
    """
    return Failure(
        kind=FailureKind.NOT_LEADER,
        reason="this process does not lead the registry",
        step=Step.EXCHANGING,
        detail=leader,
        execution=Execution.NOT_RUN,
    )


__all__ = ["not_leader"]
