"""Chooses the hub that a gateway speaks to: the nearest that is neither dead nor stale. Pure."""

from __future__ import annotations

import math

import msgspec

SUSPICION_S = 10.0
"""How long a hub that failed is passed over before the exchange tries it again."""

STALE_SUSPICION_S = 3.0
"""The same for a hub that answered, but hears no quorum or has only just started."""

STALE_HUBS_TRIED = 3
"""After so many hubs in a row that serve without a quorum the next ones will hardly hear one."""

STALE_STAY_S = 2.0
"""How long a stale hub is kept when no other is trusted, or several were stale: each move costs a
full view. The stay, an interval between exchanges and a lost one are together shorter than the
4 s in which a change is to be in force: just this hub may be cut off from the quorum."""

MAX_SUSPICION_S = 80.0
"""Upper bound of the suspicion, which doubles with each failure in a row."""


class _Suspicion(msgspec.Struct, frozen=True):
    """Doubt in a hub.

    Attributes:
        noted_s: When it last failed or was stale.
        length_s: How long it is passed over from then on.
    """

    noted_s: float
    length_s: float

    @property
    def until_s(self) -> float:
        """When the hub is trusted again."""
        return self.noted_s + self.length_s


class HubSelector:
    """Keeps the order of preference and who failed lately. Not safe between threads by itself.

    The hub in use changes when it fails. The way back to a nearer hub is taken only by
    ``reconsider``, which the background exchange calls, so that no request of a caller pays for
    trying a hub that is perhaps still dead.

    A stale hub serves, so it is better than a silent one; but a doubt is only a memory: while the
    hub in use is stale the doubted ones are tried in turn, long before their doubt is over.
    """

    def __init__(self, hubs: list[str]) -> None:
        self._hubs = list(hubs)
        self._current = hubs[0]
        self._suspicions: dict[str, _Suspicion] = {}
        self._stale: set[str] = set()
        self._retried: set[str] = set()
        """Doubted hubs that were tried since a hub heard a quorum last."""
        self._stay_until_s: float | None = None

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

    def failed(self, hub: str, now_s: float) -> bool:
        """Note that ``hub`` did not answer, and leave it if it is in use.

        Returns:
            True when the hub was trusted until now: a change of state, worth a log line.
        """
        newly = self._doubt(hub, now_s, SUSPICION_S)
        self._stale.discard(hub)
        if hub == self._current:
            self._stay_until_s = None
            self._current = self._first_trusted(now_s) or self._best_doubted(hub)
        return newly

    def stale(self, hub: str, now_s: float) -> bool:
        """Note that ``hub`` serves, but hears no quorum or has just started.

        It is left for a trusted one, else for each doubted one once, unless several in a row were
        like it; else it is kept for a while, since another is hardly better. Returns as ``failed``
        does.
        """
        newly = self._doubt(hub, now_s, STALE_SUSPICION_S)
        self._stale.add(hub)
        if hub != self._current or self._stay_until_s is not None:
            return newly
        other = self._first_trusted(now_s) or self._doubted_to_try()
        if other is not None and len(self._stale) < STALE_HUBS_TRIED:
            self._current = other
        else:
            self._stay_until_s = now_s + STALE_STAY_S
        return newly

    def succeeded(self, hub: str) -> None:
        """Note that ``hub`` answered and hears a quorum."""
        self._suspicions.pop(hub, None)
        self._stale.clear()
        self._retried.clear()
        self._stay_until_s = None

    def reconsider(self, now_s: float) -> str:
        """Return the hub to use now: after the stay with a stale one another, else the nearest."""
        if self._stay_until_s is None:
            self._current = self._first_trusted(now_s) or self._current
        elif now_s >= self._stay_until_s:
            self._stay_until_s = None
            self._current = self._longest_untried(self._current)
        return self._current

    def _doubt(self, hub: str, now_s: float, length_s: float) -> bool:
        """Pass a hub over, twice as long as before when it fails after its doubt was over.

        Calls that fail together, and tries of a doubted hub, are one failure.
        """
        known = self._suspicions.get(hub)
        if known is not None:
            doubled = known.length_s * 2 if now_s >= known.until_s else known.length_s
            length_s = min(max(length_s, doubled), MAX_SUSPICION_S)
        self._suspicions[hub] = _Suspicion(noted_s=now_s, length_s=length_s)
        return known is None

    def _first_trusted(self, now_s: float) -> str | None:
        return next((hub for hub in self._hubs if self._is_trusted(hub, now_s)), None)

    def _is_trusted(self, hub: str, now_s: float) -> bool:
        suspicion = self._suspicions.get(hub)
        return suspicion is None or suspicion.until_s <= now_s

    def _best_doubted(self, silent: str) -> str:
        """Return the stale hub that served last, or the hub that was not tried for longest."""
        stale = [hub for hub in self._hubs if hub in self._stale]
        if stale:
            return max(stale, key=self._noted_s)
        return self._longest_untried(silent)

    def _doubted_to_try(self) -> str | None:
        """Return a doubted hub that was not tried lately: its failure may be long over.

        A stale hub is found out after 2 s and the interval of an exchange: with a stay before the
        next one a change came later than 4 s to a gateway whose only trusted hub was cut off.
        """
        untried = [hub for hub in self._hubs if hub not in self._stale | self._retried]
        hub = min(untried, key=self._noted_s, default=None)
        if hub is not None:
            self._retried.add(hub)
        return hub

    def _longest_untried(self, left: str) -> str:
        others = [hub for hub in self._hubs if hub != left]
        return min(others, key=self._noted_s, default=left)

    def _noted_s(self, hub: str) -> float:
        suspicion = self._suspicions.get(hub)
        return -math.inf if suspicion is None else suspicion.noted_s
