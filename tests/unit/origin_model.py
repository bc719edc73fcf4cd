"""Model of gateways and control processes that share the origins of streams, in virtual time.

The decisions are the product's own (``StreamOrigins``, ``OriginAcks``, ``OriginDirectory``,
``OriginFence``, ``OriginQuestions``, ``VersionReview``, ``FollowedViews``, ``ViewReports``,
``ControlLease``); threads, sockets, disks and the replicated
registry are replaced by what they may do.
"""

from __future__ import annotations

import asyncio
import math
from collections.abc import Collection, Coroutine, Generator, Sequence
from typing import Any
from unittest import mock

import msgspec

from leverjunction.errors import Execution, Failure, FailureKind, Step
from leverjunction.proxy.stream_origins import StreamOrigins
from leverjunction.registry.commands import ForgetVersions
from leverjunction.registry.hub import MAX_CONTACT_AGE_S
from leverjunction.registry.origin_acks import OriginAcks, stored_at
from leverjunction.registry.origin_client import RECORD_TIMEOUT_S
from leverjunction.registry.origin_directory import OriginDirectory
from leverjunction.registry.origin_questions import Lookup, OriginQuestions
from leverjunction.registry.origin_reporter import HOLDERS, rank_holders
from leverjunction.registry.origin_segments import DOUBT_S, Moment, OriginBatch, make_batch
from leverjunction.registry.origins import (
    RENEW_INTERVAL_S,
    STREAM_LIFETIME_S,
    OriginSource,
    OriginsStored,
    ReportOrigins,
    Resumption,
    StreamOrigin,
)
from leverjunction.registry.records import (
    BaseVersion,
    FleetView,
    MemberRecord,
    MemberRole,
    RunnerRecord,
)
from leverjunction.registry.version_history import former_versions, next_base_version
from leverjunction.registry.version_leases import (
    ControlLease,
    FollowedViews,
    SharedRevisions,
    VersionChanges,
    ViewReports,
)
from leverjunction.registry.version_review import VersionReview

SERVICE = "pool"
IN_FORCE_S = 2.0
"""Age up to which a gateway trusts its state of the registry."""

SETTLED_S = 100.0
"""Time for which the first version was alone when a run begins."""

MAX_STEP_S = 5.0
"""Longest time between two rounds of what processes do by themselves."""


class Ways(msgspec.Struct, frozen=True):
    """Rules that the model weighs, and bounds. The defaults are the product's rules, unbounded.

    Attributes:
        acks: Acknowledgements that a stream waits for; None for as many as the product does.
        use_after_s: Time after which a gateway uses a version that it has heard of.
        uses_new_versions: A gateway begins streams at a version that others may not have heard of.
        max_unreached_s: Longest time in which a gateway does not reach as many control processes
            as one origin needs, in seconds.
    """

    acks: int | None = None
    use_after_s: float = 0.0
    uses_new_versions: bool = False
    max_unreached_s: float = math.inf


PRODUCT = Ways()


class ManualClock:
    """Virtual time; also stands in for the event loop of a gateway."""

    def __init__(self) -> None:
        self.now_s = 0.0

    def monotonic_s(self) -> float:
        return self.now_s

    def wall_ms(self) -> int:
        return int(self.now_s * 1000)

    def time(self) -> float:
        return self.now_s


