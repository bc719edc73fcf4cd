"""Splits a stream of server-sent events (WHATWG HTML, 9.2) into whole events."""

from __future__ import annotations

import re

_ENDS = (b"\n\n", b"\r\n\r\n", b"\r\r")
MAX_EVENT_BYTES = 1024 * 1024
_SENDABLE = re.compile(rb"[!-~](?:[ -~]{0,198}[!-~])?")


class EventSplitter:
    """Holds back the bytes of an event until it is whole.

    Attributes:
        last_id: Id of the last whole event, empty before the first with an id.
        passed: Whether any whole event came.
    """

    __slots__ = ("_pending", "last_id", "passed")

    def __init__(self, last_id: str = "") -> None:
        self._pending = b""
        self.last_id = last_id
        self.passed = False

    def feed(self, data: bytes) -> bytes:
        """Add bytes as they came; return those of the events that are whole now."""
        pending = self._pending + data
        end = max(_end_of_last(pending, mark) for mark in _ENDS)
        whole, self._pending = pending[:end], pending[end:]
        self.passed = self.passed or bool(whole)
        self._note_id(whole)
        return whole

    @property
    def can_continue(self) -> bool:
        """Whether another run can go on where this one ended, without an event twice."""
        return bool(self.last_id) or not self.passed

    @property
    def pending_bytes(self) -> int:
        """Bytes of the event that is not whole yet."""
        return len(self._pending)

    def _note_id(self, whole: bytes) -> None:
        at = max(whole.rfind(b"\nid:"), 0 if whole.startswith(b"id:") else -1)
        if at < 0:
            return
        line = whole[at:].lstrip(b"\n").splitlines()[0]
        self.last_id = sendable_id(line.partition(b":")[2].strip())


def sendable_id(raw: bytes) -> str:
    """Return an event's id as a header field can carry it; empty for any other, which no run can
    be continued after.
    """
    return raw.decode("ascii") if _SENDABLE.fullmatch(raw) else ""


def _end_of_last(data: bytes, mark: bytes) -> int:
    at = data.rfind(mark)
    return at + len(mark) if at >= 0 else 0
