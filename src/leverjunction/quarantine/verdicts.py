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
"""Ended starts under one request, as it began, that make it the cause. With 5 of 100
runs hit by a crash that has another cause, a sound request is refused once in 8,000 (0.05 cubed),
and then only if no run in between was answered.
"""

LATE_STARTS_EACH = 3
"""Ends of runs that had gone on for a while that count as one of a run that had just begun. A
request that ends its back ends does so as it begins; a long one that is sound has mostly got
somewhere: without this, one of 488 items met three ends of other causes in 30 s and was held.
"""

JUST_BEGUN_S = 0.25
"""Time from the first part of an answer in which its run has just begun: over twice what requests
took that ended their back ends (2 to 105 ms), a quarter of a run of a second.
"""

STARTS_OF_CARE = 2
"""From so many on it runs once at a time at a gateway, and is not moved early to another back end:
a second run at once would only end one more.
"""

STARTS_KEPT = 8
LATE_STARTS_KEPT = 12
"""Ended starts that a record names: enough for a verdict, and a person needs no more."""

SUSPECT_S = 600.0
"""Time without a further end after which evidence that made no verdict is forgotten: longer than
callers wait before they try again.
"""

VERDICT_S = 60.0
"""Length of the first verdict; each further one lasts twice as long. A request that stays bad ends
six more back ends in its first hour, a sound one waits no longer than a minute.
"""

VERDICT_MOST_S = 86_400.0


class Standing(StrEnum):
    """How a request is treated."""

    SOUND = "sound"
    SUSPECT = "suspect"
    CAREFUL = "careful"
    REFUSED = "refused"


def evidence_of(starts: int, late_starts: int) -> int:
    """Return how many ends count against a request.

    Args:
        starts: Starts that ended under it as it began.
        late_starts: Starts that ended after it had run on for a while.
    """
    return starts + late_starts // LATE_STARTS_EACH


def ran_on(first_output_s: float | None, now_s: float) -> bool:
    """Return whether a run that ends now had gone on for a while since its first output."""
    return first_output_s is not None and now_s - first_output_s > JUST_BEGUN_S


def standing_of(evidence: int) -> Standing:
    """Return how a request is treated against which so many ends count."""
    if evidence >= STARTS_OF_VERDICT:
        return Standing.REFUSED
    if evidence >= STARTS_OF_CARE:
        return Standing.CAREFUL
    return Standing.SUSPECT if evidence else Standing.SOUND


def standing(record: SuspectRecord) -> Standing:
    """Return how the request of a record is treated."""
    return standing_of(evidence_of(len(record.starts), len(record.late_starts)))


def with_ended_run(record: SuspectRecord | None, run: EndedRun) -> SuspectRecord:
    """Return a request's record with one more piece of evidence; told twice it changes nothing."""
    known = record or SuspectRecord(key=run.key)
    if run.start in known.starts or (run.ran_on and run.start in known.late_starts):
        return known
    starts, late = known.starts, known.late_starts
    if run.ran_on:
        late = (*late, run.start)[-LATE_STARTS_KEPT:]
    else:
        starts = (*starts[:STARTS_KEPT], run.start)
        late = tuple(start for start in late if start != run.start)
    changed = msgspec.structs.replace(
        known,
        starts=starts,
        late_starts=late,
        route=run.route or known.route,
        request_id=run.request_id or known.request_id,
    )
    was_refused = standing(known) is Standing.REFUSED
    if was_refused or standing(changed) is not Standing.REFUSED:
        return changed
    return msgspec.structs.replace(changed, verdicts=known.verdicts + 1)


def on_trial(record: SuspectRecord) -> SuspectRecord:
    """Return the record of a request whose verdict is over: one more end makes the next one."""
    starts = record.starts[: STARTS_OF_VERDICT - 1]
    late = (STARTS_OF_VERDICT - 1 - len(starts)) * LATE_STARTS_EACH
    return msgspec.structs.replace(record, starts=starts, late_starts=record.late_starts[:late])


def retention_s(record: SuspectRecord) -> float:
    """Return how long a record stays as it is when no more is heard of its request."""
    if not record.verdicts:
        return SUSPECT_S
    # Also on trial: a request that comes every hour must not find its record forgotten each time.
    return min(VERDICT_MOST_S, VERDICT_S * 2.0 ** (record.verdicts - 1))


def eviction_weight(record: SuspectRecord) -> tuple[int, int]:
    """Return what decides which record is given up first when there are too many."""
    return (record.verdicts, evidence_of(len(record.starts), len(record.late_starts)))


__all__ = [
    "LATE_STARTS_EACH",
    "STARTS_OF_VERDICT",
    "Standing",
    "eviction_weight",
    "evidence_of",
    "on_trial",
    "ran_on",
    "retention_s",
    "standing",
    "standing_of",
    "with_ended_run",
]
