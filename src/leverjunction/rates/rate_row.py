"""Compact encoding of a figure for each of all back ends, one byte each. Pure."""

from __future__ import annotations

import math
from collections.abc import Iterable

UNKNOWN = 0
ONE = 128
"""Byte of the figure 1."""

STEPS_PER_DOUBLING = 16
"""Resolution: neighbouring bytes differ by 4.4 %."""


def pack_rates(figures: Iterable[float | None]) -> bytes:
    """Encode figures above 0 in the order of a load row; empty if each is 1 or unknown."""
    row = bytes(_to_byte(figure) for figure in figures)
    return row if any(byte not in (UNKNOWN, ONE) for byte in row) else b""


def unpack_rates(row: bytes) -> list[float | None]:
    """Decode figures; None for the unknown ones."""
    return [None if byte == UNKNOWN else 2 ** ((byte - ONE) / STEPS_PER_DOUBLING) for byte in row]


def _to_byte(figure: float | None) -> int:
    if figure is None or figure <= 0:
        return UNKNOWN
    return max(1, min(255, ONE + round(math.log2(figure) * STEPS_PER_DOUBLING)))


__all__ = ["pack_rates", "unpack_rates"]
