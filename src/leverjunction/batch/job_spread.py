"""Limits the gateways that hold items of one job at the same time.

Each gateway limits the runners that a job can crash (``crash_isolation``), but knows only its own
crashes. The job group therefore leases a job to one owner at first, and to one more for each item
that is *proven*: its run has gone on for a while or ended with a response. Jobs of up to
``FIRST_RUNNERS`` items need no such start. The group counts the runners that the owners report as
lost:

* A crash starts the spread anew with one owner, and with one more for each ``RUNS_PER_RUNNER``
  proven items as long as it is not older than ``WINDOW_MS``.
* From ``APART_CRASHES`` crashes within ``WINDOW_MS``, the job has one owner until
  ``ACQUITTED_RUNS`` items were answered.
* At ``HELD_CRASHES``, one of them of a run that had started alone, nothing is leased until the
  oldest is older than ``WINDOW_MS``.

An owner that holds no more items of the job makes room for another one, so an owner that dies
holds a job no longer than its leases last. All times are wall-clock times of the log.
"""

from __future__ import annotations

import sqlite3
from collections.abc import Iterable

from leverjunction.batch.commands import LostRunner, ProvenRun
from leverjunction.batch.crash_isolation import (
    ACQUITTED_RUNS,
    APART_CRASHES,
    FIRST_RUNNERS,
    HELD_CRASHES,
    RUNS_PER_RUNNER,
    WINDOW_S,
)
from leverjunction.batch.job_rows import MS_PER_S, JobRow, job_by_number
from leverjunction.batch.tables import json_array, row_key
from leverjunction.wire.messages import JobAlert, RunnerCrash

WINDOW_MS = int(WINDOW_S * MS_PER_S)

FREE_PROVEN = 64
"""Number of proven items from which a job is leased to all gateways."""

MAX_CRASHES = 8
"""Crashes that are kept for a job; the latest ones decide."""

MAX_ALERTS = 16
"""Jobs with recent crashes that gateways are warned of at the same time."""

_SELECT_CLOSED = f"""
SELECT job FROM sm_spread WHERE held_until_ms > :wall_ms OR (
    job NOT IN (SELECT job FROM sm_spread_owners WHERE owner = :owner AND admitted = 1)
    AND owners >= CASE
            WHEN apart_until_ms > :wall_ms AND answered < {ACQUITTED_RUNS} THEN 1
            WHEN proven >= {FREE_PROVEN} THEN owners + 1
            WHEN careful_until_ms > :wall_ms THEN 1 + proven / {RUNS_PER_RUNNER}
            ELSE 1 + proven END
) ORDER BY job
"""

_SELECT_HOLDERS = """
SELECT sm_leases.owner, COUNT(*) FROM sm_item_states
JOIN sm_leases ON sm_leases.number = sm_item_states.lease
WHERE item_key >= ? AND item_key < ? AND lease > 0 GROUP BY sm_leases.owner ORDER BY 1
"""

_TABLES = ("sm_spread", "sm_spread_owners", "sm_spread_items", "sm_spread_crashes")


def closed_jobs(connection: sqlite3.Connection, owner: str, wall_ms: int) -> list[int]:
    """Return the numbers of the jobs of which an owner is leased nothing now."""
    rows = connection.execute(_SELECT_CLOSED, {"owner": owner, "wall_ms": wall_ms})
    return [int(number) for (number,) in rows]


def closed_pending(connection: sqlite3.Connection, owner: str, wall_ms: int) -> dict[str, int]:
    """Return how many pending items an owner is leased nothing of now, by service."""
    rows = connection.execute(
        """
        SELECT service, SUM(pending) FROM sm_jobs
        WHERE number IN (SELECT value FROM json_each(?)) GROUP BY service
        """,
        (json_array(closed_jobs(connection, owner, wall_ms)),),
    )
    return {str(service): int(count) for service, count in rows}


def leased(
    connection: sqlite3.Connection, job: JobRow, owner: str, count: int, wall_ms: int
) -> None:
    """Record that items of a job were leased to an owner that it is not closed to.

    The caller has already counted the items as leased.
    """
    is_new = job.leased == count and job.pending + count == job.received
    if is_new and job.received > FIRST_RUNNERS and not _is_limited(connection, job.number):
        _limit(connection, job.number)
    elif _is_free(connection, job.number, wall_ms):
        forget(connection, job.number)
    if _is_limited(connection, job.number):
        connection.execute(
            """
            INSERT INTO sm_spread_owners (job, owner, leased, admitted) VALUES (?, ?, ?, 1)
            ON CONFLICT DO UPDATE SET leased = leased + excluded.leased, admitted = 1
            """,
            (job.number, owner, count),
        )
        _count_owners(connection, job.number)


