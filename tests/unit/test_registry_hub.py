"""Tests of a control process's hub: held calls, staleness, and freedom from deadlocks."""

from __future__ import annotations

import threading
import time
from pathlib import Path
from random import Random

from leverjunction.clock import SystemClock
from leverjunction.consensus.api import GroupStatus
from leverjunction.consensus.group import GroupReplica
from leverjunction.consensus.types import GroupConfig
from leverjunction.errors import Execution, Failure, FailureKind, Step
from leverjunction.registry.commands import WatchReply, WatchRequest
from leverjunction.registry.hub import RegistryHub
from leverjunction.registry.records import FleetView
from leverjunction.registry.state_machine import RegistryStateMachine
from leverjunction.routes.types import RouteTable
from leverjunction.wire.codec import encode_reply


class Replica:
    """Test double of a group's replica; one lock guards its state and its notifications."""

    def __init__(self) -> None:
        self.lock = threading.Lock()
        self.table = RouteTable(version=1)
        self.view = FleetView(revision=1)
        self.age_s = 0.1
        self.commit_index = 1
        self.fault: Failure | None = None
        self.hub: RegistryHub | None = None

    def query_local(self, query: bytes) -> bytes:
        with self.lock:
            if self.fault is not None:
                return encode_reply(self.fault)
            return encode_reply(self.table if b"get_table" in query else self.view)

    def status(self) -> GroupStatus:
        return GroupStatus(
            group="registry",
            replica_id="r",
            role="follower",
            term=1,
            leader_address="",
            commit_index=self.commit_index,
            applied_index=1,
            voters=["a:1"],
            learners=[],
            leader_contact_age_s=self.age_s,
        )

    def set_table(self, version: int) -> None:
        """Apply a table and notify the hub while holding the lock, as the driver thread does."""
        with self.lock:
            self.table = RouteTable(version=version)
            assert self.hub is not None
            self.hub.notify_changed()


def make_hub() -> tuple[RegistryHub, Replica]:
    replica = Replica()
    hub = RegistryHub(replica, None, SystemClock())  # type: ignore[arg-type]
    replica.hub = hub
    return hub, replica


def watch(hub: RegistryHub, version: int, wait_ms: int) -> WatchReply | Failure:
    return hub.watch(WatchRequest(table_version=version, revision=1, wait_ms=wait_ms))


def test_a_reply_is_held_until_something_is_newer() -> None:
    hub, replica = make_hub()
    threading.Timer(0.15, replica.set_table, (2,)).start()
    started_s = time.monotonic()
    reply = watch(hub, 1, 2000)
    assert 0.1 < time.monotonic() - started_s < 0.45
    assert isinstance(reply, WatchReply)
    assert reply.table is not None
    assert (reply.table.version, reply.view) == (2, None)


def test_a_reply_without_changes_comes_after_the_wait() -> None:
    hub, _replica = make_hub()
    started_s = time.monotonic()
    reply = watch(hub, 1, 200)
    assert 0.15 < time.monotonic() - started_s < 0.4
    assert isinstance(reply, WatchReply)
    assert (reply.table, reply.view) == (None, None)


def test_a_process_without_recent_contact_replies_stale() -> None:
    hub, replica = make_hub()
    replica.age_s = 5.0
    reply = watch(hub, 0, 100)
    assert isinstance(reply, Failure)
    assert reply.kind is FailureKind.STALE


def test_a_process_whose_replica_never_started_is_stale(tmp_path: Path) -> None:
    """Guards against gateways that stay with a control process without state.

    The failure: a replica that had not started reported a leader contact of 0 s ago.
    """
    config = GroupConfig(
        group="registry", address="a:1", first_members=(), data_path=str(tmp_path / "r.sqlite")
    )
    replica = GroupReplica(
        config,
        RegistryStateMachine(),
        None,  # type: ignore[arg-type]
        SystemClock(),
        Random(1),
    )
    hub = RegistryHub(replica, None, SystemClock())  # type: ignore[arg-type]
    reply = watch(hub, 5, 0)
    assert isinstance(reply, Failure)
    assert reply.kind is FailureKind.STALE


def test_an_unreadable_replica_is_stale() -> None:
    hub, replica = make_hub()
    replica.fault = Failure(
        kind=FailureKind.CORRUPT, reason="damaged", step=Step.QUERYING, execution=Execution.NOT_RUN
    )
    assert isinstance(watch(hub, 1, 0), Failure)
    replica.fault = None
    assert isinstance(watch(hub, 1, 0), WatchReply)


def test_committed_commands_that_are_not_applied_make_the_state_stale() -> None:
    hub, replica = make_hub()
    replica.commit_index = 2
    assert isinstance(watch(hub, 1, 0), Failure)


def test_a_held_call_ends_when_the_contact_is_too_old() -> None:
    """Guards against a change that reaches a gateway too late.

    The failure: the call was held for its whole waiting time. 1.2 s of old contact and 0.9 s of
    holding exceeded the time in which a change must be in force.
    """
    hub, replica = make_hub()
    threading.Timer(0.1, lambda: setattr(replica, "age_s", 5.0)).start()
    started_s = time.monotonic()
    assert isinstance(watch(hub, 1, 3000), Failure)
    assert time.monotonic() - started_s < 1.6


def test_a_reply_contains_its_versions_contact_age_and_held_time() -> None:
    hub, replica = make_hub()
    replica.table = RouteTable(version=7)
    reply = watch(hub, 7, 200)
    assert isinstance(reply, WatchReply)
    assert (reply.table, reply.table_version, reply.revision) == (None, 7, 1)
    assert 0.05 < reply.contact_age_s < 0.5
    assert 0.15 < reply.held_s < 0.4


def test_notifications_and_reads_do_not_deadlock() -> None:
    """Guards against a deadlock of the replica's lock and the hub's lock.

    The failure: a notification came under the replica's lock while a read held the hub's lock.
    """
    hub, replica = make_hub()
    stop = threading.Event()

    def read() -> None:
        while not stop.is_set():
            watch(hub, 0, 0)

    def apply() -> None:
        for version in range(2, 2000):
            replica.set_table(version)

    reader = threading.Thread(target=read, daemon=True)
    writer = threading.Thread(target=apply, daemon=True)
    reader.start()
    writer.start()
    writer.join(10)
    stuck = writer.is_alive()
    stop.set()
    reader.join(2)
    assert not stuck
    assert not reader.is_alive()


def test_more_held_calls_than_the_limit_are_refused_and_others_answered() -> None:
    replica = Replica()
    hub = RegistryHub(replica, None, SystemClock(), max_held=1)  # type: ignore[arg-type]
    replica.hub = hub
    held = threading.Thread(target=watch, args=(hub, 1, 500), daemon=True)
    held.start()
    time.sleep(0.1)
    refused = watch(hub, 1, 500)
    assert isinstance(refused, Failure)
    assert refused.kind is FailureKind.OVERLOADED
    assert isinstance(watch(hub, 1, 0), WatchReply)
    held.join()
    assert isinstance(watch(hub, 1, 10), WatchReply)
