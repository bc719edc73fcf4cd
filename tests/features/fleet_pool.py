"""One running fleet that scenarios share, whole again for each."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from pathlib import Path

import pytest
from tests.features.world import WAIT_S
from tests.kept_failures import LOG_SOURCES

from testbed.fleet.fleet import Fleet, FleetError
from testbed.fleet.health import is_whole
from testbed.fleet.plan import FleetOptions
from testbed.scenarios import Scenario, load_scenario

ENGINE_SPEED = 2.0


class FleetPool:
    """The running fleet, which scenarios share; another deployment replaces it.

    Args:
        folders: Makes the run folder of each fleet.
        scenarios: Gives a deployment by its name.
        engine_overrides: Fields of ``EngineConfig`` for all engines.
    """

    def __init__(
        self,
        folders: pytest.TempPathFactory,
        scenarios: Callable[[str], Scenario] = load_scenario,
        engine_overrides: Mapping[str, float | int] | None = None,
    ) -> None:
        self._folders = folders
        self._scenarios = scenarios
        self._options = FleetOptions(
            engine_speed=ENGINE_SPEED, engine_overrides=dict(engine_overrides or {})
        )
        self._fleet: Fleet | None = None
        self._logs: list[Path] = []
        LOG_SOURCES.append(lambda: self._logs)

    def healthy(self, scenario: str) -> Fleet:
        """Return a fleet in which nothing is wrong."""
        if self._fleet is not None and self._fleet.scenario.name != scenario:
            self.stop()
        if self._fleet is None:
            folder = self._folders.mktemp(scenario)
            self._fleet = Fleet(self._scenarios(scenario), self._options, folder)
            self._logs = [process.log_file for process in self._fleet.plan.processes]
            self._fleet.start()
        self.make_whole()
        return self._fleet

    def make_whole(self) -> None:
        """Undo all faults and wait until the fleet has got over them.

        Raises:
            FleetError: It has not; the fleet is stopped, so that the next scenario gets a new one.
        """
        fleet = self._fleet
        assert fleet is not None
        try:
            fleet.recover()
            fleet.wait_for(lambda: is_whole(fleet), "the fleet is whole", lambda: "", WAIT_S)
        except FleetError:
            self.stop()
            raise

    def stop(self) -> None:
        """Stop the fleet."""
        if self._fleet is not None:
            self._fleet.stop()
        self._fleet = None
