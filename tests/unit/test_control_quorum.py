"""How long ago a hub heard the leader, also while nobody leads."""

from __future__ import annotations

from typing import cast

import pytest

from leverjunction.consensus.api import GroupStatus, ReplicatedGroup
from leverjunction.control.quorum import NEVER_HEARD_S, LocalRoot


class Replica:
    """A replica of group root with a scripted status, and its clock."""

    def __init__(self) -> None:
        self.now_s = 100.0
        self.leader = ""
        self.contact_s = 100.0

    def monotonic_s(self) -> float:
        return self.now_s

    def wall_ms(self) -> int:
        return 0

    def status(self) -> GroupStatus:
        return GroupStatus(
            group="root", replica_id="r", role="follower", term=1, leader_address=self.leader,
            commit_index=0, applied_index=0, voters=[], learners=[],
            leader_contact_age_s=self.now_s - self.contact_s,
        )  # fmt: skip

    def hear(self, leader: str) -> None:
        self.leader = leader
        self.contact_s = self.now_s


def test_the_age_goes_on_through_an_election() -> None:
    """Found in a trial: a hub said 3,600 s as soon as the leader was gone, so gateways left it."""
    replica = Replica()
    root = LocalRoot(cast(ReplicatedGroup, replica), replica)
    assert root.quorum_age_s() == NEVER_HEARD_S
    replica.hear("a:1")
    assert root.quorum_age_s() == 0.0
    replica.now_s += 0.5
    replica.leader = ""
    assert root.quorum_age_s() == pytest.approx(0.5)
    replica.now_s += 2.0
    assert root.quorum_age_s() == pytest.approx(2.5)
    replica.hear("a:2")
    assert root.quorum_age_s() == 0.0


def test_a_leader_that_loses_the_lead_counts_from_its_last_quorum() -> None:
    replica = Replica()
    root = LocalRoot(cast(ReplicatedGroup, replica), replica)
    replica.hear("a:1")
    root.quorum_age_s()
    replica.now_s += 1.0
    # What a follower remembers of its last leader may be from long before its own lead.
    replica.leader = "a:2"
    replica.contact_s = -500.0
    assert root.quorum_age_s() == pytest.approx(1.0)
