"""The gateway's side of batch work: owns the harvester and feeds it."""

from __future__ import annotations

from leverjunction.backends.client import EngineClient
from leverjunction.backends.types import LoadReport
from leverjunction.clock import Clock
from leverjunction.config.gateway import GatewayConfig
from leverjunction.settings.resolved import ResolvedSettings
from leverjunction.wire.control_client import ControlClient
from leverjunction.wire.messages import RunnerState


class BatchHarvest:
    """Adapter between the gateway's loops and the harvester. Thread-safe."""

    def __init__(
        self, control: ControlClient, engines: EngineClient, clock: Clock, config: GatewayConfig
    ) -> None:
        self._config = config

    def update(
        self, owned: list[RunnerState], settings: ResolvedSettings, groups: list[str]
    ) -> None:
        """Take the owned runners and the settings in force; called after each exchange."""

    def observe_load(self, runner_id: str, report: LoadReport) -> None:
        """Take an owned runner's load report."""

    def online_arrived(self, runner_id: str) -> None:
        """Online work is about to reach an owned runner."""

    def online_finished(self, runner_id: str) -> None:
        """An online request on an owned runner has ended."""

    def lease_ids(self) -> dict[str, list[str]]:
        """Return the leases held, by job group."""
        return {}

    def revoke(self, lost_lease_ids: list[str], cancelled_jobs: list[str]) -> None:
        """Drop lost leases and the work of cancelled jobs."""

    def stop(self) -> None:
        """Hand all leases back."""
