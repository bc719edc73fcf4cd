"""What the outbox brings to the group when outcomes of commands are unknown."""

from __future__ import annotations

import asyncio
import sqlite3

import pytest

from leverjunction.consensus.api import ApplyContext, GroupStatus
from leverjunction.errors import Execution, Failure, FailureKind, Step
from leverjunction.lots import progress_rows
from leverjunction.lots.commands import (
    ItemResult,
    KnownProgress,
    LotItem,
    OpenItems,
    ReadOpenItems,
    ReadProgress,
    ReadResults,
    ResultsPage,
    SubmitLot,
    encode_command,
)
from leverjunction.lots.item_run import ItemRun
from leverjunction.lots.outbox import COMMAND_BYTES, PROGRESS_INTERVAL_S, Outbox
from leverjunction.lots.state_machine import LotsStateMachine
from leverjunction.wire.codec import decode_reply, encode, encode_reply

EVENTS = 6
WHOLE_TEXT = "\n".join(f"event {number}" for number in range(1, EVENTS + 1))


class LateGroup:
    """A group of one replica that commits all, and tells the proposer so or not.

    Attributes:
        late: Whether each commit comes after its proposer has stopped waiting.
        largest_bytes: Of the commands so far.
    """

    def __init__(self) -> None:
        self.late = False
        self.largest_bytes = 0
        self._machine = LotsStateMachine()
        self._connection = sqlite3.connect(
            ":memory:", check_same_thread=False, isolation_level=None
        )
        self._machine.create_tables(self._connection)
        self._index = 0

    def propose(self, command: bytes, timeout_s: float) -> bytes | Failure:
        self._index += 1
        context = ApplyContext(index=self._index, term=1, wall_ms=1000)
        self._connection.execute("SAVEPOINT entry")
        try:
            reply = self._machine.apply(self._connection, context, command)
        except sqlite3.IntegrityError as error:
            # As the engine does with a command that the state machine cannot take.
            self._connection.execute("ROLLBACK TO entry")
            reply = encode_reply(_refused(error))
        self._connection.execute("RELEASE entry")
        self.largest_bytes = max(self.largest_bytes, len(command))
        if not self.late:
            return reply
        return Failure(
            kind=FailureKind.TIMEOUT,
            reason=f"no quorum answered within {timeout_s:g} s",
            step=Step.PROPOSING,
            execution=Execution.UNKNOWN,
        )

    def query(self, query: bytes, timeout_s: float) -> bytes | Failure:
        return self.query_local(query)

    def query_local(self, query: bytes) -> bytes:
        return self._machine.query(self._connection, query)

    def status(self) -> GroupStatus:
        return status_as("leader")

    def results(self) -> dict[str, tuple[str, str]]:
        page = decode_reply(self.query_local(encode(ReadResults("lot", 0, 10**8))), ResultsPage)
        assert isinstance(page, ResultsPage)
        return {item.item_id: (item.state.value, item.text) for item in page.results}

    def runs(self) -> list[ItemRun]:
        """Open items as the runner takes them in, their streams as a first run has them."""
        opened = decode_reply(self.query_local(encode(ReadOpenItems())), OpenItems)
        assert isinstance(opened, OpenItems)
        runs = [ItemRun(item) for item in opened.items]
        for run in runs:
            run.progress_loaded = True
        return runs

    def progress(self) -> KnownProgress | Failure:
        """Events of the first item that the group has."""
        return decode_reply(self.query_local(encode(ReadProgress("lot", "item-0"))), KnownProgress)


def status_as(role: str) -> GroupStatus:
    """Return the status of a group's only replica."""
    return GroupStatus(
        group="jobs-0",
        replica_id="r",
        role=role,
        term=1,
        leader_address="",
        commit_index=1,
        applied_index=1,
        voters=[],
        learners=[],
        leader_contact_age_s=0.0,
    )


def _refused(error: Exception) -> Failure:
    return Failure(
        kind=FailureKind.INTERNAL,
        reason=f"the state machine did not take the command: {error!r}",
        step=Step.APPLYING,
        execution=Execution.NOT_RUN,
    )


def submitted(count: int) -> LateGroup:
    group = LateGroup()
    lot = SubmitLot(
        lot_id="lot",
        host="h",
        path="/batch/lot",
        max_attempts=3,
        give_up_s=60.0,
        due_ms=20_000.0,
        items=tuple(
            LotItem(item_id=f"item-{n}", path="/batch/i", headers=(), body=b"b", tokens=9)
            for n in range(count)
        ),
    )
    group.propose(encode_command(lot), 1.0)
    return group


def feed(run: ItemRun, first: int, last: int) -> None:
    """Have a run give some of its item's events."""
    for number in range(first, last + 1):
        run.stream.feed(b"id: %d\ndata: event %d\n\n" % (number, number))


async def record(outbox: Outbox, runs: list[ItemRun]) -> None:
    """Record what is new, progress included."""
    await asyncio.sleep(PROGRESS_INTERVAL_S)
    await outbox.record(runs)


