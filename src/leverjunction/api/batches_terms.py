"""Reads the terms of a job from headers and settings, such as its deadline and repeatability."""

from __future__ import annotations

import re

import cherrypy
import msgspec

from leverjunction.api.batches_support import BatchContext, bad_request
from leverjunction.batch.job_rows import MS_PER_S, WEIGHT_ONE_MILLI
from leverjunction.errors import Failure

DEFAULT_BATCH_CLASS = "default"
MAX_WINDOW_S = 30 * 24 * 3600
_SECONDS_BY_UNIT = {"s": 1, "m": 60, "h": 3600, "d": 86_400}
_WINDOW = re.compile(r"(\d{1,9})([smhd])")


def may_repeat() -> bool:
    """Return False when the ``X-Repeat`` header says that items must run at most once."""
    return str(cherrypy.request.headers.get("X-Repeat", "")).lower() != "never"


class JobTerms(msgspec.Struct, frozen=True, kw_only=True):
    """Terms of a job, resolved from its batch class and completion window.

    Attributes:
        deadline_ms: Wall-clock time after which pending items expire, in milliseconds.
        weight_milli: Weight of the batch class, in thousandths.
        retention_ms: How long results are kept after the job's end, in milliseconds.
    """

    deadline_ms: int
    weight_milli: int
    retention_ms: int


def job_terms(context: BatchContext, batch_class: str, window: str) -> JobTerms | Failure:
    """Return the terms of a job that is submitted now, or a Failure of kind BAD_REQUEST.

    Args:
        context: Provides the clock and the settings.
        batch_class: Batch class that the caller requested; empty for the default class.
        window: Completion window such as ``24h``; empty for the deadline of the batch class.
    """
    settings = context.settings()
    class_names = settings.names("batch_classes")
    if batch_class and batch_class not in (DEFAULT_BATCH_CLASS, *class_names):
        choices = ", ".join(sorted({DEFAULT_BATCH_CLASS, *class_names}))
        return bad_request(f"unknown batch class {batch_class!r}; known: {choices}")
    resolved = settings.batch_class(batch_class or DEFAULT_BATCH_CLASS)
    window_s = resolved.deadline_s
    if window:
        match = _WINDOW.fullmatch(window)
        if match is None or int(match[1]) == 0:
            return bad_request(f"completion_window {window!r}; expected a number and s, m, h or d")
        window_s = int(match[1]) * _SECONDS_BY_UNIT[match[2]]
    return JobTerms(
        deadline_ms=context.clock.wall_ms() + int(min(window_s, MAX_WINDOW_S) * MS_PER_S),
        weight_milli=round(resolved.weight * WEIGHT_ONE_MILLI),
        retention_ms=max(1, round(resolved.results_retention_s * MS_PER_S)),
    )
