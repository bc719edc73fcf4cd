"""Directory of stream origins at a control process: in memory, and not replicated.

A gateway reports the origins of its streams to several control processes. If the gateway ends, the
one that a caller turns to next asks them. A log on disk keeps them for the process's next start.
"""

from __future__ import annotations

import math
import threading
from collections.abc import Callable, Iterable

from leverjunction.clock import Clock
from leverjunction.errors import Execution, Failure, FailureKind, Step
from leverjunction.registry.hub import RegistryHub
from leverjunction.registry.origin_fence import OriginFence
from leverjunction.registry.origin_log import OriginLog
from leverjunction.registry.origin_segments import FENCE_S
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

SYNC_TIMEOUT_S = 0.25
"""Longest time for which a report waits for the disk; the gateway waits 0.3 s."""

MAX_WAITING_REPORTS = 8
"""Reports that may wait for the disk at a time, each of which holds a thread."""

ANNOUNCE_AFTER_S = 0.5
"""Time after which a new version is on record; gateways use it when they know it for longer."""


class OriginDirectory:
    """Stores what gateways report, and answers their questions. Thread-safe.

    Args:
        hub: The registry as this process knows it.
        clock: Source of monotonic time.
        incarnation: Start time of this process, in milliseconds since the Unix epoch.
        log: Keeps the origins on disk; None to keep them in memory only.
        controls: Addresses of the control processes that are configured.
        has_lease: Returns whether a version that this process has not heard of is not used yet,
            though it may have lost touch with the others.
    """

    def __init__(
        self,
        hub: RegistryHub,
        clock: Clock,
        incarnation: int,
        log: OriginLog | None = None,
        controls: Iterable[str] = (),
        has_lease: Callable[[], bool] = lambda: False,
    ) -> None:
        self._hub = hub
        self._clock = clock
        self._incarnation = incarnation
        self._has_lease = has_lease
        self._started_s = clock.monotonic_s()
        self._lock = threading.Lock()
        self._streams = OriginTable(MAX_STREAMS)
        self._history = VersionHistory()
        self._unsure_until_s = -math.inf
        """Until then, a stream of any version may be unknown at all control processes."""

        self._unsure_logged_s = -math.inf

        self._controls_s = dict.fromkeys(controls, self._started_s)
        """When each control process was last a member, by address.

        One that is configured may have been removed just before this start.
        """

        self._log = log
        self._fence = OriginFence()
        self._newcomers_s: dict[StreamOrigin, float] = {}
        """Since when each version is known that is not the base version of its service."""

        self._told_alone: set[StreamOrigin] = set()
        self._waiting_reports = 0
        if log is None:
            self._fence.began(self._started_s)

    def load(self) -> None:
        """Read what former starts logged; call it before the first question is answered."""
        if self._log is None:
            return
        now_s = self._clock.monotonic_s()
        with self._lock:
            for age_s, batch in self._log.load():
                self._fence.load(batch, now_s - age_s)
                for stream, origin in batch.streams().items():
                    self._streams.put(stream, origin, now_s - age_s)

    def register(self, endpoint: RpcEndpoint) -> None:
        """Register the handlers of all messages."""
        endpoint.register(MessageKind.REPORT_ORIGINS, self._on_report)
        endpoint.register(MessageKind.FIND_ORIGINS, self._on_find_all)
        # Gateways of an older build ask for each stream.
        endpoint.register(MessageKind.FIND_ORIGIN, self._on_find)

    def store(self, report: ReportOrigins) -> OriginsStored | Failure:
        """Store the origins that a gateway reports.

        Returns:
            The reply; a failure if the disk did not take the first origin of a version in time.
        """
        now_s = self._clock.monotonic_s()
        is_current = self._hub.stale() is None
        view = self._hub.view()
        with self._lock:
            if not report.is_recorded_first:
                self._note_older_gateway(now_s)
            for stream, origin in report.streams.items():
                self._streams.put(stream, origin, now_s)
            bases = self._base_versions(view, now_s, is_current)
        if self._log is not None:
            self._log.append(report.streams)
            # The base version may have changed since an old state.
            known = view if is_current else FleetView()
            newcomers = _newcomers(report.streams.values(), known)
            if newcomers and not self._wait_synced(self._log, newcomers, now_s):
                return Failure(
                    kind=FailureKind.OVERLOADED,
                    reason="the disk did not take the first origin of a version in time",
                    step=Step.STORING,
                    execution=Execution.UNKNOWN,
                )
        return OriginsStored(incarnation=self._incarnation, base_versions=bases)

    def _note_older_gateway(self, now_s: float) -> None:
        self._unsure_until_s = now_s + KEEP_ORIGIN_S
        if self._log is not None and now_s - self._unsure_logged_s > FENCE_S:
            # So that the next start doubts base versions as long as this one does.
            self._unsure_logged_s = now_s
            self._log.begin_anew()

    def _wait_synced(self, log: OriginLog, newcomers: set[StreamOrigin], now_s: float) -> bool:
        since_s = now_s - FENCE_S
        if log.wait_synced(newcomers, since_s, timeout_s=0.0):
            return True
        with self._lock:
            if self._waiting_reports >= MAX_WAITING_REPORTS:
                return False
            self._waiting_reports += 1
        try:
            return log.wait_synced(newcomers, since_s, SYNC_TIMEOUT_S)
        finally:
            with self._lock:
                self._waiting_reports -= 1

    def find_all(self, question: FindOrigins) -> FoundOrigins:
        """Return what is known about the origins of streams."""
        now_s = self._clock.monotonic_s()
        # A process that is cut off may not know of the latest versions.
        is_current = self._hub.stale() is None
        tells_all = is_current or self._has_lease()
        view = self._hub.view()
        origins: dict[int, StreamOrigin] = {}
        only_versions: dict[str, str] = {}
        base_versions: dict[str, str] = {}
        with self._lock:
            self._update_history(view, now_s, is_current)
            bases = self._base_versions(view, now_s, is_current)
            for service, streams in question.services.items():
                only = self._history.only_version(service, now_s) if tells_all else None
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
            # Announced in an old state, a version would seem to have been alone since.
            newcomers = self._newcomers_due(view, now_s) if is_current else set()
            due = newcomers | self._alone_due(now_s)
        if self._log is not None:
            self._log.announce(due)

    def _newcomers_due(self, view: FleetView, now_s: float) -> set[StreamOrigin]:
        """Return the versions of which a record is to be on disk before their first origin."""
        serving = {StreamOrigin(record.service, record.version) for record in view.runners}
        since_s = self._newcomers_s
        self._newcomers_s = {
            origin: since_s.get(origin, now_s) for origin in _newcomers(serving, view)
        }
        due = {item for item, at_s in self._newcomers_s.items() if now_s - at_s >= ANNOUNCE_AFTER_S}
        for origin in due:
            self._newcomers_s[origin] = now_s + FENCE_S / 2 - ANNOUNCE_AFTER_S
        return due

    def _alone_due(self, now_s: float) -> set[StreamOrigin]:
        """Return the base versions that this start has seen alone, once each."""
        bases = self._history.base_versions(now_s).items()
        due = {StreamOrigin(service, version) for service, version in bases} - self._told_alone
        self._told_alone |= due
        return due

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

    def _base_versions(self, view: FleetView, now_s: float, is_current: bool) -> dict[str, str]:
        """Return the base versions if all origins are kept that were reported here since."""
        has_dropped = now_s - self._streams.dropped_s <= KEEP_ORIGIN_S
        if has_dropped or now_s < self._unsure_until_s:
            return {}
        seen_alone = self._history.base_versions(now_s)
        return {
            item.service: item.version
            for item in view.base_versions
            if seen_alone.get(item.service) == item.version
            or (is_current and not self._fence.may_lack(item.service, item.version, now_s))
        }

    def _on_report(self, envelope: Envelope, peer: str) -> bytes:
        report = decode(envelope.body, ReportOrigins, peer)
        return encode_reply(report if isinstance(report, Failure) else self.store(report))

    def _on_find_all(self, envelope: Envelope, peer: str) -> bytes:
        question = decode(envelope.body, FindOrigins, peer)
        return encode_reply(question if isinstance(question, Failure) else self.find_all(question))

    def _on_find(self, envelope: Envelope, peer: str) -> bytes:
        question = decode(envelope.body, FindOrigin, peer)
        return encode_reply(question if isinstance(question, Failure) else self.find(question))


def _newcomers(origins: Iterable[StreamOrigin], view: FleetView) -> set[StreamOrigin]:
    """Return the services and versions that are not those of a base version."""
    bases = {StreamOrigin(item.service, item.version) for item in view.base_versions}
    return set(origins) - bases


__all__ = ["OriginDirectory"]
