"""Terms of a job that come from headers and settings: its deadline and whether it may repeat."""

from __future__ import annotations

import re

import cherrypy

from leverjunction.api.batches_support import BatchContext, bad_request
from leverjunction.errors import Failure

DEFAULT_BATCH_CLASS = "default"
MAX_WINDOW_S = 30 * 24 * 3600
_UNIT_S = {"s": 1, "m": 60, "h": 3600, "d": 86_400}
_WINDOW = re.compile(r"(\d{1,9})([smhd])")


def may_repeat() -> bool:
    """Return False when the caller marked the items as running at most once."""
    return str(cherrypy.request.headers.get("X-Repeat", "")).lower() != "never"


def deadline_ms(context: BatchContext, batch_class: str, window: str) -> int | Failure:
    """Return the deadline of a job that is submitted now, in wall-clock milliseconds.

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
    window_s = settings.batch_class(batch_class or DEFAULT_BATCH_CLASS).deadline_s
    if window:
        match = _WINDOW.fullmatch(window)
        if match is None or int(match[1]) == 0:
            return bad_request(f"completion_window {window!r}; want a number and s, m, h or d")
        window_s = int(match[1]) * _UNIT_S[match[2]]
    return context.clock.wall_ms() + int(min(window_s, MAX_WINDOW_S) * 1000)
