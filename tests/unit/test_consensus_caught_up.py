"""The age of leader contact counts from when a replica last held every committed entry."""

from __future__ import annotations

from random import Random
from types import SimpleNamespace
from typing import cast

import msgspec

from leverjunction.consensus.core import RaftCore
from leverjunction.consensus.engine import ReplicaEngine
from leverjunction.consensus.events import Received
from leverjunction.consensus.messages import AppendRequest, Header, Message, SnapshotChunk
from leverjunction.consensus.status import MAX_CONTACT_AGE_S, status_of
from leverjunction.consensus.types import (
    DurableState,
    EntryKind,
    GroupConfig,
    LogEntry,
    LogPosition,
)

HEADER = Header(founding_id="g", from_id="b", from_address="b:1", to_id="a", term=1)
START = LogPosition(term=1, index=40)


def age_after(message: Message, founding_id: str) -> float:
    """Return the age of leader contact right after a replica has handled a message."""
    config = GroupConfig(group="root", address="a:1", first_members=("a:1", "b:1", "c:1"))
    durable = DurableState(replica_id="a", founding_id=founding_id)
    core = RaftCore(config, durable, Random(1), 0.0)
    core.handle(Received(message), 1.0)
    engine = cast(ReplicaEngine, SimpleNamespace(core=core, applied_index=0))
    status = status_of(engine, 1.0)
    assert status.leader_address == "b:1"
    return status.leader_contact_age_s


def test_a_blank_replica_that_is_being_repaired_is_not_in_contact() -> None:
    """Guards against a replica under repair that reports recent contact with the leader.

    In the simulator (scenario kilimo, seed 8), the hub of such a replica reported a contact age of
    0.4 s although it had no settings, so gateways stayed with that hub.
    """
    chunk = SnapshotChunk(header=HEADER, stream_id="s", number=0, start=START, data=b"")
    assert age_after(chunk, founding_id="") == MAX_CONTACT_AGE_S


def test_a_replica_that_lacks_committed_entries_is_not_in_contact() -> None:
    behind = AppendRequest(header=HEADER, previous=LogPosition(), commit_index=5, sequence=1)
    assert age_after(behind, founding_id="g") == MAX_CONTACT_AGE_S
    level = AppendRequest(header=HEADER, previous=LogPosition(), commit_index=0, sequence=1)
    assert age_after(level, founding_id="g") == 0.0


def test_a_new_leader_that_has_committed_nothing_proves_nothing() -> None:
    """Both logs may hold an acknowledged entry that neither replica knows to be committed."""
    entries = tuple(
        LogEntry(index=index, term=term, kind=EntryKind.NO_OP, wall_ms=0, payload=b"")
        for index, term in ((1, 1), (2, 1), (3, 2))
    )
    header = msgspec.structs.replace(HEADER, term=2)
    early = AppendRequest(
        header=header, previous=LogPosition(), commit_index=1, sequence=1, entries=entries
    )
    assert age_after(early, founding_id="g") == MAX_CONTACT_AGE_S
    later = msgspec.structs.replace(early, commit_index=3)
    assert age_after(later, founding_id="g") == 0.0
