"""Invariants of the lots state machine: idempotent submission, final results, stable positions."""

from __future__ import annotations

import sqlite3

import msgspec
import pytest

from leverjunction.consensus.api import ApplyContext
from leverjunction.errors import Failure, FailureKind
from leverjunction.lots.commands import (
    EndLot,
    ForgetLots,
    ItemBody,
    ItemFailure,
    ItemProgress,
    ItemResult,
    ItemState,
    LotAccepted,
    LotCommand,
    LotItem,
    OpenItems,
    OpenKeys,
    ReadBody,
    ReadOpenItems,
    ReadOpenKeys,
    ReadProgress,
    ReadResults,
    Recorded,
    RecordedProgress,
    RecordRuns,
    ResultsPage,
    SubmitLot,
    encode_command,
)
from leverjunction.lots.ownership import owner_of, stored_id
from leverjunction.lots.state_machine import LotsStateMachine
from leverjunction.wire.codec import decode_reply, encode


class Lots:
    """The state machine on an in-memory database."""

    def __init__(self) -> None:
        self.machine = LotsStateMachine()
        self.connection = sqlite3.connect(":memory:")
        self.machine.create_tables(self.connection)
        self.index = 0

    def apply(self, command: LotCommand, reply_type: type = Recorded) -> object:
        self.index += 1
        context = ApplyContext(index=self.index, term=1, wall_ms=self.index * 1000)
        raw = self.machine.apply(self.connection, context, encode_command(command))
        return decode_reply(raw, reply_type)

    def query(self, query: msgspec.Struct, reply_type: type) -> object:
        return decode_reply(self.machine.query(self.connection, encode(query)), reply_type)

    def page(self, after: int = 0, most_bytes: int = 1000) -> ResultsPage:
        page = self.query(
            ReadResults(lot_id="lot", after=after, most_bytes=most_bytes), ResultsPage
        )
        assert isinstance(page, ResultsPage)
        return page

    def open_items(self) -> list[str]:
        reply = self.query(ReadOpenItems(), OpenItems)
        assert isinstance(reply, OpenItems)
        return [item.item_id for item in reply.items]

    def done(self, item: str, text: str = "text") -> object:
        result = ItemResult(lot_id="lot", item_id=item, state=ItemState.DONE, text=text)
        return self.apply(RecordRuns(results=(result,)))


def submit(*items: str, lot: str = "lot", route: str = "", most: int = 0) -> SubmitLot:
    return SubmitLot(
        lot_id=lot,
        route=route,
        max_queued_tokens=most,
        host="h",
        path="/p/",
        max_attempts=3,
        give_up_s=60.0,
        due_ms=20000.0,
        items=tuple(
            LotItem(item_id=item, path="/p/x", headers=(("a", "b"),), body=b"\xff\x00", tokens=9)
            for item in items
        ),
    )


@pytest.fixture
def lots() -> Lots:
    lots = Lots()
    assert lots.apply(submit("a", "b", "c"), LotAccepted) == LotAccepted("lot")
    return lots


def test_submitting_a_lot_again_changes_nothing(lots: Lots) -> None:
    assert lots.apply(submit("a", "b", "c"), LotAccepted) == LotAccepted("lot")
    assert lots.open_items() == ["a", "b", "c"]
    assert lots.page().total == 3


def test_results_keep_their_positions(lots: Lots) -> None:
    for item in ("b", "a"):
        assert lots.done(item) == Recorded(1)
    assert [item.item_id for item in lots.page().results] == ["b", "a"]
    lots.done("c")
    assert [item.item_id for item in lots.page(after=1).results] == ["a", "c"]
    assert lots.open_items() == []


def test_first_result_of_an_item_is_final(lots: Lots) -> None:
    lots.done("a", "first")
    assert lots.done("a", "second") == Recorded(0)
    assert [item.text for item in lots.page().results] == ["first"]


def test_page_contains_at_least_one_result(lots: Lots) -> None:
    for item in ("a", "b", "c"):
        lots.done(item, "x" * 600)
    assert len(lots.page(most_bytes=10).results) == 1
    assert len(lots.page(most_bytes=1250).results) == 2


def test_result_of_an_unknown_item_is_ignored(lots: Lots) -> None:
    assert lots.done("z") == Recorded(0)
    assert lots.page().results == ()


def test_body_is_readable_until_the_item_has_a_result(lots: Lots) -> None:
    assert lots.query(ReadBody("lot", "a"), ItemBody) == ItemBody(b"\xff\x00")
    lots.done("a")
    assert isinstance(lots.query(ReadBody("lot", "a"), ItemBody), Failure)


def test_ended_lot_keeps_its_results_and_has_no_open_items(lots: Lots) -> None:
    lots.done("a")
    assert lots.apply(EndLot("lot"), LotAccepted) == LotAccepted("lot")
    assert lots.apply(EndLot("lot"), LotAccepted) == LotAccepted("lot")
    assert lots.open_items() == []
    assert lots.done("b") == Recorded(0)
    assert [item.item_id for item in lots.page().results] == ["a"]
    assert lots.page().total == 3
    # A late resend of the lot does not reopen it.
    lots.apply(submit("a", "b", "c"), LotAccepted)
    assert lots.open_items() == []


