"""Tests of base versions that the registry keeps, and of when a start of a process trusts them."""

from __future__ import annotations

import threading
from collections.abc import Callable, Iterator
from contextlib import ExitStack

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st
from tests.unit.test_registry_origins import StandInHub
from tests.unit.test_registry_version_review import Registry, forget, runner

from leverjunction.clock import steady_s
from leverjunction.errors import Failure
from leverjunction.registry import (
    ExpireRunners,
    FleetView,
    PutRunner,
    RemoveRunner,
    RunnerState,
    origin_directory,
    origin_segments,
    tables,
)
from leverjunction.registry.commands import DropMember, JoinMember
from leverjunction.registry.origin_directory import ANNOUNCE_AFTER_S, OriginDirectory
from leverjunction.registry.origin_fence import OriginFence
from leverjunction.registry.origin_log import OriginLog
from leverjunction.registry.origin_segments import (
    DOUBT_S,
    FENCE_S,
    Moment,
    OriginBatch,
    decode_batches,
    make_batch,
)
from leverjunction.registry.origins import (
    KEEP_ORIGIN_S,
    FindOrigins,
    OriginsStored,
    ReportOrigins,
    StreamOrigin,
)
from leverjunction.registry.records import BaseVersion, MemberRecord, MemberRole

SERVICE = "pool"
OLD, NEW = StreamOrigin(SERVICE, "v1"), StreamOrigin(SERVICE, "v1.1")


def base_of(registry: Registry) -> str | None:
    bases = {item.service: item.version for item in registry.view().base_versions}
    return bases.get(SERVICE)


def play_older_build(monkeypatch: pytest.MonkeyPatch) -> None:
    """Have commands applied as by a release that does not record base versions."""
    nothing = lambda *_: None  # noqa: E731
    monkeypatch.setattr(tables.RegistryTables, "update_base_version", nothing)
    monkeypatch.setattr(tables, "_BASES_REVISION", "unused", raising=False)


