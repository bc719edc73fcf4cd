"""The stand-in engine as a process: one HTTP server on one address."""

from __future__ import annotations

import random
import signal
import threading
from pathlib import Path

import cherrypy
import msgspec
import yaml

from testbed.engine.executions import ExecutionLog
from testbed.engine.http_api import EngineApi
from testbed.engine.order_log import OrderLog
from testbed.engine.runtime import EngineRuntime
from testbed.engine.types import EngineConfig

ECHOED_HEADERS = ("X-Request-Id", "X-Attempt")
LISTEN_BACKLOG = 256
APPLICATION_CONFIG = {
    "tools.echo_headers.on": True,
    "tools.response_headers.on": True,
    "tools.response_headers.headers": [("Content-Type", "application/json")],
    # Handlers read the raw body themselves, whatever content type it claims.
    "request.process_request_body": False,
}


class EngineProcessConfig(msgspec.Struct, frozen=True, kw_only=True):
    """Settings file of a stand-in engine.

    Attributes:
        host: IP number to listen on.
        port: Port to listen on.
        engine: Speeds and limits of the model.
        speed: Factor by which the engine is faster than its model.
        threads: Worker threads; each open stream holds one.
        executions_file: Where executions are logged; empty keeps them in memory only.
        orders_file: Where orders are logged; empty logs none.
        seed: Seed of the model's randomness.
    """

    host: str
    port: int
    engine: EngineConfig
    speed: float = 1.0
    threads: int = 160
    executions_file: str = ""
    orders_file: str = ""
    seed: int = 1


def run(config: EngineProcessConfig) -> int:
    """Serve until SIGTERM or SIGINT; returns the exit code."""
    log = ExecutionLog(Path(config.executions_file) if config.executions_file else None)
    orders = OrderLog(Path(config.orders_file) if config.orders_file else None)
    runtime = EngineRuntime(config.engine, config.speed, log, orders, random.Random(config.seed))
    stopping = threading.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: stopping.set())
    runtime.start()
    serve(EngineApi(runtime, log), config.host, config.port, config.threads)
    stopping.wait()
    cherrypy.engine.exit()
    runtime.stop()
    return 0


def run_file(path: Path) -> int:
    """Serve as a settings file says."""
    document = yaml.safe_load(path.read_text(encoding="utf8"))
    return run(msgspec.convert(document, EngineProcessConfig))


def serve(root: object, host: str, port: int, threads: int) -> None:
    """Start CherryPy with ``root`` on one address; returns once it listens."""
    cherrypy.config.update(
        {
            "environment": "embedded",
            "log.screen": False,
            "server.socket_host": host,
            "server.socket_port": port,
            "server.thread_pool": threads,
            "server.socket_queue_size": LISTEN_BACKLOG,
            "server.shutdown_timeout": 1,
            "engine.autoreload.on": False,
            "checker.on": False,
        }
    )
    cherrypy.tree.mount(root, "/", {"/": APPLICATION_CONFIG})
    cherrypy.server.unsubscribe()
    cherrypy.server.subscribe()
    cherrypy.engine.start()


def _echo_headers() -> None:
    for name in ECHOED_HEADERS:
        value = cherrypy.request.headers.get(name)
        if value is not None:
            cherrypy.response.headers[name] = value


cherrypy.tools.echo_headers = cherrypy.Tool("before_handler", _echo_headers)
