"""Runs a process of one role (gateway, control or store) from the platform's settings file.

Only what reads the settings is imported here. A role imports its own code, after a gateway has
opened its port for callers.
"""

from __future__ import annotations

import os
import signal
import sys
import threading
from collections.abc import Callable, Sequence
from pathlib import Path
from random import Random
from typing import NoReturn

from leverjunction.allocator import return_large_buffers
from leverjunction.config.machine import MachineConfig, load_machine_config
from leverjunction.errors import Failure
from leverjunction.listener import STOP_SIGNALS, open_listener
from leverjunction.loading import loading_code
from leverjunction.stop_request import StopRequest

SETTINGS_VARIABLE = "LEVERJUNCTION_SETTINGS"
EXIT_STOPPED = 0
EXIT_CANNOT_START = 1
EXIT_USAGE = 2
EXIT_FATAL_ERROR = 3
FATAL_ERROR_POLL_S = 0.5
EXIT_PAUSE_S = 1.0
"""Pause before the process exits because of an error.

The supervisor restarts it at once, and a disk that refuses writes does so for seconds.
"""

CONTROL_THREADS = 24
CONTROL_BACKLOG = 512
CONTROL_IDLE_TIMEOUT_S = 10
CONTROL_KEEP_ALIVE_CONNECTIONS = 512

Role = Callable[[MachineConfig, float], int]
"""Runs a role to its end and returns the exit status.

The arguments are the settings and the start time of the process in monotonic seconds.
"""

_ROLES: dict[str, Role] = {}


def _register_role(name: str) -> Callable[[Role], Role]:
    def register(role: Role) -> Role:
        _ROLES[name] = role
        return role

    return register


def main(arguments: Sequence[str], started_s: float) -> int:
    """Run a role until the process is asked to stop; return the exit status.

    Args:
        arguments: Command-line arguments: the name of the role.
        started_s: Start time of the process in monotonic seconds.
    """
    if len(arguments) != 1 or arguments[0] not in _ROLES:
        print(f"usage: start.py {'|'.join(_ROLES)}", file=sys.stderr)
        return EXIT_USAGE
    path = os.environ.get(SETTINGS_VARIABLE, "")
    if not path:
        print(f"set {SETTINGS_VARIABLE} to the path of the settings file", file=sys.stderr)
        return EXIT_USAGE
    config = load_machine_config(Path(path))
    if isinstance(config, Failure):
        print(config.reason, file=sys.stderr)
        return EXIT_CANNOT_START
    return_large_buffers()
    try:
        return _ROLES[arguments[0]](config, started_s)
    except Exception:
        from loguru import logger

        logger.exception("role {} exits because of an unhandled exception", arguments[0])
        return EXIT_FATAL_ERROR


def _start_logging() -> None:
    from loguru import logger

    logger.remove()
    logger.add(sys.stdout, level="INFO", format="{time:HH:mm:ss.SSS} {level} {message}")


def exit_process(status: int) -> NoReturn:
    """Exit at once without waiting for threads.

    A regular exit waits for the threads that serve a port: a process that had failed to start
    continued to answer its peers without a replica.
    """
    sys.stdout.flush()
    sys.stderr.flush()
    os._exit(status)


@_register_role("gateway")
def _gateway(config: MachineConfig, _started_s: float) -> int:
    # A stop request waits until the node handles it: callers may be in the listener's queue.
    stop_request = StopRequest()
    stop_request.listen()
    listener = open_listener(config.listen.callers)
    with loading_code():
        import asyncio

        from leverjunction.platform.gateway_calls import READY_PATH, make_gateway_calls
        from leverjunction.platform.headers import PlatformDialect
        from leverjunction.proxy.process import ProxyNode
        from leverjunction.steady_loop import SteadyLoop

        _start_logging()

    async def run() -> None:
        node = ProxyNode(
            config, PlatformDialect(), READY_PATH, make_gateway_calls, listener, stop_request
        )
        await node.run()

    with asyncio.Runner(loop_factory=SteadyLoop) as runner:
        runner.run(run())
    return EXIT_STOPPED


