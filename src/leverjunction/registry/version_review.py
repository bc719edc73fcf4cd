"""Ends the doubt about former versions of services, on the registry's leader.

Only a process that has watched a version end knows that no stream of it can be alive any more; one
that has just started does not. The leader has watched, and replicates what it knows. A leader
counts from the moment when it first saw a version ended, so it may settle a version later than
needed, but never sooner.

This module does no I/O; callers pass in the time.
"""

from __future__ import annotations

from leverjunction.registry.commands import ForgetVersions, RegistryCommand
from leverjunction.registry.origins import STREAM_LIFETIME_S
from leverjunction.registry.records import FleetView, SettledVersion

SETTLE_MARGIN_S = 10.0
"""Time by which a gateway may hear later than the leader that a version has ended."""


class VersionReview:
    """Tracks since when former versions have ended. Not thread-safe."""

    __slots__ = ("_seen",)

    def __init__(self) -> None:
        self._seen: dict[tuple[str, str], tuple[int, float]] = {}

    def due(self, view: FleetView, now_s: float) -> list[RegistryCommand]:
        """Return the command that settles versions, if it is due for some.

        Args:
            view: The registry as applied on the leader.
            now_s: Monotonic time in seconds.
        """
        live = {(record.service, record.version) for record in view.runners}
        former = {(service, item) for service, items in view.former_versions for item in items}
        since = (view.revision, now_s)
        self._seen = {key: self._seen.get(key, since) for key in former - live}
        due = {
            key: revision
            for key, (revision, seen_s) in self._seen.items()
            if now_s - seen_s >= STREAM_LIFETIME_S + SETTLE_MARGIN_S
        }
        if not due:
            return []
        # One that is listed after the command has ended again meanwhile: it counts anew.
        self._seen.update(dict.fromkeys(due, since))
        settled = (SettledVersion(*key, through) for key, through in sorted(due.items()))
        return [ForgetVersions(tuple(settled))]


__all__ = ["SETTLE_MARGIN_S", "VersionReview"]
