"""A leader whose process was frozen serves no read under its expired lease."""

from __future__ import annotations

from random import Random

import pytest

from leverjunction.consensus.core import RaftCore
from leverjunction.consensus.events import (
    AppendEntries,
    Effect,
    Flush,
    Persisted,
    Read,
    ReadReady,
    Received,
    Refused,
    SendEntries,
    Tick,
)
from leverjunction.consensus.messages import AppendReply, Header, VoteReply
from leverjunction.consensus.types import (
    Configuration,
    DurableState,
    GroupConfig,
    Member,
    Role,
)

IDS = ("a", "b", "c")
START_S = 100.0
ELECTION_S = START_S + 10.0


def header(from_id: str, term: int) -> Header:
    return Header(founding_id="f", from_id=from_id, from_address=from_id, to_id="a", term=term)


def leader() -> RaftCore:
    """Return a core that leads term 1 and has committed its no-op at ``ELECTION_S``."""
    members = tuple(Member(replica_id=item, address=item) for item in IDS)
    durable = DurableState(
        replica_id="a", founding_id="f", base_configuration=Configuration(members, IDS)
    )
    config = GroupConfig(group="root", address="a", first_members=IDS)
    core = RaftCore(config, durable, Random(1), START_S)
    core.handle(Tick(), ELECTION_S)
    for pre in (True, False):
        granted = VoteReply(
            header=header("b", 0 if pre else 1), campaign_term=1, granted=True, pre=pre
        )
        effects = core.handle(Received(granted), ELECTION_S)
    assert any(isinstance(effect, AppendEntries) for effect in effects)
    core.handle(Persisted(1), ELECTION_S)
    acknowledge(core, ELECTION_S)
    assert (core.role, core.commit_index) == (Role.LEADER, 1)
    return core


def acknowledge(core: RaftCore, now_s: float, sequence: int | None = None) -> list[Effect]:
    """Have one peer acknowledge a round, the latest by default; return the effects."""
    number = core.sequence if sequence is None else sequence
    reply = AppendReply(header=header("b", 1), sequence=number, accepted=True, index=1)
    return core.handle(Received(reply), now_s)


def test_a_read_is_answered_only_after_a_quorum_has_answered_its_own_round() -> None:
    core = leader()
    previous_round = core.sequence
    core.handle(Read(request_id=7), ELECTION_S)
    core.handle(Flush(), ELECTION_S)
    assert not any(isinstance(e, ReadReady) for e in acknowledge(core, ELECTION_S, previous_round))
    assert ReadReady(request_id=7, index=1) in acknowledge(core, ELECTION_S)


@pytest.mark.parametrize("frozen_s", [0.6, 5.0, 3600.0])
def test_a_read_after_a_freeze_is_refused(frozen_s: float) -> None:
    core = leader()
    effects = core.handle(Read(request_id=7), ELECTION_S + frozen_s)
    assert Refused(request_id=7, leader_address="") in effects
    assert core.role is not Role.LEADER


@pytest.mark.parametrize("frozen_s", [0.6, 5.0, 3600.0])
def test_a_read_that_waits_during_a_freeze_is_refused(frozen_s: float) -> None:
    core = leader()
    core.handle(Read(request_id=7), ELECTION_S)
    core.handle(Flush(), ELECTION_S)
    effects = core.handle(Tick(), ELECTION_S + frozen_s)
    assert Refused(request_id=7, leader_address="") in effects
    assert not any(isinstance(effect, ReadReady | SendEntries) for effect in effects)


def test_a_late_answer_after_the_freeze_releases_no_read() -> None:
    core = leader()
    core.handle(Read(request_id=7), ELECTION_S)
    core.handle(Flush(), ELECTION_S)
    assert not any(isinstance(e, ReadReady) for e in acknowledge(core, ELECTION_S + 5.0))