def released(connection: sqlite3.Connection, number: int, lease: int) -> None:
    """Record that an item of a job is no longer leased under a lease."""
    row = connection.execute(
        """
        UPDATE sm_spread_owners SET leased = leased - 1
        WHERE job = ? AND owner = (SELECT owner FROM sm_leases WHERE number = ?) RETURNING leased
        """,
        (number, lease),
    ).fetchone()
    if row is not None and row[0] <= 0:
        connection.execute("DELETE FROM sm_spread_owners WHERE job = ? AND leased <= 0", (number,))
        _count_owners(connection, number)


def answered(connection: sqlite3.Connection, job: JobRow, index: int) -> None:
    """Record that an item of a job ended with a response."""
    _prove(connection, job.number, index, is_answered=True)


def proven(connection: sqlite3.Connection, job: JobRow, run: ProvenRun) -> None:
    """Record that a run of an item has gone on for a while."""
    _prove(connection, job.number, run.index, is_answered=False)


def lost(
    connection: sqlite3.Connection, job: JobRow, report: LostRunner, lease: int, wall_ms: int
) -> None:
    """Record that a runner was lost during a run of a job; each incarnation counts once.

    A run that started alone counts as such even if the runner is reported for another run first.
    """
    if job.closed:
        return
    key = (job.number, report.runner_id, report.incarnation)
    _forget_old_crashes(connection, job.number, wall_ms)
    if not _is_limited(connection, job.number):
        _limit(connection, job.number)
        connection.executemany(
            "INSERT INTO sm_spread_owners (job, owner, leased, admitted) VALUES (?, ?, ?, 1)",
            [
                (job.number, owner, count)
                for owner, count in connection.execute(
                    _SELECT_HOLDERS, (row_key(job.number, 0), row_key(job.number + 1, 0))
                ).fetchall()
            ],
        )
    added = connection.execute(
        """
        INSERT OR IGNORE INTO sm_spread_crashes (job, runner_id, incarnation, at_ms, alone)
        VALUES (?, ?, ?, ?, 0)
        """,
        (*key, wall_ms),
    )
    if report.is_alone:
        connection.execute(
            """
            UPDATE sm_spread_crashes SET alone = 1
            WHERE job = ? AND runner_id = ? AND incarnation = ?
            """,
            key,
        )
    if added.rowcount:
        _keep_one_owner(connection, job.number, lease)
        _count_owners(connection, job.number)
        connection.execute("DELETE FROM sm_spread_items WHERE job = ?", (job.number,))
        connection.execute(
            "UPDATE sm_spread SET proven = 0, answered = 0 WHERE job = ?", (job.number,)
        )
    _set_limits(connection, job.number)


def alerts(connection: sqlite3.Connection, jobs: Iterable[JobRow], wall_ms: int) -> list[JobAlert]:
    """Return the crashes of those of the jobs that had any lately."""
    found = []
    full: set[int] | None = None
    for job in jobs:
        crashes = _crashes(connection, job.number, wall_ms)
        if not crashes:
            continue
        full = set(closed_jobs(connection, "", wall_ms)) if full is None else full
        alert = JobAlert(
            job_id=job.job_id,
            as_of_ms=wall_ms,
            crashes=crashes,
            answered=_answered(connection, job.number),
            owners=_admitted_owners(connection, job.number),
            is_full=job.number in full,
        )
        found.append(alert)
    return found


def recent_alerts(connection: sqlite3.Connection, wall_ms: int) -> list[JobAlert]:
    """Return the alerts of the ``MAX_ALERTS`` jobs that lost runners last, latest first."""
    rows = connection.execute(
        """
        SELECT job FROM sm_spread_crashes WHERE at_ms > ?
        GROUP BY job ORDER BY MAX(at_ms) DESC, job LIMIT ?
        """,
        (wall_ms - WINDOW_MS, MAX_ALERTS),
    ).fetchall()
    return alerts(connection, [job_by_number(connection, job) for (job,) in rows], wall_ms)


def limited(connection: sqlite3.Connection, jobs: Iterable[JobRow]) -> list[str]:
    """Return the ids of those of the jobs that are leased to a limited number of owners."""
    return [job.job_id for job in jobs if _is_limited(connection, job.number)]


def forget(connection: sqlite3.Connection, number: int) -> None:
    """Delete everything about a job, which may have any number of owners from now on."""
    for table in _TABLES:
        connection.execute(f"DELETE FROM {table} WHERE job = ?", (number,))


def _limit(connection: sqlite3.Connection, number: int) -> None:
    connection.execute(
        """
        INSERT INTO sm_spread
            (job, owners, proven, answered, careful_until_ms, apart_until_ms, held_until_ms)
        VALUES (?, 0, 0, 0, 0, 0, 0)
        """,
        (number,),
    )


def _is_limited(connection: sqlite3.Connection, number: int) -> bool:
    row = connection.execute("SELECT 1 FROM sm_spread WHERE job = ?", (number,)).fetchone()
    return row is not None


