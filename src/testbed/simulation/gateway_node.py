"""A simulated gateway: the product's parts on fibers, wired as ``gateway.runtime`` wires them."""

from __future__ import annotations

import random
from collections.abc import Callable
from types import SimpleNamespace

from leverjunction.errors import Execution, Failure, FailureKind, Step
from leverjunction.gateway.admission_gate import AdmissionGate
from leverjunction.gateway.claims import ClaimClient
from leverjunction.gateway.decision_log import DecisionLog
from leverjunction.gateway.exchange import DigestOutbox, ExchangeLoop
from leverjunction.gateway.harvest import BatchHarvest
from leverjunction.gateway.inflight import InflightRequests
from leverjunction.gateway.online import GatewayLocation, OnlineService
from leverjunction.gateway.orphan_sweeper import OrphanSweeper
from leverjunction.gateway.owner import RunnerPoller
from leverjunction.gateway.ownership import owned_runners
from leverjunction.gateway.relay import RelayLoop
from leverjunction.gateway.retry import RetryBudget
from leverjunction.gateway.runner_pool import RunnerPool
from leverjunction.gateway.sender import Sender
from leverjunction.gateway.settings_store import SettingsStore
from leverjunction.gateway.stream_session import StreamDependencies
from leverjunction.gateway.view import ClusterSnapshot, ClusterView
from leverjunction.gateway.yielding import YieldNotifier
from leverjunction.observability.counters import GatewayCounters
from leverjunction.observability.decisions import DecisionRing
from leverjunction.settings.resolved import ResolvedSettings
from leverjunction.wire.codec import decode, encode_reply
from leverjunction.wire.control_client import ControlClient
from leverjunction.wire.envelope import Envelope, MessageKind
from leverjunction.wire.messages import Acknowledged, GatewayState, RunnerState, YieldNotice
from testbed.simulation.channel import Connections
from testbed.simulation.engine_client import SimulatedEngines
from testbed.simulation.gateway_front import GatewayFront
from testbed.simulation.history import GatewayStop, History, Span, VersionInForce
from testbed.simulation.machine import Machine
from testbed.simulation.operators import settings_content
from testbed.simulation.rpc import RpcBoard, SimulatedRpc
from testbed.simulation.runner_node import RunnerNode
from testbed.simulation.virtual_threads import VirtualThreading

EXCHANGE_INTERVAL_S = 1.0
DRAIN_TIMEOUT_S = 60.0


class RecordingExchange(ExchangeLoop):
    """The product's exchange loop, which records the spans in which no hub answered."""

    on_unheard: Callable[[float], None]
    now_s: Callable[[], float]

    def exchange_once(self) -> Failure | None:
        """Do one exchange."""
        began_s = self.now_s()
        failure = super().exchange_once()
        if failure is not None:
            self.on_unheard(began_s)
        return failure


class OrderedSet(dict[object, None]):
    """A set in the order of insertion, as far as the relay loop uses it."""

    def add(self, item: object) -> None:
        """Add an item."""
        self[item] = None

    def discard(self, item: object) -> None:
        """Remove an item if it is there."""
        self.pop(item, None)


class NoCacheFeed:
    """Stands in for the reader of cache events: the simulator has none."""

    def update(self, _owned: list[RunnerState]) -> None:
        """Do nothing."""


class SettingsDisk:
    """A gateway's saved settings; stands in for ``settings.cache.SettingsCache``."""

    def __init__(self) -> None:
        self._saved: ResolvedSettings | None = None

    def load(self) -> ResolvedSettings | Failure:
        """Return the settings last saved."""
        if self._saved is None:
            return Failure(
                kind=FailureKind.NOT_FOUND,
                reason="there is no saved copy",
                step=Step.STORING,
                execution=Execution.NOT_RUN,
            )
        return self._saved

    def save(self, settings: ResolvedSettings) -> Failure | None:
        """Save settings."""
        self._saved = settings
        return None


