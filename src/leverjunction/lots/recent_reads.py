"""Bounded-staleness reads, which any store may answer whose state is recent enough.

Results keep their positions and an item's body never changes, so a slightly stale state can only
lack the newest results. An entry that it lacks altogether may have been added since, so such a read
is redirected to the leader.
"""

from __future__ import annotations

import msgspec

from leverjunction.consensus.api import ReplicatedGroup
from leverjunction.errors import Execution, Failure, FailureKind, Step
from leverjunction.wire.codec import decode_reply, encode_reply

MAX_STALENESS_S = 0.4
"""Highest age of a state that may answer reads: two heartbeats, and less than callers tolerate."""

_COMPLETE_ROLES = frozenset({"leader", "follower"})
"""Roles of replicas with the complete state; a replica under repair has only a part of it."""


def answer_recent(group: ReplicatedGroup, query: bytes) -> bytes:
    """Answer a query from this replica's state, or redirect the caller to the leader.

    Args:
        group: The local replica.
        query: Encoded query.

    Returns:
        The encoded reply. A ``NOT_LEADER`` failure, with the leader's address as ``detail``, says
        that the leader is to be asked.
    """
    status = group.status()
    if status.role not in _COMPLETE_ROLES or status.leader_contact_age_s > MAX_STALENESS_S:
        return _ask_leader(status.leader_address)
    reply = group.query_local(query)
    result = decode_reply(reply, msgspec.Raw)
    if isinstance(result, Failure):
        return _ask_leader(status.leader_address)
    return reply


def no_replica(group: str) -> Failure:
    """Return the failure for a query to a process that has no replica of the group."""
    return Failure(
        kind=FailureKind.NOT_LEADER,
        reason=f"there is no replica of {group} here",
        step=Step.QUERYING,
        execution=Execution.NOT_RUN,
    )


def _ask_leader(leader: str) -> bytes:
    return encode_reply(
        Failure(
            kind=FailureKind.NOT_LEADER,
            reason="this store's state may be stale",
            step=Step.QUERYING,
            detail=leader,
            execution=Execution.NOT_RUN,
        )
    )