@_register_role("control")
def _control(config: MachineConfig, started_s: float) -> int:
    with loading_code():
        from leverjunction.clock import SystemClock
        from leverjunction.platform.control_calls import MAX_BODY_BYTES, ControlCalls
        from leverjunction.registry.node import RegistryNode
        from leverjunction.wire.http_thread import HttpServer, HttpServerOptions

        _start_logging()

    node = RegistryNode(config, SystemClock(), _random(config), started_s)
    host, _, port = config.listen.control.rpartition(":")
    server = HttpServer(
        host,
        int(port),
        ControlCalls(node),
        HttpServerOptions(
            name="control-calls",
            server_name="leverjunction",
            threads=CONTROL_THREADS,
            backlog=CONTROL_BACKLOG,
            idle_timeout_s=CONTROL_IDLE_TIMEOUT_S,
            keep_alive_connections=CONTROL_KEEP_ALIVE_CONNECTIONS,
            max_body_bytes=MAX_BODY_BYTES,
        ),
    )
    stop_requested = _stop_event()
    failure = node.start()
    if failure is not None:
        return _report_start_failure(failure, stop_requested)
    _serve_metrics(config)
    server.start()
    failure = _wait_for_stop(stop_requested, node.fault)
    server.stop()
    node.stop()
    return EXIT_STOPPED if failure is None else EXIT_FATAL_ERROR


@_register_role("store")
def _store(config: MachineConfig, started_s: float) -> int:
    with loading_code():
        from leverjunction.clock import SystemClock
        from leverjunction.lots.node import LotsNode
        from leverjunction.platform.headers import PlatformDialect

        _start_logging()

    node = LotsNode(config, PlatformDialect(), SystemClock(), _random(config), started_s)
    stop_requested = _stop_event()
    failure = node.start()
    if failure is not None:
        return _report_start_failure(failure, stop_requested)
    _serve_metrics(config)
    failure = _wait_for_stop(stop_requested, node.fault)
    node.stop()
    return EXIT_STOPPED if failure is None else EXIT_FATAL_ERROR


def _serve_metrics(config: MachineConfig) -> None:
    if config.metrics_port:
        from prometheus_client import start_http_server

        start_http_server(config.metrics_port, config.listen.rpc.rpartition(":")[0])


def _random(config: MachineConfig) -> Random:
    """Return a random generator with a different seed after each start of the process.

    Replica ids are drawn from it. The seed includes the time, in case the machine's entropy source
    returns the same bytes again.
    """
    from leverjunction.clock import SystemClock

    return Random(f"{config.name} {SystemClock().wall_ms()} {os.urandom(16).hex()}")


def _report_start_failure(failure: Failure, stop_requested: threading.Event) -> int:
    """Log why a role cannot start, and pause because the supervisor may restart it at once."""
    from loguru import logger

    logger.error("cannot start: {}", failure.reason)
    stop_requested.wait(EXIT_PAUSE_S)
    return EXIT_CANNOT_START


def _wait_for_stop(
    stop_requested: threading.Event, failure: Callable[[], Failure | None]
) -> Failure | None:
    """Wait for a stop request; return early with a failure that requires a restart."""
    from loguru import logger

    while not stop_requested.wait(FATAL_ERROR_POLL_S):
        found = failure()
        if found is not None:
            logger.error("exiting to be restarted: {}", found.reason)
            stop_requested.wait(EXIT_PAUSE_S)
            return found
    return None


def _stop_event() -> threading.Event:
    stop_requested = threading.Event()
    for number in STOP_SIGNALS:
        signal.signal(number, lambda _number, _frame: stop_requested.set())
    signal.signal(signal.SIGHUP, lambda _number, _frame: None)
    return stop_requested
