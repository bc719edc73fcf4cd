"""Directory of stream origins at a control process: in memory, and not replicated.

A gateway reports the origins of its streams to several control processes. If the gateway ends, the
one that a caller turns to next asks them. A log on disk keeps them for the process's next start.
"""

from __future__ import annotations

import threading

from leverjunction.clock import Clock
from leverjunction.errors import Failure
from leverjunction.registry.hub import RegistryHub
from leverjunction.registry.origin_log import OriginLog
from leverjunction.registry.origins import (
    FindOrigin,
    FoundOrigin,
    OriginsStored,
    OriginTable,
    ReportOrigins,
)
from leverjunction.registry.version_history import VersionHistory
from leverjunction.wire.codec import decode, encode_reply
from leverjunction.wire.envelope import Envelope, MessageKind
from leverjunction.wire.rpc_server import RpcEndpoint

MAX_STREAMS = 400_000
"""Streams of ``STREAM_LIFETIME_S`` at 6,600 per second, of about 200 bytes each."""


class OriginDirectory:
    """Stores what gateways report, and answers their questions. Thread-safe.

    Args:
        hub: The registry as this process knows it.
        clock: Source of monotonic time.
        incarnation: Start time of this process, in milliseconds since the Unix epoch.
        log: Keeps the origins on disk; None to keep them in memory only.
    """

    def __init__(
        self, hub: RegistryHub, clock: Clock, incarnation: int, log: OriginLog | None = None
    ) -> None:
        self._hub = hub
        self._clock = clock
        self._incarnation = incarnation
        self._lock = threading.Lock()
        self._streams = OriginTable(MAX_STREAMS)
        self._history = VersionHistory()
        self._log = log

    def load(self) -> None:
        """Read what former starts logged; call it before the first question is answered.

        The log may lack some: it is no proof that nothing else was reported to those starts.
        """
        if self._log is None:
            return
        now_s = self._clock.monotonic_s()
        with self._lock:
            for age_s, streams in self._log.load():
                for stream, origin in streams.items():
                    self._streams.put(stream, origin, now_s - age_s)

    def register(self, endpoint: RpcEndpoint) -> None:
        """Register the handlers of both messages."""
        endpoint.register(MessageKind.REPORT_ORIGINS, self._on_report)
        endpoint.register(MessageKind.FIND_ORIGIN, self._on_find)

    def store(self, report: ReportOrigins) -> OriginsStored:
        """Store the origins that a gateway reports."""
        now_s = self._clock.monotonic_s()
        with self._lock:
            for stream, origin in report.streams.items():
                self._streams.put(stream, origin, now_s)
        if self._log is not None:
            self._log.append(report.streams)
        return OriginsStored(incarnation=self._incarnation)

    def find(self, question: FindOrigin) -> FoundOrigin:
        """Return what is known about the origin of a stream."""
        now_s = self._clock.monotonic_s()
        # A process that is cut off may not know of the latest versions.
        is_current = self._hub.stale() is None
        view = self._hub.view()
        with self._lock:
            origin = self._streams.get(question.stream, now_s)
            self._history.update(view, now_s)
            only = self._history.only_version(question.service, now_s) if is_current else None
        return FoundOrigin(origin=origin, only_version=only)

    def refresh(self) -> None:
        """Record the versions that serve now; call it regularly."""
        view = self._hub.view()
        with self._lock:
            self._history.update(view, self._clock.monotonic_s())

    def _on_report(self, envelope: Envelope, peer: str) -> bytes:
        report = decode(envelope.body, ReportOrigins, peer)
        return encode_reply(report if isinstance(report, Failure) else self.store(report))

    def _on_find(self, envelope: Envelope, peer: str) -> bytes:
        question = decode(envelope.body, FindOrigin, peer)
        return encode_reply(question if isinstance(question, Failure) else self.find(question))


__all__ = ["OriginDirectory"]
