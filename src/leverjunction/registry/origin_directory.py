"""Directory of stream origins at a control process: in memory, and not replicated.

A gateway reports the origins of its streams to several control processes. If the gateway ends, the
one that a caller turns to next asks them. A log on disk keeps them for the process's next start.
"""

from __future__ import annotations

import math
import threading

from leverjunction.clock import Clock
from leverjunction.errors import Failure
from leverjunction.registry.hub import RegistryHub
from leverjunction.registry.origin_log import OriginLog
from leverjunction.registry.origins import (
    KEEP_ORIGIN_S,
    FindOrigin,
    FindOrigins,
    FoundOrigin,
    FoundOrigins,
    OriginsStored,
    OriginTable,
    ReportOrigins,
    StreamOrigin,
)
from leverjunction.registry.records import FleetView, MemberRole
from leverjunction.registry.version_history import VersionHistory
from leverjunction.wire.codec import decode, encode_reply
from leverjunction.wire.envelope import Envelope, MessageKind
from leverjunction.wire.rpc_server import RpcEndpoint

MAX_STREAMS = 700_000
"""Streams of ``KEEP_ORIGIN_S`` at 7,700 per second, of about 200 bytes each."""


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
        self._started_s = clock.monotonic_s()
        self._lock = threading.Lock()
        self._streams = OriginTable(MAX_STREAMS)
        self._history = VersionHistory()
        self._unsure_until_s = -math.inf
        """Until then, a stream of any version may be unknown at all control processes."""

        self._controls_s: dict[str, float] = {}
        """When each control process was last a member, by address."""

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
        """Register the handlers of all messages."""
        endpoint.register(MessageKind.REPORT_ORIGINS, self._on_report)
        endpoint.register(MessageKind.FIND_ORIGINS, self._on_find_all)
        # Gateways of an older build ask for each stream.
        endpoint.register(MessageKind.FIND_ORIGIN, self._on_find)

    def store(self, report: ReportOrigins) -> OriginsStored:
        """Store the origins that a gateway reports."""
        now_s = self._clock.monotonic_s()
        with self._lock:
            if not report.is_recorded_first:
                self._unsure_until_s = now_s + KEEP_ORIGIN_S
            for stream, origin in report.streams.items():
                self._streams.put(stream, origin, now_s)
            bases = self._base_versions(now_s)
        if self._log is not None:
            self._log.append(report.streams)
        return OriginsStored(incarnation=self._incarnation, base_versions=bases)

    def find_all(self, question: FindOrigins) -> FoundOrigins:
        """Return what is known about the origins of streams."""
        now_s = self._clock.monotonic_s()
        # A process that is cut off may not know of the latest versions.
        is_current = self._hub.stale() is None
        view = self._hub.view()
        origins: dict[int, StreamOrigin] = {}
        only_versions: dict[str, str] = {}
        base_versions: dict[str, str] = {}
        with self._lock:
            self._update_history(view, now_s, is_current)
            bases = self._base_versions(now_s)
            for service, streams in question.services.items():
                only = self._history.only_version(service, now_s) if is_current else None
                if only is not None:
                    only_versions[service] = only
                if service in bases:
                    base_versions[service] = bases[service]
                for stream in streams:
                    origin = self._streams.get(stream, now_s)
                    if origin is not None:
                        origins[stream] = origin
        return FoundOrigins(
            origins=origins,
            only_versions=only_versions,
            base_versions=base_versions,
            kept_s=now_s - self._started_s,
            controls=len(self._controls_s),
        )

    def find(self, question: FindOrigin) -> FoundOrigin:
        """Return what is known about the origin of one stream."""
        found = self.find_all(FindOrigins(services={question.service: [question.stream]}))
        return FoundOrigin(
            origin=found.origins.get(question.stream),
            only_version=found.only_versions.get(question.service),
            kept_s=found.kept_s,
        )

    def refresh(self) -> None:
        """Record the versions that serve now; call it regularly."""
        now_s = self._clock.monotonic_s()
        is_current = self._hub.stale() is None
        view = self._hub.view()
        with self._lock:
            self._update_history(view, now_s, is_current)

    def _update_history(self, view: FleetView, now_s: float, is_current: bool) -> None:
        self._history.update(view, now_s)
        if is_current:
            self._history.confirm(now_s)
        for address in view.addresses(MemberRole.CONTROL):
            self._controls_s[address] = now_s
        self._controls_s = {
            address: seen_s
            for address, seen_s in self._controls_s.items()
            if now_s - seen_s <= KEEP_ORIGIN_S
        }

    def _base_versions(self, now_s: float) -> dict[str, str]:
        """Return the base versions if all origins are kept that were reported here since."""
        has_dropped = now_s - self._streams.dropped_s <= KEEP_ORIGIN_S
        if has_dropped or now_s < self._unsure_until_s:
            return {}
        return self._history.base_versions(now_s)

    def _on_report(self, envelope: Envelope, peer: str) -> bytes:
        report = decode(envelope.body, ReportOrigins, peer)
        return encode_reply(report if isinstance(report, Failure) else self.store(report))

    def _on_find_all(self, envelope: Envelope, peer: str) -> bytes:
        question = decode(envelope.body, FindOrigins, peer)
        return encode_reply(question if isinstance(question, Failure) else self.find_all(question))

    def _on_find(self, envelope: Envelope, peer: str) -> bytes:
        question = decode(envelope.body, FindOrigin, peer)
        return encode_reply(question if isinstance(question, Failure) else self.find(question))


__all__ = ["OriginDirectory"]