def _is_free(connection: sqlite3.Connection, number: int, wall_ms: int) -> bool:
    row = connection.execute("SELECT proven FROM sm_spread WHERE job = ?", (number,)).fetchone()
    return (
        row is not None and int(row[0]) >= FREE_PROVEN and not _crashes(connection, number, wall_ms)
    )


def _admitted_owners(connection: sqlite3.Connection, number: int) -> list[str]:
    rows = connection.execute(
        "SELECT owner FROM sm_spread_owners WHERE job = ? AND admitted = 1 ORDER BY owner",
        (number,),
    )
    return [str(owner) for (owner,) in rows]


def _count_owners(connection: sqlite3.Connection, number: int) -> None:
    connection.execute(
        """
        UPDATE sm_spread SET owners = (
            SELECT COUNT(*) FROM sm_spread_owners WHERE job = ?1 AND admitted = 1
        ) WHERE job = ?1
        """,
        (number,),
    )


def _answered(connection: sqlite3.Connection, number: int) -> int:
    (count,) = connection.execute(
        "SELECT answered FROM sm_spread WHERE job = ?", (number,)
    ).fetchone()
    return int(count)


def _prove(connection: sqlite3.Connection, number: int, index: int, *, is_answered: bool) -> None:
    row = connection.execute(
        "SELECT proven, answered FROM sm_spread WHERE job = ?", (number,)
    ).fetchone()
    if row is None or (row[0] >= FREE_PROVEN and (row[1] >= ACQUITTED_RUNS or not is_answered)):
        return
    known = connection.execute(
        "SELECT answered FROM sm_spread_items WHERE job = ? AND item_index = ?", (number, index)
    ).fetchone()
    if known is not None and (known[0] or not is_answered):
        return
    connection.execute(
        "INSERT OR REPLACE INTO sm_spread_items (job, item_index, answered) VALUES (?, ?, ?)",
        (number, index, is_answered),
    )
    connection.execute(
        "UPDATE sm_spread SET proven = proven + ?, answered = answered + ? WHERE job = ?",
        (known is None, is_answered, number),
    )


def _forget_old_crashes(connection: sqlite3.Connection, number: int, wall_ms: int) -> None:
    connection.execute(
        "DELETE FROM sm_spread_crashes WHERE job = ? AND at_ms <= ?", (number, wall_ms - WINDOW_MS)
    )


def _crashes(connection: sqlite3.Connection, number: int, wall_ms: int) -> list[RunnerCrash]:
    rows = connection.execute(
        """
        SELECT runner_id, incarnation, alone, at_ms FROM sm_spread_crashes
        WHERE job = ? AND at_ms > ? ORDER BY at_ms DESC, runner_id, incarnation LIMIT ?
        """,
        (number, wall_ms - WINDOW_MS, MAX_CRASHES),
    )
    return [
        RunnerCrash(
            runner_id=runner_id,
            incarnation=incarnation,
            is_alone=bool(alone),
            at_ms=at_ms,
        )
        for runner_id, incarnation, alone, at_ms in rows
    ]


def _keep_one_owner(connection: sqlite3.Connection, number: int, lease: int) -> None:
    """Leave one admitted owner: the reporting one if it is admitted, else the first one."""
    reporter = connection.execute(
        "SELECT owner FROM sm_leases WHERE number = ?", (lease,)
    ).fetchone()
    owners = _admitted_owners(connection, number)
    if not owners:
        return
    kept = reporter[0] if reporter is not None and reporter[0] in owners else owners[0]
    connection.execute(
        "UPDATE sm_spread_owners SET admitted = 0 WHERE job = ? AND owner != ?", (number, kept)
    )


def _set_limits(connection: sqlite3.Connection, number: int) -> None:
    """Delete surplus crashes, and set the times until which the job runs apart and is held."""
    rows = connection.execute(
        """
        SELECT at_ms, alone, runner_id, incarnation FROM sm_spread_crashes
        WHERE job = ? ORDER BY at_ms DESC, runner_id, incarnation
        """,
        (number,),
    ).fetchall()
    connection.executemany(
        "DELETE FROM sm_spread_crashes WHERE job = ? AND runner_id = ? AND incarnation = ?",
        [(number, row[2], row[3]) for row in rows[MAX_CRASHES:]],
    )
    rows = rows[:MAX_CRASHES]
    ends_ms = [at_ms + WINDOW_MS for at_ms, *_ in rows]
    is_apart = len(rows) >= APART_CRASHES
    is_held = len(rows) >= HELD_CRASHES and any(alone for _, alone, *_ in rows)
    connection.execute(
        """
        UPDATE sm_spread SET careful_until_ms = ?, apart_until_ms = ?, held_until_ms = ?
        WHERE job = ?
        """,
        (
            ends_ms[0],
            ends_ms[APART_CRASHES - 1] if is_apart else 0,
            ends_ms[HELD_CRASHES - 1] if is_held else 0,
            number,
        ),
    )
