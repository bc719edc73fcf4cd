"""Each cause that keeps an open item from running has its own reason."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import pytest
from tests.unit.test_lots_item_queue import item

from leverjunction.lots.item_run import ItemRun
from leverjunction.lots.item_status import Reason, ServiceAvailability, StatusClassifier
from leverjunction.lots.placement import Placement
from leverjunction.lots.run_trace import RunEnd, RunTrace
from leverjunction.routes import RouteClass, RouteIndex
from testbed.routed import SERVICE, make_route, make_table

INDEX = RouteIndex(make_table(make_route(RouteClass.BATCH)))
OTHER_INDEX = RouteIndex(make_table(make_route(RouteClass.BATCH, prefix="/elsewhere/")))
AVAILABLE = ServiceAvailability(known=4, not_ejected=3, with_recent_load=3, allowance=5, free=2)


class _Task:
    """A task that has ended or not."""

    def __init__(self, done: bool) -> None:
        self._done = done

    def done(self) -> bool:
        return self._done


def classify_reason(
    run: ItemRun,
    service: ServiceAvailability = AVAILABLE,
    index: RouteIndex | None = INDEX,
    has_result: bool = False,
    is_in_doubt: bool = False,
) -> Reason:
    classifier = StatusClassifier(
        index, lambda _name: service, lambda _run: has_result, is_in_doubt
    )
    return classifier.classify(run).reason


def with_task(done: bool, prepare: Callable[[ItemRun], None] = lambda _run: None) -> ItemRun:
    run = ItemRun(item("a"))
    run.trace.start(1.0)
    task: asyncio.Task[None] = _Task(done)  # type: ignore[assignment]
    run.task = task
    prepare(run)
    return run


@pytest.mark.parametrize(
    ("service", "reason"),
    [
        (ServiceAvailability(), Reason.NO_BACK_END),
        (ServiceAvailability(known=2, free_ejected=4, allowance=8), Reason.EJECTED),
        (ServiceAvailability(known=2, not_ejected=2), Reason.NOT_READ),
        (
            ServiceAvailability(known=2, not_ejected=2, with_recent_load=2, allowance=0, free=4),
            Reason.NO_ROOM,
        ),
        (
            ServiceAvailability(known=2, not_ejected=2, with_recent_load=1, allowance=3, free=0),
            Reason.NO_ROOM,
        ),
        (
            ServiceAvailability(
                known=2, not_ejected=1, with_recent_load=1, allowance=3, free=0, free_ejected=4
            ),
            Reason.EJECTED,
        ),
        (
            ServiceAvailability(
                known=2, not_ejected=1, with_recent_load=1, allowance=0, free=0, free_ejected=4
            ),
            Reason.NO_ROOM,
        ),
        (AVAILABLE, Reason.WAITS_TURN),
    ],
)
def test_an_item_that_waits_for_a_service(service: ServiceAvailability, reason: Reason) -> None:
    assert classify_reason(ItemRun(item("a")), service) is reason
    assert (service.startable_runs > 0) is (reason is Reason.WAITS_TURN)


def test_a_store_in_doubt_does_not_say_that_items_wait_for_their_turn() -> None:
    held = ItemRun(item("a"))
    held.placement = Placement.HELD
    assert classify_reason(ItemRun(item("a")), is_in_doubt=True) is Reason.IN_DOUBT
    assert classify_reason(held, is_in_doubt=True) is Reason.IN_DOUBT
    assert classify_reason(with_task(done=False), is_in_doubt=True) is Reason.RUNS
    # What would keep the item from running anyway is told.
    no_back_end = ServiceAvailability()
    assert classify_reason(held, is_in_doubt=False) is Reason.HELD
    assert classify_reason(ItemRun(item("a")), no_back_end, is_in_doubt=True) is Reason.NO_BACK_END
    assert classify_reason(ItemRun(item("a")), index=None, is_in_doubt=True) is Reason.NO_TABLE


def test_an_item_without_table_or_route() -> None:
    assert classify_reason(ItemRun(item("a")), index=None) is Reason.NO_TABLE
    assert classify_reason(ItemRun(item("a")), index=OTHER_INDEX) is Reason.NO_ROUTE


def _parking(run: ItemRun) -> None:
    run.parking = True


def _ended(run: ItemRun) -> None:
    run.trace.set_end(RunEnd.SILENT)


def _no_body(run: ItemRun) -> None:
    run.trace.set_end(RunEnd.NO_BODY)


@pytest.mark.parametrize(
    ("run", "reason"),
    [
        (with_task(False), Reason.RUNS),
        (with_task(False, _parking), Reason.STOPS),
        (with_task(False, _ended), Reason.PAUSES),
        (with_task(True), Reason.TASK_LEFT),
        (with_task(True, _ended), Reason.TASK_LEFT),
        (with_task(False, _no_body), Reason.UNREADABLE),
    ],
)
def test_an_item_with_a_run(run: ItemRun, reason: Reason) -> None:
    assert classify_reason(run) is reason
    # The reason does not depend on a route table while the item has a task.
    assert classify_reason(run, index=None) is reason


def test_an_item_that_has_ended_waits_for_the_group_only() -> None:
    assert classify_reason(with_task(False), has_result=True) is Reason.RESULT_WAITS
    assert classify_reason(ItemRun(item("a")), index=None, has_result=True) is Reason.RESULT_WAITS


def test_a_left_task_is_reported_even_without_capacity() -> None:
    assert classify_reason(with_task(True), ServiceAvailability()) is Reason.TASK_LEFT


def test_each_service_is_examined_once_and_the_closest_gives_the_reason() -> None:
    asked: list[str] = []

    def service(service_name: str) -> ServiceAvailability:
        asked.append(service_name)
        return AVAILABLE

    classifier = StatusClassifier(INDEX, service, lambda _run: False)
    runs = [ItemRun(item(str(number))) for number in range(50)]
    assert {classifier.classify(run).reason for run in runs} == {Reason.WAITS_TURN}
    assert asked == [SERVICE]
    assert classifier.classify(runs[0]).service_name == SERVICE
    assert classifier.startable_runs(runs) == 2


@pytest.mark.parametrize(
    ("status", "between", "end"),
    [
        (200, True, RunEnd.DONE),
        (200, False, RunEnd.CUT),
        (422, True, RunEnd.IMPOSSIBLE),
        (500, True, RunEnd.FAILED),
        (429, True, RunEnd.REFUSED),
    ],
)
def test_how_a_whole_answer_ends_a_run(status: int, between: bool, end: RunEnd) -> None:
    trace = RunTrace()
    trace.record_status(status, between)
    assert trace.end is end
    trace.set_end(RunEnd.STOPPED)
    assert trace.end is end, "the first end is kept"
