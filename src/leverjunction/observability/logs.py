"""Configures loguru for a process."""

from __future__ import annotations

import sys

from loguru import logger

from leverjunction.config.common import LogConfig

TEXT_FORMAT = "{time:YYYY-MM-DDTHH:mm:ss.SSSZ} {level} {extra[process_name]} {message} {extra}"


def setup_logging(config: LogConfig, process_name: str) -> None:
    """Send log messages to standard error, as text or as one JSON object per line.

    Args:
        config: Log level and format.
        process_name: Name of this process, included in every message.
    """
    logger.remove()
    logger.configure(extra={"process_name": process_name})
    logger.add(
        sys.stderr,
        level=config.level,
        format=TEXT_FORMAT,
        serialize=config.json_lines,
        # Local variables in stack traces may hold API keys or prompts, which must not be logged.
        diagnose=False,
        backtrace=False,
        enqueue=False,
    )