class Registry:
    """The states of the replicated registry, oldest first.

    Its leader settles a version once it has been gone for as long as the product waits. It keeps
    the base version by the product's rule.
    """

    def __init__(self, clock: ManualClock) -> None:
        self.live: dict[str, RunnerRecord] = {}
        self.views: list[FleetView] = [FleetView()]
        self._clock = clock
        self._gone: set[tuple[str, str]] = set()
        self._settled: set[tuple[str, str]] = set()
        self._review = VersionReview()
        self._base: str | None = None
        self._born = 0

    def put(self, runner_id: str, version: str) -> None:
        """Start a back end; it replaces the one with the same id."""
        self._forget(runner_id)
        self._born += 1
        self.live[runner_id] = RunnerRecord(
            runner_id=runner_id,
            service=SERVICE,
            address=f"10.0.0.1:{self._born}",
            zone="a",
            slots=4,
            born_ms=self._born,
            version=version,
        )
        self._append()

    def remove(self, runner_id: str) -> None:
        self._forget(runner_id)
        self._append()

    def serves(self, record: RunnerRecord) -> bool:
        return self.live.get(record.runner_id) == record

    def versions(self) -> set[str]:
        return {record.version for record in self.live.values()}

    def _forget(self, runner_id: str) -> None:
        record = self.live.pop(runner_id, None)
        if record is not None:
            self._gone.add((record.service, record.version))
            self._settled.discard((record.service, record.version))

    def review(self) -> None:
        """Have the leader settle the versions that are due."""
        for command in self._review.due(self.views[-1], self._clock.now_s):
            assert isinstance(command, ForgetVersions)
            settled = {(item.service, item.version) for item in command.versions}
            self._settled |= settled & self._gone - {(SERVICE, item) for item in self.versions()}
            self._append()

    def _append(self) -> None:
        former = {version for _, version in self._gone - self._settled}
        self._base = next_base_version(self._base, self.versions(), former)
        base_versions = () if self._base is None else (BaseVersion(SERVICE, self._base),)
        self.views.append(
            FleetView(
                revision=len(self.views),
                runners=tuple(self.live[name] for name in sorted(self.live)),
                former_versions=former_versions(self._gone - self._settled),
                settled_versions=former_versions(self._settled),
                base_versions=base_versions,
            )
        )


class Disk:
    """The log of a control process: records that are on disk, and ones that may still be lost.

    The product's form of records, and its rule of when a log begins; what its thread does happens
    when the model says so.
    """

    def __init__(self, clock: ManualClock) -> None:
        self._clock = clock
        self._boot = 1
        self._synced: list[OriginBatch] = []
        self._written: list[OriginBatch] = []
        self._streams: dict[int, StreamOrigin] = {}
        self._announced: set[StreamOrigin] = set()
        self._begins = False
        self._on_disk: dict[StreamOrigin, float] = {}
        self.stands_still = False

    def _now(self) -> Moment:
        return Moment(self._clock.wall_ms(), self._clock.now_s, self._boot)

    # What ``OriginLog`` does.

    def load(self) -> list[tuple[float, OriginBatch]]:
        now = self._now()
        batches = [*self._synced, *self._written]
        ages = [(batch.age_s(now), batch) for batch in batches]
        loaded = [(age_s, batch) for age_s, batch in ages if age_s <= DOUBT_S]
        if not batches:
            self._begins = True
            loaded.append((0.0, make_batch({}, now)))
        return loaded

    def append(self, streams: dict[int, StreamOrigin]) -> None:
        self._streams.update(streams)

    def announce(self, origins: Collection[StreamOrigin]) -> None:
        self._announced.update(origins)

    def begin_anew(self) -> None:
        self._begins = True

    def wait_synced(
        self, origins: Collection[StreamOrigin], since_s: float, timeout_s: float
    ) -> bool:
        def are_on_disk() -> bool:
            return all(self._on_disk.get(item, -math.inf) >= since_s for item in origins)

        if timeout_s and not are_on_disk():
            self.write()
            self.sync()
        return are_on_disk()

    def close(self) -> None:
        pass

    # What its thread, the kernel, and the machine do.

    def write(self) -> None:
        """Write what waits; a loss of power may still lose it."""
        if self.stands_still:
            return
        if self._begins:
            self._written.append(make_batch({}, self._now()))
            self._begins = False
        if self._streams or self._announced:
            self._written.append(make_batch(self._streams, self._now(), self._announced))
        self._streams, self._announced = {}, set()

    def sync(self) -> None:
        if self.stands_still:
            return
        for batch in self._written:
            self._on_disk.update(dict.fromkeys(batch.origins(), batch.steady_s))
        now_s = self._clock.now_s
        # The product removes records in whole segments, and never the last one.
        self._synced = [
            item for item in [*self._synced, *self._written] if now_s - item.steady_s <= 2 * DOUBT_S
        ] or [*self._synced, *self._written][-1:]
        self._written = []

    def end_process(self) -> None:
        """Lose what waits in memory."""
        self._streams, self._announced = {}, set()
        self._on_disk = {}
        self._begins = False

    def lose_power(self, kept: int = 0) -> None:
        """Lose what is not synced, except for some records; the system starts again."""
        self.end_process()
        self._synced += self._written[:kept]
        self._written = []
        self._boot += 1

    def lose_all(self) -> None:
        """Come back empty."""
        self.lose_power()
        self._synced = []


