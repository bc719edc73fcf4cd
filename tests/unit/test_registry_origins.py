"""Tests of the origins of streams: what is kept, for how long, and how gateways share it.

The calls between gateways and control processes go over real sockets.
"""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable, Iterator
from contextlib import ExitStack
from pathlib import Path

import pytest
from tests.unit.seeded_support import SeededFleet

from leverjunction.clock import SystemClock
from leverjunction.errors import Execution, Failure, FailureKind, Step
from leverjunction.proxy.stream_origins import FIND_TIMEOUT_S
from leverjunction.registry.cluster import CLUSTER_KEY
from leverjunction.registry.origin_client import OriginClient
from leverjunction.registry.origin_directory import OriginDirectory
from leverjunction.registry.origin_log import OriginLog, SegmentFolder, read_boot_id
from leverjunction.registry.origin_reporter import HOLDERS, rank_holders
from leverjunction.registry.origins import (
    KEEP_ORIGIN_S,
    STREAM_LIFETIME_S,
    FindOrigin,
    FoundOrigin,
    OriginSource,
    OriginsStored,
    OriginTable,
    ReportOrigins,
    StreamOrigin,
)
from leverjunction.registry.records import (
    BaseVersion,
    FleetView,
    MemberRecord,
    MemberRole,
    RunnerRecord,
    RunnerState,
)
from leverjunction.registry.version_history import VersionHistory, former_versions
from leverjunction.wire.envelope import MessageKind
from leverjunction.wire.rpc_client import RpcClient
from leverjunction.wire.rpc_server import RpcEndpoint, RpcServer

SERVICE = "pool"
OLD, NEW = StreamOrigin(SERVICE, "v1"), StreamOrigin(SERVICE, "v1.1")


def runner(version: str, state: RunnerState = RunnerState.READY) -> RunnerRecord:
    return RunnerRecord(
        runner_id=f"i-{version}",
        service=SERVICE,
        address="10.0.0.1:80",
        zone="a",
        slots=4,
        state=state,
        version=version,
    )


def view(*versions: str, former: tuple[str, ...] = ()) -> FleetView:
    """Return the registry with back ends of some versions, of which the first was alone before."""
    return FleetView(
        runners=tuple(runner(version) for version in versions),
        former_versions=former_versions((SERVICE, version) for version in former),
        base_versions=() if former else (BaseVersion(SERVICE, versions[0]),),
    )


