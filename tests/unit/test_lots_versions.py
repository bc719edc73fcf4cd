"""An item's output holds the events of one version of the back ends' software only."""

from __future__ import annotations

import time
from collections.abc import Iterator
from contextlib import ExitStack
from random import Random

import msgspec
import pytest
from tests.unit.seeded_support import wait_until
from tests.unit.test_lots_runner import WHOLE_TEXT, OneStore, submit

from leverjunction.clock import SystemClock
from leverjunction.errors import Failure
from leverjunction.lots.commands import ItemProgress, RecordRuns, encode_command
from leverjunction.lots.runner import LotsRunner
from leverjunction.platform.headers import PlatformDialect
from leverjunction.quarantine.records import SuspectList, SuspectRecord
from leverjunction.registry.follower import Snapshot
from leverjunction.registry.records import FleetView, RunnerRecord, RunnerState
from leverjunction.routes import RouteClass
from testbed.routed import SERVICE, RunnerStandIn, make_route, make_table

OLD, NEW = "v1", "v1.1"
DONE = {"item-0": ("done", WHOLE_TEXT)}
STOPS = "stream that stops"
CUT = "stream cut in an event"


@pytest.fixture
def stack() -> Iterator[ExitStack]:
    with ExitStack() as entered:
        yield entered


@pytest.fixture
def store() -> OneStore:
    return OneStore()


def start_runners(stack: ExitStack, *versions: str) -> list[RunnerStandIn]:
    return [
        stack.enter_context(RunnerStandIn(f"i-{number}", "stream", version=version))
        for number, version in enumerate(versions)
    ]


def snapshot(runners: list[RunnerStandIn], revision: int = 1) -> Snapshot:
    records = tuple(
        RunnerRecord(
            runner_id=runner.runner_id,
            service=SERVICE,
            address=runner.address,
            zone="z",
            slots=8,
            version=runner.version,
        )
        for runner in runners
    )
    table = make_table(make_route(RouteClass.BATCH, max_attempts=3))
    return Snapshot(table, FleetView(revision=revision, runners=records))


def start(stack: ExitStack, store: OneStore, runners: list[RunnerStandIn]) -> LotsRunner:
    lots = LotsRunner(store, "z", PlatformDialect(), SystemClock(), Random(1))
    store.runner = lots
    lots.set_registry(snapshot(runners))
    lots.start()
    stack.callback(lots.stop)
    return lots


def has_progress(store: OneStore) -> bool:
    progress = store.progress()
    return not isinstance(progress, Failure) and progress.count > 0


def continued(runner: RunnerStandIn) -> list[str]:
    """Return the events after which a back end was asked to continue an item."""
    return [
        seen.headers["last-event-id"] for seen in runner.seen if "last-event-id" in seen.headers
    ]


def test_an_item_begins_anew_when_nothing_of_its_version_is_left(
    stack: ExitStack, store: OneStore
) -> None:
    old, new = start_runners(stack, OLD, NEW)
    old.then(STOPS)
    lots = start(stack, store, [old])
    submit(store, 1)
    wait_until(lambda: has_progress(store))
    lots.set_registry(snapshot([new], 2))
    old.usual = "no answer"
    old.then(*["no answer"] * 3)
    wait_until(lambda: store.results() == DONE)
    assert continued(new) == []


def test_an_item_that_is_cut_goes_on_at_its_version_only(stack: ExitStack, store: OneStore) -> None:
    runners = start_runners(stack, OLD, NEW, OLD, NEW)
    for runner in runners:
        runner.then(CUT, CUT, CUT)
    start(stack, store, runners)
    names = submit(store, 8)
    wait_until(lambda: len(store.results()) == 8)
    assert store.results() == {name: ("done", WHOLE_TEXT) for name in names}
    for name in names:
        runs = sorted(
            (seen.began_s, runner.version, seen.headers.get("last-event-id"))
            for runner in runners
            for seen in runner.seen
            if seen.headers["leverjunction-request-id"] == name
        )
        version = ""
        for _, ran_at, after in runs:
            assert after is None or ran_at == version, runs
            version = ran_at


