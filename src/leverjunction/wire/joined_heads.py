"""Tells whether a head consists of two, the first of which was cut. No I/O.

A peer that stops within the head of an answer may send another answer after it. The line that was
cut then goes on with the status line of the other one, and the two would pass for one answer with
the status of the first and the body of the second.
"""

from __future__ import annotations

import re

_STATUS_LINE = re.compile(rb"HTTP/\d\.\d \d{3}")


def holds_status_line(text: bytes, start: int = 0) -> bool:
    """Return whether a reason, the value of a field or a whole line holds a status line.

    Args:
        text: The bytes to search.
        start: Where to begin.
    """
    return _STATUS_LINE.search(text, start) is not None


__all__ = ["holds_status_line"]
