"""Compares the share of resumed streams that go on with the share of new streams that begin.

While at least ``FEWEST_BACK_ENDS`` back ends of the version that began them serve, resumed streams
go on at no less than ``LEAST_OF_NEW`` of the share of new streams that begin. Pure: no input or
output.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass

FEWEST_BACK_ENDS = 2
FEWEST_RESUMED = 12
"""Resumed streams from which on a period is judged."""

LEAST_OF_NEW = 0.5

BEFORE_S = 0.5
AFTER_S = 5.0
"""Time before and after a strike that is judged as one period."""

LONGEST_S = 5.0
"""Time for which back ends have to serve after a stream broke off, if it does not go on before.
Without it, attempts that fail would have to find back ends for longer than those that go on.
"""

Serving = Callable[[str, float, float], int]
"""Returns how many back ends of a version served during all of a stretch of time."""


@dataclass(frozen=True)
class Attempt:
    """The tries of a caller to begin a stream, or to resume it after it broke off.

    Attributes:
        at_s: Time of the first try, in seconds.
        ended_s: Time of the first event, or of the last try that failed, in seconds.
        version: Version that began the stream, empty for a new one.
        has_events: Whether an event came.
    """

    at_s: float
    ended_s: float
    version: str
    has_events: bool


@dataclass(frozen=True)
class Period:
    """A stretch of time that is judged, in seconds.

    Attributes:
        name: What happened in it.
        begin_s: First moment.
        end_s: Last moment.
    """

    name: str
    begin_s: float
    end_s: float

    def holds(self, moment_s: float) -> bool:
        """Return whether a moment lies in it."""
        return self.begin_s <= moment_s <= self.end_s


@dataclass(frozen=True)
class Comparison:
    """What became of the attempts of a period that count.

    Attributes:
        period: The period.
        went_on: Resumed streams that went on.
        resumed: Resumed streams.
        began: New streams that began.
        new: New streams.
        ended_s: When the last of the resumed ones went on, or was given up.
    """

    period: Period
    went_on: int
    resumed: int
    began: int
    new: int
    ended_s: float

    @property
    def is_judged(self) -> bool:
        """Whether there are enough resumed streams, and new ones to compare them with."""
        return self.resumed >= FEWEST_RESUMED and self.new > 0

    @property
    def holds(self) -> bool:
        """Whether enough resumed streams went on."""
        return self.went_on * self.new >= LEAST_OF_NEW * self.began * self.resumed

    def told(self, logged: Iterable[tuple[float, str]], origin_s: float = 0.0) -> str:
        """Return the counts as a sentence.

        Args:
            logged: What gateways logged of resumed streams: when, in seconds, and the reason.
            origin_s: Moment from which the sentence counts seconds.
        """
        begin_s, end_s = self.period.begin_s, max(self.period.end_s, self.ended_s)
        reasons = Counter(reason for at_s, reason in logged if begin_s <= at_s <= end_s)
        named = ", ".join(f"{reason} {count}" for reason, count in reasons.most_common())
        return (
            f"{self.went_on} of {self.resumed} resumed streams went on, {self.began} of "
            f"{self.new} new ones began ({self.period.name}, {begin_s - origin_s:.1f} to "
            f"{self.period.end_s - origin_s:.1f} s); gateways logged: {named or 'nothing'}"
        )


def around(name: str, moment_s: float) -> Period:
    """Return the period around a strike."""
    return Period(name, moment_s - BEFORE_S, moment_s + AFTER_S)


def compare(
    periods: Iterable[Period], attempts: Sequence[Attempt], serving: Serving
) -> list[Comparison]:
    """Count the attempts of each period.

    Args:
        periods: The periods; they may overlap.
        attempts: All attempts at gateways that could answer.
        serving: Tells how many back ends of a version served meanwhile.
    """
    new = [one for one in attempts if not one.version]
    resumed = [
        one
        for one in attempts
        if one.version and serving(one.version, one.at_s, _served_until_s(one)) >= FEWEST_BACK_ENDS
    ]
    return [_compare(period, resumed, new) for period in periods]


def _served_until_s(attempt: Attempt) -> float:
    return min(attempt.ended_s, attempt.at_s + LONGEST_S)


def _compare(period: Period, resumed: Sequence[Attempt], new: Sequence[Attempt]) -> Comparison:
    resumed = [one for one in resumed if period.holds(one.at_s)]
    new = [one for one in new if period.holds(one.at_s)]
    return Comparison(
        period,
        went_on=sum(one.has_events for one in resumed),
        resumed=len(resumed),
        began=sum(one.has_events for one in new),
        new=len(new),
        ended_s=max((one.ended_s for one in resumed), default=0.0),
    )


__all__ = [
    "AFTER_S",
    "Attempt",
    "Comparison",
    "Period",
    "around",
    "compare",
]
