"""The order of open items, also with hundreds of them."""

from __future__ import annotations

import pytest

from leverjunction.lots import item_queue as queue_module
from leverjunction.lots.commands import OpenItem
from leverjunction.lots.item_queue import RANKING_MAX_AGE_S, RANKING_MAX_SHARE, ItemQueue
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


def rank_by_due(run: ItemRun) -> Urgency:
    return Urgency(False, run.item.due_ms)


def names(queue: ItemQueue) -> list[str]:
    return [run.item.item_id for run in queue.take()]


@pytest.fixture
def queue() -> ItemQueue:
    queue = ItemQueue()
    queue.add([item("c", 3), item("a", 1), item("b", 2)])
    return queue


def test_waiting_items_are_taken_by_urgency_and_once(queue: ItemQueue) -> None:
    assert queue.rank(0.0, rank_by_due)
    assert names(queue) == ["a", "b", "c"]
    assert names(queue) == []


def test_a_ranking_is_used_for_a_while(queue: ItemQueue) -> None:
    """Guards against ranking hundreds of items at each step, which cost a leader its lease."""
    queue.rank(0.0, rank_by_due)
    assert not queue.rank(RANKING_MAX_AGE_S / 2, rank_by_due)
    names(queue)
    assert queue.rank(RANKING_MAX_AGE_S, rank_by_due)
    assert names(queue) == ["a", "b", "c"]


def test_new_items_are_ranked_at_once(queue: ItemQueue) -> None:
    queue.rank(0.0, rank_by_due)
    queue.add([item("new", 0), item("a", 9)])
    assert queue.rank(0.01, rank_by_due)
    assert names(queue) == ["new", "a", "b", "c"]


def test_items_that_ended_meanwhile_are_not_taken(queue: ItemQueue) -> None:
    queue.rank(0.0, rank_by_due)
    gone = queue.retain(frozenset({("lot", "a"), ("lot", "c")}))
    assert [run.item.item_id for run in gone] == ["b"]
    assert queue.rank(0.01, rank_by_due)
    assert names(queue) == ["a", "c"]


def test_an_item_that_could_not_run_comes_first_the_next_time(queue: ItemQueue) -> None:
    queue.rank(0.0, rank_by_due)
    waiting = queue.take()
    first = next(waiting)
    queue.put_back(first)
    assert names(queue) == ["a", "b", "c"]


def test_only_lots_with_unknown_items_are_read(queue: ItemQueue) -> None:
    keys = [("lot", "a"), ("lot", "b"), ("other", "x")]
    assert queue.unknown_lots(keys) == {"other"}


def test_services_are_those_of_the_open_items(
    queue: ItemQueue, monkeypatch: pytest.MonkeyPatch
) -> None:
    index = RouteIndex(make_table(make_route(RouteClass.BATCH)))
    assert queue.services(index) == {SERVICE}
    monkeypatch.setattr(queue_module.ItemRun, "route", None)
    assert queue.services(index) == {SERVICE}, "computed once for a table and a set of items"
    queue.clear()
    assert queue.services(index) == frozenset()


def test_a_ranking_that_took_long_is_used_for_longer(queue: ItemQueue) -> None:
    """Guards against an event loop that does little but rank a backlog of 100,000 items."""
    queue.rank(0.0, rank_by_due)
    queue.note_ranking(0.5)
    assert not queue.is_ranking_due(RANKING_MAX_AGE_S * 2)
    assert queue.is_ranking_due(0.5 / RANKING_MAX_SHARE)
