"""Which reported origins are stored at enough control processes. Performs no I/O."""

from __future__ import annotations

from collections.abc import Iterable

STORED_AT = 2
"""Control processes that must have stored an origin before it counts as recorded."""


def stored_at(controls: int) -> int:
    """Return at how many of the control processes an origin must be stored, at least one."""
    return max(1, min(STORED_AT, controls))


class OriginAcks:
    """The streams that wait until their origin is recorded, and whether recording works.

    After a stream has waited in vain, recording counts as broken until as many control processes
    have stored something again as one origin needs.
    """

    __slots__ = ("_holders", "_is_recording", "_stored_since")

    def __init__(self) -> None:
        self._holders: dict[int, set[str]] = {}
        self._is_recording = True
        self._stored_since: set[str] = set()

    @property
    def is_recording(self) -> bool:
        """Whether the last stream that waited was recorded in time, or others have been since."""
        return self._is_recording

    def wait(self, stream: int) -> None:
        """Begin to count the control processes that store the origin of a stream."""
        self._holders.setdefault(stream, set())

    def drop(self, stream: int, *, in_vain: bool) -> None:
        """End the wait of a stream.

        Args:
            stream: Key of the stream.
            in_vain: Whether its time has run out.
        """
        self._holders.pop(stream, None)
        if in_vain:
            self._is_recording = False
            self._stored_since.clear()

    def stored(self, holder: str, streams: Iterable[int], controls: int) -> list[int]:
        """Return the streams that are recorded now.

        Args:
            holder: Address of the control process that has stored origins.
            streams: Keys of the streams.
            controls: Number of control processes.
        """
        needed = stored_at(controls)
        self._stored_since.add(holder)
        if len(self._stored_since) >= needed:
            self._is_recording = True
        recorded = []
        for stream in streams:
            holders = self._holders.get(stream)
            if holders is None:
                continue
            holders.add(holder)
            if len(holders) >= needed:
                recorded.append(stream)
                del self._holders[stream]
        return recorded


__all__ = ["STORED_AT", "OriginAcks", "stored_at"]
