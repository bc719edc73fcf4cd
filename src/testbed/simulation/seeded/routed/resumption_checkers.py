"""The promise to callers that resume streams, also beside faults of what knows their origins."""

from __future__ import annotations

from collections.abc import Iterator, Sequence

from testbed.routed.resumptions import Attempt, Period, around, compare
from testbed.simulation.checkers.base import Finding, overlaps
from testbed.simulation.seeded.history import BackEndStart, SeededHistory, StreamTry

KNOWN_S = 3.0
"""Time after its start from which a back end counts."""

MAY_TAKE_S = 3.0
"""Time that a gateway which is well has to answer a try."""


class ResumedStreamsGoOn:
    """While two back ends of their version serve, resumed streams go on half as often as new ones.

    Judged over the whole run and around each strike, whatever else a fault has in its hands.
    """

    name = "resumed_streams_go_on"

    def check(self, history: SeededHistory) -> Finding:
        """Compare the shares in each period with enough resumed streams."""
        finding = Finding()
        attempts = [
            _attempt(tries, version)
            for tries, version in _attempts(history)
            if any(_counts(history, one) for one in tries)
        ]
        logged = [(one.at_s, one.reason) for one in history.resumptions]
        periods = [Period("whole run", 0.0, history.ended_s)]
        periods += [around(strike.kind, strike.at_s) for strike in history.strikes]

        def serving(version: str, begin_s: float, end_s: float) -> int:
            return _serving(history, version, begin_s, end_s)

        for comparison in compare(periods, attempts, serving):
            if comparison.is_judged:
                finding.expect(comparison.holds, comparison.told(logged))
        return finding


def _attempts(history: SeededHistory) -> Iterator[tuple[Sequence[StreamTry], str]]:
    """Return the tries up to each first event, with the version that had begun the stream."""
    for stream in history.streams:
        version = ""
        tries: list[StreamTry] = []
        for one in stream.tries:
            tries.append(one)
            if one.events:
                yield tries, version
                version, tries = version or one.events[0][1], []
        if tries:
            yield tries, version


def _attempt(tries: Sequence[StreamTry], version: str) -> Attempt:
    return Attempt(tries[0].at_s, tries[-1].ended_s, version, bool(tries[-1].events))


def _counts(history: SeededHistory, one: StreamTry) -> bool:
    """Return whether a gateway answered a try, or could have."""
    spans = history.gateway_disturbed[one.gateway]
    return one.is_answered or not overlaps(spans, one.at_s, one.at_s + MAY_TAKE_S)


def _serving(history: SeededHistory, version: str, begin_s: float, end_s: float) -> int:
    newest: dict[str, BackEndStart] = {}
    for start in history.back_end_starts:
        if start.at_s <= end_s:
            newest[start.back_end] = start
    return sum(
        start.version == version
        and start.at_s <= begin_s - KNOWN_S
        and not overlaps(history.back_end_disturbed[name], begin_s - KNOWN_S, end_s)
        for name, start in newest.items()
    )
