"""Terms of a job that come from headers and settings: its deadline and whether it may repeat."""

from __future__ import annotations

import re

import cherrypy
import msgspec

from leverjunction.api.batches_support import BatchContext, bad_request
from leverjunction.batch.job_rows import MS_PER_S, WEIGHT_ONE_MILLI
from leverjunction.errors import Failure

DEFAULT_BATCH_CLASS = "default"
MAX_WINDOW_S = 30 * 24 * 3600
_UNIT_S = {"s": 1, "m": 60, "h": 3600, "d": 86_400}
_WINDOW = re.compile(r"(\d{1,9})([smhd])")


def may_repeat() -> bool:
    """Return False when the caller marked the items as running at most once."""
    return str(cherrypy.request.headers.get("X-Repeat", "")).lower() != "never"


class JobTerms(msgspec.Struct, frozen=True, kw_only=True):
    """What a job's class and window mean.

    Attributes:
        deadline_ms: Wall-clock time after which pending items expire.
        weight_milli: Thousandths of the class's weight.
        retention_ms: How long results are kept after the job's end.
    """

    deadline_ms: int
    weight_milli: int
    retention_ms: int


def job_terms(context: BatchContext, batch_class: str, window: str) -> JobTerms | Failure:
    """Return the terms of a job that is submitted now.

    Args:
        context: Gives the clock and the settings.
        batch_class: Class that the caller named; empty for the default class.
        window: Completion window such as ``24h``; empty for the class's own.
    """
    settings = context.settings()
    known = settings.names("batch_classes")
    if batch_class and batch_class not in (DEFAULT_BATCH_CLASS, *known):
        named = ", ".join(sorted({DEFAULT_BATCH_CLASS, *known}))
        return bad_request(f"no batch class {batch_class!r}; known: {named}")
    resolved = settings.batch_class(batch_class or DEFAULT_BATCH_CLASS)
    window_s = resolved.deadline_s
    if window:
        match = _WINDOW.fullmatch(window)
        if match is None or int(match[1]) == 0:
            return bad_request(f"completion_window {window!r}; want a number and s, m, h or d")
        window_s = int(match[1]) * _UNIT_S[match[2]]
    return JobTerms(
        deadline_ms=context.clock.wall_ms() + int(min(window_s, MAX_WINDOW_S) * MS_PER_S),
        weight_milli=round(resolved.weight * WEIGHT_ONE_MILLI),
        retention_ms=max(1, round(resolved.results_retention_s * MS_PER_S)),
    )
