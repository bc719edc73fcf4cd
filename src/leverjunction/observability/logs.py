"""Set-up of loguru for one process."""

from __future__ import annotations

import sys

from loguru import logger

from leverjunction.config.common import LogConfig

TEXT_FORMAT = "{time:YYYY-MM-DDTHH:mm:ss.SSSZ} {level} {extra[process_name]} {message} {extra}"


def setup_logging(config: LogConfig, process_name: str) -> None:
    """Send log lines to standard error, as text or as one JSON object a line.

    Args:
        config: Level and form of the lines.
        process_name: Name of this process, part of every line.
    """
    logger.remove()
    logger.configure(extra={"process_name": process_name})
    logger.add(
        sys.stderr,
        level=config.level,
        format=TEXT_FORMAT,
        serialize=config.json_lines,
        # Variables of stack frames may hold keys or prompts, which never belong in logs.
        diagnose=False,
        backtrace=False,
        enqueue=False,
    )