class Hub:
    """The registry as one control process knows it."""

    def __init__(self, clock: ManualClock, registry: Registry) -> None:
        self._clock = clock
        self._registry = registry
        self.seen = 0
        self.complete_s = -math.inf
        self.versions = VersionChanges()

    def view(self) -> FleetView:
        return self._registry.views[self.seen]

    def age_s(self) -> float:
        return self._clock.now_s - self.complete_s

    def stale(self) -> Failure | None:
        if self.age_s() <= MAX_CONTACT_AGE_S:
            return None
        return Failure(
            kind=FailureKind.STALE,
            reason="cut off",
            step=Step.EXCHANGING,
            execution=Execution.NOT_RUN,
        )

    def hear(self) -> None:
        self.seen = len(self._registry.views) - 1
        self.complete_s = self._clock.now_s
        self.versions.update(self.view(), self.complete_s)


class Control:
    """A control process."""

    def __init__(self, clock: ManualClock, registry: Registry, number: int) -> None:
        self._clock = clock
        self.member = MemberRecord(
            name=f"core-{number}",
            role=MemberRole.CONTROL,
            address=f"10.1.0.{number}:1",
            zone="abc"[number % 3],
        )
        self.address = self.member.address
        self.is_silent = False
        self.is_cut_off = False
        self.loses_replies = False
        self.loses_reports = False
        self.backlog: list[ReportOrigins] = []
        self.starts = 0
        self.hub = Hub(clock, registry)
        self.disk = Disk(clock)
        self.start()

    def start(self, views_lost: int = 0) -> None:
        """Start with nothing in memory, and with a state of the registry that may be older."""
        self.starts += 1
        self.backlog.clear()
        self.disk.end_process()
        self.hub.seen = max(0, self.hub.seen - views_lost)
        self.hub.complete_s = -math.inf
        self.hub.versions = VersionChanges()
        self.lease = ControlLease()
        self.followed = FollowedViews(IN_FORCE_S, self._clock.now_s)
        self.directory = OriginDirectory(
            self.hub,  # type: ignore[arg-type]
            self._clock,
            self.starts,
            self.disk,  # type: ignore[arg-type]
            has_lease=self.has_lease,
        )
        self.directory.load()
        self.directory.refresh()

    def restart_after_power_loss(self, views_lost: int = 0, kept: int = 0) -> None:
        """Start with what was synced, and maybe some of what was written since."""
        self.disk.lose_power(kept)
        self.start(views_lost)

    def restart_after_disk_loss(self) -> None:
        """Start with an empty disk: the state of the registry is lost too."""
        self.disk.lose_all()
        self.start(views_lost=self.hub.seen)

    def shared(self) -> SharedRevisions:
        """Return what its replies tell."""
        versions = self.hub.versions.revision
        return msgspec.structs.replace(self.lease.shared, versions=versions)

    def has_lease(self) -> bool:
        return self.lease.is_valid(self.hub.age_s(), self._clock.now_s)

    @property
    def is_following(self) -> bool:
        return not (self.is_silent or self.is_cut_off)

    def hear(self) -> None:
        if self.is_following:
            self.hub.hear()
            self.directory.refresh()

    def store(self, report: ReportOrigins) -> OriginsStored | None:
        """Return the reply that a gateway gets; None if it gets none."""
        if self.is_silent:
            if not self.loses_reports:
                self.backlog.append(report)
            return None
        stored = self.directory.store(report)
        if self.loses_replies or isinstance(stored, Failure):
            return None
        return stored

    def wake(self) -> None:
        self.is_silent = False
        backlog, self.backlog = self.backlog, []
        for report in backlog:
            self.directory.store(report)


class Pause:
    """Awaitable that the model resumes, with whether the origin has been recorded."""

    def __await__(self) -> Generator[None, bool, bool]:
        return (yield)


