"""Status of a replica, as reported to operators and to the rest of the process."""

from __future__ import annotations

import msgspec

from leverjunction.consensus.api import GroupStatus
from leverjunction.consensus.engine import ReplicaEngine
from leverjunction.consensus.types import GroupConfig, Role

MAX_CONTACT_AGE_S = 3600.0
"""Upper bound of the reported contact age, in seconds; also the age reported by a replica that has
never held every committed entry.
"""


def status_of(engine: ReplicaEngine, now_s: float) -> GroupStatus:
    """Return the status of a running replica.

    Args:
        engine: Engine of the replica.
        now_s: Monotonic time, in seconds.
    """
    core = engine.core
    contact_s = core.caught_up_s
    members = core.configuration.members
    role = core.role
    others = core.configuration.voter_ids() - {core.replica_id}
    if role is Role.LEADER:
        quorum_s = core.quorum_contact_s()
        if core.has_committed_in_term():
            contact_s = quorum_s
        if others and now_s - quorum_s > core.lease_s:
            # After a long pause the core notices the elapsed time only with its next event.
            role = Role.FOLLOWER
    return GroupStatus(
        group=core.config.group,
        replica_id=core.replica_id,
        role=role.value,
        term=core.term,
        leader_address=core.leader_address,
        commit_index=core.commit_index,
        applied_index=engine.applied_index,
        voters=[member.address for member in members if member.voter],
        learners=[member.address for member in members if not member.voter],
        leader_contact_age_s=min(max(0.0, now_s - contact_s), MAX_CONTACT_AGE_S),
        majority_lost=core.majority_lost(),
    )


def unknown_status(config: GroupConfig) -> GroupStatus:
    """Return the status of a replica that has not started."""
    return GroupStatus(
        group=config.group,
        replica_id="",
        role=Role.BLANK.value,
        term=0,
        leader_address="",
        commit_index=0,
        applied_index=0,
        voters=[],
        learners=[],
        leader_contact_age_s=MAX_CONTACT_AGE_S,
    )


def stopped_status(last: GroupStatus) -> GroupStatus:
    """Return the status of a replica that has stopped, given its last status."""
    return msgspec.structs.replace(
        last,
        role=Role.BLANK.value,
        leader_address="",
        leader_contact_age_s=MAX_CONTACT_AGE_S,
    )
