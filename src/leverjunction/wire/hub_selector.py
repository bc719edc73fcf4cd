"""Chooses the hub that a gateway speaks to: the nearest that is neither dead nor stale. Pure."""

from __future__ import annotations

import msgspec

SUSPICION_S = 10.0
"""How long a hub that failed is passed over before the exchange tries it again."""

STALE_SUSPICION_S = 3.0
"""The same for a hub that answered, but hears no quorum or has only just started."""

STALE_HUBS_TRIED = 3
"""After so many hubs in a row that serve without a quorum the next ones will hardly hear one."""

STALE_STAY_S = 3.0
"""How long such a hub is kept then: each move costs a full view. Short beside the 4 s in which a
change is to be in force: the quorum may be back while just this hub is still cut off from it."""

MAX_SUSPICION_S = 80.0
"""Upper bound of the suspicion, which doubles with each failure in a row."""


class _Suspicion(msgspec.Struct, frozen=True):
    until_s: float
    length_s: float


class HubSelector:
    """Keeps the order of preference and who failed lately. Not safe between threads by itself.

    The hub in use changes when it fails. The way back to a nearer hub is taken only by
    ``reconsider``, which the background exchange calls, so that no request of a caller pays for
    trying a hub that is perhaps still dead.
    """

    def __init__(self, hubs: list[str]) -> None:
        self._hubs = list(hubs)
        self._current = hubs[0]
        self._suspicions: dict[str, _Suspicion] = {}
        self._stale: set[str] = set()
        self._stay_until_s = 0.0

    @property
    def current(self) -> str:
        """Address of the hub in use."""
        return self._current

    @property
    def hubs(self) -> list[str]:
        """All known hubs, most preferred first."""
        return list(self._hubs)

    def replace(self, hubs: list[str]) -> None:
        """Take a new list of hubs, most preferred first; an empty list changes nothing."""
        if not hubs:
            return
        self._hubs = list(hubs)
        if self._current not in self._hubs:
            self._current = self._hubs[0]

    def failed(self, hub: str, now_s: float, *, answered: bool = False) -> bool:
        """Note that ``hub`` did not answer, or answered as one without a quorum.

        Args:
            hub: The hub that was called.
            now_s: Monotonic time in seconds.
            answered: True when it answered but is stale. With every hub in doubt a stale one is
                kept, since another is no better; one that is silent is left in any case.

        Returns:
            True when the hub was trusted until now: a change of state, worth a log line.
        """
        if hub == self._current:
            self._stay_until_s = 0.0
        known = self._suspicions.get(hub)
        first_s = STALE_SUSPICION_S if answered else SUSPICION_S
        length_s = min(known.length_s * 2, MAX_SUSPICION_S) if known else first_s
        self._suspicions[hub] = _Suspicion(until_s=now_s + length_s, length_s=length_s)
        if hub == self._current:
            trusted = self._first_trusted(now_s)
            if trusted is not None:
                self._current = trusted
            elif not answered:
                self._current = self._after(hub)
        return known is None

    def stale(self, hub: str, now_s: float) -> bool:
        """Note that ``hub`` serves, but hears no quorum; return as ``failed`` does.

        It is left for another one, unless several in a row were like it.
        """
        self._stale.add(hub)
        if len(self._stale) < STALE_HUBS_TRIED:
            return self.failed(hub, now_s, answered=True)
        newly = now_s >= self._stay_until_s
        if newly:
            self._stay_until_s = now_s + STALE_STAY_S
        return newly and hub not in self._suspicions

    def succeeded(self, hub: str) -> None:
        """Note that ``hub`` answered and hears a quorum."""
        self._suspicions.pop(hub, None)
        self._stale.clear()
        self._stay_until_s = 0.0

    def reconsider(self, now_s: float) -> str:
        """Return to the most preferred hub whose suspicion is over; return the hub in use."""
        if now_s < self._stay_until_s:
            return self._current
        trusted = self._first_trusted(now_s)
        if trusted is not None:
            self._current = trusted
        return self._current

    def _first_trusted(self, now_s: float) -> str | None:
        return next((hub for hub in self._hubs if self._is_trusted(hub, now_s)), None)

    def _is_trusted(self, hub: str, now_s: float) -> bool:
        suspicion = self._suspicions.get(hub)
        return suspicion is None or suspicion.until_s <= now_s

    def _after(self, hub: str) -> str:
        position = self._hubs.index(hub)
        return self._hubs[(position + 1) % len(self._hubs)]
