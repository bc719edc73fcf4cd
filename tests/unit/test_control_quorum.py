"""Tests of the age of a hub's contact with the leader, also while there is no leader."""

from __future__ import annotations

from typing import cast

import pytest

from leverjunction.consensus.api import GroupStatus, ReplicatedGroup
from leverjunction.control.hub import Hub
from leverjunction.control.messages import HubState
from leverjunction.control.quorum import NO_CONTACT_AGE_S, LocalRoot, RemoteRoot
from leverjunction.errors import Execution, Failure, FailureKind, Step
from leverjunction.settings.commands import GetSettings, SettingsDelta
from leverjunction.wire.codec import encode_reply
from leverjunction.wire.rpc_client import RpcClient


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

    def query_local(self, _query: bytes) -> bytes:
        return encode_reply(SettingsDelta(version=0, rows=[]))

    def hear(self, leader: str) -> None:
        self.leader = leader
        self.contact_s = self.now_s


def test_the_contact_age_continues_during_an_election() -> None:
    """Guards against an age of 3,600 s once the leader is gone: gateways then left the hub."""
    replica = Replica()
    root = LocalRoot(cast(ReplicatedGroup, replica), replica)
    assert root.quorum_age_s() == NO_CONTACT_AGE_S
    replica.hear("a:1")
    assert root.quorum_age_s() == 0.0
    replica.now_s += 0.5
    replica.leader = ""
    assert root.quorum_age_s() == pytest.approx(0.5)
    replica.now_s += 2.0
    assert root.quorum_age_s() == pytest.approx(2.5)
    replica.hear("a:2")
    assert root.quorum_age_s() == 0.0


def test_the_age_of_a_former_leader_counts_from_its_last_quorum() -> None:
    replica = Replica()
    root = LocalRoot(cast(ReplicatedGroup, replica), replica)
    replica.hear("a:1")
    root.quorum_age_s()
    replica.now_s += 1.0
    # The last leader contact of a former leader may date from long before its own term.
    replica.leader = "a:2"
    replica.contact_s = -500.0
    assert root.quorum_age_s() == pytest.approx(1.0)


def test_the_age_counts_from_the_contact_before_the_last_read() -> None:
    """Guards against a hub that reports itself fresh while it still serves old settings.

    A hub that had lost its disk caught up and reported a quorum age of 0.08 s, but read the
    settings from its replica only 0.2 s later. Until then it served the settings of its blank
    replica, and a gateway asks a hub that it considers fresh again only after a second. A gateway
    had outdated settings for 4.1 s, one second of it for this reason.
    """
    replica = Replica()
    root = LocalRoot(cast(ReplicatedGroup, replica), replica)
    root.read(GetSettings(after_version=0))
    replica.now_s += 1.0
    replica.hear("a:1")
    assert root.quorum_age_s() > 60.0
    replica.now_s += 0.2
    root.read(GetSettings(after_version=0))
    assert root.quorum_age_s() == pytest.approx(0.2)
    replica.now_s += 0.3
    replica.hear("a:1")
    assert root.quorum_age_s() == pytest.approx(0.5)


class Voter:
    """A voter whose states reach the hub; RPC calls to it succeed only while it is reachable."""

    def __init__(self) -> None:
        self.version = 1
        self.is_reachable = True

    def live_hubs(self) -> list[HubState]:
        state = HubState(
            name="v", rpc_address="v:1", zone="z", incarnation=1,
            settings_version=self.version, quorum_age_s=0.1,
        )  # fmt: skip
        return [state]

    def hub_heard_ages_s(self) -> dict[str, float]:
        return {"v": 0.2}

    def call(self, *_arguments: object, **_options: object) -> SettingsDelta | Failure:
        if self.is_reachable:
            return SettingsDelta(version=self.version, rows=[])
        return Failure(
            kind=FailureKind.TIMEOUT,
            reason="cut",
            step=Step.RESPONDING,
            execution=Execution.NOT_RUN,
        )


def test_a_hub_that_hears_a_voter_but_cannot_read_becomes_stale() -> None:
    """One-way partition: messages from the voter arrive, but calls to it fail."""
    clock, voter = Replica(), Voter()
    root = RemoteRoot(cast(RpcClient, voter), ["v:1"], clock)
    root.hub = cast(Hub, voter)
    assert root.quorum_age_s() == NO_CONTACT_AGE_S
    root.read(GetSettings(after_version=1))
    assert root.quorum_age_s() == pytest.approx(0.3)
    voter.version, voter.is_reachable = 2, False
    clock.now_s += 5.0
    root.read(GetSettings(after_version=1))
    assert root.quorum_age_s() == pytest.approx(5.0)
    voter.is_reachable = True
    root.read(GetSettings(after_version=1))
    assert root.quorum_age_s() == pytest.approx(0.3)
