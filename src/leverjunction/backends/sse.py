"""Parser for server-sent events with the fields that the engine protocol uses."""

from __future__ import annotations

from collections.abc import Iterator

import msgspec

DONE_DATA = b"[DONE]"


class SseEvent(msgspec.Struct, frozen=True):
    """One event; ``event_id`` is empty for an event without an id."""

    event_id: str
    data: bytes


class SseParser:
    """Splits a byte stream, which may be fed in pieces of any size, into events."""

    def __init__(self) -> None:
        self._rest = b""

    def feed(self, data: bytes) -> Iterator[SseEvent]:
        """Yield the events that are complete with ``data``."""
        *blocks, self._rest = (self._rest + data).replace(b"\r\n", b"\n").split(b"\n\n")
        for block in blocks:
            event = _parse(block)
            if event is not None:
                yield event


def has_event(data: bytes) -> bool:
    """Return whether complete server-sent data hold an event, besides comments."""
    first, _, _ = data.partition(b"\n\n")
    if first.startswith(b"data:") or b"\ndata:" in first:
        # Called for each part of a stream: most need no parsing.
        return True
    return any(True for _ in SseParser().feed(data))


def _parse(block: bytes) -> SseEvent | None:
    """Parse the lines of one event; returns None for a comment or an event without data."""
    event_id = ""
    data: list[bytes] = []
    for line in block.split(b"\n"):
        name, _, value = line.partition(b":")
        value = value.removeprefix(b" ")
        if name == b"id":
            event_id = value.decode("ascii", "replace")
        elif name == b"data":
            data.append(value)
    return SseEvent(event_id, b"\n".join(data)) if data else None
