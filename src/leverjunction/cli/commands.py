"""Top-level commands, built on fire: they start processes or call the operator API.

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
    DeferredCommand,
    command,
    operator_command,
    prepare_arguments,
    run_command,
)
from leverjunction.cli.items import ItemsCommands
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
from leverjunction.errors import Execution, Failure, FailureKind, Step

PACKAGE = "leverjunction"
EXIT_INTERRUPTED = 130
EXIT_BROKEN_PIPE = 141
"""Both codes follow the shell convention of 128 plus the signal number (SIGINT, SIGPIPE)."""

ConfigT = TypeVar("ConfigT", bound=BaseModel)


class Commands:
    """leverjunction serves online and batch inference from one shared fleet.

    Operator commands need --control HOST:PORT[,HOST:PORT] (or the variable
    LEVERJUNCTION_CONTROL) and --token-file FILE (or LEVERJUNCTION_TOKEN_FILE); --json prints data
    as JSON. Data goes to standard output, everything else to standard error.

    Exit codes: 0 success; 1 failed, refused (wrong token or key) or not found; 2 invalid input,
    nothing was sent or changed; 3 conflict, nothing was changed; 4 unreachable, run the command
    again; 5 committed, but not in force at every live gateway before the timeout.
    """

    def __init__(self, *, control: str = "", token_file: str = "", json: bool = False) -> None:
        """Store the options that operator commands share.

        Args:
            control: Addresses of control processes, host:port[,host:port]; default
                LEVERJUNCTION_CONTROL.
            token_file: File with the operator token; default LEVERJUNCTION_TOKEN_FILE.
            json: Print data as JSON.
        """
        self._options = make_options(control, str(token_file), bool(json))
        self.settings = SettingsCommands(self._options)
        self.jobs = JobsCommands(self._options)
        self.suspects = SuspectsCommands(self._options)
        self.items = ItemsCommands(self._options)

    @command
    def gateway(self, config: str, set: str = "") -> int:
        """Run a gateway until SIGTERM or SIGINT.

        Args:
            config: Settings file of the process.
            set: KEY=VALUE that overrides the file, such as listen.http_port=8080; repeatable.
        """
        loaded = _load_process_config(config, GatewayConfig, set)
        if isinstance(loaded, Failure):
            return print_failure(loaded, ExitCode.BAD_INPUT)
        from leverjunction.gateway.process import run

        return run(loaded)

    @command
    def control(self, config: str, set: str = "") -> int:
        """Run a control process until SIGTERM or SIGINT.

        Args:
            config: Settings file of the process.
            set: KEY=VALUE that overrides the file, such as listen.http_port=8080; repeatable.
        """
        loaded = _load_process_config(config, ControlConfig, set)
        if isinstance(loaded, Failure):
            return print_failure(loaded, ExitCode.BAD_INPUT)
        from leverjunction.control.process import run

        return run(loaded)

    @operator_command
    def status(self) -> int:
        """Show an overview of zones, gateways, runners, queues, jobs and the settings in force."""
        return status(self._options)

    @operator_command
    def watch(self, request: str = "", service: str = "") -> int:
        """Stream the decisions of all gateways until interrupted.

        Args:
            request: Only decisions about this request.
            service: Only decisions about this service.
        """
        return watch(self._options, request, service)

    @operator_command
    def why(self, request_id: str) -> int:
        """Show the decisions about one request that the gateways still keep.

        Args:
            request_id: Id that the gateway assigned to the request (X-Request-Id).
        """
        return why(self._options, request_id)


def _load_process_config(
    path: str, config_type: type[ConfigT], assignments: str
) -> ConfigT | Failure:
    overrides = parse_assignments(assignments)
    if isinstance(overrides, Failure):
        return overrides
    return load_config(Path(path), config_type, overrides)


def parse_assignments(assignments: str) -> dict[str, object] | Failure:
    """Parse lines of ``KEY=VALUE`` into values by dotted key; each value is parsed as YAML."""
    overrides: dict[str, object] = {}
    for assignment in assignments.split(SET_SEPARATOR) if assignments else []:
        key, separator, text = assignment.partition("=")
        if not separator or not key:
            return _bad_flag(f"--set {assignment}: expected KEY=VALUE")
        try:
            overrides[key] = yaml.safe_load(text)
        except yaml.YAMLError:
            return _bad_flag(f"--set {assignment}: the value is not valid YAML")
    return overrides


def _bad_flag(reason: str) -> Failure:
    return Failure(
        kind=FailureKind.BAD_REQUEST,
        reason=reason,
        step=Step.CONFIGURATION,
        execution=Execution.NOT_RUN,
    )


def main(arguments: Sequence[str] | None = None) -> None:
    """Run the command line and exit with the command's status."""
    words = sys.argv[1:] if arguments is None else arguments
    if list(words) == ["--version"]:
        from importlib.metadata import version

        print(f"leverjunction {version(PACKAGE)}")
        sys.exit(ExitCode.OK)
    result = fire.Fire(
        Commands,
        command=prepare_arguments(words),
        name="leverjunction",
        serialize=_fire_output,
    )
    sys.exit(_run_to_exit_code(result) if isinstance(result, DeferredCommand) else ExitCode.OK)


def _run_to_exit_code(deferred: DeferredCommand) -> int:
    """Run a command; an interrupt or a closed output pipe ends it without a traceback."""
    try:
        return run_command(deferred)
    except KeyboardInterrupt:
        print_progress("interrupted")
        return EXIT_INTERRUPTED
    except BrokenPipeError:
        # Python flushes standard output again at exit, and that flush must not fail.
        sys.stdout = open(os.devnull, "w")  # noqa: SIM115
        return EXIT_BROKEN_PIPE


def _fire_output(result: object) -> object:
    """Return what fire should print: help for a command group, nothing for a deferred command."""
    return None if isinstance(result, DeferredCommand) else result
