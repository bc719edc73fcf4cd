"""The gateway's side of batch work: owns the harvester and feeds it."""

from __future__ import annotations

import random
from collections.abc import Callable

from prometheus_client import CollectorRegistry

from leverjunction.backends.client import EngineClient
from leverjunction.backends.types import LoadReport
from leverjunction.batch.harvester import Harvester
from leverjunction.clock import Clock
from leverjunction.config.gateway import GatewayConfig
from leverjunction.settings.resolved import ResolvedSettings
from leverjunction.wire.control_client import ControlClient
from leverjunction.wire.messages import PendingWork, RunnerState


class BatchHarvest:
    """Adapter between the gateway's loops and the harvester. Thread-safe."""

    def __init__(
        self,
        control: ControlClient,
        engines: EngineClient,
        clock: Clock,
        config: GatewayConfig,
        registry: CollectorRegistry,
        incarnation: int,
        is_in_doubt: Callable[[], bool],
    ) -> None:
        self._config = config
        self._harvester = Harvester(
            control,
            engines,
            clock,
            random.Random(),
            config.name,
            registry,
            incarnation,
            is_in_doubt,
        )

    def update(
        self, owned: list[RunnerState], settings: ResolvedSettings, groups: list[str]
    ) -> None:
        """Take the owned runners and the settings in force; called after each exchange."""
        region = self._config.region
        serving = {
            runner.service: settings.serving(runner.service, region, runner.zone)
            for runner in owned
        }
        self._harvester.update(owned, serving, groups)

    def observe_load(self, runner_id: str, report: LoadReport) -> None:
        """Take an owned runner's load report."""
        self._harvester.observe_load(runner_id, report)

    def online_arrived(self, runner_id: str) -> None:
        """Online work is about to reach an owned runner."""
        self._harvester.online_arrived(runner_id)

    def online_finished(self, runner_id: str) -> None:
        """An online request on an owned runner has ended."""
        self._harvester.online_finished(runner_id)

    def notice_arrived(self, runner_id: str) -> None:
        """Another gateway has sent online work to an owned runner."""
        self._harvester.notice_arrived(runner_id)

    def lease_ids(self) -> dict[str, list[str]]:
        """Return the leases held, by job group."""
        return self._harvester.lease_ids()

    def holds_work(self) -> bool:
        """Return whether any batch lease is held."""
        return self._harvester.stats().leases > 0

    def revoke(self, lost_lease_ids: list[str], cancelled_jobs: list[str]) -> None:
        """Drop lost leases and the work of cancelled jobs."""
        self._harvester.revoke(lost_lease_ids, cancelled_jobs)

    def update_pending(self, work: list[PendingWork]) -> None:
        """Take the hub's word of where work is pending."""
        self._harvester.pending_told(work)

    def stop(self) -> None:
        """Hand all leases back."""
        self._harvester.stop()
