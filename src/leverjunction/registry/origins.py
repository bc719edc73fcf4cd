"""Origins of streams: which version of a service's software began a stream.

Parts that different versions of the software wrote do not fit together, so that a stream may be
continued only by a back end of the version that began it. Performs no I/O.
"""

from __future__ import annotations

import math
from collections import OrderedDict
from enum import StrEnum

import msgspec

STREAM_LIFETIME_S = 60.0
"""Time after the last sign of a stream, or of a version, within which a caller may continue one."""

RENEW_INTERVAL_S = 15.0
"""Interval at which the origin of a stream that goes on is reported again."""

RENEW_LATEST_S = 2 * RENEW_INTERVAL_S - 5.0
"""Time after the last report from which the next event waits until the origin is stored again."""

KEEP_ORIGIN_S = STREAM_LIFETIME_S + 2 * RENEW_INTERVAL_S
"""Time for which an origin is kept after its last report."""


class StreamOrigin(msgspec.Struct, frozen=True):
    """What began a stream.

    Attributes:
        service: Service whose back end sent the first event.
        version: Version of that back end's software; empty if it does not report one.
    """

    service: str
    version: str


class OriginSource(StrEnum):
    """Where the origin of a stream is known from, or why it is unknown.

    ``BASE_VERSION``: enough control processes would know it if another version had begun the
    stream. ``NOT_ASKED``: no control process is known. ``NO_ANSWER``: not all of them answered in
    time, so a later question may succeed. ``RESTARTED``: all answered, but some started after the
    stream may have begun. ``NOBODY_KNOWS``: all answered, and another question is useless.
    ``NOT_NAMED``: the caller does not name the attempt that began the stream, so nobody can know
    it while several versions may have.
    """

    OWN = "own"
    ONLY_VERSION = "only version"
    DIRECTORY = "directory"
    BASE_VERSION = "base version"
    NOT_ASKED = "not asked"
    NO_ANSWER = "no answer"
    RESTARTED = "restarted"
    NOBODY_KNOWS = "nobody knows"
    NOT_NAMED = "not named"


class Resumption(msgspec.Struct, frozen=True):
    """What is known of a stream that a caller continues.

    Attributes:
        origin: Its origin, None if it is unknown.
        source: Where that is known from, or why it is unknown.
        answered: Number of control processes that answered.
        asked: Number of control processes that were asked.
    """

    origin: StreamOrigin | None
    source: OriginSource
    answered: int = 0
    asked: int = 0


class ReportOrigins(msgspec.Struct, frozen=True, kw_only=True):
    """Message of a gateway: origins of streams that it relays.

    Attributes:
        streams: Origins by the key of the stream.
        is_recorded_first: Whether the gateway stores the origin of a stream that is not of the
            base version before it passes on an event; False in reports of an older build.
    """

    streams: dict[int, StreamOrigin]
    is_recorded_first: bool = False


class OriginsStored(msgspec.Struct, frozen=True, kw_only=True):
    """Reply to ``ReportOrigins``.

    Attributes:
        incarnation: Start of the replying process. Origins that were reported to an earlier start
            are lost.
        base_versions: The base version of each service that has one, as the process knows them.
    """

    incarnation: int
    base_versions: dict[str, str] = {}


class FindOrigin(msgspec.Struct, frozen=True, kw_only=True):
    """Question of a gateway that is asked to continue a stream which it did not begin.

    Attributes:
        stream: Key of the stream.
        service: Service that the stream would be sent to.
    """

    stream: int
    service: str


class FoundOrigin(msgspec.Struct, frozen=True, kw_only=True):
    """Reply to ``FindOrigin``.

    Attributes:
        origin: Origin of the stream; None if it was not reported.
        only_version: The one version of the service that can have begun a stream which is still
            alive; None if there were several, or if the replying process cannot tell.
        kept_s: Time since the start of the replying process, in seconds; what was reported to an
            earlier start is lost.
    """

    origin: StreamOrigin | None = None
    only_version: str | None = None
    kept_s: float = 0.0


class FindOrigins(msgspec.Struct, frozen=True, kw_only=True):
    """Question of a gateway that is asked to continue streams which it did not begin.

    Attributes:
        services: Keys of streams by the service that they would be sent to.
    """

    services: dict[str, list[int]]


class FoundOrigins(msgspec.Struct, frozen=True, kw_only=True):
    """Reply to ``FindOrigins``.

    Attributes:
        origins: Origins of the streams that were reported.
        only_versions: By service, the one version that can have begun a stream which is still
            alive; left out if there were several, or if the replying process cannot tell.
        base_versions: By service, the version that began every stream which is alive and was not
            reported to any control process; left out if the replying process cannot tell.
        kept_s: Time since the start of the replying process, in seconds; what was reported to an
            earlier start is lost.
        controls: Number of control processes that an origin which is kept may have been reported
            to, with those that were removed since.
    """

    origins: dict[int, StreamOrigin] = {}
    only_versions: dict[str, str] = {}
    base_versions: dict[str, str] = {}
    kept_s: float = 0.0
    controls: int = 0


class OriginTable:
    """Origins by the key of the stream, forgotten after ``KEEP_ORIGIN_S``. Not thread-safe.

    Args:
        max_streams: Size at which the oldest entries are dropped.

    Attributes:
        dropped_s: When an entry was last dropped before its time; -inf if never.
    """

    __slots__ = ("_entries", "_max_streams", "dropped_s")

    def __init__(self, max_streams: int) -> None:
        self._max_streams = max_streams
        self._entries: OrderedDict[int, tuple[StreamOrigin, float]] = OrderedDict()
        self.dropped_s = -math.inf

    def __len__(self) -> int:
        return len(self._entries)

    def put(self, stream: int, origin: StreamOrigin, now_s: float) -> None:
        """Set the origin of a stream, and drop what is too old or too much."""
        self._entries[stream] = (origin, now_s)
        self._entries.move_to_end(stream)
        while self._entries:
            _, put_s = next(iter(self._entries.values()))
            is_alive = now_s - put_s <= KEEP_ORIGIN_S
            if len(self._entries) <= self._max_streams and is_alive:
                return
            self._entries.popitem(last=False)
            if is_alive:
                self.dropped_s = now_s

    def get(self, stream: int, now_s: float) -> StreamOrigin | None:
        """Return the origin of a stream, None if it is not known."""
        origin, put_s = self._entries.get(stream, (None, 0.0))
        return origin if now_s - put_s <= KEEP_ORIGIN_S else None

    def all(self, now_s: float) -> dict[int, StreamOrigin]:
        """Return all origins that are not too old."""
        return {
            stream: origin
            for stream, (origin, put_s) in self._entries.items()
            if now_s - put_s <= KEEP_ORIGIN_S
        }


__all__ = [
    "KEEP_ORIGIN_S",
    "RENEW_INTERVAL_S",
    "RENEW_LATEST_S",
    "STREAM_LIFETIME_S",
    "FindOrigin",
    "FindOrigins",
    "FoundOrigin",
    "FoundOrigins",
    "OriginSource",
    "OriginTable",
    "OriginsStored",
    "ReportOrigins",
    "Resumption",
    "StreamOrigin",
]
