"""Reader of an engine's prefix cache events."""

from __future__ import annotations

from collections.abc import Iterator

from leverjunction.backends.client import EngineClient
from leverjunction.backends.sse import SseParser
from leverjunction.backends.stream import EngineStream, StreamBrokenError
from leverjunction.backends.types import CacheEvent
from leverjunction.errors import Failure
from leverjunction.wire.codec import decode

SILENCE_S = 30.0
"""Time without bytes from the engine after which its connection counts as broken."""


class CacheEventReader:
    """One connection to an engine's ``/cache/events``; its first event is a snapshot.

    Args:
        stream: The open response.
    """

    def __init__(self, stream: EngineStream) -> None:
        self._stream = stream

    @classmethod
    def open(cls, engines: EngineClient, address: str) -> CacheEventReader | Failure:
        """Connect to the engine at ``address`` and return a reader of its events."""
        stream = engines.open_event_stream(address, "/cache/events?snapshot=1", SILENCE_S)
        return stream if isinstance(stream, Failure) else cls(stream)

    def events(self) -> Iterator[CacheEvent]:
        """Yield events until the connection ends; data that cannot be decoded is skipped."""
        parser = SseParser()
        try:
            for chunk in self._stream.chunks():
                for item in parser.feed(chunk):
                    event = decode(item.data, CacheEvent, self._stream.address)
                    if not isinstance(event, Failure):
                        yield event
        except StreamBrokenError:
            # The engine stopped or sent nothing for too long; the caller reconnects.
            return

    def close(self) -> None:
        """Close the connection."""
        self._stream.close()
