"""What gateways and the leader of batch work tell each other about rates of back ends. Pure.

Load pattern: among 77 gateways one sees a run of a back end every 15 s, while a back end slows down
for 0.6 s. All of them together see five a second. Each tells the leader, to whom it reports its
requests anyway, what it has seen since; the leader tells all of them what follows from it.

Nothing is told until a back end has reported a slowdown.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping

from leverjunction.rates.back_end_rate import BackEndRate
from leverjunction.rates.rate_row import pack_rates, unpack_rates

MAX_TOLD_AGE_S = 0.3
"""Age up to which the leader tells a slowdown: an older one would displace what gateways know."""

RATE_LAG_S = 0.1
"""Assumed age of a slowdown that the leader tells, at the time when it arrives."""

UNKNOWN_RATE = BackEndRate()
"""Rate of a back end that this process does not know; nothing is recorded in it."""

RateNews = tuple[float, int, float]
"""Newest reported slowdown, 0 without any; number of runs; mean logarithm of their times."""


class RateExchange:
    """Exchanges rates between this process's back ends and its peers.

    Args:
        rates: Returns the rates of the known back ends by start.
    """

    __slots__ = ("_is_active", "_rates")

    def __init__(self, rates: Callable[[], Mapping[str, BackEndRate]]) -> None:
        self._rates = rates
        self._is_active = False

    def take_news(self) -> dict[str, RateNews]:
        """Return what this gateway has seen since the last call, by start of the back end."""
        rates = self._rates()
        if not self._tells(rates):
            return {}
        return {start: rate.take_news() for start, rate in rates.items() if rate.has_news}

    def apply_news(self, news: Mapping[str, RateNews], now_s: float) -> None:
        """Learn what a gateway has seen."""
        rates = self._rates()
        # A gateway tells only once a back end has reported a slowdown.
        self._is_active = self._is_active or bool(news)
        for start, (slowdown, runs, mean_log) in news.items():
            rate = rates.get(start)
            if rate is None:
                continue
            if slowdown > 0:
                rate.report(slowdown, now_s)
            if runs > 0:
                rate.record_shared_runs(mean_log, now_s)

    def rows(self, starts: tuple[str, ...], now_s: float) -> tuple[bytes, bytes]:
        """Return the speeds and the paces of all back ends in the order of a load row."""
        rates = self._rates()
        if not self._tells(rates):
            return b"", b""
        known = [rates.get(start, UNKNOWN_RATE) for start in starts]
        differ = any(rate.speed(now_s) != 1.0 for rate in known)
        speeds = pack_rates(rate.likely_speed(now_s) for rate in known if differ)
        paces = pack_rates(rate.reported(now_s, MAX_TOLD_AGE_S) for rate in known)
        return speeds, paces

    def _tells(self, rates: Mapping[str, BackEndRate]) -> bool:
        self._is_active = self._is_active or any(rate.has_told for rate in rates.values())
        return self._is_active

    def apply_rows(
        self, starts: tuple[str, ...], speeds: bytes, paces: bytes, now_s: float
    ) -> None:
        """Take over what the leader knows; rows of another length are ignored."""
        rates = self._rates()
        for row, apply in ((speeds, _apply_speed), (paces, _apply_pace)):
            if len(row) == len(starts):
                for start, figure in zip(starts, unpack_rates(row), strict=True):
                    rate = rates.get(start)
                    if rate is not None and figure is not None:
                        apply(rate, figure, now_s)


def _apply_speed(rate: BackEndRate, speed: float, now_s: float) -> None:
    rate.set_shared_speed(speed, now_s)


def _apply_pace(rate: BackEndRate, pace: float, now_s: float) -> None:
    rate.set_shared_pace(pace, now_s - RATE_LAG_S)


__all__ = ["RateExchange", "RateNews"]
