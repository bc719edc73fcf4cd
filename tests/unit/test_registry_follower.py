"""Tests of the follower, which keeps the copy of the registry in a gateway or a store."""

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
from leverjunction.errors import Execution, Failure, FailureKind, Step
from leverjunction.registry import view_changes
from leverjunction.registry.commands import WatchReply, WatchRequest
from leverjunction.registry.follower import RegistryFollower, Snapshot
from leverjunction.registry.records import BaseVersion, FleetView, MemberRecord, MemberRole
from leverjunction.routes.types import RouteTable


class Hubs:
    """Test double of the RPC client: control processes that reply as a test specifies."""

    def __init__(self, answer: Callable[[str, WatchRequest], WatchReply | Failure]) -> None:
        self.answer = answer
        self.calls: list[tuple[str, WatchRequest]] = []

    def call(
        self, hub: str, _kind: object, request: WatchRequest, *_: object, **__: object
    ) -> object:
        self.calls.append((hub, request))
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


def test_a_receiver_that_raises_is_called_again() -> None:
    """Guards against a process that gets no more changes.

    The failure: an exception of the receiver ended the follower's thread.
    """
    received: list[int] = []

    def changed(snapshot: Snapshot) -> None:
        received.append(snapshot.table.version)
        if len(received) == 1:
            raise sqlite3.OperationalError("database or disk is full")

    follower = follow(Hubs(lambda _hub, _request: reply(3)), changed)
    wait_until(lambda: len(received) >= 2, 5.0)
    follower.stop()
    assert received[:2] == [3, 3]


def test_a_call_that_raises_is_repeated() -> None:
    """Guards against a process that keeps old routes and back ends forever.

    The failure: an exception that the RPC client does not turn into a ``Failure`` ended the
    follower's thread. No further call reached a control process, and only the interpreter reported
    the exception.
    """
    raised: list[str] = []

    def answer(hub: str, _request: WatchRequest) -> WatchReply:
        if not raised:
            raised.append(hub)
            raise RuntimeError("can't start new thread")
        return reply(3)

    received: list[int] = []
    follower = follow(Hubs(answer), lambda snapshot: received.append(snapshot.table.version))
    wait_until(lambda: received == [3], 5.0)
    follower.stop()


def test_older_state_never_replaces_newer_state() -> None:
    versions = iter([5, 3, 4, 6])
    received: list[int] = []
    hubs = Hubs(lambda _hub, _request: reply(next(versions, 6)))
    follower = follow(hubs, lambda snapshot: received.append(snapshot.table.version))
    wait_until(lambda: len(hubs.calls) > 6, 5.0)
    follower.stop()
    assert received == [5, 6]
    # The first reply must come from the leader, confirmed by a quorum.
    assert [request.fresh for _, request in hubs.calls[:3]] == [True, False, False]


def test_after_a_failure_the_next_process_is_polled() -> None:
    failure = Failure(
        kind=FailureKind.STALE, reason="cut off", step=Step.EXCHANGING, execution=Execution.NOT_RUN
    )
    hubs = Hubs(lambda hub, _request: reply(2) if hub == "b:1" else failure)
    received: list[int] = []
    follower = follow(hubs, lambda snapshot: received.append(snapshot.table.version))
    wait_until(lambda: received == [2], 5.0)
    call_count = len(hubs.calls)
    wait_until(lambda: len(hubs.calls) > call_count + 3, 5.0)
    follower.stop()
    assert {hub for hub, _ in hubs.calls[call_count:]} == {"b:1"}


def test_a_process_with_older_state_is_left_for_the_next() -> None:
    """Guards against following a process with old state forever.

    The failure: such a process replies in time that it has nothing newer.
    """

    def answer(hub: str, request: WatchRequest) -> WatchReply:
        if request.fresh or hub == "b:1":
            version = 3 if request.fresh else 4
            return msgspec.structs.replace(reply(version), table_version=version, revision=version)
        return msgspec.structs.replace(reply(0), table=None, view=None, table_version=0, revision=0)

    received: list[int] = []
    follower = follow(Hubs(answer), lambda snapshot: received.append(snapshot.table.version))
    wait_until(lambda: received == [3, 4], 5.0)
    follower.stop()


class SilentHubs(Hubs):
    """Control processes of which those in ``silent`` never reply."""

    silent: frozenset[str] = frozenset()

    def call(
        self, hub: str, _kind: object, request: WatchRequest, *_: object, **options: object
    ) -> object:
        if hub not in self.silent:
            return super().call(hub, _kind, request)
        timeout_s = options["timeout_s"]
        assert isinstance(timeout_s, float)
        time.sleep(timeout_s)
        return Failure(
            kind=FailureKind.TIMEOUT, reason="", step=Step.RESPONDING, execution=Execution.NOT_RUN
        )


