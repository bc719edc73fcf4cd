"""Rules that decide when a request counts as the cause of crashes, and for how long.

Load pattern: a caller keeps retrying a request that crashes every back end that starts it, each
time with a dozen other requests running there. A harmless request is also present when a back end
crashes for another reason, so a single crash proves nothing. Only several crashes in a row count,
without a complete response in between: any complete response clears the request.

A verdict expires, because the model or the back ends may have been fixed. The request may then run
once more, and a single further crash leads to the next verdict, which lasts twice as long.

A start is one instance of a back end. Performs no I/O.
"""

from __future__ import annotations

from enum import StrEnum

import msgspec

from leverjunction.quarantine.records import EndedRun, SuspectRecord

REFUSAL_THRESHOLD = 3
"""Number of starts crashed early in a request's runs from which it is refused. If 5 of 100 runs are
hit by a crash with another cause, a harmless request is refused once in 8,000 (0.05 cubed), and
then only if no run in between got a complete response.
"""

LATE_STARTS_PER_START = 3
"""Number of crashes late in a run that count as one early crash. A request that crashes its back
ends does so early, while a long harmless one has mostly made progress: when both counted alike,
one of 488 items met three crashes with other causes within 30 s and was held back.
"""

EARLY_RUN_S = 0.25
"""Time from the first part of a response within which a crash counts as early: over twice what
requests that crash their back ends took (2 to 105 ms), and a quarter of a run of one second.
"""

CAREFUL_THRESHOLD = 2
"""Number of crashed starts from which a gateway runs the request only once at a time and doesn't
hedge it: a second run in parallel would only crash another back end.
"""

MAX_STARTS = 8
"""Number of the oldest early crashes that a record keeps besides the newest one: enough for a
verdict and for operators.
"""

MAX_LATE_STARTS = 12
"""Number of the newest late crashes that a record keeps."""

SUSPECT_TTL_S = 600.0
"""Time without a further crash after which evidence without a verdict is dropped: longer than
callers wait before they retry.
"""

FIRST_VERDICT_S = 60.0
"""Duration of the first verdict; each further one lasts twice as long. A request that stays harmful
crashes six more back ends in its first hour, and a harmless one waits at most a minute.
"""

MAX_VERDICT_S = 86_400.0
"""Maximum duration of a verdict."""


class Standing(StrEnum):
    """Treatment of a request.

    ``SOUND``: no evidence. ``SUSPECT``: evidence is being collected. ``CAREFUL``: runs only once at
    a time at a gateway. ``REFUSED``: under a verdict.
    """

    SOUND = "sound"
    SUSPECT = "suspect"
    CAREFUL = "careful"
    REFUSED = "refused"


SEVERITY = {standing: number for number, standing in enumerate(Standing)}


def evidence_of(starts: int, late_starts: int) -> int:
    """Return how many crashes count against a request.

    Args:
        starts: Number of starts that crashed early in its run.
        late_starts: Number of starts that crashed after it had been running for a while.
    """
    return starts + late_starts // LATE_STARTS_PER_START


def ran_on(first_output_s: float | None, now_s: float) -> bool:
    """Return whether a run that is lost now had been producing output for a while.

    Args:
        first_output_s: When the first part of the response arrived; None if none has.
        now_s: Current time on the same clock, in seconds.
    """
    return first_output_s is not None and now_s - first_output_s > EARLY_RUN_S


def standing_of(evidence: int) -> Standing:
    """Return the treatment of a request by the number of crashes that count against it."""
    if evidence >= REFUSAL_THRESHOLD:
        return Standing.REFUSED
    if evidence >= CAREFUL_THRESHOLD:
        return Standing.CAREFUL
    return Standing.SUSPECT if evidence else Standing.SOUND


def standing(record: SuspectRecord) -> Standing:
    """Return the treatment of the request that a record is about."""
    return standing_of(evidence_of(len(record.starts), len(record.late_starts)))


def with_ended_run(record: SuspectRecord | None, run: EndedRun) -> SuspectRecord:
    """Return a request's record with a piece of evidence added; repeated reports change nothing."""
    known = record or SuspectRecord(key=run.key)
    if run.start in known.starts or (run.ran_on and run.start in known.late_starts):
        return known
    starts, late = known.starts, known.late_starts
    if run.ran_on:
        late = (*late, run.start)[-MAX_LATE_STARTS:]
    else:
        starts = (*starts[:MAX_STARTS], run.start)
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
    """Return the record after its verdict has expired: one more crash leads to the next verdict."""
    starts = record.starts[: REFUSAL_THRESHOLD - 1]
    late = (REFUSAL_THRESHOLD - 1 - len(starts)) * LATE_STARTS_PER_START
    return msgspec.structs.replace(record, starts=starts, late_starts=record.late_starts[:late])


def retention_s(record: SuspectRecord) -> float:
    """Return after how many seconds without further reports a record expires or goes on trial."""
    if not record.verdicts:
        return SUSPECT_TTL_S
    # Also while on trial: the record of a request that is sent once an hour must not be dropped
    # each time.
    return min(MAX_VERDICT_S, FIRST_VERDICT_S * 2.0 ** (record.verdicts - 1))


def eviction_weight(record: SuspectRecord) -> tuple[int, int]:
    """Return the sort key by which records are dropped if there are too many, lowest first."""
    return (record.verdicts, evidence_of(len(record.starts), len(record.late_starts)))


__all__ = [
    "LATE_STARTS_PER_START",
    "REFUSAL_THRESHOLD",
    "SEVERITY",
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
