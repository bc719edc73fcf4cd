"""The hub of a control process: held calls, staleness, and locks that never cross."""

from __future__ import annotations

import threading
import time

from leverjunction.clock import SystemClock
from leverjunction.consensus.api import GroupStatus
from leverjunction.errors import Failure, FailureKind
from leverjunction.registry.commands import WatchReply, WatchRequest
from leverjunction.registry.hub import RegistryHub
from leverjunction.registry.records import FleetView
from leverjunction.routes.types import RouteTable
from leverjunction.wire.codec import encode_reply


class Replica:
    """Answers like a group's replica, whose state and notices share one lock."""

    def __init__(self) -> None:
        self.lock = threading.Lock()
        self.table = RouteTable(version=1)
        self.view = FleetView(revision=1)
        self.age_s = 0.1
        self.hub: RegistryHub | None = None

    def query_local(self, query: bytes) -> bytes:
        with self.lock:
            return encode_reply(self.table if b"get_table" in query else self.view)

    def status(self) -> GroupStatus:
        return GroupStatus(
            group="registry",
            replica_id="r",
            role="follower",
            term=1,
            leader_address="",
            commit_index=1,
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
