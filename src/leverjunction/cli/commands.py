"""Command line of leverjunction: processes and operators' commands (built on fire).

Every command returns an ``ExitCode``; ``main`` turns it into the process's exit status.
"""

from __future__ import annotations

import os
import sys
from collections.abc import Sequence
from pathlib import Path
from typing import TypeVar

import fire
import yaml
from pydantic import BaseModel

from leverjunction.cli.command import (
    SET_SEPARATOR,
    Deferred,
    command,
    operators_command,
    prepare_arguments,
    run_deferred,
)
from leverjunction.cli.jobs import JobsCommands
from leverjunction.cli.options import make_options
from leverjunction.cli.output import ExitCode, print_failure, print_progress
from leverjunction.cli.settings import SettingsCommands
from leverjunction.cli.status import status
from leverjunction.cli.suspects import SuspectsCommands
from leverjunction.cli.watch import watch, why
from leverjunction.config.control import ControlConfig
from leverjunction.config.gateway import GatewayConfig
from leverjunction.config.load import load_config
from leverjunction.errors import Failure, FailureKind, Step

PACKAGE = "leverjunction"
EXIT_INTERRUPTED = 130
EXIT_READER_GONE = 141
"""Both as a shell gives them for SIGINT and SIGPIPE."""

ConfigT = TypeVar("ConfigT", bound=BaseModel)


class Commands:
    """leverjunction serves online and batch inference from one shared fleet.

    Operators' commands need --control HOST:PORT[,HOST:PORT] (or the variable
    LEVERJUNCTION_CONTROL) and --token-file FILE (or LEVERJUNCTION_TOKEN_FILE); --json prints data
    as JSON. Data goes to standard output, all else to standard error.

    Exit codes: 0 done; 1 failed, refused (wrong token or key) or not found; 2 bad input, nothing
    was sent or changed; 3 conflict, nothing was changed; 4 unreachable, run it again; 5 committed,
    but not in force at every live gateway in time.
    """

    def __init__(self, *, control: str = "", token_file: str = "", json: bool = False) -> None:
        """Hold the options that operators' commands share.

        Args:
            control: Addresses of control processes, host:port[,host:port]; LEVERJUNCTION_CONTROL.
            token_file: File with the operators' token; LEVERJUNCTION_TOKEN_FILE.
            json: Print data as JSON.
        """
        self._options = make_options(control, str(token_file), bool(json))
        self.settings = SettingsCommands(self._options)
        self.jobs = JobsCommands(self._options)
        self.suspects = SuspectsCommands(self._options)

    @command
    def gateway(self, config: str, set: str = "") -> int:
        """Run a gateway until SIGTERM or SIGINT.

        Args:
            config: Settings file of the process.
            set: KEY=VALUE that wins over the file, such as listen.http_port=8080; may be repeated.
        """
        loaded = _load(config, GatewayConfig, set)
        if isinstance(loaded, Failure):
            return print_failure(loaded, ExitCode.BAD_INPUT)
        from leverjunction.gateway.process import run

        return run(loaded)

    @command
    def control(self, config: str, set: str = "") -> int:
        """Run a control process until SIGTERM or SIGINT.

        Args:
            config: Settings file of the process.
            set: KEY=VALUE that wins over the file, such as listen.http_port=8080; may be repeated.
        """
        loaded = _load(config, ControlConfig, set)
        if isinstance(loaded, Failure):
            return print_failure(loaded, ExitCode.BAD_INPUT)
        from leverjunction.control.process import run

        return run(loaded)

    @operators_command
    def status(self) -> int:
        """Show zones, gateways, runners, queues, jobs and the settings in force, at a glance."""
        return status(self._options)

    @operators_command
    def watch(self, request: str = "", service: str = "") -> int:
        """Show decisions of all gateways as they happen, until interrupted.

        Args:
            request: Only decisions about this request.
            service: Only decisions about this service.
        """
        return watch(self._options, request, service)

    @operators_command
    def why(self, request_id: str) -> int:
        """Show every kept decision about a request, of all gateways.

        Args:
            request_id: Id that the gateway gave the request (X-Request-Id).
        """
        return why(self._options, request_id)


def _load(path: str, config_type: type[ConfigT], assignments: str) -> ConfigT | Failure:
    overrides = parse_assignments(assignments)
    if isinstance(overrides, Failure):
        return overrides
    return load_config(Path(path), config_type, overrides)


def parse_assignments(assignments: str) -> dict[str, object] | Failure:
    """Return values by dotted key from lines of ``KEY=VALUE``; values are read as YAML."""
    overrides: dict[str, object] = {}
    for assignment in assignments.split(SET_SEPARATOR) if assignments else []:
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


def main(arguments: Sequence[str] | None = None) -> None:
    """Run the command line and exit with the command's status."""
    given = sys.argv[1:] if arguments is None else arguments
    if list(given) == ["--version"]:
        from importlib.metadata import version

        print(f"leverjunction {version(PACKAGE)}")
        sys.exit(ExitCode.OK)
    result = fire.Fire(
        Commands,
        command=prepare_arguments(given),
        name="leverjunction",
        serialize=_shown,
    )
    sys.exit(_run(result) if isinstance(result, Deferred) else ExitCode.OK)


def _run(deferred: Deferred) -> int:
    """Run a command; one that is interrupted, or whose reader has gone, ends without a trace."""
    try:
        return run_deferred(deferred)
    except KeyboardInterrupt:
        print_progress("interrupted")
        return EXIT_INTERRUPTED
    except BrokenPipeError:
        # Python flushes standard output once more at exit, which must not fail again.
        sys.stdout = open(os.devnull, "w")  # noqa: SIM115
        return EXIT_READER_GONE


def _shown(result: object) -> object:
    """Return what fire prints: help for a group of commands, nothing for a command."""
    return None if isinstance(result, Deferred) else result