class TestVersionHistory:
    def test_a_version_counts_until_no_stream_of_it_can_be_alive(self) -> None:
        history = VersionHistory()
        history.update(view("v1"), 0.0)
        assert history.only_version(SERVICE, 0.0) == "v1"
        history.update(view("v1", "v1.1"), 10.0)
        history.update(view("v1.1"), 20.0)
        assert history.versions(SERVICE, 20.0 + STREAM_LIFETIME_S) == {"v1", "v1.1"}
        assert history.only_version(SERVICE, 20.1 + STREAM_LIFETIME_S) == "v1.1"

    def test_a_process_that_starts_does_not_know_when_former_versions_ended(self) -> None:
        history = VersionHistory()
        history.update(view("v1.1", former=("v1",)), 5.0)
        assert history.ambiguous(5.0) == {SERVICE}
        # The same record in a later state does not say that the version ended again.
        history.update(view("v1.1", "v1.1", former=("v1",)), 50.0)
        assert history.only_version(SERVICE, 5.1 + STREAM_LIFETIME_S) == "v1.1"

    def test_a_version_that_came_and_went_between_two_states_counts(self) -> None:
        history = VersionHistory()
        history.update(view("v1"), 0.0)
        history.update(view("v1", former=("v1.1",)), 10.0)
        assert history.ambiguous(10.0) == {SERVICE}

    def test_the_last_version_that_was_alone_is_the_base_version(self) -> None:
        history = VersionHistory()
        history.update(view("v1"), 0.0)
        assert history.base_version(SERVICE, 0.0) is None, "the state may be an old one"
        history.confirm(0.0)
        history.update(view("v1", "v1.1"), 10.0)
        history.confirm(10.0)
        assert history.base_version(SERVICE, 10.0) == "v1"
        history.update(view("v1.1", "v1.2"), 20.0)
        history.confirm(20.0 + STREAM_LIFETIME_S)
        assert history.base_version(SERVICE, 20.0 + STREAM_LIFETIME_S) == "v1"
        assert history.base_version(SERVICE, 20.1 + STREAM_LIFETIME_S) is None

    def test_a_version_that_comes_back_is_not_the_base_version_again(self) -> None:
        history = VersionHistory()
        history.update(view("v1"), 0.0)
        history.confirm(0.0)
        history.update(view("v1.1"), 1.0)
        history.confirm(1.0)
        back_s = 1.1 + STREAM_LIFETIME_S
        history.update(view("v1", "v1.1"), back_s)
        history.confirm(back_s)
        assert history.base_version(SERVICE, back_s) is None

    def test_a_process_that_starts_between_two_versions_knows_no_base_version(self) -> None:
        history = VersionHistory()
        for known in (view("v1", "v1.1"), view("v1", "v1.1", former=("v1",))):
            history.update(known, 0.0)
            history.confirm(0.0)
            assert history.base_version(SERVICE, 0.0) is None

    def test_a_back_end_that_reports_no_version_is_not_of_the_others(self) -> None:
        history = VersionHistory()
        history.update(view("v1", ""), 0.0)
        assert history.only_version(SERVICE, 0.0) is None
        assert history.only_version("another", 0.0) is None


class TestOriginTable:
    def test_an_origin_is_forgotten_after_the_lifetime_of_a_stream(self) -> None:
        table = OriginTable(10)
        table.put(1, OLD, 0.0)
        assert table.get(1, KEEP_ORIGIN_S) == OLD
        assert table.get(1, KEEP_ORIGIN_S + 0.1) is None
        table.put(2, NEW, KEEP_ORIGIN_S + 0.1)
        assert len(table) == 1
        assert table.all(KEEP_ORIGIN_S + 0.1) == {2: NEW}

    def test_the_oldest_origins_are_dropped_if_there_are_too_many(self) -> None:
        table = OriginTable(3)
        for stream in range(5):
            table.put(stream, OLD, float(stream))
        table.put(2, OLD, 5.0)
        table.put(5, NEW, 6.0)
        assert sorted(table.all(6.0)) == [2, 4, 5]


def member(number: int, zone: str) -> MemberRecord:
    return MemberRecord(
        name=f"core-{number}", role=MemberRole.CONTROL, address=f"10.0.0.{number}:1", zone=zone
    )


def test_an_origin_is_reported_to_different_zones() -> None:
    controls = [member(number, "abc"[number % 3]) for number in range(5)]
    zones = {item.address: item.zone for item in controls}
    first = set()
    for gateway in (f"front-{number}" for number in range(20)):
        ranked = [rank_holders(gateway, controls, number) for number in range(HOLDERS)]
        assert all(sorted(order) == sorted(zones) for order in ranked)
        assert len({zones[order[0]] for order in ranked}) == HOLDERS
        first.add(ranked[0][0])
    assert len(first) > 2, "all gateways report to the same control processes"


class StandInHub:
    """The registry as one control process knows it."""

    def __init__(self, known: FleetView) -> None:
        self.known = known
        self.is_stale = False

    def view(self) -> FleetView:
        return self.known

    def stale(self) -> Failure | None:
        if not self.is_stale:
            return None
        return Failure(
            kind=FailureKind.STALE,
            reason="cut off",
            step=Step.EXCHANGING,
            execution=Execution.NOT_RUN,
        )


