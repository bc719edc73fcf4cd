"""Reads that any store may answer whose state is recent enough.

Results keep their positions and an item's body never changes, so a state that is a little old is
only short of the newest. What it does not have at all may be newer than it: then the leader is
asked.
"""

from __future__ import annotations

import msgspec

from leverjunction.consensus.api import ReplicatedGroup
from leverjunction.errors import Failure, FailureKind, Step
from leverjunction.wire.codec import decode_reply, encode_reply

RECENT_S = 0.4
"""Age of a state that still counts as recent: two heartbeats, and less than callers allow for."""

_WITH_STATE = frozenset({"leader", "follower"})
"""Roles that have the group's state; a replica under repair has a part of it."""


def answer_recent(group: ReplicatedGroup, query: bytes) -> bytes:
    """Answer a read from this replica's state, or say that the leader is to be asked."""
    status = group.status()
    if status.role not in _WITH_STATE or status.leader_contact_age_s > RECENT_S:
        return _ask_leader(status.leader_address)
    reply = group.query_local(query)
    failure = decode_reply(reply, msgspec.Raw)
    if isinstance(failure, Failure):
        return _ask_leader(status.leader_address)
    return reply


def no_replica(group: str) -> Failure:
    """Return the refusal of a process without a replica of a group."""
    return Failure(
        kind=FailureKind.NOT_LEADER,
        reason=f"there is no replica of {group} here",
        step=Step.QUERYING,
    )


def _ask_leader(leader: str) -> bytes:
    return encode_reply(
        Failure(
            kind=FailureKind.NOT_LEADER,
            reason="this store's state may be old",
            step=Step.QUERYING,
            detail=leader,
        )
    )