class Reporter:
    """Reports of a gateway to one control process at a time."""

    def __init__(self, gateway: Gateway, number: int) -> None:
        self._gateway = gateway
        self._number = number
        self._told: tuple[str, int] | None = None
        self.waiting: dict[int, StreamOrigin] = {}

    def flush(self) -> None:
        gateway = self._gateway
        if not self.waiting or gateway.is_cut_off:
            return
        streams = self.waiting
        members = [control.member for control in gateway.controls]
        controls = {control.address: control for control in gateway.controls}
        for address in rank_holders(gateway.name, members, self._number):
            reply = self._call(controls[address], streams)
            if reply is None:
                continue
            told = (address, reply.incarnation)
            if told != self._told:
                live = gateway.origins.live()
                if self._call(controls[address], live) is None:
                    return
                self._told = told
                gateway.stored(address, tuple(live), reply)
            gateway.stored(address, tuple(streams), reply)
            self.waiting = {}
            return

    def _call(self, control: Control, streams: dict[int, StreamOrigin]) -> OriginsStored | None:
        is_recorded_first = not self._gateway.is_older
        return control.store(
            ReportOrigins(streams=dict(streams), is_recorded_first=is_recorded_first)
        )


class Stream:
    """A stream of a caller.

    Attributes:
        version: The version that really began it.
        runner: The back end that writes it.
        gateway: The gateway that relays it; None after it was cut, and before its first event.
        last_s: Time of its last event.
        kept_s: Time at which its gateway kept its origin last.
        is_early: Whether other gateways may not have heard of its version when it began: no back
            end of the former one was left, or its gateway is of a build that holds none back.
    """

    def __init__(self, key: int, runner: RunnerRecord) -> None:
        self.key = key
        self.version = runner.version
        self.runner = runner
        self.gateway: Gateway | None = None
        self.last_s = self.kept_s = -math.inf
        self.is_early = False

    @property
    def origin(self) -> StreamOrigin:
        return StreamOrigin(SERVICE, self.version)


class Wait:
    """Part of a relay that waits until the origin of its stream is recorded."""

    def __init__(self, stream: Stream, began: Coroutine[Any, bool, Any], since_s: float) -> None:
        self.stream = stream
        self.began = began
        self.since_s = since_s
        self.is_recorded = False


