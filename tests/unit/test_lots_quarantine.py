"""Guards against an item that crashes one back end after the other.

Runs of an item that ended with their back end were only repeated, because failed runs are those
that a back end answers with a failure, and such an item is never answered. It was run until its
time limit passed, and whatever ran beside it was lost each time: 18 runs in 9 s, with the sound
items of its lot among those that started again.
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
CRASHES_TO_QUARANTINE = 3
PROGRESS_S = 0.6
"""Duration of a run after which a good part of its events has reached the store."""


class CrashingBackEnds:
    """Back ends that crash under one body, and their registry snapshots for the runner."""

    def __init__(self, runner: LotsRunner) -> None:
        self._runner = runner
        self._records: dict[str, RunnerRecord] = {}
        self._lock = threading.Lock()
        self._revision = 0
        self.all = [
            MortalRunner(f"i-{number}", b"deadly", RESTART_S, self._register)
            for number in range(BACK_ENDS)
        ]

    def stop(self) -> None:
        for back_end in self.all:
            back_end.stop()

    def _register(self, record: RunnerRecord) -> None:
        table = make_table(make_route(RouteClass.BATCH, max_attempts=3))
        with self._lock:
            # One record for each address: an older start has ended when the next one registers.
            self._records[record.address] = record
            self._revision += 1
            view = FleetView(revision=self._revision, runners=tuple(self._records.values()))
            self._runner.set_registry(Snapshot(table, view))


@pytest.fixture
def store() -> OneStore:
    return OneStore()


@pytest.fixture
def back_ends(store: OneStore) -> Iterator[CrashingBackEnds]:
    runner = LotsRunner(store, "z1", PlatformDialect(), SystemClock(), Random(1))
    store.runner = runner
    back_ends = CrashingBackEnds(runner)
    runner.start()
    yield back_ends
    runner.stop()
    back_ends.stop()


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


def test_an_item_crashes_only_a_few_back_ends(store: OneStore, back_ends: CrashingBackEnds) -> None:
    sound = {f"item-{number}": b"sound" for number in range(12)}
    submit(store, {"bad": b"deadly", **sound})
    wait_until(lambda: len(store.results()) == len(sound))
    time.sleep(WATCHED_S)
    sends = [seen for back_end in back_ends.all for seen in back_end.begun(b"deadly")]
    assert len(sends) == CRASHES_TO_QUARANTINE
    assert store.results() == {name: ("done", WHOLE_TEXT) for name in sound}


def test_the_body_of_an_item_is_kept_sent_and_read_back_byte_for_byte(
    store: OneStore, back_ends: CrashingBackEnds
) -> None:
    """Each run of an item carries the bytes that its caller sent, also if it crashes back ends.

    A check of a whole day once reported "the body was changed" for such items alone. Digests at
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
        for back_end in back_ends.all
        for start in back_end.starts
        for seen in start.seen
    }
    assert sent == set(bodies.items())
    assert decode_reply(store.query_local(body_of("bad")), ItemBody) == ItemBody(b"deadly")


def body_of(item_id: str) -> bytes:
    return encode(ReadBody(lot_id="lot", item_id=item_id))


def test_an_item_beside_crashes_of_another_cause_is_done(
    store: OneStore, back_ends: CrashingBackEnds
) -> None:
    """Guards against an item that is quarantined for ten minutes without having caused a crash.

    Back ends ended four times in 30 s for other reasons, and the item happened to run there at
    three of these ends, so it was counted as their cause. But each run had made progress, unlike a
    request that crashes its back end at once:

        run_ended l784a25cd54dc.32 cut, parts 5, events 9, at i-1@1796259727245
        run_ended l784a25cd54dc.32 cut, parts 3, events 11, at i-3@1796259727308
        back end i-1@1796259734608 ended under request 0500.. (attempt l784a25cd54dc.32): refused

    The end of a run that has gone on for a while therefore counts a third of one that has just
    begun.
    """
    submit(store, {"long": b"sound"}, events=300)
    for _ in range(CRASHES_TO_QUARANTINE + 1):
        wait_until(lambda: _longest_run_s(back_ends) >= PROGRESS_S)
        for start in _running(back_ends):
            start.end()
            start.wait()
    wait_until(lambda: "long" in store.results(), 12.0)
    assert store.results()["long"][0] == "done"


def _running(back_ends: CrashingBackEnds) -> list[MortalStart]:
    """Return the starts of back ends that are running an item."""
    latest = [back_end.starts[-1] for back_end in back_ends.all]
    return [start for start in latest if start.held and not start.has_ended]


def _longest_run_s(back_ends: CrashingBackEnds) -> float:
    """Return the duration of the longest current run of an item in seconds, 0 if there is none."""
    now_s = time.monotonic()
    began_s = [seen.began_s for start in _running(back_ends) for seen in start.held]
    return max((now_s - at_s for at_s in began_s), default=0.0)