class Control:
    """A control process as gateways see it; it may start again at its address.

    It starts again empty unless it has a folder.
    """

    def __init__(
        self,
        stack: ExitStack,
        known: FleetView,
        *,
        is_older: bool = False,
        folder: Path | None = None,
    ) -> None:
        self.hub = StandInHub(known)
        self._stack = stack
        self._folder = folder
        self._endpoint = RpcEndpoint(CLUSTER_KEY, 1)
        self._starts = 0
        if not is_older:
            self.start_again()
        self._server = RpcServer("127.0.0.1", 0, self._endpoint, threads=4)
        self._server.start()
        self.address = self._server.address
        stack.callback(self._server.stop)

    def start_again(self) -> None:
        """Have another start of the process, which has nothing in memory, at the same address.

        The former start ends without a stop: its log is not closed.
        """
        self._starts += 1
        log = self._start_log()
        self.directory = OriginDirectory(self.hub, SystemClock(), self._starts, log)  # type: ignore[arg-type]
        self.directory.load()
        self.directory.register(self._endpoint)

    def forget_kind(self, kind: MessageKind) -> None:
        """Answer messages of a kind as a build does that does not know it."""
        del self._endpoint._handlers[kind]

    def _start_log(self) -> OriginLog | None:
        if self._folder is None:
            return None
        log = OriginLog(SegmentFolder(self._folder), SystemClock(), read_boot_id())
        self._stack.callback(log.close)
        return log

    def stop(self) -> None:
        self._server.stop()


class Gateway:
    """What a gateway keeps of its own streams, and how it shares them."""

    def __init__(self, stack: ExitStack, controls: list[Control]) -> None:
        self.live: dict[int, StreamOrigin] = {}
        self.client = OriginClient(
            RpcClient(CLUSTER_KEY, 1),
            lambda number: [item.address for item in (*controls[number:], *controls[:number])],
            lambda: [item.address for item in controls],
            lambda: dict(self.live),
        )
        self.client.start()
        stack.callback(self.client.stop)

    def begin(self, stream: int, origin: StreamOrigin) -> None:
        self.live[stream] = origin
        self.client.report({stream: origin})

    async def record(self, stream: int, origin: StreamOrigin) -> bool:
        self.live[stream] = origin
        return await self.client.record(stream, origin)


@pytest.fixture
def stack() -> Iterator[ExitStack]:
    with ExitStack() as entered:
        yield entered


async def comes_true(condition: Callable[[], bool], timeout_s: float = 5.0) -> bool:
    loop = asyncio.get_running_loop()
    until_s = loop.time() + timeout_s
    while not condition() and loop.time() < until_s:
        await asyncio.sleep(0.01)
    return condition()


def knows(control: Control, stream: int) -> bool:
    return control.directory._streams.get(stream, SystemClock().monotonic_s()) is not None


def count_knowing(controls: list[Control], stream: int) -> int:
    return sum(knows(control, stream) for control in controls)


def start_controls(stack: ExitStack, count: int, known: FleetView) -> list[Control]:
    return [Control(stack, known) for _ in range(count)]


BOTH = view("v1", "v1.1")


def test_another_gateway_finds_what_began_a_stream(stack: ExitStack) -> None:
    async def run() -> None:
        controls = start_controls(stack, 3, BOTH)
        first, second = Gateway(stack, controls), Gateway(stack, controls)
        first.begin(7, NEW)
        assert await comes_true(lambda: count_knowing(controls, 7) == HOLDERS)
        assert (await second.client.find(7, SERVICE, FIND_TIMEOUT_S)).origin == NEW
        assert (await second.client.find(8, SERVICE, FIND_TIMEOUT_S)).origin is None

    asyncio.run(run())


@pytest.mark.parametrize("number", range(HOLDERS))
def test_an_origin_outlives_its_gateway_and_one_of_its_holders(
    stack: ExitStack, number: int
) -> None:
    async def run() -> None:
        controls = start_controls(stack, 3, BOTH)
        first, second = Gateway(stack, controls), Gateway(stack, controls)
        first.begin(7, NEW)
        assert await comes_true(lambda: count_knowing(controls, 7) == HOLDERS)
        first.client.stop()
        controls[number].stop()
        assert (await second.client.find(7, SERVICE, FIND_TIMEOUT_S)).origin == NEW

    asyncio.run(run())