class Gateway:
    """A gateway; also the directory that its ``StreamOrigins`` uses."""

    def __init__(self, model: Model, name: str, seen: int, *, is_older: bool = False) -> None:
        self._model = model
        self.name = name
        self.is_older = is_older
        self.is_cut_off = False
        self.controls = model.controls
        self.seen = seen
        self.complete_s = -math.inf
        self.heard_s: dict[str, float] = {}
        self.reached_s = model.clock.now_s
        self.shared = SharedRevisions()
        for control in model.controls:
            if control.hub.stale() is None and control.hub.seen == seen:
                # Its first state comes with the same reply.
                self.shared = control.shared()
        self.waits: list[Wait] = []
        self._acks = OriginAcks()
        self._told_bases: dict[str, str] = {}
        with mock.patch.object(asyncio, "get_running_loop", lambda: model.clock):
            self.origins = StreamOrigins(
                self,
                lambda: model.clock.now_s - self.complete_s,
                IN_FORCE_S,
                lambda: self.shared,
            )
        self.reporters = [Reporter(self, number) for number in range(2 if is_older else HOLDERS)]
        self._update()

    @property
    def view(self) -> FleetView:
        return self._model.registry.views[self.seen]

    def hear(self, control: Control) -> None:
        """Take over the state of a control process that does not know itself cut off."""
        if self.is_cut_off or control.is_silent or control.hub.stale() is not None:
            return
        if control.hub.seen < self.seen or control.hub.complete_s < self.complete_s:
            return
        # The call acknowledges what the reply before it told.
        name = "" if self.is_older else self.name
        control.followed.asked(name, self.view.revision if self.complete_s > 0 else -1)
        control.followed.replied(name, self._model.clock.now_s)
        self.shared = self.shared.merged(control.shared())
        self.complete_s = control.hub.complete_s
        if control.hub.seen > self.seen:
            self.seen = control.hub.seen
            self._update()

    def _update(self) -> None:
        for record in self.view.runners:
            self.heard_s.setdefault(record.version, self._model.clock.now_s)
        self.origins.update(self.view)

    def known(self, version: str | None = None) -> list[RunnerRecord]:
        """Return the back ends that this gateway knows and that really serve."""
        return [
            record
            for record in self.view.runners
            if version in (None, record.version) and self._model.registry.serves(record)
        ]

    # What ``OriginClient`` does.

    @property
    def is_recording(self) -> bool:
        return self.is_older or self._acks.is_recording

    def report(self, streams: dict[int, StreamOrigin]) -> None:
        for reporter in self.reporters:
            reporter.waiting.update(streams)

    @property
    def told_bases(self) -> dict[str, str]:
        return self._told_bases

    async def record(self, stream: int, origin: StreamOrigin) -> bool:
        is_recorded = await self._record(stream, origin)
        if is_recorded and not self.is_older:
            self._model.unrecorded.discard(stream)
        else:
            self._model.unrecorded.add(stream)
        return is_recorded

    async def _record(self, stream: int, origin: StreamOrigin) -> bool:
        if self.is_older or self._model.ways.acks == 0:
            self.report({stream: origin})
            return True
        if not self._acks.is_recording:
            self.report({stream: origin})
            return False
        self._acks.wait(stream)
        self.report({stream: origin})
        is_recorded = await Pause()
        is_awaited = any(wait.stream.key == stream for wait in self.waits)
        if not is_recorded or not is_awaited:
            self._acks.drop(stream, in_vain=not is_recorded)
        return is_recorded

    async def find(self, stream: int, service: str, timeout_s: float) -> Resumption:
        questions, lookup = OriginQuestions(), Lookup(stream, service)
        if not self.controls:
            return Resumption(None, OriginSource.NOT_ASKED)
        questions.begin(lookup, [control.address for control in self.controls])
        asked = [(item, questions.next_question(item.address)) for item in self._model.ask_order]
        for control, question in asked:
            if self.is_cut_off or control.is_silent or control in self._model.slow:
                continue
            assert question is not None
            found = questions.answered(control.address, control.directory.find_all(question))
            if lookup in found:
                return found[lookup]
        return questions.give_up(lookup)

    def stored(self, holder: str, streams: Sequence[int], reply: OriginsStored) -> None:
        self._told_bases = reply.base_versions
        acks = self._model.ways.acks
        controls = len(self.controls) if acks is None else acks
        recorded = set(self._acks.stored(holder, streams, controls))
        for wait in self.waits:
            wait.is_recorded |= wait.stream.key in recorded

    # What ``Forwarder`` does.

    def begin(self, stream: Stream) -> None:
        """Begin a stream; its first event is passed on when its origin is recorded."""
        preferred = self._preferred_version()
        if preferred is not None and self._available(preferred):
            if not self.known(preferred):
                # Its back ends have ended, and this gateway has not heard of it.
                return
            stream.runner = self.known(preferred)[0]
            stream.version = stream.runner.version
        age_s = self._model.clock.now_s - self.heard_s[stream.version]
        is_new = age_s <= IN_FORCE_S and len(self.heard_s) > 1
        is_held = self.origins.widely_known_version(SERVICE) is not None
        is_alone = self._available() == self._available(stream.version)
        stream.is_early = (is_held and is_alone) or (self.is_older and is_new)
        stream.kept_s = self._model.clock.now_s
        self._go_on(Wait(stream, self._begin_stream(stream), stream.kept_s))

    def go_on(self, stream: Stream, runner: RunnerRecord) -> None:
        """Continue a stream whose origin was found."""
        stream.runner, stream.gateway = runner, None
        stream.kept_s = self._model.clock.now_s
        self._go_on(Wait(stream, self._begin_stream(stream, is_known=True), stream.kept_s))

    def event(self, stream: Stream) -> None:
        """Pass on an event of a stream."""
        if any(wait.stream is stream for wait in self.waits):
            return
        kept_s, now_s = stream.kept_s, self._model.clock.now_s
        if now_s - kept_s >= RENEW_INTERVAL_S:
            stream.kept_s = now_s
            self._go_on(Wait(stream, self._renew(stream, kept_s), now_s))
        else:
            self._pass_on(stream)

    def _preferred_version(self) -> str | None:
        if self.is_older:
            return None
        preferred = self.origins.preferred_version(SERVICE)
        if preferred is not None or self._model.ways.uses_new_versions:
            return preferred
        return self.origins.widely_known_version(SERVICE)

    def _available(self, version: str | None = None) -> list[RunnerRecord]:
        return [item for item in self.view.runners if version in (None, item.version)]

    async def _begin_stream(self, stream: Stream, *, is_known: bool = False) -> None:
        if not await self.origins.began(stream.key, stream.origin) and not is_known:
            base = self.origins.preferred_version(SERVICE)
            if base not in (None, stream.version) and self._available(base):
                return
        self._pass_on(stream)

    async def _renew(self, stream: Stream, kept_s: float) -> None:
        await self.origins.renew(stream.key, stream.origin, kept_s)
        self._pass_on(stream)

    def _pass_on(self, stream: Stream) -> None:
        if not self._model.registry.serves(stream.runner):
            return
        stream.gateway, stream.last_s = self, self._model.clock.now_s
        if stream not in self._model.streams:
            self._model.streams.append(stream)

    def _go_on(self, wait: Wait, is_recorded: bool | None = None) -> None:
        try:
            wait.began.send(is_recorded)  # type: ignore[arg-type]
        except StopIteration:
            return
        self.waits.append(wait)

    def end_waits(self) -> None:
        """Resume the streams that wait and are recorded, or whose time is over."""
        for wait in list(self.waits):
            is_over = self._model.clock.now_s - wait.since_s >= RECORD_TIMEOUT_S
            if wait.is_recorded or is_over:
                self.waits.remove(wait)
                self._go_on(wait, wait.is_recorded)

    def flush(self, numbers: Collection[int] = range(HOLDERS)) -> None:
        """Have the reporters with these numbers send what waits."""
        for number, reporter in enumerate(self.reporters):
            if number in numbers:
                reporter.flush()
        if self.is_older and self._is_known_as_older():
            self._model.unrecorded.difference_update(self.origins.live())
        self.end_waits()

    def _is_known_as_older(self) -> bool:
        """Return whether so many control processes heard of this build that none can be wrong."""
        now_s = self._model.clock.now_s
        unsure = [item for item in self.controls if now_s < item.directory._unsure_until_s]
        return len(unsure) >= stored_at(len(self.controls))


