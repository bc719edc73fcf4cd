"""Keeps a fault of what only tells from reaching what works."""

from __future__ import annotations

import functools
from collections.abc import Callable
from typing import ParamSpec

from loguru import logger

from leverjunction.lots import metrics

P = ParamSpec("P")


def suppress_errors(function: Callable[P, None]) -> Callable[P, None]:
    """Have a function that only tells raise nothing: faults are counted, the first is logged."""
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
                logger.exception("{} could not tell", function.__qualname__)

    return wrapper