def test_an_origin_that_ended_with_gateway_and_holders_is_unknown(stack: ExitStack) -> None:
    async def run() -> None:
        controls = start_controls(stack, 3, BOTH)
        first, second = Gateway(stack, controls), Gateway(stack, controls)
        first.begin(7, NEW)
        assert await comes_true(lambda: count_knowing(controls, 7) == HOLDERS)
        # A report that is still under way would tell the new starts.
        assert await comes_true(lambda: all(item._told for item in first.client._reporters))
        first.client.stop()
        for control in controls[:HOLDERS]:
            control.start_again()
        assert (await second.client.find(7, SERVICE, FIND_TIMEOUT_S)).origin is None

    asyncio.run(run())


def test_an_origin_outlives_the_end_of_all_its_holders(stack: ExitStack, tmp_path: Path) -> None:
    async def run() -> None:
        folders = [tmp_path / str(number) for number in range(3)]
        controls = [Control(stack, BOTH, folder=folder) for folder in folders]
        first, second = Gateway(stack, controls), Gateway(stack, controls)
        first.begin(7, NEW)
        assert await comes_true(lambda: all(item._told for item in first.client._reporters))
        assert await comes_true(lambda: sum(map(has_logged, folders)) == HOLDERS)
        first.client.stop()
        for control in controls:
            control.start_again()
        assert (await second.client.find(7, SERVICE, FIND_TIMEOUT_S)).origin == NEW
        assert (await second.client.find(8, SERVICE, FIND_TIMEOUT_S)).origin is None

    asyncio.run(run())


def has_logged(folder: Path) -> bool:
    return any(path.stat().st_size for path in folder.glob("*"))


def test_an_origin_outlives_the_end_of_all_control_processes(tmp_path: Path) -> None:
    fleet = SeededFleet(tmp_path)
    rpc = RpcClient(CLUSTER_KEY, 1)
    try:
        nodes = [fleet.start_control(number) for number in (1, 2, 3)]
        holder, *_ = fleet.control_addresses()
        report = ReportOrigins(streams={7: NEW})
        stored = rpc.call(holder, MessageKind.REPORT_ORIGINS, report, OriginsStored, timeout_s=5.0)
        assert isinstance(stored, OriginsStored)
        for node in nodes:
            node.stop()
        for number in (1, 2, 3):
            fleet.start_control(number)
        question = FindOrigin(stream=7, service=SERVICE)
        found = rpc.call(holder, MessageKind.FIND_ORIGIN, question, FoundOrigin, timeout_s=5.0)
        assert isinstance(found, FoundOrigin)
        assert found.origin == NEW
    finally:
        fleet.stop()
        rpc.close()


def test_a_holder_that_starts_again_gets_all_streams_with_the_next_report(
    stack: ExitStack,
) -> None:
    async def run() -> None:
        controls = start_controls(stack, 2, BOTH)
        gateway = Gateway(stack, controls)
        gateway.begin(7, NEW)
        assert await comes_true(lambda: count_knowing(controls, 7) == len(controls))
        controls[0].start_again()
        assert not knows(controls[0], 7)
        gateway.begin(8, OLD)
        assert await comes_true(lambda: knows(controls[0], 7) and knows(controls[0], 8))

    asyncio.run(run())


def test_another_control_process_takes_the_place_of_one_that_is_down(stack: ExitStack) -> None:
    async def run() -> None:
        controls = start_controls(stack, 3, BOTH)
        controls[0].stop()
        gateway = Gateway(stack, controls)
        gateway.begin(7, NEW)
        assert await comes_true(lambda: count_knowing(controls[1:], 7) >= 1)
        assert (await gateway.client.find(7, SERVICE, FIND_TIMEOUT_S)).origin == NEW

    asyncio.run(run())


