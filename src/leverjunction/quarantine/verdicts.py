"""When a request counts as the cause of ended back ends, and for how long. Pure.

Load pattern: a caller sends a request again and again that ends each back end which begins it, and
a dozen others run beside it there each time. A sound request meets an ended back end when one
crashes by itself, so one end proves nothing. It has to meet several in a row without a whole answer
in between: any whole answer clears it.

A verdict ends by itself, for the model or the back ends may have been mended: the request may then
run once more, and a single further end makes the next verdict, which lasts twice as long.
"""

from __future__ import annotations

from enum import StrEnum

import msgspec

from leverjunction.quarantine.records import EndedRun, SuspectRecord

STARTS_OF_VERDICT = 3
"""Ended starts under one request that make it the cause. With 5 of 100 runs hit by a crash that has
another cause, a sound request is refused once in 8,000 (0.05 cubed), and then only if no run in
between was answered.
"""

STARTS_OF_CARE = 2
"""From so many on it runs once at a time at a gateway, and is not moved early to another back end:
a second run at once would only end one more.
"""

STARTS_KEPT = 8
"""Ended starts that a record names; a person needs no more."""

SUSPECT_S = 600.0
"""Time without a further end after which evidence that made no verdict is forgotten: longer than
callers wait before they try again.
"""

VERDICT_S = 600.0
"""Length of the first verdict. A back end is lost for some seconds at its end: 1 in 200 of the time
of one back end at most.
"""

VERDICT_MOST_S = 86_400.0


class Standing(StrEnum):
    """How a request is treated."""

    SOUND = "sound"
    SUSPECT = "suspect"
    CAREFUL = "careful"
    REFUSED = "refused"


def standing_of(starts: int) -> Standing:
    """Return how a request is treated under which so many starts ended."""
    if starts >= STARTS_OF_VERDICT:
        return Standing.REFUSED
    if starts >= STARTS_OF_CARE:
        return Standing.CAREFUL
    return Standing.SUSPECT if starts else Standing.SOUND


def with_end(record: SuspectRecord | None, run: EndedRun) -> SuspectRecord:
    """Return a request's record with one more piece of evidence; told twice it changes nothing."""
    known = record or SuspectRecord(key=run.key)
    if run.start in known.starts:
        return known
    starts = (*known.starts, run.start)
    condemns = len(starts) == STARTS_OF_VERDICT
    return msgspec.structs.replace(
        known,
        starts=starts[:STARTS_OF_VERDICT] + starts[STARTS_OF_VERDICT:][-STARTS_KEPT:],
        route=run.route or known.route,
        request_id=run.request_id or known.request_id,
        verdicts=known.verdicts + int(condemns),
    )


def on_trial(record: SuspectRecord) -> SuspectRecord:
    """Return the record of a request whose verdict is over: one more end makes the next one."""
    return msgspec.structs.replace(record, starts=record.starts[: STARTS_OF_VERDICT - 1])


def kept_s(record: SuspectRecord) -> float:
    """Return how long a record stays as it is when no more is heard of its request."""
    if not record.verdicts:
        return SUSPECT_S
    # Also on trial: a request that comes every hour must not find its record forgotten each time.
    return min(VERDICT_MOST_S, VERDICT_S * 2.0 ** (record.verdicts - 1))


def weight(record: SuspectRecord) -> tuple[int, int]:
    """Return what decides which record is given up first when there are too many."""
    return (record.verdicts, len(record.starts))


__all__ = [
    "STARTS_OF_VERDICT",
    "Standing",
    "kept_s",
    "on_trial",
    "standing_of",
    "weight",
    "with_end",
]
