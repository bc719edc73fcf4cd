"""Whether enough resumed streams went on beside what struck. Pure: no input or output."""

from __future__ import annotations

import json
from collections.abc import Iterable, Iterator, Sequence

from records import Records, StreamRecord, StreamTry, clock

from testbed.routed.resumptions import Attempt, Comparison, Period, around, compare

KNOWN_S = 2.0
"""Time after its start from which a runner counts."""

WHOLE_RUN = "whole run"
RESUMED = '"event":"resumed"'
MS_PER_S = 1000


class Service:
    """The time in which one start of a runner served, in wall seconds.

    Attributes:
        version: Version of its software.
        begin_s: When it started.
        end_s: When it left, ended or was silenced; None while it serves.
        harmed_s: Moments at which its connections were harmed.
    """

    __slots__ = ("begin_s", "end_s", "harmed_s", "version")

    def __init__(
        self, version: str, begin_s: float, end_s: float | None, harmed_s: Sequence[float] = ()
    ) -> None:
        self.version = version
        self.begin_s = begin_s
        self.end_s = end_s
        self.harmed_s = harmed_s

    def covers(self, version: str, begin_s: float, end_s: float) -> bool:
        """Return whether it served a version all through a stretch of time."""
        return (
            self.version == version
            and self.begin_s <= begin_s - KNOWN_S
            and (self.end_s is None or self.end_s > end_s)
            and not any(begin_s - KNOWN_S <= at_s <= end_s for at_s in self.harmed_s)
        )


def compared(records: Records, services: Sequence[Service]) -> list[Comparison]:
    """Return the counts of the whole run and of the time around each strike."""
    attempts = [one for stream in records.streams for one in _attempts(stream)]
    last_s = max((one.ended_s for one in attempts), default=records.began_s)
    periods = [Period(WHOLE_RUN, records.began_s, last_s)]
    periods += [around(f"{kind} at {clock(at_s)}", at_s) for kind, at_s in records.strikes]

    def serving(version: str, begin_s: float, end_s: float) -> int:
        return sum(service.covers(version, begin_s, end_s) for service in services)

    return compare(periods, attempts, serving)


def broken_resumptions(
    records: Records, services: Sequence[Service], logs: Iterable[str]
) -> list[str]:
    """Return a line for each period in which too few resumed streams went on.

    Args:
        records: What callers saw.
        services: When runners served.
        logs: What gateways have written.
    """
    broken = [one for one in compared(records, services) if one.is_judged and not one.holds]
    logged = [one for log in logs for one in logged_resumptions(log)] if broken else []
    return [comparison.told(logged, records.began_s) for comparison in broken]


def logged_resumptions(log: str) -> Iterator[tuple[float, str]]:
    """Return when a gateway decided on resumed streams, in wall seconds, and the reasons."""
    for line in log.splitlines():
        if RESUMED in line:
            try:
                decision = json.loads(line)
            except ValueError:
                # The end of a process cut the line.
                continue
            yield decision["at_ms"] / MS_PER_S, decision.get("reason", "")


def _attempts(stream: StreamRecord) -> Iterator[Attempt]:
    """Return the tries up to each first event as one attempt, if any of them counts."""
    version = ""
    tries: list[StreamTry] = []
    for one in stream.tries:
        tries.append(one)
        if one.events:
            yield from _attempt(tries, version)
            version, tries = stream.events[0][1], []
    if tries:
        yield from _attempt(tries, version)


def _attempt(tries: Sequence[StreamTry], version: str) -> Iterator[Attempt]:
    if any(one.counts for one in tries):
        yield Attempt(tries[0].at_s, tries[-1].ended_s, version, tries[-1].events > 0)