def test_items_end_while_each_commit_outlasts_its_proposer() -> None:
    """Items stayed open for good while commits took longer than 1.5 s.

    Symptom: items that were under way when commits became slow had one run, which ended, and no
    later one. Sequence: some events recorded in time; more events committed, though their proposer
    had given up; the end of the run. Cause: the outbox did not know of the second commit, so the
    result followed on fewer events than the group had and was refused, each time anew, and an item
    with a result is not run again. What settled it: with commits of 1.6 to 5 s, plays of 24 items
    ended after 40 s with items open; those looked at had no task and a result that waited; 300 to
    422 parts refused a play, and the line "no quorum answered within 1.5 s" at each try.
    """

    async def play() -> None:
        group = submitted(3)
        runs = group.runs()
        outbox = Outbox(group)
        for run in runs:
            feed(run, 1, 2)
        await record(outbox, runs)
        assert group.progress() == KnownProgress(2, "2")
        group.late = True
        for run in runs:
            feed(run, 3, 4)
        await record(outbox, runs)
        assert group.progress() == KnownProgress(4, "4")
        for run in runs:
            feed(run, 5, EVENTS)
            outbox.done(run)
        await record(outbox, runs)
        assert group.results() == {f"item-{n}": ("done", WHOLE_TEXT) for n in range(3)}

    asyncio.run(play())


def test_a_failed_run_counts_once_though_its_command_is_repeated() -> None:
    """Items were given up after two failed runs where three were allowed.

    Sequence: a run fails; the command that counts it is committed, though its proposer had given
    up; the outbox sends it again; another store takes the lead and reads two failed runs where one
    was. Cause: the command said "one more" and not "how many". What settled it: with failing back
    ends and uncertain commits, "is given up: 3 runs failed" for items of which back ends had
    answered 500 twice, in 2 of 40 plays with 8 % of failing runs and in 2 of 10 with 35 %.
    """

    async def play() -> None:
        group = submitted(1)
        (run,) = group.runs()
        outbox = Outbox(group)
        run.failures += 1
        outbox.failed(run)
        group.late = True
        await outbox.record([run])
        group.late = False
        await outbox.record([run])
        assert [run.item.failures for run in group.runs()] == [1]

    asyncio.run(play())


def test_a_part_that_cannot_be_taken_holds_no_other(monkeypatch: pytest.MonkeyPatch) -> None:
    """No result of a store would be listed any more, because of one.

    Sequence: the state machine raises at one part of a command; all of it is undone; the outbox
    sends the same parts again. Cause: parts of many items share a command's fate. What settled it:
    "the state machine did not take the command" at each try, nothing listed, the outbox full.
    """
    whole_text = progress_rows.whole_text

    def fail_at_one(connection: sqlite3.Connection, result: ItemResult, repeats: bool) -> object:
        if result.item_id == "item-1":
            raise sqlite3.IntegrityError("UNIQUE constraint failed")
        return whole_text(connection, result, repeats)

    monkeypatch.setattr(progress_rows, "whole_text", fail_at_one)

    async def play() -> None:
        group = submitted(3)
        runs = group.runs()
        outbox = Outbox(group)
        for run in runs:
            feed(run, 1, EVENTS)
            outbox.done(run)
        await outbox.record(runs)
        assert group.results() == {f"item-{n}": ("done", WHOLE_TEXT) for n in (0, 2)}
        # It is run again, from what the group has.
        assert not outbox.has_result(runs[1])
        assert not runs[1].progress_loaded

    asyncio.run(play())


def test_what_gathers_in_a_stall_goes_in_commands_of_bounded_size() -> None:
    size_bytes = COMMAND_BYTES // 2

    async def play() -> None:
        group = submitted(9)
        runs = group.runs()
        outbox = Outbox(group)
        for number, run in enumerate(runs):
            run.stream.feed(b"id: 1\ndata: %s\n\n" % (b"x" * size_bytes))
            if number < 5:
                outbox.done(run)
        while not outbox.is_empty:
            await outbox.record(runs)
        assert len(group.results()) == 5
        for _ in range(2):
            await record(outbox, runs[5:])
        assert [run.stream.recorded for run in runs[5:]] == [1] * 4
        assert group.largest_bytes < 2 * COMMAND_BYTES

    asyncio.run(play())


def test_what_is_not_open_any_more_is_forgotten_without_an_answer() -> None:
    """Results were sent again and again, each time with those that came since."""

    async def play() -> None:
        group = submitted(2)
        runs = group.runs()
        outbox = Outbox(group)
        group.late = True
        for run in runs:
            feed(run, 1, EVENTS)
            run.failures += 1
            outbox.failed(run)
        outbox.done(runs[0])
        await outbox.record(runs)
        outbox.keep(frozenset(run.key for run in group.runs()))
        assert not outbox.has_result(runs[0])
        assert not outbox.is_empty
        outbox.keep(frozenset())
        assert outbox.is_empty

    asyncio.run(play())
