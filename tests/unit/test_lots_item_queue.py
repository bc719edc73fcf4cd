"""The order of open items, and what is done with hundreds of them."""

from __future__ import annotations

import pytest

from leverjunction.lots import item_queue as board_module
from leverjunction.lots.commands import OpenItem
from leverjunction.lots.item_queue import RANKING_MAX_AGE_S, ItemQueue
from leverjunction.lots.item_run import ItemRun
from leverjunction.lots.urgency import Urgency
from leverjunction.routes import RouteClass, RouteIndex
from testbed.routed import HOST, SERVICE, make_route, make_table


def item(name: str, due_ms: float = 0.0, lot: str = "lot") -> OpenItem:
    return OpenItem(
        lot_id=lot,
        item_id=name,
        host=HOST,
        path=f"/batch/{name}",
        headers=(),
        tokens=1,
        max_attempts=3,
        give_up_s=60.0,
        due_ms=due_ms,
        accepted_ms=0,
        failures=0,
    )


def by_due(run: ItemRun) -> Urgency:
    return Urgency(False, run.item.due_ms)


def names(board: ItemQueue) -> list[str]:
    return [run.item.item_id for run in board.take()]


@pytest.fixture
def board() -> ItemQueue:
    made = ItemQueue()
    made.add([item("c", 3), item("a", 1), item("b", 2)])
    return made


def test_what_waits_is_taken_by_urgency_and_once(board: ItemQueue) -> None:
    assert board.rank(0.0, by_due)
    assert names(board) == ["a", "b", "c"]
    assert names(board) == []


def test_a_ranking_is_used_for_a_while(board: ItemQueue) -> None:
    """Ranking hundreds of items at each step took the leader's time: it lost its lease."""
    board.rank(0.0, by_due)
    assert not board.rank(RANKING_MAX_AGE_S / 2, by_due)
    names(board)
    assert board.rank(RANKING_MAX_AGE_S, by_due)
    assert names(board) == ["a", "b", "c"]


def test_new_items_are_ranked_at_once(board: ItemQueue) -> None:
    board.rank(0.0, by_due)
    board.add([item("new", 0), item("a", 9)])
    assert board.rank(0.01, by_due)
    assert names(board) == ["new", "a", "b", "c"]


def test_what_ended_meanwhile_is_not_taken(board: ItemQueue) -> None:
    board.rank(0.0, by_due)
    gone = board.keep(frozenset({("lot", "a"), ("lot", "c")}))
    assert [run.item.item_id for run in gone] == ["b"]
    assert board.rank(0.01, by_due)
    assert names(board) == ["a", "c"]


def test_what_could_not_run_comes_first_the_next_time(board: ItemQueue) -> None:
    board.rank(0.0, by_due)
    waiting = board.take()
    first = next(waiting)
    board.put_back(first)
    assert names(board) == ["a", "b", "c"]


def test_only_lots_with_unknown_items_are_read(board: ItemQueue) -> None:
    keys = [("lot", "a"), ("lot", "b"), ("other", "x")]
    assert board.unknown_lots(keys) == {"other"}


def test_services_are_those_of_the_open_items(
    board: ItemQueue, monkeypatch: pytest.MonkeyPatch
) -> None:
    index = RouteIndex(make_table(make_route(RouteClass.BATCH)))
    assert board.services(index) == {SERVICE}
    monkeypatch.setattr(board_module.ItemRun, "route", None)
    assert board.services(index) == {SERVICE}, "worked out once for a table and a set of items"
    board.clear()
    assert board.services(index) == frozenset()
