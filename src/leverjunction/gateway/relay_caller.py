"""Caller connections of the relay loop: writes, queues of unsent bytes and disconnects."""

from __future__ import annotations

import selectors
import socket
from collections.abc import Callable

from leverjunction.gateway.relay_stream import Registration, RelayStream

MAX_QUEUED_BYTES = 256 * 1024
PROBE_COMMENT = b":\n\n"
"""A server-sent comment, which clients ignore; its write fails if the caller has disconnected."""


class CallerConnections:
    """Writes streams to their callers. Used by the relay loop's thread only.

    Args:
        selector: The loop's selector.
        on_disconnect: Called with a stream and the reason when its caller has disconnected.
        on_queue_sent: Called when all queued bytes of a stream have been written.
        on_queue_full: Called when more than ``MAX_QUEUED_BYTES`` of a stream are queued.
        now_s: Returns the monotonic time in seconds.
    """

    def __init__(
        self,
        selector: selectors.BaseSelector,
        on_disconnect: Callable[[RelayStream, object], None],
        on_queue_sent: Callable[[RelayStream], None],
        on_queue_full: Callable[[RelayStream], None],
        now_s: Callable[[], float],
    ) -> None:
        self._selector = selector
        self._on_disconnect = on_disconnect
        self._on_queue_sent = on_queue_sent
        self._on_queue_full = on_queue_full
        self._now_s = now_s

    def open(self, stream: RelayStream) -> None:
        """Register a stream's caller connection with the selector."""
        stream.client.connection.setblocking(False)
        self._update_registration(stream)

    def close(self, stream: RelayStream) -> None:
        """Remove a stream's caller connection from the selector; the socket stays open."""
        connection = stream.client.connection
        if connection in self._selector.get_map():
            self._selector.unregister(connection)

    def send(self, stream: RelayStream, frame: bytes) -> bool:
        """Write as many bytes as the socket accepts and queue the rest.

        Args:
            stream: The stream.
            frame: Bytes to write, in the connection's transfer coding.

        Returns:
            False if the caller has disconnected.
        """
        if stream.queued:
            stream.queued += frame
        else:
            try:
                sent = stream.client.connection.send(frame)
            except BlockingIOError:
                sent = 0
            except OSError as error:
                self._on_disconnect(stream, error)
                return False
            if sent < len(frame):
                stream.queued += frame[sent:]
        if stream.queued:
            self._update_registration(stream)
            if len(stream.queued) > MAX_QUEUED_BYTES:
                self._on_queue_full(stream)
        return True

    def probe(self, stream: RelayStream) -> None:
        """Write a comment to find out whether a caller that closed its side still reads."""
        self.send(stream, stream.encode_body(PROBE_COMMENT))

    def ready(self, stream: RelayStream, mask: int) -> None:
        """Handle a readable or writable connection."""
        if mask & selectors.EVENT_WRITE and not self._flush(stream):
            return
        if mask & selectors.EVENT_READ:
            self._peek(stream)

    def _flush(self, stream: RelayStream) -> bool:
        """Write queued bytes.

        Returns:
            False if the stream is finishing or its caller has disconnected, so that its other
            events are not to be handled.
        """
        try:
            sent = stream.client.connection.send(stream.queued)
        except BlockingIOError:
            return True
        except OSError as error:
            self._on_disconnect(stream, error)
            return False
        del stream.queued[:sent]
        stream.last_byte_s = self._now_s()
        if stream.queued:
            return True
        self._update_registration(stream)
        self._on_queue_sent(stream)
        return not stream.finishing

    def _peek(self, stream: RelayStream) -> None:
        """Check whether the caller closed its side, without consuming bytes of a next request."""
        try:
            data = stream.client.connection.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return
        except OSError as error:
            self._on_disconnect(stream, error)
            return
        # After a half-close the caller may still read; the next writes show whether it does.
        # Bytes of a next request stay in the socket, which is no longer polled for reading.
        stream.client_half_closed = True
        self._update_registration(stream)
        if not data and not stream.queued:
            self.probe(stream)

    def _update_registration(self, stream: RelayStream) -> None:
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
            registration = Registration(stream, lambda mask: self.ready(stream, mask))
            self._selector.register(connection, events, registration)
        elif registered:
            self._selector.unregister(connection)
