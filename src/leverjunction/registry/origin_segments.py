"""Format of the origin log: batches of origins in segments, and which segments are kept.

A segment is a sequence of records, each with its length and a checksum. Whatever follows the first
record that is incomplete or corrupt is cut off. Performs no I/O.
"""

from __future__ import annotations

import struct
import zlib
from collections.abc import Collection, Iterable, Mapping

import msgspec

from leverjunction.registry.origins import KEEP_ORIGIN_S, StreamOrigin

FENCE_S = 30.0
"""Time after a record on disk within which origins of its version are acknowledged at once."""

DOUBT_S = FENCE_S + KEEP_ORIGIN_S
"""Time after a record on disk within which another one may be missing, of a stream that lives."""

MAX_SEGMENT_BYTES = 8_000_000
MAX_TOTAL_BYTES = 3 * MAX_SEGMENT_BYTES
"""Bytes of all segments: the disk also holds the consensus log. An origin takes about 20 bytes."""

MAX_CLOCK_ERROR_S = 86_400.0
"""Error of a wall clock that is taken for possible: hours, if it was set to another time zone."""

_FRAME = struct.Struct("<II")
"""Length of a record's content in bytes, and its CRC-32."""

_MAX_KEY = 2**64


class Moment(msgspec.Struct, frozen=True):
    """One time on all clocks.

    Attributes:
        wall_ms: Milliseconds since the Unix epoch; may be set back or ahead.
        steady_s: Monotonic seconds, comparable within one start of the operating system.
        boot: Id of that start; 0 if it is not known.
    """

    wall_ms: int
    steady_s: float
    boot: int = 0


class OriginGroup(msgspec.Struct, frozen=True, array_like=True):
    """Streams of one origin.

    Attributes:
        service: Service of the origin.
        version: Version of the origin.
        streams: Keys of the streams.
    """

    service: str
    version: str
    streams: list[int]


class OriginBatch(msgspec.Struct, frozen=True, array_like=True):
    """Content of a record: what was written at one time.

    Attributes:
        wall_ms: Wall clock time, in milliseconds since the Unix epoch.
        steady_s: Monotonic time, in seconds.
        boot: Start of the operating system within which ``steady_s`` counts; 0 if not known.
        groups: The origins. A record without any tells that the log begins with it. A group
            without streams announces a version: of a new one, that streams of it may begin; of the
            base version, that it is the only one.
    """

    wall_ms: int
    steady_s: float
    boot: int
    groups: list[OriginGroup]

    def streams(self) -> dict[int, StreamOrigin]:
        """Return the origins by the key of the stream."""
        origins: dict[int, StreamOrigin] = {}
        for group in self.groups:
            origins.update(dict.fromkeys(group.streams, StreamOrigin(group.service, group.version)))
        return origins

    def origins(self) -> list[StreamOrigin]:
        """Return the services and versions in the batch."""
        return [StreamOrigin(group.service, group.version) for group in self.groups]

    def age_s(self, now: Moment) -> float:
        """Return the least age that the batch can have, in seconds.

        After another start of the operating system only the wall clock tells, which may have been
        set meanwhile: unless the batch is very old by it, the age counts as 0.
        """
        if self.boot and self.boot == now.boot:
            return max(0.0, now.steady_s - self.steady_s)
        wall_age_s = (now.wall_ms - self.wall_ms) / 1000
        return wall_age_s if wall_age_s > MAX_CLOCK_ERROR_S else 0.0


_DECODER = msgspec.msgpack.Decoder(OriginBatch)


def make_batch(
    streams: Mapping[int, StreamOrigin], now: Moment, announced: Iterable[StreamOrigin] = ()
) -> OriginBatch:
    """Return the batch of some origins; a key that is out of range is left out.

    Args:
        streams: Origins by the key of the stream.
        now: When the batch is written.
        announced: Services and versions that are in the batch even without a stream.
    """
    groups: dict[tuple[str, str], list[int]] = {
        (origin.service, origin.version): [] for origin in announced
    }
    for stream, origin in streams.items():
        if 0 <= stream < _MAX_KEY:
            groups.setdefault((origin.service, origin.version), []).append(stream)
    return OriginBatch(
        now.wall_ms,
        now.steady_s,
        now.boot,
        [OriginGroup(service, version, keys) for (service, version), keys in groups.items()],
    )


def encode_batch(batch: OriginBatch) -> bytes:
    """Return the record of a batch."""
    content = msgspec.msgpack.encode(batch)
    return _FRAME.pack(len(content), zlib.crc32(content)) + content


