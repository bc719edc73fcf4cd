"""The origins of the streams that a gateway relays or is asked to continue.

A caller continues a stream by a new request that names its first attempt, mostly at another
gateway than the one that relayed it.
"""

from __future__ import annotations

import asyncio
import math
import threading
from collections.abc import Callable
from typing import Protocol

import xxhash

from leverjunction.proxy.caller_request import CallerRequest
from leverjunction.proxy.departures import Departures
from leverjunction.proxy.headers import find
from leverjunction.registry.origins import (
    RENEW_LATEST_S,
    STREAM_LIFETIME_S,
    OriginSource,
    OriginTable,
    Resumption,
    StreamOrigin,
)
from leverjunction.registry.records import FleetView
from leverjunction.registry.version_history import VersionHistory
from leverjunction.registry.version_leases import FirstSeen, SharedRevisions

MAX_OWN_STREAMS = 20_000
FIND_TIMEOUT_S = 0.5
"""Longest wait of a caller for the origin of its stream."""

VIEW_LAG_S = 10.0
"""Longest time by which this gateway may hear of an end later or earlier than a control process: a
base version ends earlier here by so much, and the next one follows it later.
"""

DRAIN_S = 2.0

REVIEW_INTERVAL_S = 5.0
"""Interval at which it is checked whether a service still has several versions."""


class OriginDirectory(Protocol):
    """Shares origins between gateways, as ``registry.origin_client`` does."""

    @property
    def is_recording(self) -> bool:
        """Whether origins that are reported get stored."""
        ...

    @property
    def told_bases(self) -> dict[str, str]:
        """Base versions by service, as a control process last told them."""
        ...

    def report(self, streams: dict[int, StreamOrigin]) -> None:
        """Report origins without waiting."""
        ...

    async def record(self, stream: int, origin: StreamOrigin) -> bool:
        """Report an origin and wait until it is stored; return whether it is."""
        ...

    async def find(self, stream: int, service: str, timeout_s: float) -> Resumption:
        """Return the origin of a stream that another gateway relayed, or why it is unknown."""
        ...


