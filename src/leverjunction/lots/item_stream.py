"""Collects the server-sent events of an item's runs into its output text. No I/O."""

from __future__ import annotations

from leverjunction.proxy.events import sendable_id
from leverjunction.registry.origins import StreamOrigin

DATA_FIELD = b"data"
ID_FIELD = b"id"


class ItemStream:
    """Unrecorded events of an item; a later run continues after the last whole event.

    Args:
        recorded: Number of events of the item that the lots group has recorded.
        last_id: Id of the last recorded event.
        origin: What began the recorded events, None if that was not recorded.
        replaces: Whether the output replaces the events that the group has recorded.

    Attributes:
        recorded: Number of events of the item that the lots group has recorded.
        last_id: Id of the last whole event, empty before the first one.
        origin: What began the output, None before its first event and if it is unknown.
        replaces: Whether the output replaces the events that the group has recorded. It is then
            recorded as a whole, so that no reader sees events of both.
    """

    __slots__ = ("_event_bytes", "_events", "_partial", "last_id", "origin", "recorded", "replaces")

    def __init__(
        self,
        recorded: int = 0,
        last_id: str = "",
        origin: StreamOrigin | None = None,
        replaces: bool = False,
    ) -> None:
        self.origin = origin
        self.replaces = replaces
        self._events: list[str] = []
        self._event_bytes = 0
        self._partial = b""
        self.recorded = recorded
        self.last_id = last_id

    def feed(self, data: bytes) -> int:
        """Add bytes of the current run's output; return how many events they completed."""
        self._partial += data.replace(b"\r\n", b"\n")
        *blocks, self._partial = self._partial.split(b"\n\n")
        for block in blocks:
            self._append_event(block)
        return len(blocks)

    @property
    def total(self) -> int:
        """Number of whole events of the output so far, recorded or not."""
        return self.recorded + len(self._events)

    @property
    def has_events(self) -> bool:
        """Whether the output has any whole event, recorded or not."""
        return bool(self.recorded or self._events)

    def discard_partial(self) -> None:
        """Drop the incomplete event after a run broke off."""
        self._partial = b""

    @property
    def is_between_events(self) -> bool:
        """Whether the bytes so far end at the end of an event."""
        return not self._partial

    @property
    def partial_bytes(self) -> int:
        """Number of bytes of the incomplete event."""
        return len(self._partial)

    @property
    def kept_bytes(self) -> int:
        """Characters of the events that are not recorded yet, and bytes of the incomplete one."""
        return self._event_bytes + len(self._partial)

    @property
    def count(self) -> int:
        """Number of whole events that are not recorded yet."""
        return len(self._events)

    def text(self) -> str:
        """Return the data of the events that are not recorded yet, separated by line feeds."""
        return "\n".join(self._events)

    def mark_recorded(self, count: int) -> None:
        """Drop the first ``count`` events after the group has recorded them."""
        self._event_bytes -= sum(len(event) for event in self._events[:count])
        del self._events[:count]
        self.recorded += count

    def drop_unrecorded(self) -> None:
        """Drop all that is not recorded; the output must then be read from the group again."""
        self._events.clear()
        self._event_bytes = 0
        self._partial = b""

    def _append_event(self, block: bytes) -> None:
        data: list[bytes] = []
        for line in block.split(b"\n"):
            name, _, value = line.partition(b":")
            value = value.removeprefix(b" ")
            if name == DATA_FIELD:
                data.append(value)
            elif name == ID_FIELD:
                self.last_id = sendable_id(value.strip())
        if data:
            text = b"\n".join(data).decode("utf8", "replace")
            self._events.append(text)
            self._event_bytes += len(text)
