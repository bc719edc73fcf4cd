"""The copy of the registry in a gateway or a store."""

from __future__ import annotations

import sqlite3
import threading
import time
from collections.abc import Callable
from pathlib import Path
from random import Random

import msgspec
import pytest
from tests.unit.seeded_support import SeededFleet, wait_until

from leverjunction.clock import SystemClock
from leverjunction.consensus.group import GroupReplica
from leverjunction.errors import Failure, FailureKind, Step
from leverjunction.registry.commands import WatchReply, WatchRequest
from leverjunction.registry.follower import RegistryFollower, Snapshot
from leverjunction.registry.records import FleetView
from leverjunction.routes.types import RouteTable


class Hubs:
    """Stands for the RPC client: control processes that answer what a test says."""

    def __init__(self, answer: Callable[[str, WatchRequest], WatchReply | Failure]) -> None:
        self.answer = answer
        self.asked: list[tuple[str, WatchRequest]] = []

    def call(
        self, hub: str, _kind: object, request: WatchRequest, *_: object, **__: object
    ) -> object:
        self.asked.append((hub, request))
        return self.answer(hub, request)


def reply(version: int) -> WatchReply:
    return WatchReply(
        table=RouteTable(version=version),
        view=FleetView(revision=version),
        controls=("a:1", "b:1"),
        contact_age_s=0.1,
    )


def follow(
    hubs: Hubs,
    changed: Callable[[Snapshot], None],
    seeds: tuple[str, ...] = ("a:1", "b:1"),
) -> RegistryFollower:
    follower = RegistryFollower(
        hubs,  # type: ignore[arg-type]
        seeds,
        "",
        SystemClock(),
        Random(1),
        changed,
    )
    follower.start()
    return follower


def test_a_receiver_that_fails_once_is_told_again() -> None:
    """The thread ended with the receiver's fault, and the process never heard anything again."""
    told: list[int] = []

    def changed(snapshot: Snapshot) -> None:
        told.append(snapshot.table.version)
        if len(told) == 1:
            raise sqlite3.OperationalError("database or disk is full")

    follower = follow(Hubs(lambda _hub, _request: reply(3)), changed)
    wait_until(lambda: len(told) >= 2, 5.0)
    follower.stop()
    assert told[:2] == [3, 3]


def test_a_question_that_raises_is_asked_again() -> None:
    """A process kept its old routes and back ends for good, though all others had newer ones.

    Sequence: asking a control process raises what the client does not turn into a failure. Cause:
    the thread ended, and nobody watches it. What settled it: no further question reached any
    control process, and no line but the interpreter's own told of it.
    """
    raised: list[str] = []

    def answer(hub: str, _request: WatchRequest) -> WatchReply:
        if not raised:
            raised.append(hub)
            raise RuntimeError("can't start new thread")
        return reply(3)

    told: list[int] = []
    follower = follow(Hubs(answer), lambda snapshot: told.append(snapshot.table.version))
    wait_until(lambda: told == [3], 5.0)
    follower.stop()


def test_it_never_goes_back() -> None:
    versions = iter([5, 3, 4, 6])
    told: list[int] = []
    hubs = Hubs(lambda _hub, _request: reply(next(versions, 6)))
    follower = follow(hubs, lambda snapshot: told.append(snapshot.table.version))
    wait_until(lambda: len(hubs.asked) > 6, 5.0)
    follower.stop()
    assert told == [5, 6]
    # The first answer must be fresh by quorum.
    assert [request.fresh for _, request in hubs.asked[:3]] == [True, False, False]


def test_a_process_that_does_not_answer_is_left_for_the_next() -> None:
    failure = Failure(kind=FailureKind.STALE, reason="cut off", step=Step.EXCHANGING)
    hubs = Hubs(lambda hub, _request: reply(2) if hub == "b:1" else failure)
    told: list[int] = []
    follower = follow(hubs, lambda snapshot: told.append(snapshot.table.version))
    wait_until(lambda: told == [2], 5.0)
    asked = len(hubs.asked)
    wait_until(lambda: len(hubs.asked) > asked + 3, 5.0)
    follower.stop()
    assert {hub for hub, _ in hubs.asked[asked:]} == {"b:1"}


def test_a_process_that_knows_less_is_left_for_the_next() -> None:
    """It answers in time and has nothing newer, so it was followed for good."""

    def answer(hub: str, request: WatchRequest) -> WatchReply:
        if request.fresh or hub == "b:1":
            version = 3 if request.fresh else 4
            return msgspec.structs.replace(reply(version), table_version=version, revision=version)
        return msgspec.structs.replace(reply(0), table=None, view=None, table_version=0, revision=0)

    told: list[int] = []
    follower = follow(Hubs(answer), lambda snapshot: told.append(snapshot.table.version))
    wait_until(lambda: told == [3, 4], 5.0)
    follower.stop()


