"""Command line of the testbed (built on fire)."""

from __future__ import annotations

import sys
from pathlib import Path

import fire

from testbed.delegates import EXIT_BAD_INPUT, is_delegated, run_delegate
from testbed.fleet.commands import FaultCommands, FleetCommands
from testbed.scenarios import UnknownScenarioError


class Commands:
    """testbed runs leverjunction's stand-ins, fleets, faults and experiments.

    Besides the commands below there are, each with its own ``--help``:
    ``simulate``, ``scale``, ``experiment harm|prefix|placement|changes``,
    ``bench relay|consensus|settings|jobs`` and ``load``.
    """

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
    arguments = sys.argv[1:]
    try:
        if is_delegated(arguments):
            sys.exit(run_delegate(arguments))
        result = fire.Fire(Commands(), name="testbed", serialize=lambda _result: None)
    except (UnknownScenarioError, FileNotFoundError) as error:
        sys.exit(_bad_input(str(error)))
    sys.exit(int(result) if isinstance(result, int) else 0)


def _bad_input(reason: str) -> int:
    print(f"testbed: {reason}", file=sys.stderr)
    return EXIT_BAD_INPUT


if __name__ == "__main__":
    main()
