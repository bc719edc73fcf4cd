"""Starts the processes of the users' platform from their settings file."""

from __future__ import annotations

import os
import signal
import sys
import threading
from collections.abc import Callable, Sequence
from pathlib import Path
from random import Random
from typing import NoReturn

from loguru import logger
from prometheus_client import start_http_server

from leverjunction.allocator import return_large_buffers
from leverjunction.clock import SteadyLoop, SystemClock
from leverjunction.config.machine import MachineConfig, load_machine_config
from leverjunction.errors import Failure

SETTINGS_VARIABLE = "LEVERJUNCTION_SETTINGS"
EXIT_STOPPED = 0
EXIT_CANNOT_START = 1
EXIT_USAGE = 2
EXIT_FAULT = 3
FAULT_POLL_S = 0.5
FAULT_PAUSE_S = 1.0
"""Before an end by itself, also in the start: a disk that refuses writes does so for seconds."""

CONTROL_THREADS = 24
CONTROL_BACKLOG = 512
CONTROL_IDLE_TIMEOUT_S = 10
CONTROL_KEPT_CONNECTIONS = 512

Role = Callable[[MachineConfig, float], int]
"""Takes the settings and when the process started, in monotonic seconds."""

_ROLES: dict[str, Role] = {}


def _role(name: str) -> Callable[[Role], Role]:
    def register(role: Role) -> Role:
        _ROLES[name] = role
        return role

    return register


def main(arguments: Sequence[str], started_s: float) -> int:
    """Run a role until it is asked to stop; returns the exit status.

    Args:
        arguments: The role's name.
        started_s: When the process started, in monotonic seconds.
    """
    if len(arguments) != 1 or arguments[0] not in _ROLES:
        print(f"usage: start.py {'|'.join(_ROLES)}", file=sys.stderr)
        return EXIT_USAGE
    path = os.environ.get(SETTINGS_VARIABLE, "")
    if not path:
        print(f"the variable {SETTINGS_VARIABLE} must name the settings file", file=sys.stderr)
        return EXIT_USAGE
    config = load_machine_config(Path(path))
    if isinstance(config, Failure):
        print(config.reason, file=sys.stderr)
        return EXIT_CANNOT_START
    return_large_buffers()
    logger.remove()
    logger.add(sys.stdout, level="INFO", format="{time:HH:mm:ss.SSS} {level} {message}")
    try:
        return _ROLES[arguments[0]](config, started_s)
    except Exception:
        logger.exception("role {} ends", arguments[0])
        return EXIT_FAULT


def end(status: int) -> NoReturn:
    """End the process, whatever threads are left.

    The interpreter waits for those that serve a port: a process whose start had failed went on
    answering its peers, without a replica.
    """
    sys.stdout.flush()
    sys.stderr.flush()
    os._exit(status)


@_role("gateway")
def _gateway(config: MachineConfig, _started_s: float) -> int:
    import asyncio

    from leverjunction.platform.gateway_calls import READY_PATH, make_gateway_calls
    from leverjunction.platform.headers import PlatformDialect
    from leverjunction.proxy.process import ProxyNode

    async def run() -> None:
        node = ProxyNode(config, PlatformDialect(), READY_PATH, make_gateway_calls)
        await node.run()

    with asyncio.Runner(loop_factory=SteadyLoop) as runner:
        runner.run(run())
    return EXIT_STOPPED


@_role("control")
def _control(config: MachineConfig, started_s: float) -> int:
    from leverjunction.platform.control_calls import ControlCalls
    from leverjunction.registry.node import RegistryNode
    from leverjunction.wire.http_thread import HttpServer, HttpServerOptions

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
            keep_alive_connections=CONTROL_KEPT_CONNECTIONS,
        ),
    )
    stop_asked = _stop_event()
    fault = node.start()
    if fault is not None:
        return _not_started(fault, stop_asked)
    _serve_figures(config)
    server.start()
    fault = _wait(stop_asked, node.fault)
    server.stop()
    node.stop()
    return EXIT_STOPPED if fault is None else EXIT_FAULT


@_role("store")
def _store(config: MachineConfig, started_s: float) -> int:
    from leverjunction.lots.node import LotsNode
    from leverjunction.platform.headers import PlatformDialect

    node = LotsNode(config, PlatformDialect(), SystemClock(), _random(config), started_s)
    stop_asked = _stop_event()
    fault = node.start()
    if fault is not None:
        return _not_started(fault, stop_asked)
    _serve_figures(config)
    fault = _wait(stop_asked, node.fault)
    node.stop()
    return EXIT_STOPPED if fault is None else EXIT_FAULT


def _serve_figures(config: MachineConfig) -> None:
    if config.metrics_port:
        start_http_server(config.metrics_port, config.listen.rpc.rpartition(":")[0])


def _random(config: MachineConfig) -> Random:
    """Return a generator that differs from that of the process's last life, whatever the machine's
    own source of randomness gives: replica ids are drawn from it.
    """
    return Random(f"{config.name} {SystemClock().wall_ms()} {os.urandom(16).hex()}")


def _not_started(fault: Failure, stop_asked: threading.Event) -> int:
    """Say why a role does not start, and pause: its supervisor may start it again at once."""
    logger.error("cannot start: {}", fault.reason)
    stop_asked.wait(FAULT_PAUSE_S)
    return EXIT_CANNOT_START


def _wait(stop_asked: threading.Event, fault: Callable[[], Failure | None]) -> Failure | None:
    """Wait for a stop; return early with a fault that only another start can mend."""
    while not stop_asked.wait(FAULT_POLL_S):
        found = fault()
        if found is not None:
            logger.error("ending, to start anew: {}", found.reason)
            stop_asked.wait(FAULT_PAUSE_S)
            return found
    return None


def _stop_event() -> threading.Event:
    stop_asked = threading.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda _number, _frame: stop_asked.set())
    signal.signal(signal.SIGHUP, lambda _number, _frame: None)
    return stop_asked
