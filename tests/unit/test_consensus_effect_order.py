"""Effects are carried out in the order in which the core returns them.

Guards against effects of a nested event that run before the remaining effects of the outer event.
A leader with an intact file stopped with "log entries 74 to 74 are not all there" and asked for
its file to be moved aside. The last reply of a snapshot receiver had also triggered a membership
change, whose entry was appended to the core's log. While carrying out ``SnapshotAnswered``, the
engine passed the next event to the core and carried out its effects at once. Among them was a
message with entry 74, while the store held rows up to 73 only and the append of 74 was pending.
"""

from __future__ import annotations

from random import Random

from tests.unit.consensus_support import LogMachine

from leverjunction.consensus.core import RaftCore
from leverjunction.consensus.engine import EngineCallbacks, ReplicaEngine
from leverjunction.consensus.events import (
    AppendEntries,
    Effect,
    Event,
    SendEntries,
    SnapshotAnswered,
    SnapshotDelivered,
    Tick,
)
from leverjunction.consensus.messages import AppendRequest, Message
from leverjunction.consensus.snapshot_sender import AnswerAction
from leverjunction.consensus.store import Store, open_store
from leverjunction.consensus.types import EntryKind, GroupConfig, LogEntry, LogPosition

ENTRY = LogEntry(index=1, term=1, kind=EntryKind.CONFIGURATION, wall_ms=0, payload=b"{}")


class SnapshotReplyCore(RaftCore):
    """Appends an entry with a snapshot reply, and sends it when the transfer has ended."""

    def handle(self, event: Event, now_s: float) -> list[Effect]:
        if isinstance(event, Tick):
            answer = SnapshotAnswered(
                replica_id="r", stream_id="s", next_number=-1, matched_index=0
            )
            return [answer, AppendEntries((ENTRY,))]
        if isinstance(event, SnapshotDelivered):
            request = AppendRequest(
                header=self.header("r"), previous=LogPosition(), commit_index=0, sequence=1
            )
            return [SendEntries(address="b", request=request, first_index=1, last_index=1)]
        return []


def test_an_entry_is_written_before_a_later_event_sends_it() -> None:
    store = open_store(":memory:", Random(1))
    assert isinstance(store, Store)
    sent: list[Message] = []
    engine = ReplicaEngine(
        GroupConfig(group="root", address="a", first_members=("a",)),
        LogMachine(),
        store,
        Random(1),
        0.0,
        EngineCallbacks(
            outbox=lambda _to, message: sent.append(message),
            answer=lambda _id, _result: None,
            changed_role=lambda _effect: None,
            repaired=lambda _repair: None,
        ),
        SnapshotReplyCore,
    )
    ended = AnswerAction(ended=SnapshotDelivered("r", 0))
    engine._snapshot_sender.handle_answer = lambda _answer: ended  # type: ignore[method-assign]
    engine._execute_all(engine.core.handle(Tick(), 1.0))
    engine._sync()
    engine._send_held()
    assert [message.entries for message in sent if isinstance(message, AppendRequest)] == [(ENTRY,)]