class RecordingSettingsStore(SettingsStore):
    """The product's store, which records each version that it puts in force."""

    def __init__(self, disk: SettingsDisk, record: Callable[[ResolvedSettings], None]) -> None:
        super().__init__(disk)  # type: ignore[arg-type]
        self._record = record

    def load_copy(self) -> int:
        """Put the saved copy in force."""
        version = super().load_copy()
        if version:
            self._record(self.current)
        return version

    def apply(self, rows: list, version: int) -> bool:
        """Put a version step in force."""
        changed = super().apply(rows, version)
        if changed:
            self._record(self.current)
        return changed


class GatewayNode:
    """One gateway; every start wires the product's parts anew.

    Attributes:
        machine: Its machine.
        control: Client of the control processes.
        settings: Settings in force.
        view: Cluster as last heard of.
        inflight: Count of open requests, and the mark of a stop.
        service: The online service.
        harvest: The batch side.
        front: What callers reach.
    """

    store_type: type[RecordingSettingsStore] = RecordingSettingsStore
    engines_type: type[SimulatedEngines] = SimulatedEngines

    def __init__(
        self,
        machine: Machine,
        region: str,
        board: RpcBoard,
        threading: VirtualThreading,
        connections: Connections,
        runners: dict[str, RunnerNode],
        hubs: list[str],
        history: History,
        generator: random.Random,
    ) -> None:
        self.machine = machine
        self.board = board
        self.history = history
        self.random = generator
        self._region = region
        self._threading = threading
        self._connections = connections
        self._runners = runners
        self._hubs = hubs
        self._disk = SettingsDisk()

    @property
    def name(self) -> str:
        """Return the gateway's id, which is its machine's name."""
        return self.machine.name

    @property
    def stopping(self) -> bool:
        """Return whether new requests are refused."""
        return self.inflight.stopping

    def start(self) -> None:
        """Start or restart the process."""
        self.machine.start()
        self._incarnation_ms = self.machine.wall_ms()
        with self._threading.on(self.machine):
            self._wire()
        self.settings.load_copy()
        self.board.serve(self.machine, {}, {MessageKind.YIELD_NOTICE: self._on_notice})
        self.relay.start()
        self.owner.start()
        self.exchange.start()

    def stop(self, exited: Callable[[], None]) -> None:
        """Stop as planned: refuse new requests, hand batch back, wait for open ones, then exit."""
        asked_s = self.machine.monotonic_s()

        def exit_process() -> None:
            exited_s = self.machine.monotonic_s()
            self.history.stops.append(GatewayStop(self.name, asked_s, exited_s))
            self.kill()
            exited()

        def run() -> None:
            self.drain()
            self.machine.after(0.0, exit_process)

        self.board.fibers.spawn(self.machine, run)

    def drain(self) -> None:
        """Do what ``gateway.runtime`` does at a planned stop, in the same order."""
        self.inflight.begin_stop()
        end_s = self.machine.monotonic_s() + DRAIN_TIMEOUT_S
        self.exchange.exchange_once()
        self.harvest.stop()
        self.inflight.wait_idle(max(0.0, end_s - self.machine.monotonic_s()))
        self.gate.stop()
        self.relay.wait_idle(max(0.0, end_s - self.machine.monotonic_s()))
        self.front.close_port()

    def kill(self) -> None:
        """End the process at once."""
        self.machine.kill()

    def job_groups(self) -> list[str]:
        """Return the names of all job groups."""
        return [f"jobs-{index}" for index in range(self.view.snapshot.job_groups)]

    def identity(self) -> GatewayState:
        """Return this gateway as the exchange reports it."""
        return GatewayState(
            gateway_id=self.name,
            address=self.name,
            rpc_address=self.name,
            zone=self.machine.zone,
            incarnation=self._incarnation_ms,
            stopping=self.stopping,
            settings_version=self.settings.current.version,
        )

    def held_leases(self) -> int:
        """Return how many leases the batch side holds."""
        return self.harvest._harvester.stats().leases

    def _wire(self) -> None:
        fibers, machine = self.board.fibers, self.machine
        self.control = ControlClient(
            SimulatedRpc(machine, self.board),  # type: ignore[arg-type]
            list(self._hubs),
            machine,
            self.random,
            sleep=lambda seconds: fibers.sleep(machine, seconds),
        )
        self.engines = self.engines_type(machine, self.board, self._connections, self._runners)
        self.counters = GatewayCounters()
        self.inflight = InflightRequests()
        self.view = ClusterView(machine)
        self.settings = self.store_type(self._disk, self._record_version)
        self.pool = RunnerPool(self.view, machine.zone, machine, self.random)
        self.outbox = DigestOutbox()
        self.harvest = BatchHarvest(
            self.control,
            self.engines,  # type: ignore[arg-type]
            machine,
            SimpleNamespace(name=self.name, region=self._region),  # type: ignore[arg-type]
            self.counters.registry,
            self._incarnation_ms,
            self.view.is_in_doubt,
            self.view.last_pause_end_s,
        )
        self.sweeper = OrphanSweeper(
            self.engines, machine, self.counters, self.name, self._incarnation_ms
        )
        self.notifier = YieldNotifier(
            self.name, self.view, self.control, self.harvest, machine, self.counters
        )
        self.owner = RunnerPoller(
            self.engines,  # type: ignore[arg-type]
            self.view,
            self.pool,
            self.outbox,
            self.harvest.observe_load,
            NoCacheFeed(),  # type: ignore[arg-type]
        )
        self.exchange = RecordingExchange(
            self.control,
            self.identity,
            self.view,
            self.settings,
            self.outbox,
            self.harvest,
            self.counters,
            EXCHANGE_INTERVAL_S,
            self._on_view,
        )
        self.exchange.now_s = machine.monotonic_s
        self.exchange.on_unheard = self._record_unheard
        self.gate = AdmissionGate(machine, self.counters)
        self.relay = RelayLoop(self.counters)
        # A set of objects is ordered by their addresses, which differ from run to run.
        self.relay._streams = OrderedSet()  # type: ignore[assignment]
        self.service = self._online_service()
        self.front = GatewayFront(self)

    def _online_service(self) -> OnlineService:
        decision_log = DecisionLog(DecisionRing(self.random), self.machine)
        sender = Sender(
            self.engines,  # type: ignore[arg-type]
            self.pool,
            self.gate,
            RetryBudget(),
            self.notifier,
            decision_log,
            self.counters,
            self.machine,
        )
        streams = StreamDependencies(
            engines=self.engines,  # type: ignore[arg-type]
            sender=sender,
            pool=self.pool,
            decision_log=decision_log,
            counters=self.counters,
            clock=self.machine,
        )
        return OnlineService(
            GatewayLocation(region=self._region, zone=self.machine.zone),
            lambda: self.settings.current,
            self.gate,
            sender,
            ClaimClient(self.control, self.job_groups, self.name),
            self.relay,
            streams,
            decision_log,
            self.counters,
            self.machine,
        )

    def _on_view(self, snapshot: ClusterSnapshot) -> None:
        owned: list[RunnerState] = []
        if not self.stopping:
            owned = owned_runners(self.name, snapshot.runners.values(), snapshot.gateways.values())
        self.owner.update(owned)
        self.harvest.update(owned, self.settings.current, self.job_groups())
        self.sweeper.update(owned, snapshot)

    def _on_notice(self, envelope: Envelope, peer: str) -> bytes:
        notice = decode(envelope.body, YieldNotice, peer)
        if not isinstance(notice, Failure):
            self.harvest.notice_arrived(notice.runner_id)
        return encode_reply(Acknowledged())

    def _record_unheard(self, began_s: float) -> None:
        span = Span(began_s, self.machine.monotonic_s())
        self.history.unheard.setdefault(self.name, []).append(span)

    def _record_version(self, settings: ResolvedSettings) -> None:
        self.history.in_force.append(
            VersionInForce(
                moment_s=self.machine.monotonic_s(),
                gateway=self.name,
                incarnation=self.machine.incarnation,
                version=settings.version,
                content=settings_content(list(settings.rows())),
            )
        )
