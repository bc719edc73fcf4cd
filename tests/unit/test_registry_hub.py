"""The hub of a control process: held calls, staleness, and locks that never cross."""

from __future__ import annotations

import threading
import time
from pathlib import Path
from random import Random

from leverjunction.clock import SystemClock
from leverjunction.consensus.api import GroupStatus
from leverjunction.consensus.group import GroupReplica
from leverjunction.consensus.types import GroupConfig
from leverjunction.errors import Failure, FailureKind, Step
from leverjunction.registry.commands import WatchReply, WatchRequest
from leverjunction.registry.hub import RegistryHub
from leverjunction.registry.records import FleetView
from leverjunction.registry.state_machine import RegistryStateMachine
from leverjunction.routes.types import RouteTable
from leverjunction.wire.codec import encode_reply


class Replica:
    """Answers like a group's replica, whose state and notices share one lock."""

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
        """Apply as the driver thread does: the notice comes while the lock is held."""
        with self.lock:
            self.table = RouteTable(version=version)
            assert self.hub is not None
            self.hub.changed()


def make_hub() -> tuple[RegistryHub, Replica]:
    replica = Replica()
    hub = RegistryHub(replica, None, SystemClock())  # type: ignore[arg-type]
    replica.hub = hub
    return hub, replica


def watch(hub: RegistryHub, version: int, wait_ms: int) -> WatchReply | Failure:
    return hub.watch(WatchRequest(table_version=version, revision=1, wait_ms=wait_ms))


def test_an_answer_is_held_until_something_is_newer() -> None:
    hub, replica = make_hub()
    threading.Timer(0.15, replica.set_table, (2,)).start()
    started_s = time.monotonic()
    reply = watch(hub, 1, 2000)
    assert 0.1 < time.monotonic() - started_s < 0.45
    assert isinstance(reply, WatchReply)
    assert reply.table is not None
    assert (reply.table.version, reply.view) == (2, None)


def test_an_answer_without_news_comes_after_the_wait() -> None:
    hub, _replica = make_hub()
    started_s = time.monotonic()
    reply = watch(hub, 1, 200)
    assert 0.15 < time.monotonic() - started_s < 0.4
    assert isinstance(reply, WatchReply)
    assert (reply.table, reply.view) == (None, None)


def test_a_process_that_may_be_cut_off_says_so() -> None:
    hub, replica = make_hub()
    replica.age_s = 5.0
    reply = watch(hub, 0, 100)
    assert isinstance(reply, Failure)
    assert reply.kind is FailureKind.STALE


def test_a_replica_that_never_started_makes_no_process_fresh(tmp_path: Path) -> None:
    """It was told as heard 0 s ago: gateways stayed with a process that had no state."""
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


def test_what_cannot_be_read_is_not_fresh() -> None:
    hub, replica = make_hub()
    replica.fault = Failure(kind=FailureKind.CORRUPT, reason="damaged", step=Step.QUERYING)
    assert isinstance(watch(hub, 1, 0), Failure)
    replica.fault = None
    assert isinstance(watch(hub, 1, 0), WatchReply)


def test_contact_makes_nothing_fresh_that_is_still_to_be_applied() -> None:
    hub, replica = make_hub()
    replica.commit_index = 2
    assert isinstance(watch(hub, 1, 0), Failure)


def test_a_held_call_ends_when_the_contact_is_too_old() -> None:
    """It was held to its end: 1.2 s of contact and 0.9 s of holding were above the bound."""
    hub, replica = make_hub()
    threading.Timer(0.1, lambda: setattr(replica, "age_s", 5.0)).start()
    started_s = time.monotonic()
    assert isinstance(watch(hub, 1, 3000), Failure)
    assert time.monotonic() - started_s < 1.6


def test_an_answer_tells_what_it_rests_on() -> None:
    hub, replica = make_hub()
    replica.table = RouteTable(version=7)
    reply = watch(hub, 7, 200)
    assert isinstance(reply, WatchReply)
    assert (reply.table, reply.table_version, reply.revision) == (None, 7, 1)
    assert 0.05 < reply.contact_age_s < 0.5
    assert 0.15 < reply.held_s < 0.4


def test_notices_and_reads_never_wait_for_each_other() -> None:
    """A notice under the replica's lock met a read under the hub's lock: both stood for good."""
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
