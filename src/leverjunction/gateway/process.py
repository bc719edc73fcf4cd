"""Entry point of the gateway process."""

from __future__ import annotations

import signal
import threading

from loguru import logger

from leverjunction.config.gateway import GatewayConfig
from leverjunction.gateway.runtime import GatewayRuntime
from leverjunction.observability.logs import setup_logging


def run(config: GatewayConfig) -> int:
    """Run a gateway until SIGTERM or SIGINT, then drain and stop it.

    Args:
        config: Configuration of the gateway.

    Returns:
        Exit status: 0 after a complete drain; 1 if requests were still open after
        ``drain_timeout_s`` or if the gateway could not start.
    """
    setup_logging(config.log, config.name)
    stop_requested = threading.Event()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(signal_number, lambda _number, _frame: stop_requested.set())
    try:
        runtime = GatewayRuntime(config)
        runtime.start()
    except OSError as error:
        logger.error("cannot start the gateway: {}", error)
        return 1
    stop_requested.wait()
    drained = runtime.drain()
    runtime.stop()
    return 0 if drained else 1
