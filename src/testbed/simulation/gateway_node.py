"""A simulated gateway: the product's exchange, settings and view, and its life cycle."""

from __future__ import annotations

import random
from collections.abc import Callable
from contextlib import nullcontext
from typing import TYPE_CHECKING, Protocol

from leverjunction.errors import Failure, FailureKind, Step
from leverjunction.gateway.exchange import DigestOutbox, ExchangeLoop
from leverjunction.gateway.ownership import owned_runners
from leverjunction.gateway.settings_store import SettingsStore
from leverjunction.gateway.view import ClusterSnapshot, ClusterView
from leverjunction.observability.counters import GatewayCounters
from leverjunction.settings.resolved import ResolvedSettings
from leverjunction.wire.control_client import ControlClient
from leverjunction.wire.messages import GatewayState, RunnerState
from testbed.simulation.history import GatewayStop, History, VersionInForce
from testbed.simulation.machine import Machine
from testbed.simulation.operators import settings_content
from testbed.simulation.rpc import RpcBoard, SimulatedRpc

if TYPE_CHECKING:
    from testbed.simulation.gateway_online import OnlinePart

EXCHANGE_INTERVAL_S = 1.0


class BatchPart(Protocol):
    """A gateway's batch work, as its life cycle sees it."""

    def start(self) -> None:
        """Begin with the process."""
        ...

    def update(
        self, owned: list[RunnerState], settings: ResolvedSettings, groups: list[str]
    ) -> None:
        """Take the owned runners and the settings in force."""
        ...

    def lease_ids(self) -> dict[str, list[str]]:
        """Return the leases held, by job group."""
        ...

    def revoke(self, lost_lease_ids: list[str], cancelled_jobs: list[str]) -> None:
        """Drop lost leases and the work of cancelled jobs."""
        ...

    def stop(self) -> None:
        """Hand all leases back; blocks."""
        ...


class SettingsDisk:
    """A gateway's saved settings; stands in for ``settings.cache.SettingsCache``."""

    def __init__(self) -> None:
        self._saved: ResolvedSettings | None = None

    def load(self) -> ResolvedSettings | Failure:
        """Return the settings last saved."""
        if self._saved is None:
            return Failure(
                kind=FailureKind.NOT_FOUND, reason="there is no saved copy", step=Step.STORING
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
    """One gateway.

    Attributes:
        machine: Its machine.
        control: The product's client of the control processes, made anew at each start.
        settings: Settings in force.
        view: Cluster as last heard of.
        stopping: True once it takes no new requests.
        online: Its online part.
        batch: Its batch part.
    """

    store_type: type[RecordingSettingsStore] = RecordingSettingsStore

    def __init__(
        self,
        machine: Machine,
        board: RpcBoard,
        hubs: list[str],
        history: History,
        generator: random.Random,
    ) -> None:
        self.machine = machine
        self.board = board
        self.history = history
        self.random = generator
        self.online: OnlinePart | None = None
        self.batch: BatchPart | None = None
        self._hubs = hubs
        self._disk = SettingsDisk()
        self.stopping = False

    @property
    def name(self) -> str:
        """Return the gateway's id, which is its machine's name."""
        return self.machine.name

    def start(self) -> None:
        """Start or restart the process."""
        self.machine.start()
        self.stopping = False
        self._incarnation_ms = self.machine.wall_ms()
        rpc = SimulatedRpc(self.machine, self.board)
        fibers = self.board.fibers
        self.control = ControlClient(
            rpc,  # type: ignore[arg-type]
            list(self._hubs),
            self.machine,
            self.random,
            sleep=lambda seconds: fibers.sleep(self.machine, seconds),
        )
        self.counters = GatewayCounters()
        self.view = ClusterView()
        self.settings = self.store_type(self._disk, self._record_version)
        self.outbox = DigestOutbox()
        self.settings.load_copy()
        if self.online is not None:
            self.online.start()
        if self.batch is not None:
            self.batch.start()
        self._start_exchange()

    def stop(self, exited: Callable[[], None]) -> None:
        """Stop as planned: refuse new requests, hand batch back, wait for open ones, then exit."""
        self.stopping = True
        asked_s = self.machine.monotonic_s()

        def drain() -> None:
            self._exchange.exchange_once()
            if self.batch is not None:
                self.batch.stop()
            if self.online is not None:
                self.online.wait_idle()
            exited_s = self.machine.monotonic_s()
            self.history.stops.append(GatewayStop(self.name, asked_s, exited_s))
            self.machine.after(0.0, exit_process)

        def exit_process() -> None:
            self.kill()
            exited()

        self.board.fibers.spawn(self.machine, drain)

    def kill(self) -> None:
        """End the process at once."""
        if self.online is not None:
            self.online.died()
        self.machine.kill()

    def ready(self) -> bool:
        """Return whether requests should be sent here."""
        known = self.settings.current.version > 0 and self.view.snapshot.view_version > 0
        return known and not self.stopping

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

    def lease_ids(self) -> dict[str, list[str]]:
        """Return the leases that the batch part holds."""
        return self.batch.lease_ids() if self.batch is not None else {}

    def revoke(self, lost_lease_ids: list[str], cancelled_jobs: list[str]) -> None:
        """Pass lost leases and cancelled jobs to the batch part."""
        if self.batch is not None:
            self.batch.revoke(lost_lease_ids, cancelled_jobs)

    def _start_exchange(self) -> None:
        self._exchange = ExchangeLoop(
            self.control,
            self.identity,
            self.view,
            self.settings,
            self.outbox,
            self,
            self.counters,
            EXCHANGE_INTERVAL_S,
            self._on_view,
        )
        # Fibers run one at a time, and a held lock would stop them all.
        self._exchange._lock = nullcontext()  # type: ignore[assignment]
        exchange = self._exchange
        fibers = self.board.fibers

        def run() -> None:
            fibers.sleep(self.machine, self.random.random() * 0.2)
            while True:
                exchange.exchange_once()
                fibers.sleep(self.machine, EXCHANGE_INTERVAL_S)

        fibers.spawn(self.machine, run)

    def _on_view(self, snapshot: ClusterSnapshot) -> None:
        owned: list[RunnerState] = []
        if not self.stopping:
            owned = owned_runners(self.name, snapshot.runners.values(), snapshot.gateways.values())
        self.outbox.retain({runner.runner_id for runner in owned})
        if self.online is not None:
            self.online.update(owned)
        if self.batch is not None:
            self.batch.update(owned, self.settings.current, self.job_groups())

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
