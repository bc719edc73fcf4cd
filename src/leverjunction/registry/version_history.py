"""Versions of the back ends' software that may have begun a stream which is still alive.

Performs no I/O: the time is passed in.
"""

from __future__ import annotations

import math
from collections.abc import Iterable

from leverjunction.registry.origins import STREAM_LIFETIME_S
from leverjunction.registry.records import FleetView


class VersionHistory:
    """The versions of each service: those of its back ends, and those that ended lately.

    The *base version* of a service is the last one that was the only one, as long as a stream of it
    may be alive. Streams of all other versions began after this process had seen that.

    Args:
        lifetime_s: Time after the end of a version for which its streams may be alive, in seconds.
        base_lifetime_s: Time after its end for which a base version counts as one, in seconds; by
            default the same.
    """

    __slots__ = (
        "_base",
        "_base_lifetime_s",
        "_confirmed_s",
        "_ended_s",
        "_former",
        "_lifetime_s",
        "_live",
        "_settled",
        "_view",
    )

    def __init__(
        self, lifetime_s: float = STREAM_LIFETIME_S, base_lifetime_s: float | None = None
    ) -> None:
        self._lifetime_s = lifetime_s
        self._base_lifetime_s = lifetime_s if base_lifetime_s is None else base_lifetime_s
        self._base: dict[str, str] = {}
        self._confirmed_s = -math.inf
        self._live: dict[str, set[str]] = {}
        self._former: set[tuple[str, str]] = set()
        self._settled: set[tuple[str, str]] = set()
        self._ended_s: dict[tuple[str, str], float] = {}
        self._view: FleetView | None = None

    def update(self, view: FleetView, now_s: float) -> None:
        """Apply a newer state of the registry.

        A process that has just started does not know when the former versions ended: as far as it
        can tell, they just did. Those of which no stream can be alive are listed apart, as settled.

        Args:
            view: The registry.
            now_s: Monotonic time in seconds.
        """
        if view is self._view:
            return
        # A version that comes back is not the base version again.
        self._drop_ended_bases(now_s)
        if now_s - self._confirmed_s > self._base_lifetime_s:
            self._drop_doubtful_bases(view)
        self._view = view
        before = {(service, item) for service, items in self._live.items() for item in items}
        self._live = {}
        for record in view.runners:
            self._live.setdefault(record.service, set()).add(record.version)
        former = {(service, item) for service, items in view.former_versions for item in items}
        self._settled = {(name, item) for name, items in view.settled_versions for item in items}
        for ended in before | (former - self._former):
            self._ended_s[ended] = now_s
        self._former = former
        self._ended_s = {
            key: ended_s
            for key, ended_s in self._ended_s.items()
            if now_s - ended_s <= self._lifetime_s
        }

    def confirm(self, now_s: float) -> None:
        """Note that the last state is current: no version is missing in it.

        Args:
            now_s: Monotonic time in seconds.
        """
        self._drop_ended_bases(now_s)
        self._confirmed_s = now_s
        for service in self._live:
            only = self.only_version(service, now_s)
            if only is not None:
                self._base[service] = only

    def base_version(self, service: str, now_s: float) -> str | None:
        """Return the base version of a service; None if this process does not know it."""
        return self.base_versions(now_s).get(service)

    def base_versions(self, now_s: float) -> dict[str, str]:
        """Return the base versions by service, as far as this process knows them."""
        self._drop_ended_bases(now_s)
        return dict(self._base)

    def _drop_ended_bases(self, now_s: float) -> None:
        for service, base in list(self._base.items()):
            ended_s = self._ended_s.get((service, base), -math.inf)
            is_live = base in self._live.get(service, ())
            if not is_live and now_s - ended_s > self._base_lifetime_s:
                del self._base[service]

    def _drop_doubtful_bases(self, view: FleetView) -> None:
        """Keep what the registry agrees with: others may have ended and come back unnoticed."""
        recorded = {item.service: item.version for item in view.base_versions}
        self._base = {
            service: base for service, base in self._base.items() if recorded.get(service) == base
        }

    def versions(self, service: str, now_s: float) -> set[str]:
        """Return the versions of a service that may have begun a stream which is still alive."""
        ended = {
            version
            for (name, version), ended_s in self._ended_s.items()
            if name == service and now_s - ended_s <= self._lifetime_s
        }
        return self._live.get(service, set()) | ended

    def only_version(self, service: str, now_s: float) -> str | None:
        """Return the version of a service if there is only one, otherwise None."""
        versions = self.versions(service, now_s)
        return next(iter(versions)) if len(versions) == 1 else None

    def ambiguous(self, now_s: float) -> set[str]:
        """Return the services with several versions."""
        services = {*self._live, *(service for service, _ in self._ended_s)}
        return {name for name in services if len(self.versions(name, now_s)) > 1}

    def ever(self, service: str) -> set[str]:
        """Return the versions of a service in all records that the registry has kept."""
        return self._live.get(service, set()) | {
            version for name, version in self._former | self._settled if name == service
        }


def next_base_version(base: str | None, live: set[str], former: set[str]) -> str | None:
    """Return the base version of a service in the registry's next state; None if it has none.

    Args:
        base: Base version in the former state.
        live: Versions of the back ends that serve.
        former: Versions that have ended and may have begun a stream which is still alive.
    """
    if len(live) == 1 and former <= live:
        return next(iter(live))
    # After a state without it, a gateway may have taken another version for the base.
    return base if base in live else None


def former_versions(
    gone: Iterable[tuple[str, str]],
) -> tuple[tuple[str, tuple[str, ...]], ...]:
    """Return the versions of ended back ends by service, in the form of ``FleetView``.

    Args:
        gone: Service and version of back ends that have ended.
    """
    by_service: dict[str, set[str]] = {}
    for service, version in gone:
        by_service.setdefault(service, set()).add(version)
    return tuple((service, tuple(sorted(by_service[service]))) for service in sorted(by_service))


__all__ = ["VersionHistory", "former_versions", "next_base_version"]
