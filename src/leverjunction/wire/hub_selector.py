"""Selects the hub that a gateway uses: the nearest one that is neither dead nor stale.

A hub is stale if it responds but has no contact with a quorum, or has only just started. A hub that
failed or was stale is suspected, and avoided, for a while. The module performs no I/O.
"""

from __future__ import annotations

import math

import msgspec

SUSPICION_S = 10.0
"""Time for which a hub that failed is avoided before an exchange tries it again."""

STALE_SUSPICION_S = 3.0
"""Time for which a stale hub is avoided."""

MAX_STALE_HUBS = 3
"""Consecutive stale hubs after which the remaining ones are not expected to reach a quorum."""

STALE_HOLD_S = 2.0
"""Time for which a stale hub is kept when no other is trusted or several were stale, since each
switch costs a full view. This hub alone may be cut off from the quorum, so the time, an interval
between exchanges and a lost exchange together are below the 4 s in which a change has to be in
force."""

MAX_SUSPICION_S = 80.0
"""Upper bound of a suspicion, which doubles each time that the hub fails after the last one."""


class _Suspicion(msgspec.Struct, frozen=True):
    """A period in which a hub is avoided.

    Attributes:
        noted_s: Time when the hub last failed or was stale.
        length_s: Length of the period, from that time on.
    """

    noted_s: float
    length_s: float

    @property
    def until_s(self) -> float:
        """Time from which the hub is trusted again."""
        return self.noted_s + self.length_s


class HubSelector:
    """Holds the hubs in order of preference and their recent failures. Not thread-safe.

    The hub in use changes when it fails. Only ``select``, which the background exchange calls,
    returns to a nearer hub, so no caller's request is delayed by a hub that may still be dead.

    A stale hub responds, so it is preferred to a dead one. But a suspected hub may have recovered:
    while the hub in use is stale, the suspected ones are tried in turn, long before their
    suspicion ends.
    """

    def __init__(self, hubs: list[str]) -> None:
        self._hubs = list(hubs)
        self._current = hubs[0]
        self._suspicions: dict[str, _Suspicion] = {}
        self._stale: set[str] = set()
        self._retried: set[str] = set()
        """Suspected hubs that were tried since the last reply of a hub with a quorum."""
        self._hold_until_s: float | None = None

    @property
    def current(self) -> str:
        """Address of the hub in use."""
        return self._current

    @property
    def hubs(self) -> list[str]:
        """All known hubs, most preferred first."""
        return list(self._hubs)

    def replace(self, hubs: list[str]) -> None:
        """Replace the list of hubs, most preferred first. An empty list has no effect."""
        if not hubs:
            return
        self._hubs = list(hubs)
        if self._current not in self._hubs:
            self._current = self._hubs[0]

    def record_failure(self, hub: str, now_s: float) -> bool:
        """Record that ``hub`` did not respond, and switch to another one if it is in use.

        Returns:
            True if the hub was not suspected before, so that the caller logs the change.
        """
        newly_suspected = self._suspect(hub, now_s, SUSPICION_S)
        self._stale.discard(hub)
        if hub == self._current:
            self._hold_until_s = None
            self._current = self._first_trusted(now_s) or self._best_suspected(hub)
        return newly_suspected

    def record_stale(self, hub: str, now_s: float) -> bool:
        """Record that ``hub`` is stale.

        If it is in use, the selector switches to a trusted hub, else to each suspected one once. If
        there is none, or several consecutive hubs were stale, the hub is kept for
        ``STALE_HOLD_S``, since another one is unlikely to be better.

        Returns:
            True if the hub was not suspected before, so that the caller logs the change.
        """
        newly_suspected = self._suspect(hub, now_s, STALE_SUSPICION_S)
        self._stale.add(hub)
        if hub != self._current or self._hold_until_s is not None:
            return newly_suspected
        other = self._first_trusted(now_s) or self._suspected_to_retry()
        if other is not None and len(self._stale) < MAX_STALE_HUBS:
            self._current = other
        else:
            self._hold_until_s = now_s + STALE_HOLD_S
        return newly_suspected

    def record_success(self, hub: str) -> None:
        """Record that ``hub`` responded and has contact with a quorum."""
        self._suspicions.pop(hub, None)
        self._stale.clear()
        self._retried.clear()
        self._hold_until_s = None

    def select(self, now_s: float) -> str:
        """Return the hub to use now.

        It is the nearest trusted hub, or the current one while a stale hub is kept. After that time
        it is another hub, the one whose last failure is the oldest.
        """
        if self._hold_until_s is None:
            self._current = self._first_trusted(now_s) or self._current
        elif now_s >= self._hold_until_s:
            self._hold_until_s = None
            self._current = self._hub_with_oldest_failure(self._current)
        return self._current

    def _suspect(self, hub: str, now_s: float, length_s: float) -> bool:
        """Suspect a hub, for twice as long as before if it fails after its suspicion ended.

        Concurrent failures, and failed attempts at a suspected hub, count as one failure.
        """
        previous = self._suspicions.get(hub)
        if previous is not None:
            doubled = previous.length_s * 2 if now_s >= previous.until_s else previous.length_s
            length_s = min(max(length_s, doubled), MAX_SUSPICION_S)
        self._suspicions[hub] = _Suspicion(noted_s=now_s, length_s=length_s)
        return previous is None

    def _first_trusted(self, now_s: float) -> str | None:
        return next((hub for hub in self._hubs if self._is_trusted(hub, now_s)), None)

    def _is_trusted(self, hub: str, now_s: float) -> bool:
        suspicion = self._suspicions.get(hub)
        return suspicion is None or suspicion.until_s <= now_s

    def _best_suspected(self, failed: str) -> str:
        """Return the hub that was stale last, else the one whose last failure is the oldest."""
        stale = [hub for hub in self._hubs if hub in self._stale]
        if stale:
            return max(stale, key=self._noted_s)
        return self._hub_with_oldest_failure(failed)

    def _suspected_to_retry(self) -> str | None:
        """Return a suspected hub that was not tried recently, since it may have recovered.

        A stale hub is detected after 2 s and the interval of an exchange. If it were kept even
        longer, a gateway whose only trusted hub is cut off would get a change after more than 4 s.
        """
        untried = [hub for hub in self._hubs if hub not in self._stale | self._retried]
        hub = min(untried, key=self._noted_s, default=None)
        if hub is not None:
            self._retried.add(hub)
        return hub

    def _hub_with_oldest_failure(self, excluded: str) -> str:
        others = [hub for hub in self._hubs if hub != excluded]
        return min(others, key=self._noted_s, default=excluded)

    def _noted_s(self, hub: str) -> float:
        suspicion = self._suspicions.get(hub)
        return -math.inf if suspicion is None else suspicion.noted_s