def test_failed_runs_are_counted(lots: Lots) -> None:
    failure = ItemFailure(lot_id="lot", item_id="b")
    lots.apply(RecordRuns(failures=(failure, failure)))
    reply = lots.query(ReadOpenItems(), OpenItems)
    assert isinstance(reply, OpenItems)
    assert [item.failures for item in reply.items] == [0, 2, 0]


def test_failed_runs_with_their_number_are_not_counted_twice(lots: Lots) -> None:
    for count in (1, 2, 2, 1):
        lots.apply(RecordRuns(failures=(ItemFailure(lot_id="lot", item_id="b", failures=count),)))
    reply = lots.query(ReadOpenItems(), OpenItems)
    assert isinstance(reply, OpenItems)
    assert [item.failures for item in reply.items] == [0, 2, 0]


def test_an_unknown_lot_is_not_found(lots: Lots) -> None:
    for query, reply_type in (
        (ReadResults("x", 0, 10), ResultsPage),
        (ReadBody("x", "a"), ItemBody),
    ):
        failure = lots.query(query, reply_type)
        assert isinstance(failure, Failure)
        assert failure.kind is FailureKind.NOT_FOUND


def test_only_complete_or_ended_lots_are_deleted(lots: Lots) -> None:
    lots.apply(submit("a", lot="old"), LotAccepted)
    lots.apply(EndLot("old"), LotAccepted)
    assert lots.apply(ForgetLots(before_ms=10**9)) == Recorded(1)
    assert isinstance(lots.query(ReadResults("old", 0, 10), ResultsPage), Failure)
    assert lots.page().total == 3


def progress(start: int, *events: str, item: str = "a") -> ItemProgress:
    return ItemProgress(
        lot_id="lot",
        item_id=item,
        start=start,
        count=len(events),
        last_id=str(start + len(events)),
        text="\n".join(events),
    )


def recorded_progress(lots: Lots, item: str = "a") -> object:
    return lots.query(ReadProgress("lot", item), RecordedProgress)


def finish(lots: Lots, start: int, *events: str, repeats: bool = False) -> object:
    result = ItemResult(
        lot_id="lot",
        item_id="a",
        state=ItemState.DONE,
        text="\n".join(events),
        start=start,
        count=len(events),
    )
    return lots.apply(RecordRuns(results=(result,), repeats=repeats))


@pytest.mark.parametrize("new_events", [("three",), (), ("", "four")], ids=["one", "none", "empty"])
def test_result_is_assembled_from_recorded_events(lots: Lots, new_events: tuple[str, ...]) -> None:
    assert lots.apply(RecordRuns(progress=(progress(0, "one"),))) == Recorded(1)
    assert lots.apply(RecordRuns(progress=(progress(1, "", "two"),))) == Recorded(1)
    assert recorded_progress(lots) == RecordedProgress(3, "3")
    assert finish(lots, 3, *new_events) == Recorded(1)
    assert lots.page().results[0].text == "\n".join(("one", "", "two", *new_events))
    assert recorded_progress(lots) == RecordedProgress()


@pytest.mark.parametrize("start", [0, 1, 3])
def test_events_of_two_runs_are_never_mixed(lots: Lots, start: int) -> None:
    lots.apply(RecordRuns(progress=(progress(0, "one", "two"),)))
    rejected = Recorded(0, (("lot", "a"),))
    assert lots.apply(RecordRuns(progress=(progress(start, "other"),))) == rejected
    assert recorded_progress(lots) == RecordedProgress(2, "2")
    if start:
        assert finish(lots, start, "other") == rejected
        assert "a" in lots.open_items()


@pytest.fixture
def recorded(lots: Lots) -> Lots:
    """A lot with four recorded events of item ``a``, recorded by three commands."""
    for part in (progress(0, "a"), progress(1, "b"), progress(2, "", "two")):
        assert lots.apply(RecordRuns(progress=(part,))) == Recorded(1)
    return lots


@pytest.mark.parametrize(
    ("start", "events"),
    [
        (2, ("", "two")),
        (2, ("", "two", "three")),
        (1, ("b", "", "two", "", "four")),
        (0, ("a", "b", "", "two")),
    ],
)
def test_repeated_events_are_recorded_once(
    recorded: Lots, start: int, events: tuple[str, ...]
) -> None:
    part = progress(start, *events)
    # Without ``repeats``, as in commands of older versions, repeated events are rejected.
    assert recorded.apply(RecordRuns(progress=(part,))) == Recorded(0, (("lot", "a"),))
    for _ in range(2):
        assert recorded.apply(RecordRuns(progress=(part,), repeats=True)) == Recorded(1)
        assert recorded_progress(recorded) == RecordedProgress(
            start + len(events), str(start + len(events))
        )
    assert finish(recorded, start, *events, "end", repeats=True) == Recorded(1)
    full_text = ("a", "b", "", "two")[:start] + events + ("end",)
    assert recorded.page().results[0].text == "\n".join(full_text)