class TestStateMachine:
    def test_the_base_version_stays_while_another_one_starts(self) -> None:
        registry = Registry()
        registry.apply(PutRunner(runner(1, "v1")))
        registry.apply(PutRunner(runner(2, "v1.1")))
        assert base_of(registry) == "v1"

    def test_a_version_is_the_base_version_once_the_former_one_is_settled(self) -> None:
        registry = Registry()
        registry.apply(PutRunner(runner(1, "v1")))
        registry.apply(PutRunner(runner(2, "v1.1")))
        registry.apply(RemoveRunner("i-1", 1))
        assert base_of(registry) is None
        registry.apply(forget("v1", registry.index))
        assert base_of(registry) == "v1.1"

    def test_a_version_that_did_not_serve_for_a_moment_is_the_base_version_no_longer(self) -> None:
        registry = Registry()
        registry.apply(PutRunner(runner(1, "v1")))
        registry.apply(PutRunner(runner(2, "v1.1")))
        registry.apply(RemoveRunner("i-1", 1))
        registry.apply(PutRunner(runner(3, "v1")))
        assert base_of(registry) is None

    def test_a_replaced_start_takes_the_base_version_with_it(self) -> None:
        registry = Registry()
        registry.apply(PutRunner(runner(1, "v1")))
        registry.apply(PutRunner(runner(1, "v1.1", born_ms=2)))
        assert base_of(registry) is None

    def test_the_leave_of_a_later_start_ends_the_version_of_the_former_one(self) -> None:
        registry = Registry()
        registry.apply(PutRunner(runner(1, "v1")))
        registry.apply(PutRunner(runner(2, "v1.1")))
        registry.apply(RemoveRunner("i-1", 2))
        assert base_of(registry) is None

    def test_a_silent_back_end_keeps_the_base_version(self) -> None:
        registry = Registry()
        registry.apply(PutRunner(runner(1, "v1")))
        registry.apply(PutRunner(runner(2, "v1.1")))
        registry.apply(ExpireRunners((runner(1, "v1").start,)))
        assert base_of(registry) == "v1"

    def test_a_leaving_back_end_that_is_silent_ends_it(self) -> None:
        registry = Registry()
        registry.apply(PutRunner(runner(2, "v1.1")))
        registry.apply(PutRunner(runner(1, "v1")))
        leaving = msgspec.structs.replace(runner(2, "v1.1"), state=RunnerState.LEAVING)
        registry.apply(PutRunner(leaving))
        registry.apply(ExpireRunners((leaving.start,)))
        assert base_of(registry) is None

    @pytest.mark.parametrize(("role", "base"), [("control", None), ("store", "v1")])
    def test_a_control_process_that_is_removed_takes_it_with_it(
        self, role: str, base: str | None
    ) -> None:
        """After a start nobody knows how many of them may have stored an origin."""
        registry = Registry()
        registry.apply(PutRunner(runner(1, "v1")))
        member = MemberRecord(name="m-1", role=MemberRole(role), address="10.0.1.1:1", zone="a")
        registry.apply(JoinMember(member))
        registry.apply(DropMember("m-1"))
        assert base_of(registry) == "v1"
        registry.apply(JoinMember(member))
        registry.apply(PutRunner(runner(2, "v1.1")))
        registry.apply(DropMember("m-1"))
        assert base_of(registry) == base

    def test_a_state_of_a_release_that_records_none_gets_one_before_a_second_version(self) -> None:
        registry = Registry()
        registry.apply(PutRunner(runner(1, "v1")))
        registry.drop_base_versions()
        registry.apply(PutRunner(runner(2, "v1.1")))
        assert base_of(registry) == "v1"

    def test_a_back_end_that_starts_for_another_service_leaves_its_version_in_doubt(self) -> None:
        registry = Registry()
        registry.apply(PutRunner(runner(1, "v1")))
        registry.apply(PutRunner(runner(2, "v1.1")))
        moved = msgspec.structs.replace(runner(1, "v1", born_ms=2), service="another")
        registry.apply(PutRunner(moved))
        assert base_of(registry) is None, "streams of the former version may be alive"
        assert registry.former() == ("v1",)

    def test_former_versions_of_two_services_do_not_replace_each_other(self) -> None:
        registry = Registry()
        registry.apply(PutRunner(runner(2, "v1.1")))
        registry.apply(PutRunner(runner(1, "v1")))
        for born_ms, version in ((2, "v1"), (3, "v1.1")):
            moved = msgspec.structs.replace(runner(1, version, born_ms), service="another")
            registry.apply(PutRunner(moved))
        assert registry.former() == ("v1",)

    def test_other_ended_back_ends_do_not_end_the_doubt_about_a_version(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        monkeypatch.setattr(tables, "MAX_GONE_RUNNERS", 3)
        registry = Registry()
        registry.apply(PutRunner(runner(1, "v1")))
        registry.apply(PutRunner(runner(2, "v1.1")))
        registry.apply(RemoveRunner("i-1", 1))
        for number in range(3, 8):
            other = msgspec.structs.replace(runner(number, "v7"), service="another")
            registry.apply(PutRunner(other))
            registry.apply(RemoveRunner(f"i-{number}", 1))
        registry.apply(PutRunner(runner(3, "v1.1", born_ms=2)))
        registry.apply(RemoveRunner("i-3", 2))
        assert base_of(registry) is None, "streams of the former version may be alive"
        assert registry.former() == ("v1", "v1.1")
        registry.apply(forget("v1", registry.index))
        assert base_of(registry) == "v1.1"

    def test_a_service_has_a_base_version_after_an_upgrade(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        registry = Registry()
        with monkeypatch.context() as older:
            play_older_build(older)
            registry.apply(PutRunner(runner(1, "v1")))
        registry.apply(PutRunner(runner(2, "v1.1")))
        assert base_of(registry) == "v1"

    def test_a_base_version_from_before_a_downgrade_is_not_trusted(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        registry = Registry()
        registry.apply(PutRunner(runner(1, "v1")))
        registry.apply(PutRunner(runner(2, "v1.1")))
        with monkeypatch.context() as older:
            play_older_build(older)
            registry.apply(RemoveRunner("i-1", 1))
            registry.apply(forget("v1", registry.index))
        registry.apply(PutRunner(runner(3, "v1")))
        assert base_of(registry) == "v1.1", "it was alone meanwhile"

    @given(st.lists(st.tuples(st.sampled_from("psrf"), st.integers(1, 3), st.integers(1, 3))))
    def test_a_base_version_was_alone_and_served_ever_since(
        self, steps: list[tuple[str, int, int]]
    ) -> None:
        registry = Registry()
        served_since_alone: set[str] = set()
        for born_ms, (step, number, version) in enumerate(steps, 1):
            if step in "ps":
                shown = runner(number, f"v{version}", born_ms if step == "s" else 1)
                registry.apply(PutRunner(shown))
            elif step == "r":
                registry.apply(RemoveRunner(f"i-{number}"))
            else:
                registry.apply(forget(f"v{version}", registry.index))
            view = registry.view()
            live = {record.version for record in view.runners}
            served_since_alone &= live
            if len(live) == 1 and set(registry.former()) <= live:
                served_since_alone = set(live)
            assert {base_of(registry)} - {None} == served_since_alone


class TestFence:
    def test_a_record_of_another_version_is_doubted_as_long_as_its_streams_may_live(self) -> None:
        fence = OriginFence()
        fence.load(batch({1: NEW}), 100.0)
        assert fence.may_lack(SERVICE, "v1", 100.0 + DOUBT_S)
        assert not fence.may_lack(SERVICE, "v1", 100.1 + DOUBT_S)
        assert not fence.may_lack(SERVICE, "v1.1", 100.0)
        assert not fence.may_lack("another", "v1", 100.0)

    def test_a_log_that_begins_tells_nothing_of_what_was_before(self) -> None:
        fence = OriginFence()
        fence.load(batch({}, OLD), 90.0)
        fence.load(batch({}), 100.0)
        assert fence.may_lack(SERVICE, "v1", 100.0 + DOUBT_S)
        assert not fence.may_lack(SERVICE, "v1", 100.1 + DOUBT_S)

    def test_a_version_that_was_alone_after_the_log_began_lacks_nothing(self) -> None:
        fence = OriginFence()
        fence.load(batch({}), 100.0)
        fence.load(batch({1: OLD}), 100.0)
        assert fence.may_lack(SERVICE, "v1", 101.0)
        fence.load(batch({}, OLD), 100.0)
        assert not fence.may_lack(SERVICE, "v1", 101.0)


def batch(streams: dict[int, StreamOrigin], *announced: StreamOrigin) -> OriginBatch:
    return make_batch(streams, Moment(0, 0.0, 1), announced)


class Disk:
    """Segments of which a loss of power leaves what was synced."""

    def __init__(self) -> None:
        self._written: dict[int, bytes] = {}
        self._synced: dict[int, bytes] = {}
        self.stands_still = False
        self.syncs = 0

    def cut(self) -> Disk:
        """Return the disk as it is after a loss of power in this moment."""
        after = Disk()
        after._written, after._synced = dict(self._synced), dict(self._synced)
        return after

    def numbers(self) -> list[int]:
        return sorted(self._written)

    def read(self, number: int) -> bytes:
        return self._written[number]

    def write(self, number: int, offset: int, content: bytes) -> None:
        self._written[number] = self._written.get(number, b"")[:offset] + content

    def sync(self) -> None:
        if self.stands_still:
            raise OSError("no sync")
        self._synced = dict(self._written)
        self.syncs += 1

    def remove(self, number: int) -> None:
        self._written.pop(number, None)

    def free_bytes(self) -> int:
        return 2**40

    def close(self) -> None:
        pass

    def written_streams(self) -> set[int]:
        contents = list(self._written.values())
        batches = [item for content in contents for item in decode_batches(content)[0]]
        return {stream for item in batches for stream in item.streams()}

    def synced_origins(self) -> set[StreamOrigin]:
        contents = list(self._synced.values())
        batches = [item for content in contents for item in decode_batches(content)[0]]
        return {origin for item in batches for origin in item.origins()}


class SkippedClock:
    """The system's clock, ahead by some seconds."""

    def __init__(self) -> None:
        self.ahead_s = 0.0

    def monotonic_s(self) -> float:
        return steady_s() + self.ahead_s

    def wall_ms(self) -> int:
        return int(self.monotonic_s() * 1000)


class Process:
    """A control process, which may start again."""

    def __init__(self, stack: ExitStack, disk: Disk) -> None:
        self._stack = stack
        self.disk = disk
        self.clock = SkippedClock()
        self.hub = StandInHub(ALONE)
        self.configured: tuple[str, ...] = ()
        self.start()

    def start(self) -> None:
        """Start with the disk; the former start ends without a stop."""
        log = OriginLog(self.disk, self.clock, boot=1)
        self._stack.callback(log.close)
        self.directory = OriginDirectory(self.hub, self.clock, 1, log, self.configured)  # type: ignore[arg-type]
        self.directory.load()
        self.directory.refresh()

    def restart_after_power_loss(self) -> None:
        self.disk = self.disk.cut()
        self.start()

    def store(self, stream: int, origin: StreamOrigin) -> OriginsStored | Failure:
        report = ReportOrigins(streams={stream: origin}, is_recorded_first=True)
        return self.directory.store(report)

    def base_version(self) -> str | None:
        found = self.directory.find_all(FindOrigins(services={SERVICE: [404]}))
        return found.base_versions.get(SERVICE)

    def wait_synced(self, origin: StreamOrigin) -> None:
        assert comes_true(lambda: origin in self.disk.synced_origins())


def view_of(*versions: str, base: str = "v1") -> FleetView:
    return FleetView(
        runners=tuple(runner(number, version) for number, version in enumerate(versions)),
        base_versions=(BaseVersion(SERVICE, base),),
    )


ALONE, BOTH = view_of("v1"), view_of("v1", "v1.1")


def comes_true(condition: Callable[[], bool], timeout_s: float = 5.0) -> bool:
    until_s = steady_s() + timeout_s
    pause = threading.Event()
    while not condition() and steady_s() < until_s:
        pause.wait(0.005)
    return condition()


@pytest.fixture
def stack() -> Iterator[ExitStack]:
    with ExitStack() as entered:
        yield entered


@pytest.fixture
def process(stack: ExitStack) -> Process:
    """Return a process that has seen the base version alone, with that on disk."""
    process = Process(stack, Disk())
    assert process.base_version() == "v1"
    process.wait_synced(OLD)
    return process


def test_a_start_beside_a_second_version_knows_the_base_version(process: Process) -> None:
    process.hub.known = BOTH
    process.restart_after_power_loss()
    assert process.base_version() == "v1"
    process.hub.is_stale = True
    assert process.base_version() is None, "the state may be an old one"


def test_origins_of_the_base_version_leave_no_doubt(process: Process) -> None:
    process.hub.known = BOTH
    assert isinstance(process.store(1, OLD), OriginsStored)
    process.wait_synced(OLD)
    process.restart_after_power_loss()
    assert process.base_version() == "v1"


def test_an_origin_acknowledged_just_before_a_loss_of_power_is_not_denied(
    process: Process,
) -> None:
    process.hub.known = BOTH
    assert isinstance(process.store(1, NEW), OriginsStored)
    process.restart_after_power_loss()
    assert process.base_version() is None
    process.clock.ahead_s += DOUBT_S + 1.0
    assert process.base_version() == "v1"


def test_an_origin_lost_while_others_of_its_version_are_on_disk_is_not_denied(
    process: Process,
) -> None:
    process.hub.known = BOTH
    process.store(1, NEW)
    process.disk.stands_still = True
    process.clock.ahead_s += FENCE_S - 1.0
    assert isinstance(process.store(2, NEW), OriginsStored), "one of its version is on disk"
    process.restart_after_power_loss()
    process.clock.ahead_s += DOUBT_S - FENCE_S
    assert process.base_version() is None


def test_no_origin_is_acknowledged_long_after_the_last_record_of_its_version(
    process: Process, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(origin_directory, "SYNC_TIMEOUT_S", 0.05)
    process.hub.known = BOTH
    process.store(1, NEW)
    process.disk.stands_still = True
    process.clock.ahead_s += FENCE_S + 1.0
    assert isinstance(process.store(2, NEW), Failure)
    assert isinstance(process.store(3, OLD), OriginsStored)
    process.disk.stands_still = False
    assert comes_true(lambda: isinstance(process.store(2, NEW), OriginsStored))


def test_a_version_is_on_disk_before_its_first_stream(process: Process) -> None:
    process.hub.known = BOTH
    process.directory.refresh()
    process.clock.ahead_s += ANNOUNCE_AFTER_S
    process.directory.refresh()
    process.wait_synced(NEW)
    syncs = process.disk.syncs
    assert isinstance(process.store(1, NEW), OriginsStored)
    assert process.disk.syncs == syncs, "the report waited for the disk"


def test_a_process_that_lost_its_disk_vouches_for_nothing(process: Process) -> None:
    process.hub.known = BOTH
    process.store(1, NEW)
    process.disk = Disk()
    process.start()
    assert process.base_version() is None
    assert comes_true(lambda: process.disk.syncs > 0)
    process.restart_after_power_loss()
    assert process.base_version() is None, "a second start took the empty disk for its own"
    process.clock.ahead_s += DOUBT_S + 1.0
    assert process.base_version() == "v1"


def test_an_origin_stored_by_a_process_that_was_cut_off_is_not_denied(process: Process) -> None:
    """In its old state, the version of the origin is still the base version."""
    process.clock.ahead_s += DOUBT_S + 1.0
    process.hub.is_stale = True
    process.disk.stands_still = True
    is_stored = isinstance(process.store(1, OLD), OriginsStored)
    process.restart_after_power_loss()
    process.hub.is_stale = False
    process.hub.known = view_of("v1", "v1.1", base="v1.1")
    assert not is_stored or process.base_version() is None


def test_a_version_announced_in_an_old_state_of_the_registry_was_not_alone(
    process: Process,
) -> None:
    """As after the loss of a disk, while the registry's log is applied again."""
    process.hub.known = BOTH
    process.hub.is_stale = True
    process.disk = Disk()
    process.start()
    process.clock.ahead_s += ANNOUNCE_AFTER_S
    process.directory.refresh()
    assert comes_true(lambda: process.disk.syncs > 0)
    process.restart_after_power_loss()
    process.hub.is_stale = False
    process.hub.known = view_of("v1.1", "v1.2", base="v1.1")
    assert process.base_version() is None, "what the lost disk held is unknown"


def test_a_start_counts_control_processes_that_were_removed_before_it(process: Process) -> None:
    """Otherwise two starts of three that are left vouch for what the removed one has stored."""
    removed, left = "10.1.0.4:1", ["10.1.0.1:1", "10.1.0.2:1", "10.1.0.3:1"]
    members = tuple(
        MemberRecord(name=address, role=MemberRole.CONTROL, address=address, zone="a")
        for address in left
    )
    process.hub.known = msgspec.structs.replace(BOTH, members=members)
    process.configured = (*left, removed)
    process.restart_after_power_loss()
    found = process.directory.find_all(FindOrigins(services={SERVICE: [404]}))
    assert found.base_versions == {SERVICE: "v1"}
    assert found.controls == 4
    process.clock.ahead_s += KEEP_ORIGIN_S + 1.0
    process.directory.refresh()
    assert process.directory.find_all(FindOrigins(services={})).controls == 3


def test_a_record_removed_for_want_of_space_is_not_taken_for_none(
    process: Process, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(origin_segments, "MAX_SEGMENT_BYTES", 300)
    monkeypatch.setattr(origin_segments, "MAX_TOTAL_BYTES", 900)
    process.hub.known = BOTH
    assert isinstance(process.store(1, NEW), OriginsStored)
    process.wait_synced(NEW)
    for stream in range(2, 40):
        process.store(stream, OLD)
        assert comes_true(lambda stream=stream: stream in process.disk.written_streams())  # type: ignore[misc]
    assert 1 not in process.disk.written_streams()
    process.restart_after_power_loss()
    assert process.base_version() is None


def test_a_start_vouches_for_nothing_after_reports_of_an_older_gateway(process: Process) -> None:
    """It passes on events of any version before it reports them."""
    process.clock.ahead_s += DOUBT_S + 1.0
    syncs = process.disk.syncs
    process.directory.store(ReportOrigins(streams={}))
    process.hub.known = BOTH
    assert process.base_version() is None
    assert comes_true(lambda: process.disk.syncs > syncs)
    process.restart_after_power_loss()
    assert process.base_version() is None


def test_only_few_reports_wait_for_the_disk_at_a_time(
    process: Process, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(origin_directory, "SYNC_TIMEOUT_S", 1.0)
    process.hub.known = BOTH
    process.disk.stands_still = True
    most = origin_directory.MAX_WAITING_REPORTS
    replies: list[object] = []
    threads = [
        threading.Thread(target=lambda number=number: replies.append(process.store(number, NEW)))  # type: ignore[misc]
        for number in range(3 * most)
    ]
    for thread in threads:
        thread.start()
    assert comes_true(lambda: len(replies) >= 2 * most, 0.8), "all threads are held"
    for thread in threads:
        thread.join()
    assert all(isinstance(reply, Failure) for reply in replies)


def test_a_base_version_that_did_not_serve_for_a_moment_is_told_no_longer(
    process: Process,
) -> None:
    """A gateway may have passed on events of another version meanwhile, without a record."""
    process.hub.known = msgspec.structs.replace(BOTH, base_versions=())
    process.directory.refresh()
    assert process.base_version() is None
