"""Faults that a test can ask of the stand-in's answers: late, crossed or broken off."""

from __future__ import annotations

import threading
from enum import StrEnum

import msgspec


class FaultKind(StrEnum):
    """What goes wrong with an answer."""

    LATE = "late"
    CROSSED = "crossed"
    BROKEN = "broken"
    REFUSED = "refused"


class AnswerFault(msgspec.Struct, frozen=True, kw_only=True):
    """A fault of the next ``count`` answers.

    Attributes:
        kind: LATE holds the answer back; CROSSED echoes another request's id; BROKEN cuts the
            connection in the middle; REFUSED answers 503 without running anything.
        count: Answers that it strikes.
        delay_s: How long a LATE answer is held back.
        after_tokens: Tokens that a BROKEN stream still sends.
    """

    kind: FaultKind
    count: int = 1
    delay_s: float = 0.0
    after_tokens: int = 3


class AnswerFaults:
    """Faults that have been asked for and have not struck yet. Safe between threads."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._pending: list[AnswerFault] = []
        self._struck: dict[str, int] = {}

    def add(self, fault: AnswerFault) -> None:
        """Strike the next ``fault.count`` answers."""
        with self._lock:
            self._pending.extend([fault] * fault.count)

    def take(self) -> AnswerFault | None:
        """Return the fault of the answer that begins now, if any."""
        with self._lock:
            if not self._pending:
                return None
            fault = self._pending.pop(0)
            self._struck[fault.kind] = self._struck.get(fault.kind, 0) + 1
            return fault

    def clear(self) -> None:
        """Forget all faults and how many have struck."""
        with self._lock:
            self._pending.clear()
            self._struck.clear()

    def struck(self) -> dict[str, int]:
        """Return how many answers each kind of fault has struck."""
        with self._lock:
            return dict(self._struck)