def test_a_control_process_of_an_older_build_is_passed_over(stack: ExitStack) -> None:
    async def run() -> None:
        older = Control(stack, BOTH, is_older=True)
        controls = [older, *start_controls(stack, 1, BOTH)]
        gateway = Gateway(stack, controls)
        gateway.begin(7, NEW)
        assert await comes_true(lambda: knows(controls[1], 7))
        assert (await gateway.client.find(7, SERVICE, FIND_TIMEOUT_S)).origin == NEW

    asyncio.run(run())


def test_a_stream_of_the_only_version_needs_no_report(stack: ExitStack) -> None:
    """A gateway that has just started takes an ended version for one that has just ended."""

    async def run() -> None:
        controls = start_controls(stack, 3, view("v1.1"))
        assert (
            await Gateway(stack, controls).client.find(7, SERVICE, FIND_TIMEOUT_S)
        ).origin == NEW

    asyncio.run(run())


def test_a_control_process_that_is_cut_off_does_not_vouch_for_one_version(
    stack: ExitStack,
) -> None:
    async def run() -> None:
        (control,) = start_controls(stack, 1, view("v1"))
        control.hub.is_stale = True
        assert (
            await Gateway(stack, [control]).client.find(7, SERVICE, FIND_TIMEOUT_S)
        ).origin is None

    asyncio.run(run())


class SilentControl:
    """A control process that stands still: the kernel accepts connections, and nobody answers."""

    def __init__(self, stack: ExitStack) -> None:
        listening = stack.enter_context(socket.create_server(("127.0.0.1", 0), backlog=512))
        self.address = "{}:{}".format(*listening.getsockname()[:2])


@pytest.mark.parametrize("streams", [1, 70, 700])
def test_a_silent_control_process_does_not_keep_callers_waiting(
    stack: ExitStack, streams: int
) -> None:
    async def run() -> None:
        controls = start_controls(stack, 2, BOTH)
        first = Gateway(stack, controls)
        for stream in range(streams):
            first.begin(stream, NEW)
        assert await comes_true(lambda: count_knowing(controls, streams - 1) == len(controls))
        second = Gateway(stack, [SilentControl(stack), *controls])  # type: ignore[list-item]
        found = await asyncio.gather(
            *(second.client.find(stream, SERVICE, FIND_TIMEOUT_S) for stream in range(streams))
        )
        went_on = sum(item.origin == NEW for item in found)
        assert went_on == streams, f"{went_on} of {streams}"

    asyncio.run(run())


def test_callers_who_come_again_do_not_wait_behind_their_former_questions(
    stack: ExitStack,
) -> None:
    """Nobody answers at first; a control process that comes up is asked at once."""

    async def run() -> None:
        silent = SilentControl(stack)
        (control,) = start_controls(stack, 1, BOTH)
        control.directory.store(ReportOrigins(streams=dict.fromkeys(range(200), NEW)))
        known: list[SilentControl | Control] = [silent]
        gateway = Gateway(stack, known)  # type: ignore[arg-type]
        for _ in range(3):
            asked = [gateway.client.find(stream, SERVICE, FIND_TIMEOUT_S) for stream in range(200)]
            found = await asyncio.gather(*asked)
            assert {item.source for item in found} == {OriginSource.NO_ANSWER}
        known.append(control)
        asked = [gateway.client.find(stream, SERVICE, FIND_TIMEOUT_S) for stream in range(200)]
        found = await asyncio.gather(*asked)
        assert sum(item.origin == NEW for item in found) == 200

    asyncio.run(run())


def test_a_control_process_that_knows_single_questions_only_is_asked_for_each_stream(
    stack: ExitStack,
) -> None:
    async def run() -> None:
        (control,) = start_controls(stack, 1, BOTH)
        control.directory.store(ReportOrigins(streams={7: NEW, 8: OLD}))
        control.forget_kind(MessageKind.FIND_ORIGINS)
        gateway = Gateway(stack, [control])
        found = await asyncio.gather(
            *(gateway.client.find(item, SERVICE, FIND_TIMEOUT_S) for item in (7, 8, 9))
        )
        assert [item.origin for item in found] == [NEW, OLD, None]

    asyncio.run(run())


