"""Command line of leverjunction: processes and operators' commands (built on fire).

Every command returns an ``ExitCode``; ``main`` turns it into the process's exit status.
"""

from __future__ import annotations

import sys
from collections.abc import Sequence
from pathlib import Path
from typing import TypeVar

import fire
import yaml
from pydantic import BaseModel

from leverjunction.cli_output import ExitCode, print_failure
from leverjunction.config.control import ControlConfig
from leverjunction.config.gateway import GatewayConfig
from leverjunction.config.load import load_config
from leverjunction.errors import Failure, FailureKind, Step

_SET_FLAG = "--set"

ConfigT = TypeVar("ConfigT", bound=BaseModel)


class Commands:
    """leverjunction serves online and batch inference from one shared fleet."""

    def __init__(self, assignments: Sequence[str] = ()) -> None:
        """Hold the ``--set`` assignments, which may be given more than once."""
        self._assignments = list(assignments)

    def gateway(self, config: str) -> int:
        """Run a gateway until SIGTERM or SIGINT.

        Args:
            config: Settings file of the process. --set KEY=VALUE overrides a key of it.
        """
        loaded = self._load(config, GatewayConfig)
        if isinstance(loaded, Failure):
            return print_failure(loaded, ExitCode.BAD_INPUT)
        from leverjunction.gateway.process import run

        return run(loaded)

    def control(self, config: str) -> int:
        """Run a control process until SIGTERM or SIGINT.

        Args:
            config: Settings file of the process. --set KEY=VALUE overrides a key of it.
        """
        loaded = self._load(config, ControlConfig)
        if isinstance(loaded, Failure):
            return print_failure(loaded, ExitCode.BAD_INPUT)
        from leverjunction.control.process import run

        return run(loaded)

    def _load(self, path: str, config_type: type[ConfigT]) -> ConfigT | Failure:
        overrides = parse_assignments(self._assignments)
        if isinstance(overrides, Failure):
            return overrides
        return load_config(Path(path), config_type, overrides)


def parse_assignments(assignments: Sequence[str]) -> dict[str, object] | Failure:
    """Return values by dotted key from ``KEY=VALUE`` texts; values are read as YAML."""
    overrides: dict[str, object] = {}
    for assignment in assignments:
        key, separator, text = assignment.partition("=")
        if not separator or not key:
            return _bad_flag(f"--set {assignment}: expected KEY=VALUE")
        try:
            overrides[key] = yaml.safe_load(text)
        except yaml.YAMLError:
            return _bad_flag(f"--set {assignment}: the value is not YAML")
    return overrides


def _bad_flag(reason: str) -> Failure:
    return Failure(kind=FailureKind.BAD_REQUEST, reason=reason, step=Step.CONFIGURATION)


def split_assignments(arguments: Sequence[str]) -> tuple[list[str], list[str]]:
    """Take every ``--set KEY=VALUE`` out of the arguments.

    Fire keeps only the last of a flag that is repeated, so these are read here.

    Returns:
        The remaining arguments, and the assignments in their order.
    """
    remaining: list[str] = []
    assignments: list[str] = []
    position = 0
    while position < len(arguments):
        argument = arguments[position]
        if argument == _SET_FLAG:
            assignments.extend(arguments[position + 1 : position + 2] or [""])
            position += 2
            continue
        if argument.startswith(_SET_FLAG + "="):
            assignments.append(argument.removeprefix(_SET_FLAG + "="))
        else:
            remaining.append(argument)
        position += 1
    return remaining, assignments


def main(arguments: Sequence[str] | None = None) -> None:
    """Run the command line and exit with the command's status."""
    given = list(sys.argv[1:] if arguments is None else arguments)
    remaining, assignments = split_assignments(given)
    result = fire.Fire(
        Commands(assignments),
        command=remaining,
        name="leverjunction",
        serialize=lambda _result: None,
    )
    sys.exit(int(result) if isinstance(result, int) else ExitCode.OK)


if __name__ == "__main__":
    main()