def test_a_change_arrives_in_time_though_two_processes_in_a_row_are_unresponsive(
    paused_s: Callable[[], float],
) -> None:
    """Guards against late changes.

    The failure: the timeout of a held call was used for each unresponsive process, 2.9 s for two.
    """
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

    # The call in progress returns the version before.
    wait_until(is_known, 8.0)
    follower.stop()
    assert time.monotonic() - began_s - (paused_s() - before_s) < 2.0


def test_the_age_of_the_table_includes_the_contact_age_of_the_reply() -> None:
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


def test_a_store_whose_disk_is_full_at_its_start_reports_a_fault(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a store that runs on without a replica: its process must end and restart."""
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
    """Clock that a test can move forward to simulate a stall of the process."""

    stalled_s = 0.0

    def monotonic_s(self) -> float:
        return super().monotonic_s() + self.stalled_s


def test_after_a_stall_the_state_is_in_doubt_until_a_process_replies_without_holding() -> None:
    """Guards against requests to back ends that left while the gateway was suspended.

    The failure: the first call after a stall was held at the control process like all others, for
    0.9 s without a change.
    """
    clock, may_reply = SteppedClock(), threading.Event()
    may_reply.set()

    def answer(_hub: str, request: WatchRequest) -> WatchReply:
        if request.fresh:
            return reply(3)
        may_reply.wait(5.0)
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
    wait_until(lambda: len(hubs.calls) > 1, 5.0)
    assert not follower.is_in_doubt()
    may_reply.clear()
    clock.stalled_s = 5.0
    assert follower.is_in_doubt()
    call_count = len(hubs.calls)
    may_reply.set()
    wait_until(lambda: not follower.is_in_doubt(), 5.0)
    follower.stop()
    # The call in progress cannot confirm the state, since it was sent before the stall.
    assert hubs.calls[call_count][1].wait_ms == 0


def test_changes_that_do_not_fit_do_not_confirm_the_state_and_the_whole_is_asked_for() -> None:
    first = FleetView(revision=1)
    later = FleetView(revision=2, base_versions=(BaseVersion("s", "v1"),))
    wrong = view_changes.changes(first, later, "0123456789abcdef")

    def answer(_hub: str, request: WatchRequest) -> WatchReply:
        whole = first if request.revision < 0 else None
        if request.revision == 1 and not request.view_digest:
            whole = later
        is_unfit = request.revision == 1 and bool(request.view_digest)
        if request.revision == 2:
            time.sleep(0.05)
        return WatchReply(
            table=None,
            view=whole,
            controls=("a:1",),
            contact_age_s=0.0 if is_unfit else 1000.0,
            view_changes=wrong if is_unfit else None,
        )

    received: list[int] = []
    hubs = Hubs(answer)
    follower = follow(hubs, lambda snapshot: received.append(snapshot.view.revision), ("a:1",))
    wait_until(lambda: 2 in received, 5.0)
    age_s = follower.table_age_s()
    follower.stop()
    assert received == [1, 2]
    assert [bool(request.view_digest) for _, request in hubs.calls[:3]] == [False, True, False]
    assert age_s >= 1000.0


def test_a_process_follows_one_of_its_zone_as_soon_as_zones_are_known() -> None:
    zones = {"a:1": "near", "b:1": "far", "c:1": "far", "d:1": "near"}
    members = tuple(
        MemberRecord(name=hub, role=MemberRole.CONTROL, address=hub, zone=zone)
        for hub, zone in zones.items()
    )
    gone: set[str] = set()
    failure = Failure(
        kind=FailureKind.UNREACHABLE,
        reason="gone",
        step=Step.CONNECTING,
        execution=Execution.NOT_RUN,
    )

    def answer(hub: str, _request: WatchRequest) -> WatchReply | Failure:
        time.sleep(0.01)
        if hub in gone:
            return failure
        view = FleetView(revision=1, members=members)
        return WatchReply(table=None, view=view, controls=tuple(zones), contact_age_s=0.1)

    hubs = Hubs(answer)
    follower = RegistryFollower(
        hubs,  # type: ignore[arg-type]
        ("b:1", "c:1"),
        "",
        SystemClock(),
        Random(1),
        lambda _snapshot: None,
        "near",
    )
    follower.start()
    wait_until(lambda: len(hubs.calls) > 3, 5.0)
    followed = follower.hubs()[0]
    assert zones[followed] == "near"
    gone.add(followed)
    wait_until(lambda: follower.hubs()[0] != followed, 5.0)
    assert zones[follower.hubs()[0]] == "near"
    gone.add(follower.hubs()[0])
    wait_until(lambda: follower.hubs()[0] not in gone, 5.0)
    follower.stop()
