"""Tells from the gateways' decision lines what became of the streams that callers resumed.

``resumptions.py LOG...`` reads logs with decision lines of all gateways, whatever stands before the
JSON of a line, and prints for each how many resumed requests went on, where their origins were
known from, and how the others ended. It exits with 1 if resumed requests are there and none of
them names an attempt: gateways then probably read another header than callers send.
"""

from __future__ import annotations

import json
import sys
from collections import Counter
from collections.abc import Iterable, Iterator
from pathlib import Path
from typing import Any

USAGE = "usage: resumptions.py LOG..."
EXIT_UNNAMED = 1
EXIT_USAGE = 2
MOST_REASONS = 8
EVENT_FIELD = '"event":'
RESUMED, WENT_ON = "resumed", "went_on"

Decision = dict[str, Any]


class Resumptions:
    """What became of the resumed requests of one log.

    Attributes:
        resumed: Number of resumed requests.
        went_on: Those that had an event.
        named: Those that name an attempt.
        sources: Where origins were known from, or why they were unknown.
        ends: Last decision about each of the others.
    """

    __slots__ = ("ends", "named", "resumed", "sources", "went_on")

    def __init__(self) -> None:
        self.resumed = 0
        self.went_on = 0
        self.named = 0
        self.sources: Counter[str] = Counter()
        self.ends: Counter[str] = Counter()

    @property
    def is_unnamed(self) -> bool:
        """Whether there are resumed requests and none names an attempt."""
        return self.resumed > 0 and self.named == 0

    def note(self, decisions: list[Decision]) -> None:
        """Note all decisions about one request, in order."""
        first = next((one for one in decisions if one["event"] == RESUMED), None)
        if first is None:
            return
        self.resumed += 1
        self.named += bool(first.get("resumes"))
        self.sources[_without_counts(first.get("reason", ""))] += 1
        if any(one["event"] == WENT_ON for one in decisions):
            self.went_on += 1
        else:
            last = decisions[-1]
            self.ends[f"{last['event']}: {_without_counts(last.get('reason', ''))}"] += 1

    def text(self) -> str:
        """Return the counts, a line each."""
        share = self.went_on / self.resumed if self.resumed else 0.0
        lines = [
            f"resumed {self.resumed}, went on {self.went_on} ({share:.2f}), "
            f"name an attempt {self.named}"
        ]
        lines += [f"  {count:5} {source}" for source, count in self.sources.most_common()]
        lines += [f"  {count:5} {end}" for end, count in self.ends.most_common(MOST_REASONS)]
        return "\n".join(lines)


def read_decisions(lines: Iterable[str]) -> Iterator[Decision]:
    """Yield the decisions of a log; lines without one, or with a part of one, are left out."""
    for line in lines:
        begin = line.find("{")
        if begin < 0 or EVENT_FIELD not in line:
            continue
        try:
            decision = json.loads(line[begin:])
        except ValueError:
            continue
        if isinstance(decision, dict) and "event" in decision:
            yield decision


def summarize(lines: Iterable[str]) -> Resumptions:
    """Return what became of the resumed requests of a log."""
    by_request: dict[str, list[Decision]] = {}
    for decision in read_decisions(lines):
        by_request.setdefault(decision.get("request_id", ""), []).append(decision)
    found = Resumptions()
    for decisions in by_request.values():
        found.note(decisions)
    return found


def main(paths: list[str]) -> int:
    """Print a summary of each log; return the exit status."""
    if not paths:
        print(USAGE, file=sys.stderr)
        return EXIT_USAGE
    is_unnamed = False
    for path in paths:
        with Path(path).open(encoding="utf8", errors="replace") as lines:
            found = summarize(lines)
        print(f"{path}: {found.text()}")
        is_unnamed = is_unnamed or found.is_unnamed
    return EXIT_UNNAMED if is_unnamed else 0


def _without_counts(reason: str) -> str:
    """Return the first part of a reason: what follows differs from request to request."""
    return reason.partition(",")[0].partition(";")[0]


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
