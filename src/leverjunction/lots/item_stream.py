"""Collects the events of one item's runs into its text. Pure."""

from __future__ import annotations

from leverjunction.proxy.events import sendable_id

DATA_FIELD = b"data"
ID_FIELD = b"id"


class ItemStream:
    """Events of an item so far; a later run continues after the last whole event.

    Events that the group of lots has already are not kept here.

    Args:
        recorded: Number of events that the group has.
        last_id: Id of the last one of them.

    Attributes:
        recorded: Number of events that the group has.
        last_id: Id of the last whole event, empty before the first.
    """

    __slots__ = ("_events", "_pending", "last_id", "recorded")

    def __init__(self, recorded: int = 0, last_id: str = "") -> None:
        self._events: list[str] = []
        self._pending = b""
        self.recorded = recorded
        self.last_id = last_id

    def feed(self, data: bytes) -> int:
        """Add bytes of the current run; return how many events became whole."""
        self._pending += data.replace(b"\r\n", b"\n")
        *blocks, self._pending = self._pending.split(b"\n\n")
        for block in blocks:
            self._take(block)
        return len(blocks)

    def discard_partial(self) -> None:
        """The run broke off: drop the event that is not whole."""
        self._pending = b""

    @property
    def is_between_events(self) -> bool:
        """Whether no event is half received."""
        return not self._pending

    @property
    def count(self) -> int:
        """Number of whole events that the group does not have yet."""
        return len(self._events)

    def text(self) -> str:
        """Return the data of these events in order, separated by line feeds."""
        return "\n".join(self._events)

    def mark_recorded(self, count: int) -> None:
        """Note that the group has the first ones of these events now."""
        del self._events[:count]
        self.recorded += count

    def _take(self, block: bytes) -> None:
        data: list[bytes] = []
        for line in block.split(b"\n"):
            name, _, value = line.partition(b":")
            value = value.removeprefix(b" ")
            if name == DATA_FIELD:
                data.append(value)
            elif name == ID_FIELD:
                self.last_id = sendable_id(value.strip())
        if data:
            self._events.append(b"\n".join(data).decode("utf8", "replace"))
