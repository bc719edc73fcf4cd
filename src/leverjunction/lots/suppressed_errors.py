"""Keeps errors of monitoring code from affecting the code that it monitors."""

from __future__ import annotations

import functools
from collections.abc import Callable
from typing import ParamSpec

from loguru import logger

from leverjunction.lots import metrics

P = ParamSpec("P")


def suppress_errors(function: Callable[P, None]) -> Callable[P, None]:
    """Make a monitoring function raise nothing: errors are counted, and the first one is logged."""
    faults = 0

    @functools.wraps(function)
    def wrapper(*args: P.args, **kwargs: P.kwargs) -> None:
        nonlocal faults
        try:
            function(*args, **kwargs)
        except Exception:
            faults += 1
            metrics.SIGHT_FAULTS.inc()
            if faults == 1:
                logger.exception("{} failed; its errors are suppressed", function.__qualname__)

    return wrapper
