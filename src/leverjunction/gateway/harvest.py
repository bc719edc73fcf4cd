"""Connects the gateway to its batch harvester, which runs batch items in idle runner capacity."""

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
from leverjunction.wire.messages import JobAlert, PendingWork, RunnerState


class BatchHarvest:
    """Adapter between the gateway's loops and its batch harvester. Thread-safe.

    Args:
        control: Client of the hubs, for leases and results.
        engines: Client of the engines.
        clock: Source of time.
        config: Configuration of the gateway.
        registry: Registry for the harvester's metrics.
        incarnation: Start time of this process in milliseconds.
        is_in_doubt: Returns whether the gateway's view may be outdated, so that no batch item may
            be started.
        last_pause_end_s: Returns when the last detected pause of this process ended, in seconds.
    """

    def __init__(
        self,
        control: ControlClient,
        engines: EngineClient,
        clock: Clock,
        config: GatewayConfig,
        registry: CollectorRegistry,
        incarnation: int,
        is_in_doubt: Callable[[], bool],
        last_pause_end_s: Callable[[], float],
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
            last_pause_end_s,
        )

    def update(
        self, owned: list[RunnerState], settings: ResolvedSettings, groups: list[str]
    ) -> None:
        """Update the owned runners and the settings in force; called after each exchange.

        Args:
            owned: Runners that this gateway owns.
            settings: The settings in force.
            groups: Names of all job groups.
        """
        region = self._config.region
        serving = {
            runner.service: settings.serving(runner.service, region, runner.zone)
            for runner in owned
        }
        self._harvester.update(owned, serving, groups)

    def observe_load(self, runner_id: str, report: LoadReport) -> None:
        """Pass on the load report of an owned runner."""
        self._harvester.observe_load(runner_id, report)

    def online_arrived(self, runner_id: str) -> None:
        """Report an online request that is about to be sent to an owned runner."""
        self._harvester.online_arrived(runner_id)

    def online_finished(self, runner_id: str) -> None:
        """Report the end of an online request on an owned runner."""
        self._harvester.online_finished(runner_id)

    def notice_arrived(self, runner_id: str) -> None:
        """Report that another gateway has sent online requests to an owned runner."""
        self._harvester.notice_arrived(runner_id)

    def lease_ids(self) -> dict[str, list[str]]:
        """Return the ids of the held leases by job group."""
        return self._harvester.lease_ids()

    def holds_work(self) -> bool:
        """Return whether this gateway holds any batch lease."""
        return self._harvester.stats().leases > 0

    def revoke(self, lost_lease_ids: list[str], cancelled_jobs: list[str]) -> None:
        """Drop leases that are no longer valid and the work of cancelled jobs."""
        self._harvester.revoke(lost_lease_ids, cancelled_jobs)

    def alerted(self, alerts: list[JobAlert]) -> None:
        """Take note of jobs that have lost runners lately."""
        self._harvester.alerted(alerts)

    def update_pending(self, work: list[PendingWork]) -> None:
        """Update the job groups and services that have pending work according to the hub."""
        self._harvester.update_pending(work)

    def stop(self) -> None:
        """Stop the harvester, which returns all leases."""
        self._harvester.stop()
