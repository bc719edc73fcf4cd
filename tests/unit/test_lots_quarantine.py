"""An item under which back ends end must not go on ending them.

Runs of an item that ended with their back end were only repeated: failed runs are those that a back
end answers with a failure, and such an item is never answered. It was run until its time was over,
at one back end after the other, and whatever ran beside it was lost each time: 18 runs in 9 s, the
sound items of its lot among those that started anew.
"""

from __future__ import annotations

import threading
import time
from collections.abc import Iterator
from random import Random

import pytest
from tests.unit.seeded_support import wait_until
from tests.unit.test_lots_runner import WHOLE_TEXT, OneStore

from leverjunction.clock import SystemClock
from leverjunction.lots.commands import LotItem, SubmitLot, encode_command
from leverjunction.lots.runner import LotsRunner
from leverjunction.platform.headers import PlatformDialect
from leverjunction.registry.follower import Snapshot
from leverjunction.registry.records import FleetView, RunnerRecord
from leverjunction.routes import RouteClass
from testbed.routed import HOST, MortalRunner, make_route, make_table

BACK_ENDS = 4
RESTART_S = 0.5
WATCHED_S = 8.0
ENOUGH = 3


class Back:
    """Back ends that end under one body, and what the runner is told of them."""

    def __init__(self, runner: LotsRunner) -> None:
        self._runner = runner
        self._records: dict[str, RunnerRecord] = {}
        self._lock = threading.Lock()
        self._revision = 0
        self.all = [
            MortalRunner(f"i-{number}", b"deadly", RESTART_S, self._tell)
            for number in range(BACK_ENDS)
        ]

    def stop(self) -> None:
        for back_end in self.all:
            back_end.stop()

    def _tell(self, record: RunnerRecord) -> None:
        table = make_table(make_route(RouteClass.BATCH, max_attempts=3))
        with self._lock:
            # One of each address: an older start has ended when the next one tells of itself.
            self._records[record.address] = record
            self._revision += 1
            view = FleetView(revision=self._revision, runners=tuple(self._records.values()))
            self._runner.set_registry(Snapshot(table, view))


@pytest.fixture
def store() -> OneStore:
    return OneStore()


@pytest.fixture
def back(store: OneStore) -> Iterator[Back]:
    made = LotsRunner(store, "z1", PlatformDialect(), SystemClock(), Random(1))
    store.runner = made
    back = Back(made)
    made.start()
    yield back
    made.stop()
    back.stop()


def submit(store: OneStore, bodies: dict[str, bytes]) -> None:
    items = tuple(
        LotItem(item_id=name, path=f"/batch/{name}", headers=(), body=body, tokens=9)
        for name, body in bodies.items()
    )
    lot = SubmitLot(
        lot_id="lot",
        host=HOST,
        path="/batch/lot",
        max_attempts=3,
        give_up_s=60.0,
        due_ms=20_000.0,
        items=items,
    )
    store.propose(encode_command(lot), 1.0)


def test_an_item_ends_no_more_than_a_few_back_ends(store: OneStore, back: Back) -> None:
    sound = {f"item-{number}": b"sound" for number in range(12)}
    submit(store, {"bad": b"deadly", **sound})
    wait_until(lambda: len(store.results()) == len(sound))
    time.sleep(WATCHED_S)
    sends = [seen for back_end in back.all for seen in back_end.begun(b"deadly")]
    assert len(sends) == ENOUGH
    assert store.results() == {name: ("done", WHOLE_TEXT) for name in sound}