class StreamOrigins:
    """Knows which version began each stream. Used by one event loop, except for ``live``.

    Origins are shared only while a service has several versions. A stream that is not of the base
    version (``VersionHistory``) sends no event before its origin is stored, so that a stream which
    nobody knows began at the base version.

    Args:
        directory: Shares origins with other gateways; None to keep them in this process.
        view_age_s: Returns the maximum age of the state that ``update`` took last, in seconds.
        max_view_age_s: Age up to which that state tells all versions. A gateway that is cut off
            from the control processes may not know of the latest one.
        shared: Returns which states of the registry all gateways and control processes have.
        drain_s: Time for which requests may reach a back end that leaves, in seconds.
    """

    def __init__(
        self,
        directory: OriginDirectory | None = None,
        view_age_s: Callable[[], float] = lambda: 0.0,
        max_view_age_s: float = math.inf,
        shared: Callable[[], SharedRevisions] = SharedRevisions,
        drain_s: float = DRAIN_S,
    ) -> None:
        self.directory = directory
        self._view_age_s = view_age_s
        self._max_view_age_s = max_view_age_s
        self._shared = shared
        self._streams = OriginTable(MAX_OWN_STREAMS)
        self._lock = threading.Lock()
        self._history = VersionHistory(
            STREAM_LIFETIME_S + VIEW_LAG_S, STREAM_LIFETIME_S - VIEW_LAG_S
        )
        self._ambiguous: set[str] = set()
        self._first_seen: dict[tuple[str, str], FirstSeen] = {}
        self._oldest: dict[str, str] = {}
        self._registered_bases: dict[str, str] = {}
        self._reviewed_s = 0.0
        self._departures = Departures(drain_s)
        self._loop = asyncio.get_running_loop()

    def update(self, view: FleetView, known_until_s: float | None = None) -> None:
        """Apply a newer state of the registry; report what a new version puts in doubt.

        Args:
            view: The state.
            known_until_s: Time up to which the state before it is known to contain all changes, in
                the loop's seconds; None for the age of the registry's state here.
        """
        now_s = self._loop.time()
        if known_until_s is None:
            known_until_s = now_s - self._view_age_s()
        self._departures.update(view.runners, known_until_s, now_s)
        self._history.update(view, now_s)
        live = {(record.service, record.version) for record in view.runners}
        # All versions served from then on, so this state is no news for a gateway that starts.
        versions = self._shared().versions
        seen = FirstSeen(now_s, min(view.revision, versions) if versions >= 0 else view.revision)
        self._first_seen = {key: self._first_seen.get(key, seen) for key in live}
        self._oldest = {
            item.service: item.version
            for item in sorted(view.runners, key=lambda item: item.born_ms, reverse=True)
        }
        self._registered_bases = {item.service: item.version for item in view.base_versions}
        known = self._ambiguous
        self._review(now_s)
        if self.directory is not None and self._ambiguous - known:
            # The streams that began before there was any doubt.
            self.directory.report(self.live())

    def review(self) -> None:
        """Note what the state tells at its present age; call it when that has become less."""
        self._review(self._loop.time())

    async def began(self, stream: int, origin: StreamOrigin) -> bool:
        """Record the origin of a stream; call it before the first event is passed on.

        Returns:
            Whether a gateway that is asked to continue the stream will find its origin.
        """
        now_s = self._keep(stream, origin)
        if now_s - self._reviewed_s >= REVIEW_INTERVAL_S:
            self._review(now_s)
        if self.directory is None or origin.service not in self._ambiguous:
            return True
        if origin.version == self._history.base_version(origin.service, now_s):
            self.directory.report({stream: origin})
            return True
        return await self.directory.record(stream, origin)

    async def renew(self, stream: int, origin: StreamOrigin, kept_s: float) -> None:
        """Keep the origin of a stream that goes on; call it before each event is passed on.

        Args:
            stream: Key of the stream.
            origin: Its origin.
            kept_s: When it was last kept, in the loop's seconds.
        """
        if self._loop.time() - kept_s >= RENEW_LATEST_S:
            await self.began(stream, origin)
            return
        self._keep(stream, origin)
        if self.directory is not None and origin.service in self._ambiguous:
            self.directory.report({stream: origin})

    def reachable_departures(self) -> frozenset[str]:
        """Return the starts of leaving back ends at which resumed streams may still go on."""
        return self._departures.reachable(self._loop.time())

    def preferred_version(self, service: str) -> str | None:
        """Return the version at which a new stream should begin, None for any.

        It is the base version while origins are not stored: streams of others could not be found.
        """
        if self.directory is None or self.directory.is_recording:
            return None
        return self._base_version(service)

    def widely_known_version(self, service: str) -> str | None:
        """Return the base version while another gateway may not have heard of a newer one.

        That gateway would take it for the only one. None if all versions are widely known. A
        gateway that knows no base version goes by the back end that started first.
        """
        if self.directory is None or service not in self._ambiguous:
            return None
        now_s, shared = self._loop.time(), self._shared()
        seen = [seen for (name, _), seen in self._first_seen.items() if name == service]
        if all(item.is_widely_known(shared, now_s, self._max_view_age_s) for item in seen):
            return None
        return self._base_version(service) or self._oldest.get(service)

    def _base_version(self, service: str) -> str | None:
        """Return the base version of a service while it has several, None if it is unknown.

        A gateway that has started since goes by what control processes told, or else by the
        registry: they take unknown streams only for ones of its base version. The one that told
        last may know less than others, which answer later.
        """
        if self.directory is None or service not in self._ambiguous:
            return None
        own = self._history.base_version(service, self._loop.time())
        told = own or self.directory.told_bases.get(service)
        return told or self._registered_bases.get(service)

    def _keep(self, stream: int, origin: StreamOrigin) -> float:
        now_s = self._loop.time()
        with self._lock:
            self._streams.put(stream, origin, now_s)
        return now_s

    def live(self) -> dict[int, StreamOrigin]:
        """Return the origins of all streams that may be continued; may be called by any thread."""
        with self._lock:
            return self._streams.all(self._loop.time())

    async def find(self, stream: int, service: str) -> Resumption:
        """Return what began a stream that a caller continues.

        Args:
            stream: Key of the stream.
            service: Service that the stream would be sent to.
        """
        now_s = self._loop.time()
        own = self._streams.get(stream, now_s)
        if own is not None:
            return Resumption(own, OriginSource.OWN)
        only = self._history.only_version(service, now_s)
        if only is not None and self._view_age_s() <= self._max_view_age_s:
            return Resumption(StreamOrigin(service, only), OriginSource.ONLY_VERSION)
        if self.directory is None:
            return Resumption(None, OriginSource.NOT_ASKED)
        return await self.directory.find(stream, service, FIND_TIMEOUT_S)

    def _review(self, now_s: float) -> None:
        self._reviewed_s = now_s
        ambiguous = self._history.ambiguous(now_s)
        if self._view_age_s() <= self._max_view_age_s:
            self._history.confirm(now_s)
            self._ambiguous = ambiguous
        else:
            # A version may have come back without this gateway having heard of it.
            self._ambiguous |= ambiguous


def stream_key(request: CallerRequest, attempt_id: str) -> int:
    """Return the key of a stream, equal in the request that began it and in those that continue it.

    Args:
        request: One of these requests.
        attempt_id: The caller's id of the attempt that brought the first event.
    """
    host = find(request.headers, b"host") or b""
    fields = (host.lower(), request.target, attempt_id.encode("latin-1", "replace"))
    # The lengths prevent equal keys when bytes move from one field to the next.
    return xxhash.xxh64_intdigest(b"".join(b"%d:%b" % (len(item), item) for item in fields))


__all__ = ["OriginDirectory", "StreamOrigins", "stream_key"]