class SilentHubs(Hubs):
    """Control processes of which some never answer, once they are told to."""

    silent: frozenset[str] = frozenset()

    def call(
        self, hub: str, _kind: object, request: WatchRequest, *_: object, **options: object
    ) -> object:
        if hub not in self.silent:
            return super().call(hub, _kind, request)
        timeout_s = options["timeout_s"]
        assert isinstance(timeout_s, float)
        time.sleep(timeout_s)
        return Failure(kind=FailureKind.TIMEOUT, reason="", step=Step.RESPONDING)


def test_a_change_is_known_in_time_though_two_processes_in_a_row_are_silent(
    paused_s: Callable[[], float],
) -> None:
    """Each silent one was waited for as if it held the call: 2.9 s for two."""
    version = 1
    hubs = SilentHubs(lambda _hub, _request: reply(version))
    follower = follow(hubs, lambda _snapshot: None, ("a:1", "b:1", "c:1"))
    wait_until(lambda: follower.snapshot() is not None, 5.0)
    first, second, _ = follower.hubs()
    hubs.silent = frozenset({first, second})
    version = 2
    began_s, before_s = time.monotonic(), paused_s()

    def is_known() -> bool:
        snapshot = follower.snapshot()
        return snapshot is not None and snapshot.table.version == 2

    # The call under way is answered with the version before.
    wait_until(is_known, 8.0)
    follower.stop()
    assert time.monotonic() - began_s - (paused_s() - before_s) < 2.0


def test_the_age_of_the_table_counts_from_what_an_answer_rests_on() -> None:
    def answer(_hub: str, _request: WatchRequest) -> WatchReply:
        return msgspec.structs.replace(reply(3), contact_age_s=0.7)

    hubs = Hubs(answer)
    follower = RegistryFollower(
        hubs,  # type: ignore[arg-type]
        ("a:1",),
        "",
        SystemClock(),
        Random(1),
        lambda _snapshot: None,
    )
    assert follower.table_age_s() > 1000
    follower.start()
    wait_until(lambda: follower.table_age_s() < 1.0, 5.0)
    assert follower.table_age_s() >= 0.7
    follower.stop()


def test_a_store_whose_disk_is_full_at_its_start_says_so(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """It went on without a replica for good: its process must end, to start anew."""
    fleet = SeededFleet(tmp_path)
    start = GroupReplica.start

    def full(replica: GroupReplica) -> Failure | None:
        if replica.config.group != "registry":
            raise sqlite3.OperationalError("database or disk is full")
        return start(replica)

    monkeypatch.setattr(GroupReplica, "start", full)
    try:
        for number in (1, 2, 3):
            fleet.start_control(number)
            fleet.start_store(number)
        store = fleet.stores["store-1"]
        wait_until(lambda: store.fault() is not None)
        fault = store.fault()
        assert fault is not None
        assert "disk is full" in fault.reason
    finally:
        fleet.stop()


class SteppedClock(SystemClock):
    """The machine's clock, which a test can put forward: the process stood still."""

    stood_s = 0.0

    def monotonic_s(self) -> float:
        return super().monotonic_s() + self.stood_s


def test_after_a_standstill_what_is_known_is_in_doubt_until_a_process_answers_at_once() -> None:
    """A gateway that woke up sent requests to back ends that had left meanwhile.

    The next question was held at the control process like all others, for 0.9 s without news.
    """
    clock, answers = SteppedClock(), threading.Event()
    answers.set()

    def answer(_hub: str, request: WatchRequest) -> WatchReply:
        if request.fresh:
            return reply(3)
        answers.wait(5.0)
        time.sleep(request.wait_ms / 1000)
        return reply(3)

    hubs = Hubs(answer)
    follower = RegistryFollower(
        hubs,  # type: ignore[arg-type]
        ("a:1",),
        "",
        clock,
        Random(1),
        lambda _snapshot: None,
    )
    follower.start()
    wait_until(lambda: len(hubs.asked) > 1, 5.0)
    assert not follower.is_in_doubt()
    answers.clear()
    clock.stood_s = 5.0
    assert follower.is_in_doubt()
    asked = len(hubs.asked)
    answers.set()
    wait_until(lambda: not follower.is_in_doubt(), 5.0)
    follower.stop()
    # The one under way says nothing of the time in which the process stood still.
    assert hubs.asked[asked][1].wait_ms == 0
