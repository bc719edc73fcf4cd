"""The queue of pending items: what may be leased, by service, model, tenant and deadline.

Fairness between tenants is start-time fair queueing (Goyal et al., 1996): every item leased adds
one over its class's weight to its tenant's served share, the tenant with the smallest share goes
first, and a tenant that joins starts at the smallest share of those present, so that idleness earns
no credit.

The order of turns is kept in an index by model, and the sums of a service in a row, so that what
a grant costs does not grow with the number of tenants.
"""

from __future__ import annotations

import sqlite3
from collections import Counter
from collections.abc import Iterable

from leverjunction.batch.job_rows import WEIGHT_ONE_MILLI, JobRow

SHARE_UNIT_MILLI = 1000 * WEIGHT_ONE_MILLI
"""What an item of weight one adds to a share; integers, so that all replicas agree."""

_RUNNABLE_KEY = "service = ? AND model = ? AND tenant = ? AND deadline_ms = ? AND job = ?"

_FIRST_TURN = """
SELECT served, tenant FROM sm_turns WHERE service = ? AND model = ? ORDER BY served, tenant LIMIT 1
"""

_ADD_TURN = """
INSERT OR IGNORE INTO sm_turns (service, tenant, model, served)
SELECT service, tenant, ?, served FROM sm_shares WHERE service = ? AND tenant = ?
"""

_DROP_IDLE_TURN = """
DELETE FROM sm_turns WHERE service = ? AND tenant = ? AND model = ? AND NOT EXISTS (
    SELECT 1 FROM sm_runnable WHERE service = ? AND tenant = ? AND model = ?
)
"""

_MODELS_OF_JOB = "SELECT DISTINCT model FROM sm_pending WHERE job = ?"

_JOIN = """
INSERT INTO sm_shares (service, tenant, served, pending)
VALUES (?, ?, (SELECT COALESCE(MIN(served), 0) FROM sm_shares WHERE service = ?), ?)
"""

_ADD_WAITING = """
INSERT INTO sm_waiting (service, tenants, pending) VALUES (?, ?, ?)
ON CONFLICT DO UPDATE SET
    tenants = tenants + excluded.tenants, pending = pending + excluded.pending
"""


def enqueue_job(connection: sqlite3.Connection, job: JobRow) -> None:
    """Make all pending items of a job that was just accepted available to grants."""
    rows = connection.execute(
        "SELECT model, COUNT(*) FROM sm_pending WHERE job = ? GROUP BY model", (job.number,)
    ).fetchall()
    _add_share(connection, job.service, job.tenant, job.pending)
    for model, count in rows:
        _add_runnable(connection, job, model, count)


def return_items(
    connection: sqlite3.Connection, job: JobRow, items: Iterable[tuple[int, str]]
) -> None:
    """Put leased items (index, model) back into the queue; the job's counters are the caller's."""
    rows = list(items)
    connection.executemany(
        "INSERT OR IGNORE INTO sm_pending (job, model, item_index) VALUES (?, ?, ?)",
        [(job.number, model, index) for index, model in rows],
    )
    _add_share(connection, job.service, job.tenant, len(rows))
    for model, count in sorted(Counter(model for _, model in rows).items()):
        _add_runnable(connection, job, model, count)


def take_items(connection: sqlite3.Connection, job: JobRow, model: str, limit: int) -> list[int]:
    """Remove up to ``limit`` pending items of a job from the queue and return their indexes."""
    rows = connection.execute(
        "SELECT item_index FROM sm_pending WHERE job = ? AND model = ? ORDER BY item_index LIMIT ?",
        (job.number, model, limit),
    ).fetchall()
    indexes = [index for (index,) in rows]
    connection.executemany(
        "DELETE FROM sm_pending WHERE job = ? AND model = ? AND item_index = ?",
        [(job.number, model, index) for index in indexes],
    )
    _remove_runnable(connection, job, model, len(indexes))
    _serve_share(connection, job, len(indexes))
    return indexes


def withdraw_item(connection: sqlite3.Connection, job: JobRow, model: str, index: int) -> None:
    """Remove one item from the queue because a late result of it was committed."""
    connection.execute(
        "DELETE FROM sm_pending WHERE job = ? AND model = ? AND item_index = ?",
        (job.number, model, index),
    )
    _remove_runnable(connection, job, model, 1)
    _remove_share(connection, job.service, job.tenant, 1)


def drop_job(connection: sqlite3.Connection, job: JobRow) -> None:
    """Remove every pending item of an accepted job from the queue (cancel, deadline)."""
    models = [str(model) for (model,) in connection.execute(_MODELS_OF_JOB, (job.number,))]
    connection.execute("DELETE FROM sm_pending WHERE job = ?", (job.number,))
    for model in models:
        key = (job.service, model, job.tenant, job.deadline_ms, job.number)
        connection.execute(f"DELETE FROM sm_runnable WHERE {_RUNNABLE_KEY}", key)
        _drop_idle_turn(connection, job, model)
    _remove_share(connection, job.service, job.tenant, job.pending)


