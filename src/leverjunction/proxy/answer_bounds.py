"""Bounds on the answers of back ends. No I/O; the time is passed in.

A back end that is broken, or another program at its address, may send bytes that never become an
answer: a head, a chunk header or an event that does not end, informational heads one after the
other, a body without end. Each of them holds a slot, memory and a caller until the request's
deadline. The bounds end them early, and lie far above any answer of a model, so that callers never
lose an answer that only is large or slow.
"""

from __future__ import annotations

MAX_HEAD_BYTES = 64 * 1024
"""Bytes of all heads of an answer, informational ones included, and of a chunk header or the
trailers. Larger heads are not accepted by common servers either.
"""

MAX_ANSWER_BYTES = 256 * 1024 * 1024
"""Bytes of one answer, framing included: more than callers fetch within a request's deadline."""

MAX_PARTS = 250_000
"""Chunks and heads of one answer: each costs time to parse, whatever its size, and no model writes
so many tokens in one answer.
"""

MAX_EVENT_BYTES = 1024 * 1024
"""Bytes of one event of a stream, which is held until it is whole."""

MAX_DOCUMENT_BYTES = 1024 * 1024
"""Bytes of a document that this process reads itself, such as a load report."""

MAX_REFUSAL_BYTES = 64 * 1024
"""Bytes of a refusal's body that are read to keep its connection."""

MAX_SURPLUS_ANSWERS = 8
MAX_SURPLUS_BYTES = 64 * 1024
"""Answers to earlier requests, and bytes of their bodies, that are skipped before an answer."""

MAX_ITEM_OUTPUT_BYTES = 16 * 1024 * 1024
"""Bytes of the output that one run of a batch item may add; the stores replicate all of them."""

MAX_ITEM_EVENTS = MAX_PARTS
"""Events that one run of a batch item may add: each takes some 60 bytes until it is recorded,
whatever its size.
"""

PART_TIME_S = 5.0
"""Time within which a part that has begun to arrive must be whole: a head, a chunk header, an
event. Senders write such a part at once, so a caller gains nothing from waiting longer.
"""


class PartialBound:
    """Bounds the age of a part that is not whole yet.

    It is checked only when bytes arrive: a back end that is silent may just have been stopped for
    a while, and has time limits of its own.
    """

    __slots__ = ("_since_s",)

    def __init__(self) -> None:
        self._since_s: float | None = None

    def is_late(self, is_partial: bool, ended_part: bool, now_s: float) -> bool:
        """Return whether the part in progress takes too long.

        Args:
            is_partial: Whether a part has begun and is not whole.
            ended_part: Whether the bytes that just arrived ended a part.
            now_s: Current time, in seconds.
        """
        if not is_partial:
            self._since_s = None
            return False
        if self._since_s is None or ended_part:
            self._since_s = now_s
        return now_s - self._since_s > PART_TIME_S


class AnswerBounds:
    """Bounds the bytes of one answer as they arrive on its connection."""

    __slots__ = ("_head_is_whole", "_part", "_parts", "_received_bytes")

    def __init__(self) -> None:
        self._received_bytes = 0
        self._parts = 0
        self._head_is_whole = False
        self._part = PartialBound()

    def head_ended(self) -> None:
        """Note that the final head is whole."""
        self._head_is_whole = True

    def exceeded(self, received_bytes: int, parts: int, is_partial: bool, now_s: float) -> str:
        """Return which bound the answer exceeds after a read, empty if none.

        Args:
            received_bytes: Number of bytes of the read.
            parts: Number of heads and chunks, or pieces of them, that the read brought.
            is_partial: Whether bytes are left that are no whole part of the framing.
            now_s: Current time, in seconds.
        """
        self._received_bytes += received_bytes
        if self._received_bytes > MAX_ANSWER_BYTES:
            return f"the answer exceeds {MAX_ANSWER_BYTES} bytes"
        if not self._head_is_whole and self._received_bytes > MAX_HEAD_BYTES:
            return f"the head exceeds {MAX_HEAD_BYTES} bytes"
        self._parts += parts
        if self._parts > MAX_PARTS:
            return f"the answer has more than {MAX_PARTS} parts"
        if self._part.is_late(is_partial, parts > 0, now_s):
            return f"a part of the framing was not whole after {PART_TIME_S:.0f} s"
        return ""


__all__ = [
    "MAX_ANSWER_BYTES",
    "MAX_DOCUMENT_BYTES",
    "MAX_EVENT_BYTES",
    "MAX_HEAD_BYTES",
    "MAX_ITEM_EVENTS",
    "MAX_ITEM_OUTPUT_BYTES",
    "MAX_PARTS",
    "MAX_REFUSAL_BYTES",
    "MAX_SURPLUS_ANSWERS",
    "MAX_SURPLUS_BYTES",
    "PART_TIME_S",
    "AnswerBounds",
    "PartialBound",
]
