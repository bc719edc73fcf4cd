"""How long ago a hub heard the leader, also while nobody leads."""

from __future__ import annotations

from typing import cast

import pytest

from leverjunction.consensus.api import GroupStatus, ReplicatedGroup
from leverjunction.control.hub import Hub
from leverjunction.control.messages import HubState
from leverjunction.control.quorum import NO_CONTACT_AGE_S, LocalRoot, RemoteRoot
from leverjunction.errors import Failure, FailureKind, Step
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


def test_the_age_goes_on_through_an_election() -> None:
    """Found in a trial: a hub said 3,600 s as soon as the leader was gone, so gateways left it."""
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


def test_what_a_hub_serves_is_as_old_as_its_last_reading() -> None:
    """A gateway had settings one version too old for 4.1 s, a second of it for this.

    A hub whose disk was lost had caught up, and told gateways that it heard a quorum 0.08 s ago.
    It read the settings from its replica 0.2 s later: what it served until then was its blank
    replica's, and a gateway that takes a hub for fresh asks again only after a second.
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
    """A voter that is heard, through a hub and an RPC client that reaches it or not."""

    def __init__(self) -> None:
        self.version = 1
        self.is_reached = True

    def live_hubs(self) -> list[HubState]:
        state = HubState(
            name="v", rpc_address="v:1", zone="z", incarnation=1,
            settings_version=self.version, quorum_age_s=0.1,
        )  # fmt: skip
        return [state]

    def hub_heard_ages_s(self) -> dict[str, float]:
        return {"v": 0.2}

    def call(self, *_arguments: object, **_options: object) -> SettingsDelta | Failure:
        if self.is_reached:
            return SettingsDelta(version=self.version, rows=[])
        return Failure(kind=FailureKind.TIMEOUT, reason="cut", step=Step.RESPONDING)


def test_a_hub_that_hears_a_voter_but_cannot_read_grows_stale() -> None:
    """The cut of one direction: the voter's messages arrive, the calls to it do not."""
    clock, voter = Replica(), Voter()
    root = RemoteRoot(cast(RpcClient, voter), ["v:1"], clock)
    root.hub = cast(Hub, voter)
    assert root.quorum_age_s() == NO_CONTACT_AGE_S
    root.read(GetSettings(after_version=1))
    assert root.quorum_age_s() == pytest.approx(0.3)
    voter.version, voter.is_reached = 2, False
    clock.now_s += 5.0
    root.read(GetSettings(after_version=1))
    assert root.quorum_age_s() == pytest.approx(5.0)
    voter.is_reached = True
    root.read(GetSettings(after_version=1))
    assert root.quorum_age_s() == pytest.approx(0.3)
