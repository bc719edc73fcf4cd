"""How long the events of items take on average, to tell fast back ends from slow ones. Pure.

Load pattern: services and routes whose events take milliseconds beside others whose events take a
tenth of a second. Items are compared with those of their own route and service alone.

Times are taken as they were. Work (``work_rate``) depends on the rates that are learned from these
figures, and would not keep their mean in place.
"""

from __future__ import annotations

from leverjunction.lots.urgency import AVERAGE_WEIGHT

MIN_EVENTS = 20
"""Fewest events of a run that says how fast its back end works: the start of a short one counts for
more than its events.
"""

MAX_KINDS = 256
"""Most kinds of items that are remembered; beyond them the one seen first is forgotten."""

Kind = tuple[str, str]
"""Service and route of items."""


class UsualTimes:
    """Average time of an event, by kind of item."""

    __slots__ = ("_event_s",)

    def __init__(self) -> None:
        self._event_s: dict[Kind, float] = {}

    def record(self, kind: Kind, events: int, took_s: float) -> float | None:
        """Add a run, and return the time that it takes on average.

        Returns:
            The time in seconds by the earlier runs; None if it is not known, or if the run is too
            short to be compared.
        """
        if events < MIN_EVENTS:
            return None
        known_s = self._event_s.get(kind)
        if known_s is None:
            if len(self._event_s) >= MAX_KINDS:
                del self._event_s[next(iter(self._event_s))]
            self._event_s[kind] = took_s / events
            return None
        self._event_s[kind] = known_s + (took_s / events - known_s) * AVERAGE_WEIGHT
        return known_s * events


__all__ = ["MAX_KINDS", "MIN_EVENTS", "UsualTimes"]
