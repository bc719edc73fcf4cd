"""Checks the model of an item's progress, and the real code against the model.

The model's invariants hold, bugs seeded into the model are found, and random walks of the model
are replayed on the real state machine and streams.
"""

from __future__ import annotations

import random
import sqlite3
from typing import TypeVar

import msgspec
import pytest
from specs.item_progress import (
    BOUNDS,
    INITIAL,
    STORES,
    Bounds,
    Command,
    ItemProgressModel,
    Piece,
    SeededBug,
    State,
    check,
    failed_invariants,
)

from leverjunction.consensus.api import ApplyContext
from leverjunction.errors import Failure
from leverjunction.lots.commands import (
    ItemProgress,
    ItemResult,
    ItemState,
    LotItem,
    ReadProgress,
    ReadResults,
    Recorded,
    RecordedProgress,
    RecordRuns,
    ResultsPage,
    SubmitLot,
    encode_command,
)
from leverjunction.lots.item_stream import ItemStream
from leverjunction.lots.state_machine import LotsStateMachine
from leverjunction.wire.codec import decode_reply, encode

T = TypeVar("T", bound=msgspec.Struct)

WALKS = 300
STEPS = 40
WALK_BOUNDS = Bounds(events=4, runs=6, commands=8)
LONG_ITEM = Bounds(events=3, runs=2, commands=2)
MANY_COMMANDS = Bounds(events=2, runs=2, commands=3)
SEEDED_BUG_STATES = 60_000
KEY = ("lot", "item")


def test_model_invariants_hold_over_the_whole_state_space() -> None:
    result = check(BOUNDS)
    assert result["exhaustive"]
    assert failed_invariants(result) == []


@pytest.mark.parametrize(
    ("bug", "bounds"),
    [
        (SeededBug.ANY_PROGRESS, LONG_ITEM),
        (SeededBug.ANY_RESULT, LONG_ITEM),
        (SeededBug.ANY_REPEAT, MANY_COMMANDS),
        (SeededBug.RUN_GOES_ON, MANY_COMMANDS),
        (SeededBug.REJECTED_COUNTS, MANY_COMMANDS),
    ],
)
def test_seeded_bug_is_found(bug: SeededBug, bounds: Bounds) -> None:
    found = check(bounds, bug, SEEDED_BUG_STATES)
    assert "pieces_of_two_runs_are_never_joined" in failed_invariants(found)


def text_of(piece: Piece) -> str:
    return f"{piece.event} of run {piece.run}"


class RealItem:
    """The real state machine and one real stream per store, driven by steps of the model."""

    def __init__(self) -> None:
        self._connection = sqlite3.connect(":memory:", isolation_level=None)
        self._machine = LotsStateMachine()
        self._machine.create_tables(self._connection)
        self._index = 0
        item = LotItem(item_id=KEY[1], path="/p", headers=(), body=b"", tokens=1)
        self._apply(
            SubmitLot(
                lot_id=KEY[0],
                host="h",
                path="/p",
                max_attempts=1,
                give_up_s=0,
                due_ms=0,
                items=(item,),
            )
        )
        self._streams = {number: ItemStream() for number in STORES}

    def execute(self, label: str, before: State, after: State) -> None:
        """Execute a step of the model on the real code.

        Args:
            label: Label of the step: an action, a store or command number, and further arguments.
            before: State of the model before the step.
            after: State of the model after the step.
        """
        action, number, *rest = label.split()
        if action == "read":
            self._streams[int(number)] = ItemStream(int(rest[0]), rest[0])
        elif action == "depose":
            self._streams[int(number)] = ItemStream()
        elif action == "event":
            piece = after.stores[int(number)].new[-1]
            self._streams[int(number)].feed(
                f"id: {piece.event}\ndata: {text_of(piece)}\n\n".encode()
            )
        elif action == "commit":
            self._commit(before.commands[int(number)], after.commands[int(number)])
        elif action == "answer":
            self._answer(before.commands[int(number)])

    def assert_equals(self, state: State) -> None:
        """Assert that the real state equals the model's."""
        known = self._query(ReadProgress(*KEY), RecordedProgress)
        assert known.count == len(state.parts)
        page = self._query(ReadResults(KEY[0], 0, 10**6), ResultsPage)
        listed = [result.text for result in page.results]
        expected = [] if state.result is None else ["\n".join(map(text_of, state.result))]
        assert listed == expected
        for number, store in enumerate(state.stores):
            if store.follows:
                stream = self._streams[number]
                assert (stream.recorded, stream.text()) == (
                    store.recorded,
                    "\n".join(map(text_of, store.new)),
                )

    def _commit(self, command: Command, committed: Command) -> None:
        text = "\n".join(map(text_of, command.pieces))
        count = len(command.pieces)
        if command.ends:
            result = ItemResult(
                lot_id=KEY[0],
                item_id=KEY[1],
                state=ItemState.DONE,
                text=text,
                start=command.start,
                count=count,
            )
            runs = RecordRuns(results=(result,), repeats=True)
        else:
            progress = ItemProgress(
                lot_id=KEY[0],
                item_id=KEY[1],
                start=command.start,
                count=count,
                last_id=str(command.start + count),
                text=text,
            )
            runs = RecordRuns(progress=(progress,), repeats=True)
        reply = self._apply(runs)
        assert isinstance(reply, Recorded)
        assert (KEY not in reply.rejected) is committed.outcome

    def _answer(self, command: Command) -> None:
        if command.outcome:
            self._streams[command.store].mark_recorded(len(command.pieces))

    def _apply(self, command: SubmitLot | RecordRuns) -> Recorded | None:
        self._index += 1
        context = ApplyContext(index=self._index, term=1, wall_ms=1)
        raw = self._machine.apply(self._connection, context, encode_command(command))
        if isinstance(command, SubmitLot):
            return None
        reply = decode_reply(raw, Recorded)
        assert not isinstance(reply, Failure)
        return reply

    def _query(self, query: msgspec.Struct, kind: type[T]) -> T:
        reply = decode_reply(self._machine.query(self._connection, encode(query)), kind)
        assert not isinstance(reply, Failure)
        return reply


def test_state_machine_and_streams_follow_the_model() -> None:
    model = ItemProgressModel(WALK_BOUNDS)
    generator = random.Random(7)
    rejected = results = 0
    for _ in range(WALKS):
        state, real = INITIAL, RealItem()
        for _ in range(STEPS):
            steps = model.transitions(state)
            if not steps:
                break
            # Losses are drawn less often, so that walks get far enough to record results.
            weights = [
                1 if label.startswith(("depose", "lose", "break")) else 6 for label, _ in steps
            ]
            label, after = generator.choices(steps, weights)[0]
            real.execute(label, state, after)
            state = after
            real.assert_equals(state)
        rejected += sum(command.outcome is False for command in state.commands)
        results += state.result is not None
    assert rejected > WALKS / 10
    assert results > WALKS / 10
