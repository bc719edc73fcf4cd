"""Splits a stream of server-sent events (WHATWG HTML, section 9.2) into whole events."""

from __future__ import annotations

import re

_EVENT_ENDS = (b"\n\n", b"\r\n\r\n", b"\r\r")
MAX_END_BYTES = 4
_HEADER_VALUE = re.compile(rb"[!-~](?:[ -~]{0,198}[!-~])?")


class EventSplitter:
    """Buffers the bytes of an event until the event is complete.

    Attributes:
        last_id: Id of the last complete event that has one; empty before the first.
        has_events: Whether a complete event has been returned.
    """

    __slots__ = ("_pending", "has_events", "last_id")

    def __init__(self, last_id: str = "") -> None:
        self._pending = bytearray()
        self.last_id = last_id
        self.has_events = False

    def feed(self, data: bytes) -> bytes:
        """Add received bytes; return the bytes of the events that are complete now."""
        # An end that was whole before would have been found then.
        start = max(0, len(self._pending) - MAX_END_BYTES + 1)
        self._pending += data
        end = max(_end_of_last_event(self._pending, start, item) for item in _EVENT_ENDS)
        whole = bytes(self._pending[:end])
        del self._pending[:end]
        self.has_events = self.has_events or bool(whole)
        self._update_last_id(whole)
        return whole

    @property
    def can_continue(self) -> bool:
        """Whether another run can continue the stream without repeating an event."""
        return bool(self.last_id) or not self.has_events

    @property
    def pending_bytes(self) -> int:
        """Number of buffered bytes, which belong to an incomplete event."""
        return len(self._pending)

    def _update_last_id(self, whole: bytes) -> None:
        at = max(whole.rfind(b"\nid:"), 0 if whole.startswith(b"id:") else -1)
        if at < 0:
            return
        line = whole[at:].lstrip(b"\n").splitlines()[0]
        self.last_id = sendable_id(line.partition(b":")[2].strip())


def sendable_id(raw: bytes) -> str:
    """Return an event's id if a header field can carry it, else an empty string.

    A stream cannot be continued after an event whose id cannot be sent.
    """
    return raw.decode("ascii") if _HEADER_VALUE.fullmatch(raw) else ""


def _end_of_last_event(data: bytearray, start: int, delimiter: bytes) -> int:
    at = data.rfind(delimiter, start)
    return at + len(delimiter) if at >= 0 else 0
