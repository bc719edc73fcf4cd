"""Until when resumed streams may still be sent to back ends that have begun to leave.

A leaving back end serves for a while after a control process has acknowledged that it leaves, and
may be sent requests for as long. A gateway does not hear when that was, but it cannot have been
before the time up to which the gateway knew the back end as serving.

Performs no I/O: the time is passed in.
"""

from __future__ import annotations

from collections.abc import Iterable

from leverjunction.registry.records import RunnerRecord, RunnerState

REACH_MARGIN_S = 0.3
"""Time that a request may be on its way: the bound counts until it reaches the back end."""


class Departures:
    """Back ends that have begun to leave, as one gateway hears of it.

    Args:
        drain_s: Time after the acknowledgement for which requests may reach a leaving back end, in
            seconds.
    """

    __slots__ = ("_drain_s", "_ready", "_until_s")

    def __init__(self, drain_s: float) -> None:
        self._drain_s = drain_s
        self._ready: frozenset[str] = frozenset()
        self._until_s: dict[str, float] = {}

    def update(self, records: Iterable[RunnerRecord], known_until_s: float, now_s: float) -> None:
        """Apply a newer state of the registry.

        Args:
            records: All back ends. One that was ready and is missing has left too; a silent one
                was removed because nobody hears of it.
            known_until_s: Time up to which the state before it is known to contain all changes.
            now_s: Monotonic time in seconds.
        """
        known = list(records)
        ready = _starts(known, RunnerState.READY)
        listed = ready | _starts(known, RunnerState.SILENT)
        last_s = known_until_s + self._drain_s - REACH_MARGIN_S
        begun = {**self._until_s, **dict.fromkeys(self._ready - listed, last_s)}
        self._until_s = {
            start: until_s
            for start, until_s in begun.items()
            if until_s > now_s and start not in listed
        }
        self._ready = ready

    def reachable(self, now_s: float) -> frozenset[str]:
        """Return the starts of the leaving back ends that requests may still be sent to."""
        return frozenset(start for start, until_s in self._until_s.items() if until_s > now_s)


def _starts(records: list[RunnerRecord], state: RunnerState) -> frozenset[str]:
    return frozenset(item.start for item in records if item.state is state)


__all__ = ["Departures"]
