"""The callers' side of the relay loop: writing, queueing what does not fit, noticing who left."""

from __future__ import annotations

import selectors
import socket
from collections.abc import Callable

from leverjunction.gateway.relay_stream import RelayStream, Watch

MAX_QUEUED_BYTES = 256 * 1024
PROBE_COMMENT = b":\n\n"
"""An SSE comment, which clients ignore; writing it shows whether a half-closed caller is there."""


class CallerSide:
    """Used by the relay loop's thread only.

    Args:
        selector: The loop's selector.
        gone: Called when a caller's connection broke.
        written: Called when all queued bytes of a stream are written.
        full: Called when more than ``MAX_QUEUED_BYTES`` of a stream are queued.
        now_s: Returns the monotonic time.
    """

    def __init__(
        self,
        selector: selectors.BaseSelector,
        gone: Callable[[RelayStream, object], None],
        written: Callable[[RelayStream], None],
        full: Callable[[RelayStream], None],
        now_s: Callable[[], float],
    ) -> None:
        self._selector = selector
        self._gone = gone
        self._written = written
        self._full = full
        self._now_s = now_s

    def open(self, stream: RelayStream) -> None:
        """Start to watch a stream's caller."""
        stream.client.connection.setblocking(False)
        self._watch(stream)

    def close(self, stream: RelayStream) -> None:
        """Watch a stream's caller no more."""
        connection = stream.client.connection
        if connection in self._selector.get_map():
            self._selector.unregister(connection)

    def send(self, stream: RelayStream, frame: bytes) -> bool:
        """Write what the caller takes now, queue the rest; False when the caller is gone."""
        if stream.queued:
            stream.queued += frame
        else:
            try:
                sent = stream.client.connection.send(frame)
            except BlockingIOError:
                sent = 0
            except OSError as error:
                self._gone(stream, error)
                return False
            if sent < len(frame):
                stream.queued += frame[sent:]
        if stream.queued:
            self._watch(stream)
            if len(stream.queued) > MAX_QUEUED_BYTES:
                self._full(stream)
        return True

    def probe(self, stream: RelayStream) -> None:
        """Write a comment, which fails when a half-closed caller is gone for good."""
        self.send(stream, stream.framed(PROBE_COMMENT))

    def ready(self, stream: RelayStream, mask: int) -> None:
        """Handle a readable or writable connection."""
        if mask & selectors.EVENT_WRITE and not self._flush(stream):
            return
        if mask & selectors.EVENT_READ:
            self._peek(stream)

    def _flush(self, stream: RelayStream) -> bool:
        """Write queued bytes; returns False when no more is to be done for the stream."""
        try:
            sent = stream.client.connection.send(stream.queued)
        except BlockingIOError:
            return True
        except OSError as error:
            self._gone(stream, error)
            return False
        del stream.queued[:sent]
        stream.last_byte_s = self._now_s()
        if stream.queued:
            return True
        self._watch(stream)
        self._written(stream)
        return not stream.finishing

    def _peek(self, stream: RelayStream) -> None:
        """Look whether the caller closed its side, without taking a next request's bytes."""
        try:
            data = stream.client.connection.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return
        except OSError as error:
            self._gone(stream, error)
            return
        # After a half-close the caller may still read: the next writes show whether it does.
        # Bytes of a next request stay in the socket, and are not looked at again.
        stream.client_half_closed = True
        self._watch(stream)
        if not data and not stream.queued:
            self.probe(stream)

    def _watch(self, stream: RelayStream) -> None:
        events = 0 if stream.client_half_closed else selectors.EVENT_READ
        if stream.queued:
            events |= selectors.EVENT_WRITE
        connection = stream.client.connection
        registered = connection in self._selector.get_map()
        if events and registered:
            key = self._selector.get_key(connection)
            if key.events != events:
                self._selector.modify(connection, events, key.data)
        elif events:
            watch = Watch(stream, lambda mask: self.ready(stream, mask))
            self._selector.register(connection, events, watch)
        elif registered:
            self._selector.unregister(connection)
