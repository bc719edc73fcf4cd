"""Command line of the testbed (built on fire)."""

from __future__ import annotations

import sys
from pathlib import Path

import fire

from testbed.fleet.commands import FaultCommands, FleetCommands


class Commands:
    """testbed runs leverjunction's stand-ins, fleets, faults and experiments."""

    def __init__(self) -> None:
        self.fleet = FleetCommands()
        self.faults = FaultCommands()

    def engine(self, config: str) -> int:
        """Run a stand-in model engine until SIGTERM."""
        from testbed.engine.process import run_file

        return run_file(Path(config))

    def network(self, config: str) -> int:
        """Run the stand-in network until SIGTERM."""
        from testbed.fleet.network import run_file

        return run_file(Path(config))

    def machines(self, config: str) -> int:
        """Run the stand-in machine list until SIGTERM."""
        from testbed.fleet.machine_list import run_file

        return run_file(Path(config))

    def demo(self, scenario: str = "kilimo") -> int:
        """Show the whole path on a fleet of real processes; exit 1 if anything is wrong."""
        from testbed.demo import run

        return run(scenario)


def main() -> None:
    """Run the command line and exit with the command's status."""
    result = fire.Fire(Commands(), name="testbed", serialize=lambda _result: None)
    sys.exit(int(result) if isinstance(result, int) else 0)


if __name__ == "__main__":
    main()
