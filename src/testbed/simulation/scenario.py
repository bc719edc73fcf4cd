"""The two users' sizes of today, as the simulator runs them."""

from __future__ import annotations

from dataclasses import dataclass

from testbed.engine.types import EngineConfig

ANSWER_MIN_TOKENS = 4
ANSWER_MAX_TOKENS = 10


@dataclass(frozen=True)
class ServicePlan:
    """A service with its runners.

    Attributes:
        name: Name in the settings tree.
        model: Model that it serves.
        runners: Number of runners, spread over the zones.
        takes_batch: Whether batch jobs are submitted to it.
        interference: Allowed growth of step time by batch.
    """

    name: str
    model: str
    runners: int
    takes_batch: bool
    interference: float


@dataclass(frozen=True)
class Scenario:
    """One user's fleet.

    Attributes:
        name: Name on the command line.
        region: Region of all zones.
        zones: The zones; each has a gateway and a control machine.
        zone_delay_s: One way between two zones.
        services: The services.
        batch_allowed: Batch requests that a back end may hold beside online work.
        extra_gateways: Gateways beyond one a zone.
        heap_interval_s: Time between two heaps of batch jobs.
    """

    name: str
    region: str
    zones: tuple[str, ...]
    zone_delay_s: float
    services: tuple[ServicePlan, ...]
    batch_allowed: int = 2
    extra_gateways: int = 1
    heap_interval_s: float = 10.0

    def engine(self, runner: str, service: ServicePlan) -> EngineConfig:
        """Return an engine's speeds: coarse steps and short answers keep a run cheap."""
        return EngineConfig(
            runner_id=runner,
            models=[service.model],
            base_step_s=0.12,
            per_sequence_s=0.004,
            per_prefill_token_s=0.0004,
            max_running=8,
            max_waiting=32,
            kv_blocks=64,
            answer_min_tokens=ANSWER_MIN_TOKENS,
            answer_max_tokens=ANSWER_MAX_TOKENS,
            load_interval_s=0.2,
            load_lag_s=0.2,
        )

    def first_settings(self) -> dict[str, object]:
        """Return the leaves of the first settings tree."""
        leaves: dict[str, object] = {
            "defaults/serving/max_queue": 32,
            "defaults/serving/queue_timeout_s": 8.0,
            "defaults/serving/max_running_per_runner": 6,
            "defaults/limits/requests_per_s": 200.0,
            "defaults/limits/concurrency": 200,
            "defaults/limits/burst": 100,
            "batch_classes/night/weight": 1.0,
        }
        for zone in self.zones:
            leaves[f"regions/{self.region}/zones/{zone}"] = {}
        for service in self.services:
            root = f"services/{service.name}"
            leaves[f"{root}/serving/interference"] = service.interference
            leaves[f"{root}/models/{service.model}/version"] = "1"
        for tenant in TENANTS:
            leaves[f"tenants/{tenant}/api_key_hashes"] = [tenant * 4]
        return leaves

    def editable(self) -> dict[str, list[object]]:
        """Return the leaves that operators change during a run, with values to choose from."""
        leaves: dict[str, list[object]] = {
            "defaults/serving/max_queue": [16, 24, 32, 48],
            "defaults/serving/queue_timeout_s": [6.0, 8.0, 10.0],
            "defaults/serving/retry_budget_ratio": [0.1, 0.2, 0.3],
            "batch_classes/night/weight": [0.5, 1.0, 2.0],
        }
        for service in self.services:
            root = f"services/{service.name}/serving"
            leaves[f"{root}/interference"] = [service.interference, service.interference * 2]
            leaves[f"{root}/prefix_weight"] = [0.5, 1.0, 2.0]
        for tenant in TENANTS:
            leaves[f"tenants/{tenant}/limits/concurrency"] = [100, 150, 200]
            leaves[f"tenants/{tenant}/limits/burst"] = [100, 200]
        return leaves


TENANTS = ("pesa", "mizigo", "bima")

KILIMO = Scenario(
    name="kilimo",
    region="tanzania-coast",
    zones=("kariakoo", "msasani", "ubungo"),
    zone_delay_s=0.001,
    services=(
        ServicePlan("llm", "trace-summary", 6, takes_batch=True, interference=0.05),
        ServicePlan("issue-api", "issue-search", 3, takes_batch=False, interference=0.0),
    ),
)

HANBIT = Scenario(
    name="hanbit",
    region="seoul",
    zones=("gangnam", "mapo", "guro"),
    zone_delay_s=0.0005,
    services=(
        ServicePlan("conversion", "doc-convert", 9, takes_batch=True, interference=0.5),
        ServicePlan("status-notice", "notice", 3, takes_batch=False, interference=0.0),
    ),
    batch_allowed=7,
)

SCENARIOS = {scenario.name: scenario for scenario in (KILIMO, HANBIT)}