def joined(stream: Stream, found: Resumption) -> str:
    """Return the words for a stream that goes on at another version."""
    assert found.origin is not None
    return f"a stream of {stream.version} goes on at {found.origin.version}: {found.source}"


def run_at_once(coroutine: Coroutine[Any, Any, Resumption]) -> Resumption:
    """Run a coroutine that waits for nothing."""
    try:
        coroutine.send(None)
    except StopIteration as ended:
        result: Resumption = ended.value
        return result
    raise AssertionError("it waits")


class Model:
    """A fleet with one service.

    Args:
        controls: Number of control processes.
        ways: What may happen, and the rules that are weighed.
    """

    def __init__(self, controls: int, ways: Ways = PRODUCT) -> None:
        self.ways = ways
        self.clock = ManualClock()
        self.registry = Registry(self.clock)
        self.controls = [Control(self.clock, self.registry, item) for item in range(controls)]
        self._reports = ViewReports(self.clock.now_s)
        self.ask_order: list[Control] = list(self.controls)
        self.slow: set[Control] = set()
        self.gateways: list[Gateway] = []
        self.streams: list[Stream] = []
        self.unrecorded: set[int] = set()
        """Streams that were passed on though too few control processes have stored their origin."""

        self._next_key = 0
        self._starts = 0
        self.flows = False
        self.registry.put("i-0", "v1")
        for _ in range(2):
            self.start_gateway()
        self.advance(SETTLED_S)
        for gateway in self.gateways:
            # It notes that the version is alone when it begins streams.
            self.begin(gateway, gateway.known()[0])
        self.streams.clear()
        self.advance(SETTLED_S)

    def change_leader(self) -> None:
        """Have a leader begin that has no reports yet."""
        self._reports = ViewReports(self.clock.now_s)

    def exchange(self, control: Control) -> None:
        """Have a control process report to the leader."""
        if not control.is_following or not self.majority_follows():
            return
        now_s = self.clock.now_s
        report = control.followed.report(control.address, control.hub.view().revision, now_s)
        self._reports.record(report, now_s)
        controls = [item.address for item in self.controls]
        control.lease.granted(self._reports.shared(controls, now_s), now_s)

    def majority_follows(self) -> bool:
        return 2 * sum(control.is_following for control in self.controls) > len(self.controls)

    def put(self, runner_id: str, version: str) -> None:
        """Start a back end, if the registry can record it."""
        if self.majority_follows():
            self.registry.put(runner_id, version)
            self._cut_streams()

    def remove(self, runner_id: str) -> None:
        if runner_id in self.registry.live and self.majority_follows():
            self.registry.remove(runner_id)
            self._cut_streams()

    def _cut_streams(self) -> None:
        for stream in self.streams:
            if not self.registry.serves(stream.runner):
                stream.gateway = None

    def start_gateway(self, seen: int | None = None, *, is_older: bool = False) -> Gateway:
        self._starts += 1
        newest = len(self.registry.views) - 1
        known = newest if seen is None else max(0, min(seen, newest))
        gateway = Gateway(self, f"front-{self._starts}", known, is_older=is_older)
        self.gateways.append(gateway)
        return gateway

    def end_gateway(self, gateway: Gateway) -> None:
        self.gateways.remove(gateway)
        for wait in gateway.waits:
            wait.began.close()
        for stream in self.streams:
            if stream.gateway is gateway:
                stream.gateway = None

    def begin(self, gateway: Gateway, runner: RunnerRecord) -> None:
        base = gateway.origins._base_version(SERVICE)
        is_new = base is not None and runner.version != base
        age_s = self.clock.now_s - gateway.heard_s[runner.version]
        if is_new and age_s < self.ways.use_after_s:
            return
        self._next_key += 1
        gateway.begin(Stream(self._next_key, runner))

    def event(self, stream: Stream) -> None:
        """Have an event of a stream arrive that goes on."""
        if stream.gateway is not None:
            stream.gateway.event(stream)

    def resume(self, stream: Stream, gateway: Gateway) -> Resumption:
        """Have a caller continue a stream; return what the gateway concludes."""
        found = run_at_once(gateway.origins.find(stream.key, SERVICE))
        if found.origin is None:
            return found
        runners = gateway.known(found.origin.version)
        if found.origin.version == stream.version and runners:
            gateway.go_on(stream, runners[0])
        return found

    def is_joined(self, stream: Stream, gateway: Gateway, found: Resumption) -> bool:
        """Return whether the stream would go on at a back end of another version."""
        if found.origin is None or found.origin.version == stream.version:
            return False
        return any(item.version == found.origin.version for item in gateway.view.runners)

    def advance(self, for_s: float) -> None:
        until_s = self.clock.now_s + for_s
        step_s = min(for_s, 1.0)
        while self.clock.now_s < until_s:
            self.clock.now_s = min(self.clock.now_s + step_s, until_s)
            step_s = MAX_STEP_S
            self._background()

    def _reach(self, gateway: Gateway) -> None:
        """Note whether a gateway reaches enough control processes; see to it that it does."""
        now_s, needed = self.clock.now_s, stored_at(len(self.controls))
        if now_s - gateway.reached_s >= self.ways.max_unreached_s:
            gateway.is_cut_off = False
            for control in [item for item in self.controls if item.is_silent]:
                if sum(not item.is_silent for item in self.controls) < needed:
                    control.wake()
        if not gateway.is_cut_off and sum(not item.is_silent for item in self.controls) >= needed:
            gateway.reached_s = now_s

    def lose_power(self, kept: int = 0, lost_disks: Collection[int] = ()) -> None:
        """Have all control processes lose power in one moment, and some their disks."""
        for number, control in enumerate(self.controls):
            control.is_silent = False
            if number in lost_disks:
                control.restart_after_disk_loss()
            else:
                control.restart_after_power_loss(kept=kept)

    def _background(self) -> None:
        now_s = self.clock.now_s
        if self.majority_follows():
            self.registry.review()
        for control in self.controls:
            if not control.is_silent:
                control.disk.write()
                control.disk.sync()
            if now_s - control.hub.complete_s > MAX_CONTACT_AGE_S:
                control.hear()
            if not control.is_silent:
                control.directory.refresh()
        for _ in range(2):
            # The leader has all reports when it answers the second ones.
            for control in self.controls:
                self.exchange(control)
        for gateway in self.gateways:
            self._reach(gateway)
            if now_s - gateway.complete_s > IN_FORCE_S:
                for control in self.controls:
                    gateway.hear(control)
            gateway.flush()
        if self.flows:
            for stream in self.streams:
                self.event(stream)
        self.streams = [
            item
            for item in self.streams
            if item.gateway is not None or now_s - item.last_s <= STREAM_LIFETIME_S
        ]


__all__ = ["PRODUCT", "SERVICE", "Control", "Gateway", "Model", "Stream", "Ways", "joined"]