def next_tenant(connection: sqlite3.Connection, service: str, models: list[str]) -> str | None:
    """Return the tenant whose turn it is among those with items of these models, or None."""
    heads = [
        row
        for model in models
        if (row := connection.execute(_FIRST_TURN, (service, model)).fetchone()) is not None
    ]
    return str(min(heads)[1]) if heads else None


def tenants_in_service(connection: sqlite3.Connection, service: str) -> int:
    """Return how many tenants have pending items in a service."""
    row = connection.execute(
        "SELECT tenants FROM sm_waiting WHERE service = ?", (service,)
    ).fetchone()
    return 0 if row is None else int(row[0])


def earliest_job(
    connection: sqlite3.Connection, service: str, models: list[str], tenant: str
) -> tuple[int, str] | None:
    """Return (job number, model) of the tenant's earliest deadline among these models."""
    best: tuple[int, int, str] | None = None
    for model in models:
        row = connection.execute(
            """
            SELECT deadline_ms, job FROM sm_runnable
            WHERE service = ? AND model = ? AND tenant = ? ORDER BY deadline_ms, job LIMIT 1
            """,
            (service, model, tenant),
        ).fetchone()
        if row is not None:
            candidate = (int(row[0]), int(row[1]), model)
            best = candidate if best is None else min(best, candidate)
    return None if best is None else (best[1], best[2])


def pending_in_service(connection: sqlite3.Connection, service: str) -> int:
    """Return how many items of a service wait in this group."""
    row = connection.execute(
        "SELECT pending FROM sm_waiting WHERE service = ?", (service,)
    ).fetchone()
    return 0 if row is None else int(row[0])


def pending_by_service(connection: sqlite3.Connection) -> dict[str, int]:
    """Return the number of waiting items of each service that has any."""
    rows = connection.execute("SELECT service, pending FROM sm_waiting WHERE pending > 0")
    return {str(service): int(count) for service, count in rows}


def _add_runnable(connection: sqlite3.Connection, job: JobRow, model: str, count: int) -> None:
    connection.execute(
        """
        INSERT INTO sm_runnable (service, model, tenant, deadline_ms, job, pending)
        VALUES (?, ?, ?, ?, ?, ?)
        ON CONFLICT DO UPDATE SET pending = pending + excluded.pending
        """,
        (job.service, model, job.tenant, job.deadline_ms, job.number, count),
    )
    connection.execute(_ADD_TURN, (model, job.service, job.tenant))


def _remove_runnable(connection: sqlite3.Connection, job: JobRow, model: str, count: int) -> None:
    key = (job.service, model, job.tenant, job.deadline_ms, job.number)
    connection.execute(
        f"UPDATE sm_runnable SET pending = pending - ? WHERE {_RUNNABLE_KEY}", (count, *key)
    )
    connection.execute(f"DELETE FROM sm_runnable WHERE {_RUNNABLE_KEY} AND pending <= 0", key)
    _drop_idle_turn(connection, job, model)


def _drop_idle_turn(connection: sqlite3.Connection, job: JobRow, model: str) -> None:
    """Take a tenant out of a model's turns when it has no item of that model any more."""
    place = (job.service, job.tenant, model)
    connection.execute(_DROP_IDLE_TURN, (*place, *place))


def _add_share(connection: sqlite3.Connection, service: str, tenant: str, count: int) -> None:
    """Count a tenant's new pending items; it must come before its turns are added."""
    if count == 0:
        return
    key = (service, tenant)
    known = connection.execute(
        "UPDATE sm_shares SET pending = pending + ? WHERE service = ? AND tenant = ?",
        (count, *key),
    )
    joined = 1 - known.rowcount
    if joined:
        connection.execute(_JOIN, (*key, service, count))
    connection.execute(_ADD_WAITING, (service, joined, count))


def _serve_share(connection: sqlite3.Connection, job: JobRow, count: int) -> None:
    key = (job.service, job.tenant)
    served = count * SHARE_UNIT_MILLI // job.weight_milli
    row = connection.execute(
        "UPDATE sm_shares SET served = served + ? WHERE service = ? AND tenant = ? "
        "RETURNING served",
        (served, *key),
    ).fetchone()
    if row is not None:
        connection.execute(
            "UPDATE sm_turns SET served = ? WHERE service = ? AND tenant = ?", (row[0], *key)
        )
    _remove_share(connection, job.service, job.tenant, count)


def _remove_share(connection: sqlite3.Connection, service: str, tenant: str, count: int) -> None:
    key = (service, tenant)
    connection.execute(
        "UPDATE sm_shares SET pending = pending - ? WHERE service = ? AND tenant = ?",
        (count, *key),
    )
    left = connection.execute(
        "DELETE FROM sm_shares WHERE service = ? AND tenant = ? AND pending <= 0", key
    )
    connection.execute(
        "UPDATE sm_waiting SET tenants = tenants - ?, pending = pending - ? WHERE service = ?",
        (left.rowcount, count, service),
    )