@pytest.mark.parametrize(
    ("start", "events"),
    [
        (1, ("b",)),
        (1, ("b", "")),
        (1, ("x", "", "two")),
        (1, ("x", "", "two", "three")),
        (2, ("", "x", "three")),
        (2, ("", "twofold", "three")),
        (3, ("two", "three")),
        (5, ("three",)),
    ],
)
def test_events_that_differ_from_the_recorded_ones_are_rejected(
    recorded: Lots, start: int, events: tuple[str, ...]
) -> None:
    rejected = Recorded(0, (("lot", "a"),))
    part = progress(start, *events)
    assert recorded.apply(RecordRuns(progress=(part,), repeats=True)) == rejected
    assert finish(recorded, start, *events, repeats=True) == rejected
    assert recorded_progress(recorded) == RecordedProgress(4, "4")


def test_result_with_all_events_replaces_recorded_progress(lots: Lots) -> None:
    lots.apply(RecordRuns(progress=(progress(0, "one"),)))
    assert finish(lots, 0, "one", "two") == Recorded(1)
    assert lots.page().results[0].text == "one\ntwo"


def test_progress_of_closed_items_is_ignored(lots: Lots) -> None:
    lots.done("a")
    assert lots.apply(RecordRuns(progress=(progress(0, "one"),))) == Recorded(0)
    lots.apply(RecordRuns(progress=(progress(0, "one", item="b"),)))
    lots.apply(EndLot("lot"), LotAccepted)
    assert recorded_progress(lots, "b") == RecordedProgress()
    assert lots.apply(RecordRuns(progress=(progress(1, "two", item="b"),))) == Recorded(0)


def test_progress_does_not_mark_open_items_changed() -> None:
    """Guards against the leader reading all open items again at each progress command."""
    lots = Lots()
    assert not lots.machine.open_items_changed
    lots.apply(submit("a"), LotAccepted)
    assert lots.machine.open_items_changed
    lots.machine.open_items_changed = False
    lots.apply(RecordRuns(progress=(progress(0, "one"),)))
    assert not lots.machine.open_items_changed
    finish(lots, 1)
    assert lots.machine.open_items_changed


def test_open_items_come_with_the_number_of_their_events(lots: Lots) -> None:
    lots.apply(RecordRuns(progress=(progress(0, "one"),)))
    lots.apply(RecordRuns(progress=(progress(1, "two", "three"),)))
    opened = lots.query(ReadOpenItems(), OpenItems)
    assert isinstance(opened, OpenItems)
    assert {item.item_id: item.events for item in opened.items if item.events} == {"a": 3}


def test_open_items_are_queried_by_key_or_by_lot(lots: Lots) -> None:
    lots.apply(submit("x", lot="other"), LotAccepted)
    lots.done("b")
    keys = lots.query(ReadOpenKeys(), OpenKeys)
    assert isinstance(keys, OpenKeys)
    assert sorted(keys.keys) == [("lot", "a"), ("lot", "c"), ("other", "x")]
    one_lot = lots.query(ReadOpenItems("other"), OpenItems)
    assert isinstance(one_lot, OpenItems)
    assert [item.item_id for item in one_lot.items] == ["x"]
    lots.apply(EndLot("lot"), LotAccepted)
    assert lots.query(ReadOpenKeys(), OpenKeys) == OpenKeys((("other", "x"),))


def test_queued_tokens_of_a_tenant_are_limited_by_route() -> None:
    lots = Lots()
    first, second, third = (stored_id("t", name) for name in ("1", "2", "3"))

    def put(lot: str, route: str = "r", most: int = 27) -> object:
        return lots.apply(submit("a", "b", lot=lot, route=route, most=most), LotAccepted)

    assert put(first) == LotAccepted(first)
    refused = put(second)
    assert isinstance(refused, Failure)
    assert refused.kind is FailureKind.RATE_LIMITED
    assert "18 tokens queued" in refused.reason
    assert put(first) == LotAccepted(first), "a lot that was taken is taken again"
    assert put(stored_id("u", "2")) == LotAccepted(stored_id("u", "2")), "another tenant"
    assert put(third, route="other") == LotAccepted(third), "another route"
    result = ItemResult(lot_id=first, item_id="a", state=ItemState.DONE, text="x")
    lots.apply(RecordRuns(results=(result,)))
    assert put(second) == LotAccepted(second), "tokens of a finished item come back"


def test_tokens_of_an_ended_lot_come_back() -> None:
    lots = Lots()
    first, second = stored_id("t", "1"), stored_id("t", "2")
    assert lots.apply(submit("a", lot=first, route="r", most=9), LotAccepted) == LotAccepted(first)
    lots.apply(EndLot(first), LotAccepted)
    again = lots.apply(submit("a", lot=second, route="r", most=9), LotAccepted)
    assert again == LotAccepted(second)


def test_lots_of_tenants_do_not_meet() -> None:
    lots = Lots()
    for owner in ("t", "u", ""):
        lot = stored_id(owner, "same")
        assert lots.apply(submit("a", lot=lot), LotAccepted) == LotAccepted(lot)
        assert owner_of(lot) == owner
    assert len(lots.open_items()) == 3
