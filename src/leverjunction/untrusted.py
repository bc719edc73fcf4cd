"""Reads what other writers send: whatever it is, the result is a value in its bounds or a failure.

An error that is raised here would end a loop, or a request of somebody else.
"""

from __future__ import annotations

import math
import re
from typing import Any, TypeVar

import msgspec
from loguru import logger
from prometheus_client import Counter

from leverjunction.clock import steady_s
from leverjunction.errors import Failure, FailureKind, Step

T = TypeVar("T")

NAME_MOST = 200
"""Characters of an id or a name that is kept, sent in a header field and written to logs."""

COUNT_MOST = 1_000_000
"""Requests of one back end; more is a mistake, and would draw all work there."""

TOKENS_MOST = 1_000_000_000

LINE_PAUSE_S = 10.0
"""Between two lines on unreadable words of one kind."""

_NAME = re.compile(f"[!-~]{{1,{NAME_MOST}}}")
_ADDRESS = re.compile(r"(?:[A-Za-z0-9._-]{1,200}|\[[0-9A-Fa-f:.]{2,60}\]):([0-9]{1,5})")
_PORTS = 65_536

UNREADABLE = Counter(
    "unreadable_words", "Words of other writers that name nothing to use", ["reader", "reason"]
)
_last_lines: dict[tuple[str, str], float] = {}


def read_json(data: bytes, decoder: msgspec.json.Decoder[T]) -> T | Failure:
    """Decode JSON of another writer; malformed, too deep or of another form is a failure."""
    try:
        return decoder.decode(data)
    except (msgspec.MsgspecError, RecursionError, UnicodeDecodeError) as error:
        return Failure(kind=FailureKind.BAD_REQUEST, reason=str(error)[:300], step=Step.DECODING)


def convert(value: object, to: type[T]) -> T | Failure:
    """Convert a decoded part of such a document to its type."""
    try:
        return msgspec.convert(value, to)
    except (msgspec.MsgspecError, RecursionError) as error:
        return Failure(kind=FailureKind.BAD_REQUEST, reason=str(error)[:300], step=Step.DECODING)


def finite_number(text: str) -> float | None:
    """Return a number from 0 on, None for anything else."""
    try:
        value = float(text)
    except ValueError:
        return None
    return value if 0 <= value < math.inf else None


def whole_number(text: str, most: int) -> int:
    """Return a whole number from 0 to ``most``, 0 for what is none."""
    return int(min(most, finite_number(text) or 0.0))


def is_name(text: str) -> bool:
    """Return whether a text can be an id: short, printable, without spaces."""
    return _NAME.fullmatch(text) is not None


def is_address(text: str) -> bool:
    """Return whether a text is ``host:port``."""
    match = _ADDRESS.fullmatch(text)
    return match is not None and 0 < int(match[1]) < _PORTS


def note_unreadable(reader: str, writer: str, reason: Any) -> None:
    """Count a word that names nothing to use; tell of one now and then.

    Args:
        reader: What could not read it.
        writer: Who sent it, as far as that is known.
        reason: What is wrong with it.
    """
    # Without what was got, which may be anything: the label's values are to stay few.
    kind = str(reason).partition(" - at ")[0].partition(",")[0][:60]
    UNREADABLE.labels(reader, kind).inc()
    now_s = steady_s()
    if now_s - _last_lines.get((reader, kind), -math.inf) < LINE_PAUSE_S:
        return
    _last_lines[reader, kind] = now_s
    logger.warning("a {} of {!r} names nothing to use: {}", reader, writer[:NAME_MOST], reason)


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
