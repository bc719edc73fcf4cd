"""The copy of the registry in a gateway or a store."""

from __future__ import annotations

import sqlite3
from collections.abc import Callable
from pathlib import Path
from random import Random

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


def follow(hubs: Hubs, changed: Callable[[Snapshot], None]) -> RegistryFollower:
    follower = RegistryFollower(
        hubs,  # type: ignore[arg-type]
        ("a:1", "b:1"),
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
