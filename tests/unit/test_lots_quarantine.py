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
from leverjunction.lots.commands import ItemBody, LotItem, ReadBody, SubmitLot, encode_command
from leverjunction.lots.runner import LotsRunner
from leverjunction.platform.headers import PlatformDialect
from leverjunction.registry.follower import Snapshot
from leverjunction.registry.records import FleetView, RunnerRecord
from leverjunction.routes import RouteClass
from leverjunction.wire.codec import decode_reply, encode
from testbed.routed import HOST, MortalRunner, make_route, make_table
from testbed.routed.exchange import EVENTS_HEADER
from testbed.routed.mortal import MortalStart

BACK_ENDS = 4
RESTART_S = 0.5
WATCHED_S = 8.0
ENOUGH = 3
MADE_S = 0.6
"""Of a run: a good part of its events has come to the store by then."""


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


def submit(store: OneStore, bodies: dict[str, bytes], events: int = 5) -> None:
    headers = ((EVENTS_HEADER, str(events)),)
    items = tuple(
        LotItem(item_id=name, path=f"/batch/{name}", headers=headers, body=body, tokens=9)
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


def test_the_body_of_an_item_is_kept_sent_and_read_back_byte_for_byte(
    store: OneStore, back: Back
) -> None:
    """Also of one that ends its back ends: each run of it carries the bytes that its caller sent.

    A day of bad items was judged as "the body was changed" for these items alone. Digests at
    receiving, at each sending and at reading back were the same for all 149 items of that day.
    """
    random = Random(7)
    sound = {f"item-{number}": random.randbytes(1 + 300 * number) for number in range(12)}
    bodies = {"bad": b"deadly", **sound}
    submit(store, bodies)
    kept = {name: decode_reply(store.query_local(body_of(name)), ItemBody) for name in bodies}
    assert kept == {name: ItemBody(body) for name, body in bodies.items()}
    wait_until(lambda: len(store.results()) == len(sound))
    sent = {
        (seen.target.rpartition("/")[2], seen.body)
        for back_end in back.all
        for start in back_end.starts
        for seen in start.seen
    }
    assert sent == set(bodies.items())
    assert decode_reply(store.query_local(body_of("bad")), ItemBody) == ItemBody(b"deadly")


def body_of(item_id: str) -> bytes:
    return encode(ReadBody(lot_id="lot", item_id=item_id))


def test_an_item_beside_ends_of_another_cause_is_done(store: OneStore, back: Back) -> None:
    """An accepted item was held for ten minutes, though nothing was wrong with it.

    Back ends ended four times in 30 s under other causes, and the item had the bad luck to run
    there: three ends, so it counted as their cause. But it had got further in each run, as a
    request that ends its back end at once does not:

        run_ended l784a25cd54dc.32 cut, parts 5, events 9, at i-1@1796259727245
        run_ended l784a25cd54dc.32 cut, parts 3, events 11, at i-3@1796259727308
        back end i-1@1796259734608 ended under request 0500.. (attempt l784a25cd54dc.32): refused

    The end of a run that has gone on for a while now counts a third of one that has just begun.
    """
    submit(store, {"long": b"sound"}, events=300)
    for _ in range(ENOUGH + 1):
        wait_until(lambda: _longest_run_s(back) >= MADE_S)
        for start in _running(back):
            start.end()
            start.wait()
    wait_until(lambda: "long" in store.results(), 12.0)
    assert store.results()["long"][0] == "done"


def _running(back: Back) -> list[MortalStart]:
    """Return the starts that have a run of an item now."""
    latest = [back_end.starts[-1] for back_end in back.all]
    return [start for start in latest if start.held and not start.has_ended]


def _longest_run_s(back: Back) -> float:
    """Return for how long the run of an item has gone on, 0 while none does."""
    now_s = time.monotonic()
    began_s = [seen.began_s for start in _running(back) for seen in start.held]
    return max((now_s - at_s for at_s in began_s), default=0.0)