def change_versions(controls: list[Control], known: FleetView) -> None:
    for control in controls:
        control.hub.known = known
        control.directory.refresh()


def start_with_base(stack: ExitStack, count: int) -> list[Control]:
    """Return control processes that saw the old version alone, then both."""
    controls = start_controls(stack, count, view("v1"))
    change_versions(controls, view("v1"))
    change_versions(controls, BOTH)
    return controls


def test_a_stream_that_began_before_the_second_version_goes_on_though_nobody_was_told(
    stack: ExitStack,
) -> None:
    async def run() -> None:
        controls = start_with_base(stack, 3)
        found = await Gateway(stack, controls).client.find(7, SERVICE, FIND_TIMEOUT_S)
        assert (found.origin, found.source) == (OLD, OriginSource.BASE_VERSION)
        controls[1].stop()
        found = await Gateway(stack, controls).client.find(7, SERVICE, FIND_TIMEOUT_S)
        assert (found.origin, found.source) == (OLD, OriginSource.BASE_VERSION)

    asyncio.run(run())


@pytest.mark.parametrize("lost", range(3))
def test_a_recorded_stream_is_not_taken_for_one_of_the_base_version(
    stack: ExitStack, lost: int
) -> None:
    """One control process may end: those that are left know it, or too few are left."""

    async def run() -> None:
        controls = start_with_base(stack, 3)
        first, second = Gateway(stack, controls), Gateway(stack, controls)
        assert await first.record(7, NEW)
        first.client.stop()
        controls[lost].stop()
        assert (await second.client.find(7, SERVICE, FIND_TIMEOUT_S)).origin == NEW

    asyncio.run(run())


@pytest.mark.parametrize("restarted", [1, 2, 3])
def test_control_processes_that_started_again_do_not_vouch_for_the_base_version(
    stack: ExitStack, restarted: int
) -> None:
    async def run() -> None:
        controls = start_with_base(stack, 3)
        for control in controls[:restarted]:
            control.start_again()
        found = await Gateway(stack, controls).client.find(7, SERVICE, FIND_TIMEOUT_S)
        assert found.origin == (OLD if restarted == 1 else None)

    asyncio.run(run())


def test_reports_of_an_older_build_prove_nothing_about_what_was_not_reported(
    stack: ExitStack,
) -> None:
    async def run() -> None:
        controls = start_with_base(stack, 3)
        for control in controls[:2]:
            control.directory.store(ReportOrigins(streams={1: NEW}))
        found = await Gateway(stack, controls).client.find(7, SERVICE, FIND_TIMEOUT_S)
        assert found.origin is None

    asyncio.run(run())


def test_an_origin_is_recorded_in_time_beside_a_silent_control_process(
    stack: ExitStack,
) -> None:
    async def run() -> None:
        controls = start_with_base(stack, 2)
        gateway = Gateway(stack, [SilentControl(stack), *controls])  # type: ignore[list-item]
        assert await gateway.record(7, NEW)
        assert gateway.client.is_recording

    asyncio.run(run())


def test_recording_that_fails_delays_one_stream_and_is_found_to_work_again(
    stack: ExitStack,
) -> None:
    async def run() -> None:
        controls = start_with_base(stack, 1)
        silent = [SilentControl(stack), SilentControl(stack)]
        known: list[SilentControl | Control] = [*controls, *silent]
        gateway = Gateway(stack, known)  # type: ignore[arg-type]
        loop = asyncio.get_running_loop()
        assert not await gateway.record(1, NEW)
        assert not gateway.client.is_recording
        began_s = loop.time()
        assert not await gateway.record(2, NEW)
        assert loop.time() - began_s < 0.1
        known[1:] = start_with_base(stack, 2)
        gateway.begin(3, OLD)
        assert await comes_true(lambda: gateway.client.is_recording)
        assert await gateway.record(4, NEW)

    asyncio.run(run())
