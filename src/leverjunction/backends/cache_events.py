"""Reader of an engine's cache events."""

from __future__ import annotations

from collections.abc import Iterator

from leverjunction.backends.client import EngineClient
from leverjunction.backends.sse import SseParser
from leverjunction.backends.stream import EngineStream, StreamBrokenError
from leverjunction.backends.types import CacheEvent
from leverjunction.errors import Failure
from leverjunction.wire.codec import decode

SILENCE_S = 30.0


class CacheEventReader:
    """One connection to ``/cache/events``, opened with a snapshot."""

    def __init__(self, stream: EngineStream) -> None:
        self._stream = stream

    @classmethod
    def open(cls, engines: EngineClient, address: str) -> CacheEventReader | Failure:
        """Connect to an engine's events."""
        stream = engines.follow(address, "/cache/events?snapshot=1", SILENCE_S)
        return stream if isinstance(stream, Failure) else cls(stream)

    def events(self) -> Iterator[CacheEvent]:
        """Yield events until the connection ends; what is not an event is left out."""
        parser = SseParser()
        try:
            for chunk in self._stream.chunks():
                for item in parser.feed(chunk):
                    event = decode(item.data, CacheEvent, self._stream.address)
                    if not isinstance(event, Failure):
                        yield event
        except StreamBrokenError:
            # An engine that stops or a silent one: the caller connects again.
            return

    def close(self) -> None:
        """Close the connection."""
        self._stream.close()
