"""The two deployments of the brief as data: zones, delays, services with their runners."""

from __future__ import annotations

from pathlib import Path

import msgspec
import yaml

SCENARIO_NAMES = ("kilimo", "hanbit")

_FOLDER = Path(__file__).parent
_REPOSITORY = _FOLDER.parents[2]


class UnknownScenarioError(ValueError):
    """There is no scenario of the name that was asked for."""


class ServiceScenario(msgspec.Struct, frozen=True, kw_only=True):
    """One service: how many runners it has and how fast they are.

    Attributes:
        runners: Number of runners, spread over the zones in turn.
        models: Models that each has loaded at the start.
        engine: Fields of ``EngineConfig`` that differ from its defaults.
    """

    runners: int
    models: list[str]
    engine: dict[str, float | int] = {}


class Scenario(msgspec.Struct, frozen=True, kw_only=True):
    """One deployment.

    Attributes:
        name: Name of the scenario.
        region: Region of its zones in the settings tree.
        zones: Zones; each has one control process and one gateway.
        zone_delay_ms: One-way delay between two zones.
        client_delay_ms: One-way delay between callers and gateways.
        online_key: Demo API key of the tenant with online traffic.
        batch_key: Demo API key of the tenant with batch jobs.
        online_service: Service that online requests call.
        batch_service: Service that batch jobs call.
        services: Services by name.
    """

    name: str
    region: str
    zones: list[str]
    zone_delay_ms: float
    client_delay_ms: float
    online_key: str
    batch_key: str
    online_service: str
    batch_service: str
    services: dict[str, ServiceScenario]

    def settings_folder(self) -> Path:
        """Return the folder of the scenario's settings tree."""
        return _REPOSITORY / "examples" / self.name / "settings"

    def online_model(self) -> str:
        """Return the model that online requests ask for."""
        return self.services[self.online_service].models[0]

    def batch_model(self) -> str:
        """Return the model that batch items ask for."""
        return self.services[self.batch_service].models[0]


def load_scenario(name: str) -> Scenario:
    """Read a scenario by name.

    Raises:
        UnknownScenarioError: There is no scenario of that name.
    """
    if name not in SCENARIO_NAMES:
        raise UnknownScenarioError(f"no scenario {name!r}; there are {', '.join(SCENARIO_NAMES)}")
    document = yaml.safe_load((_FOLDER / f"{name}.yaml").read_text(encoding="utf8"))
    return msgspec.convert(document, Scenario)
