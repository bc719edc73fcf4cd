"""Entry point of the control process."""

from __future__ import annotations

import signal
import threading

from loguru import logger
from prometheus_client import REGISTRY

from leverjunction.allocator import return_large_buffers
from leverjunction.clock import SystemClock
from leverjunction.config.control import ControlConfig
from leverjunction.control.node import ControlNode
from leverjunction.observability.logs import setup_logging

EXIT_STOPPED = 0
EXIT_CANNOT_START = 1


def run(config: ControlConfig) -> int:
    """Run a control process until SIGTERM or SIGINT, then shut it down cleanly.

    Returns:
        The exit status: 0 after a clean shutdown, 1 if the process cannot start.
    """
    return_large_buffers()
    setup_logging(config.log, config.name)
    stop_requested = threading.Event()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(signal_number, lambda _number, _frame: stop_requested.set())
    try:
        node = ControlNode(config, SystemClock(), REGISTRY)
        node.start()
    except OSError as error:
        logger.error("cannot start: {}", error)
        return EXIT_CANNOT_START
    stop_requested.wait()
    node.stop()
    return EXIT_STOPPED
