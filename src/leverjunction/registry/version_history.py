"""Versions of the back ends' software that may have begun a stream which is still alive.

Performs no I/O: the time is passed in.
"""

from __future__ import annotations

from collections.abc import Iterable

from leverjunction.registry.origins import STREAM_LIFETIME_S
from leverjunction.registry.records import FleetView


class VersionHistory:
    """The versions of each service: those of its back ends, and those that ended lately.

    The *base version* of a service is the last one that was the only one, as long as a stream of it
    may be alive. Streams of all other versions began after this process had seen that.

    Args:
        lifetime_s: Time after the end of a version for which its streams may be alive, in seconds.
    """

    __slots__ = (
        "_base",
        "_ended_s",
        "_former",
        "_is_confirmed",
        "_lifetime_s",
        "_live",
        "_settled",
        "_view",
    )

    def __init__(self, lifetime_s: float = STREAM_LIFETIME_S) -> None:
        self._lifetime_s = lifetime_s
        self._base: dict[str, str] = {}
        self._is_confirmed = False
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
        if self._is_confirmed:
            # A version that comes back must not become the base version again.
            self._update_base(now_s)
        self._is_confirmed = False
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
        self._is_confirmed = True
        self._update_base(now_s)

    def _update_base(self, now_s: float) -> None:
        for service in {*self._live, *self._base}:
            versions = self.versions(service, now_s)
            if len(versions) == 1:
                self._base[service] = next(iter(versions))
            elif self._base.get(service) not in versions:
                self._base.pop(service, None)

    def base_version(self, service: str, now_s: float) -> str | None:
        """Return the base version of a service; None if this process does not know it."""
        base = self._base.get(service)
        return base if base in self.versions(service, now_s) else None

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


__all__ = ["VersionHistory", "former_versions"]
