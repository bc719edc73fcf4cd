"""Expires the records of suspect requests on the registry's leader.

A *verdict* is the refusal of a suspect request for a limited time. The retention of a record counts
from the moment when this leader first saw its present content. A new leader starts counting anew,
so a verdict may last longer than intended, but never shorter.

This module does no I/O; callers pass in the time.
"""

from __future__ import annotations

from loguru import logger

from leverjunction.quarantine.records import SuspectList, SuspectRecord
from leverjunction.quarantine.verdicts import Standing, retention_s, standing
from leverjunction.registry.commands import RegistryCommand, ReviewSuspects


class SuspectReview:
    """Tracks the ages of suspect records. Not thread-safe."""

    __slots__ = ("_seen",)

    def __init__(self) -> None:
        self._seen: dict[str, tuple[SuspectRecord, float]] = {}

    def due(self, suspects: SuspectList, now_s: float) -> list[RegistryCommand]:
        """Return the changes that are due, and log new verdicts.

        Args:
            suspects: All suspects as applied on the leader.
            now_s: Monotonic time in seconds.
        """
        self._update_seen(suspects, now_s)
        over = [
            record
            for record, since_s in self._seen.values()
            if now_s - since_s >= retention_s(record)
        ]
        if not over:
            return []
        refused = [item.key for item in over if _is_refused(item)]
        others = [item.key for item in over if not _is_refused(item)]
        return [ReviewSuspects(on_trial=tuple(refused), forgotten=tuple(others))]

    def _update_seen(self, suspects: SuspectList, now_s: float) -> None:
        known, self._seen = self._seen, {}
        for key in known.keys() - {record.key for record in suspects.suspects}:
            logger.info("request {} is no longer a suspect", key)
        for record in suspects.suspects:
            before = known.get(record.key)
            if before is not None and before[0] == record:
                self._seen[record.key] = before
                continue
            self._seen[record.key] = (record, now_s)
            if _is_refused(record) and (before is None or not _is_refused(before[0])):
                logger.warning(
                    "request {} of route {} is refused for {:.0f} s: it crashed back ends {}"
                    " (last attempt {})",
                    record.key,
                    record.route,
                    retention_s(record),
                    ", ".join([*record.starts, *record.late_starts]),
                    record.request_id,
                )


def _is_refused(record: SuspectRecord) -> bool:
    return standing(record) is Standing.REFUSED
