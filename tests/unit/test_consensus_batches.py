"""The driver works in steps of limited size, so that a busy leader still handles messages."""

from __future__ import annotations

from random import Random

from tests.unit.consensus_support import LogMachine

from leverjunction.consensus import engine as engine_module
from leverjunction.consensus import inbox as inbox_module
from leverjunction.consensus.engine import EngineCallbacks, ReplicaEngine
from leverjunction.consensus.events import Propose, Tick
from leverjunction.consensus.inbox import Inbox
from leverjunction.consensus.store import Store, open_store
from leverjunction.consensus.types import GroupConfig

COMMAND_BYTES = 100_000
COMMANDS = 100


def command(number: int) -> bytes:
    return b"k%d=" % number + b"x" * COMMAND_BYTES


def test_a_batch_contains_proposals_of_limited_size_in_their_order() -> None:
    inbox = Inbox()
    for number in range(COMMANDS):
        inbox.put_proposal(Propose(request_id=number, payload=command(number), wall_ms=0))
    inbox.put(Tick())
    sizes: list[int] = []
    taken: list[int] = []
    while events := inbox.take(0.0).events:
        proposals = [event for event in events if isinstance(event, Propose)]
        sizes.append(sum(len(event.payload) for event in proposals))
        taken += [event.request_id for event in proposals]
        assert (Tick() in events) is (len(sizes) == 1)
    assert taken == list(range(COMMANDS))
    assert max(sizes) < inbox_module.MAX_BATCH_PROPOSAL_BYTES + 2 * COMMAND_BYTES


def test_committed_entries_are_applied_in_steps_of_limited_size() -> None:
    store = open_store(":memory:", Random(1))
    assert isinstance(store, Store)
    answers: list[int] = []
    engine = ReplicaEngine(
        GroupConfig(group="root", address="a", first_members=("a",)),
        LogMachine(),
        store,
        Random(1),
        0.0,
        EngineCallbacks(
            outbox=lambda _to, _message: None,
            answer=lambda request_id, _result: answers.append(request_id),
            changed_role=lambda _effect: None,
            repaired=lambda _effect: None,
        ),
    )
    engine.step([Tick()], 10.0)
    engine.step([Tick()], 20.0)
    engine.step([Propose(n, command(n), 0) for n in range(COMMANDS)], 20.0)
    steps = 1
    while engine.apply_committed():
        steps += 1
    assert answers == list(range(COMMANDS))
    assert steps >= COMMANDS * COMMAND_BYTES // engine_module.APPLY_BYTES_PER_STEP