def test_a_new_leader_continues_an_item_at_its_version_only(
    stack: ExitStack, store: OneStore
) -> None:
    old, new = start_runners(stack, OLD, NEW)
    old.then(STOPS)
    lots = start(stack, store, [old])
    submit(store, 1)
    wait_until(lambda: has_progress(store))
    lots.stop()
    start(stack, store, [new, old])
    wait_until(lambda: store.results() == DONE)
    assert (continued(old), new.seen) == (["1"], [])


def test_a_new_leader_begins_an_item_anew_when_its_version_is_gone(
    stack: ExitStack, store: OneStore
) -> None:
    old, new = start_runners(stack, OLD, NEW)
    old.then(STOPS)
    lots = start(stack, store, [old])
    submit(store, 1)
    wait_until(lambda: has_progress(store))
    lots.stop()
    start(stack, store, [new])
    wait_until(lambda: store.results() == DONE)
    assert continued(new) == []


@pytest.mark.parametrize(("versions", "is_continued"), [((NEW,), True), ((OLD, NEW), False)])
def test_events_recorded_by_an_older_build_go_on_where_there_is_one_version(
    stack: ExitStack, store: OneStore, versions: tuple[str, ...], is_continued: bool
) -> None:
    """An older build records no version."""
    runners = start_runners(stack, *versions)
    submit(store, 1)
    part = ItemProgress(
        lot_id="lot", item_id="item-0", start=0, count=1, last_id="1", text="event 1"
    )
    store.propose(encode_command(RecordRuns(progress=(part,), repeats=True)), 1.0)
    start(stack, store, runners)
    wait_until(lambda: store.results() == DONE)
    assert [after for runner in runners for after in continued(runner)] == ["1"] * is_continued


def test_an_item_does_not_wait_long_for_a_version_without_room(
    stack: ExitStack, store: OneStore
) -> None:
    old, new = start_runners(stack, OLD, NEW)
    old.then(STOPS)
    lots = start(stack, store, [old])
    submit(store, 1)
    wait_until(lambda: has_progress(store))
    lots.stop()
    old.online = 8
    began_s = time.monotonic()
    start(stack, store, [new, old])
    wait_until(lambda: store.results() == DONE, 15.0)
    assert continued(new) == []
    assert time.monotonic() - began_s < 12.0


def test_an_item_does_not_wait_for_a_version_whose_back_ends_are_silent(
    stack: ExitStack, store: OneStore
) -> None:
    old, new = start_runners(stack, OLD, NEW)
    old.then(STOPS)
    lots = start(stack, store, [old])
    submit(store, 1)
    wait_until(lambda: has_progress(store))
    lots.stop()
    began_s = time.monotonic()
    lots = LotsRunner(store, "z", PlatformDialect(), SystemClock(), Random(1))
    store.runner = lots
    known = snapshot([new, old])
    silent = msgspec.structs.replace(known.view.runners[1], state=RunnerState.SILENT)
    view = FleetView(revision=1, runners=(known.view.runners[0], silent))
    lots.set_registry(Snapshot(known.table, view))
    lots.start()
    stack.callback(lots.stop)
    wait_until(lambda: store.results() == DONE, 3.0)
    assert continued(new) == []
    assert time.monotonic() - began_s < 3.0


def test_a_suspect_that_waits_for_an_idle_back_end_begins_anew_elsewhere(
    stack: ExitStack, store: OneStore
) -> None:
    old, new = start_runners(stack, OLD, NEW)
    old.then(STOPS)
    lots = start(stack, store, [old])
    submit(store, 1)
    wait_until(lambda: has_progress(store))
    lots.stop()
    old.online = 2
    lots = LotsRunner(store, "z", PlatformDialect(), SystemClock(), Random(1))
    store.runner = lots
    suspect = SuspectRecord(key="a" * 48, starts=("i-8", "i-9"), request_id="item-0", route="batch")
    suspects = SuspectList(revision=1, suspects=(suspect,))
    known = snapshot([new, old])
    lots.set_registry(Snapshot(known.table, known.view, suspects))
    lots.start()
    stack.callback(lots.stop)
    wait_until(lambda: store.results() == DONE, 15.0)