def decode_batches(segment: bytes) -> tuple[list[OriginBatch], int]:
    """Return the batches of a segment up to the first torn or corrupt record.

    Returns:
        The batches, and the number of bytes that they take.
    """
    batches: list[OriginBatch] = []
    end = 0
    while end + _FRAME.size <= len(segment):
        length, checksum = _FRAME.unpack_from(segment, end)
        begin = end + _FRAME.size
        content = segment[begin : begin + length]
        if len(content) < length or zlib.crc32(content) != checksum:
            break
        try:
            batches.append(_DECODER.decode(content))
        except msgspec.MsgspecError:
            break
        end = begin + length
    return batches, end


class WaitingOrigins:
    """Origins that wait to be written; beyond a bound the oldest are dropped. Not thread-safe.

    Attributes:
        dropped: Number of origins that were dropped.

    Args:
        most: Number of origins that are kept.
    """

    __slots__ = ("_most", "_newer", "_older", "dropped")

    def __init__(self, most: int) -> None:
        self._most = most
        self._newer: dict[int, StreamOrigin] = {}
        self._older: dict[int, StreamOrigin] = {}
        self.dropped = 0

    def __len__(self) -> int:
        return len(self._newer) + len(self._older)

    def add(self, streams: Mapping[int, StreamOrigin]) -> None:
        """Add origins. The older half is dropped when the newer one is full."""
        self._newer.update(streams)
        if len(self._newer) >= self._most // 2:
            self.dropped += len(self._older)
            self._older, self._newer = self._newer, {}

    def take(self) -> dict[int, StreamOrigin]:
        """Remove and return all origins, the oldest first."""
        taken = {**self._older, **self._newer} if self._older else self._newer
        self._older, self._newer = {}, {}
        return taken

    def put_back(self, taken: dict[int, StreamOrigin]) -> None:
        """Add origins that could not be written; they are dropped if there are too many."""
        if len(self) + len(taken) > self._most:
            self.dropped += len(taken)
        else:
            self._older = {**taken, **self._older}


class SegmentPlan:
    """The segments on disk, and which of them are no longer needed. Not thread-safe.

    Attributes:
        size: Size in bytes of the segment that is written.
    """

    __slots__ = ("_closed", "_number", "_opened_s", "size")

    def __init__(self) -> None:
        self._closed: list[tuple[int, int, float]] = []
        self._number: int | None = None
        self._opened_s = 0.0
        self.size = 0

    def __bool__(self) -> bool:
        return bool(self._closed) or self._number is not None

    def adopt(self, number: int, size: int, now_s: float) -> None:
        """Keep a segment of a former start of the process as long as its records matter."""
        self._closed.append((number, size, now_s))

    def select(self, size: int, now_s: float) -> int:
        """Return the number of the segment to which a record of some size is to be added."""
        number = self._number
        is_full = self.size + size > MAX_SEGMENT_BYTES
        is_over = now_s - self._opened_s > KEEP_ORIGIN_S
        if number is not None and (is_full or is_over):
            self._closed.append((number, self.size, now_s))
            number = None
        if number is None:
            number = 1 + max((number for number, _, _ in self._closed), default=0)
            self._opened_s, self.size = now_s, 0
        self._number = number
        return number

    def grow(self, size: int) -> None:
        """Record that a record was added to the segment that is written."""
        self.size += size

    def unneeded(self, size: int, now_s: float) -> list[int]:
        """Return the closed segments to remove before a record of some size is added.

        These are the ones whose records no longer matter, and the oldest if all would be too
        large. The last segment stays, since an empty log is taken for a lost one.
        """
        excess = size + self.size + sum(size for _, size, _ in self._closed) - MAX_TOTAL_BYTES
        numbers: list[int] = []
        is_last_kept = self._number is None and not size
        removable = self._closed[:-1] if is_last_kept else self._closed
        for number, held, closed_s in removable:
            if now_s - closed_s <= DOUBT_S and excess <= 0:
                break
            numbers.append(number)
            excess -= held
        return numbers

    def has_live(self, numbers: Collection[int], now_s: float) -> bool:
        """Return whether records in one of some closed segments matter still."""
        return any(
            number in numbers and now_s - closed_s <= DOUBT_S
            for number, _, closed_s in self._closed
        )

    def remove(self, number: int) -> None:
        """Record that a closed segment was removed."""
        self._closed = [item for item in self._closed if item[0] != number]


__all__ = [
    "DOUBT_S",
    "FENCE_S",
    "MAX_SEGMENT_BYTES",
    "MAX_TOTAL_BYTES",
    "Moment",
    "OriginBatch",
    "OriginGroup",
    "SegmentPlan",
    "WaitingOrigins",
    "decode_batches",
    "encode_batch",
    "make_batch",
]
