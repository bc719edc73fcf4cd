"""Parses untrusted input of other processes into valid values or failures, without raising.

An exception on such input would end a background loop, or fail an unrelated request.
"""

from __future__ import annotations

import math
import re
from typing import Any, TypeVar

import msgspec
from loguru import logger
from prometheus_client import Counter

from leverjunction.clock import steady_s
from leverjunction.errors import Execution, Failure, FailureKind, Step

T = TypeVar("T")

NAME_MOST = 200
"""Maximum length of an id or name, which is stored, sent in headers and written to logs."""

COUNT_MOST = 1_000_000
"""Maximum number of requests that a back end may report.

A higher number is an error and would attract all work to that back end.
"""

TOKENS_MOST = 1_000_000_000

LOG_INTERVAL_S = 10.0
"""Minimum time between two log messages about invalid input of the same kind, in seconds."""

_NAME = re.compile(f"[!-~]{{1,{NAME_MOST}}}")
_ADDRESS = re.compile(r"(?:[A-Za-z0-9._-]{1,200}|\[[0-9A-Fa-f:.]{2,60}\]):([0-9]{1,5})")
_PORTS = 65_536

UNREADABLE = Counter(
    "unreadable_words", "Words of other writers that name nothing to use", ["reader", "reason"]
)
_last_logged_s: dict[tuple[str, str], float] = {}


def read_json(data: bytes, decoder: msgspec.json.Decoder[T]) -> T | Failure:
    """Decode JSON; malformed, too deeply nested or mistyped input gives a failure."""
    try:
        return decoder.decode(data)
    except (msgspec.MsgspecError, RecursionError, UnicodeDecodeError) as error:
        return Failure(
            kind=FailureKind.BAD_REQUEST,
            reason=str(error)[:300],
            step=Step.DECODING,
            execution=Execution.NOT_RUN,
        )


def convert(value: object, to: type[T]) -> T | Failure:
    """Convert a part of a decoded document to a type, or return a failure."""
    try:
        return msgspec.convert(value, to)
    except (msgspec.MsgspecError, RecursionError) as error:
        return Failure(
            kind=FailureKind.BAD_REQUEST,
            reason=str(error)[:300],
            step=Step.DECODING,
            execution=Execution.NOT_RUN,
        )


def finite_number(text: str) -> float | None:
    """Parse a finite number of at least 0; return None for anything else."""
    try:
        value = float(text)
    except ValueError:
        return None
    return value if 0 <= value < math.inf else None


def whole_number(text: str, maximum: int) -> int:
    """Parse a number as an integer from 0 to ``maximum``, capped; return 0 for invalid text."""
    return int(min(maximum, finite_number(text) or 0.0))


def is_name(text: str) -> bool:
    """Return whether a text is a valid id: short, printable ASCII without spaces."""
    return _NAME.fullmatch(text) is not None


def is_address(text: str) -> bool:
    """Return whether a text has the form ``host:port``."""
    match = _ADDRESS.fullmatch(text)
    return match is not None and 0 < int(match[1]) < _PORTS


def note_unreadable(reader: str, writer: str, reason: Any) -> None:
    """Count an ignored invalid message and log a warning, rate-limited per kind.

    Args:
        reader: Kind of the message, such as ``heartbeat``.
        writer: Name of the sender, as far as known.
        reason: Why the message is invalid.
    """
    # Drops the received value, which is arbitrary, to limit the number of label values.
    kind = str(reason).partition(" - at ")[0].partition(",")[0][:60]
    UNREADABLE.labels(reader, kind).inc()
    now_s = steady_s()
    if now_s - _last_logged_s.get((reader, kind), -math.inf) < LOG_INTERVAL_S:
        return
    _last_logged_s[reader, kind] = now_s
    logger.warning("ignored invalid {} from {!r}: {}", reader, writer[:NAME_MOST], reason)


__all__ = [
    "COUNT_MOST",
    "NAME_MOST",
    "TOKENS_MOST",
    "convert",
    "finite_number",
    "is_address",
    "is_name",
    "note_unreadable",
    "read_json",
    "whole_number",
]
