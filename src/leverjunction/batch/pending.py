"""The queue of pending items: items that can be leased, by service, model, tenant and deadline.

Fairness between tenants is start-time fair queueing (Goyal et al., 1996). Every leased item adds
1 / (weight of its batch class) to the share that its tenant has been served, and the tenant with
the smallest share is next. A tenant whose items start to wait begins with the smallest share of the
tenants that already wait, so idle time earns no credit.

An index keeps the tenants of each model in the order of their turns, and one row holds the totals
of each service. The cost of a grant therefore does not grow with the number of tenants.
"""

from __future__ import annotations

import sqlite3
from collections import Counter
from collections.abc import Iterable

from leverjunction.batch.job_rows import WEIGHT_ONE_MILLI, JobRow
from leverjunction.batch.tables import json_array

SHARE_UNIT_MILLI = 1000 * WEIGHT_ONE_MILLI
"""Divided by a weight in thousandths, this is what one leased item adds to the served share of its
tenant: 1000 at weight one. Shares are integers so that all replicas compute the same value."""

_RUNNABLE_KEY = "service = ? AND model = ? AND tenant = ? AND deadline_ms = ? AND job = ?"

_SELECT_FIRST_TURN = """
SELECT served, tenant FROM sm_turns WHERE service = ? AND model = ? ORDER BY served, tenant LIMIT 1
"""

_SELECT_FIRST_OPEN_TURN = """
SELECT served, tenant FROM sm_turns AS turn WHERE service = ? AND model = ? AND EXISTS (
    SELECT 1 FROM sm_runnable AS runnable WHERE runnable.service = turn.service
    AND runnable.model = turn.model AND runnable.tenant = turn.tenant
    AND runnable.job NOT IN (SELECT value FROM json_each(?))
) ORDER BY served, tenant LIMIT 1
"""

_SELECT_FIRST_JOB = """
SELECT deadline_ms, job FROM sm_runnable WHERE service = ? AND model = ? AND tenant = ?
AND job NOT IN (SELECT value FROM json_each(?)) ORDER BY deadline_ms, job LIMIT 1
"""

_INSERT_TURN = """
INSERT OR IGNORE INTO sm_turns (service, tenant, model, served)
SELECT service, tenant, ?, served FROM sm_shares WHERE service = ? AND tenant = ?
"""

_DELETE_IDLE_TURN = """
DELETE FROM sm_turns WHERE service = ? AND tenant = ? AND model = ? AND NOT EXISTS (
    SELECT 1 FROM sm_runnable WHERE service = ? AND tenant = ? AND model = ?
)
"""

_SELECT_MODELS_OF_JOB = "SELECT DISTINCT model FROM sm_pending WHERE job = ?"

_INSERT_SHARE = """
INSERT INTO sm_shares (service, tenant, served, pending)
VALUES (?, ?, (SELECT COALESCE(MIN(served), 0) FROM sm_shares WHERE service = ?), ?)
"""

_ADD_SERVICE_TOTALS = """
INSERT INTO sm_waiting (service, tenants, pending) VALUES (?, ?, ?)
ON CONFLICT DO UPDATE SET
    tenants = tenants + excluded.tenants, pending = pending + excluded.pending
"""


def enqueue_job(connection: sqlite3.Connection, job: JobRow) -> None:
    """Make the pending items of a job that was just accepted available to grants."""
    rows = connection.execute(
        "SELECT model, COUNT(*) FROM sm_pending WHERE job = ? GROUP BY model", (job.number,)
    ).fetchall()
    _add_tenant_pending(connection, job.service, job.tenant, job.pending)
    for model, count in rows:
        _add_runnable(connection, job, model, count)


def requeue_items(
    connection: sqlite3.Connection, job: JobRow, items: Iterable[tuple[int, str]]
) -> None:
    """Return leased items to the queue; the caller updates the counters of the job.

    Args:
        connection: Database connection of the state machine.
        job: Job of the items.
        items: Index and model of each item.
    """
    rows = list(items)
    connection.executemany(
        "INSERT OR IGNORE INTO sm_pending (job, model, item_index) VALUES (?, ?, ?)",
        [(job.number, model, index) for index, model in rows],
    )
    _add_tenant_pending(connection, job.service, job.tenant, len(rows))
    for model, count in sorted(Counter(model for _, model in rows).items()):
        _add_runnable(connection, job, model, count)


def dequeue_items(connection: sqlite3.Connection, job: JobRow, model: str, limit: int) -> list[int]:
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
    _add_served_share(connection, job, len(indexes))
    return indexes


def remove_item(connection: sqlite3.Connection, job: JobRow, model: str, index: int) -> None:
    """Remove one item from the queue because a late result of the item was accepted."""
    connection.execute(
        "DELETE FROM sm_pending WHERE job = ? AND model = ? AND item_index = ?",
        (job.number, model, index),
    )
    _remove_runnable(connection, job, model, 1)
    _subtract_tenant_pending(connection, job.service, job.tenant, 1)


def remove_job(connection: sqlite3.Connection, job: JobRow) -> None:
    """Remove all pending items of an accepted job from the queue, on cancel or at the deadline."""
    models = [str(model) for (model,) in connection.execute(_SELECT_MODELS_OF_JOB, (job.number,))]
    connection.execute("DELETE FROM sm_pending WHERE job = ?", (job.number,))
    for model in models:
        key = (job.service, model, job.tenant, job.deadline_ms, job.number)
        connection.execute(f"DELETE FROM sm_runnable WHERE {_RUNNABLE_KEY}", key)
        _delete_idle_turn(connection, job, model)
    _subtract_tenant_pending(connection, job.service, job.tenant, job.pending)


def next_tenant(
    connection: sqlite3.Connection, service: str, models: list[str], closed: list[int]
) -> str | None:
    """Return the tenant whose turn is next in a service.

    The result is None when no item of these models is pending in the service, apart from the items
    of the jobs in ``closed``.
    """
    first_turns = [
        row
        for model in models
        if (row := _first_turn(connection, service, model, closed)) is not None
    ]
    return min(first_turns)[1] if first_turns else None


def _first_turn(
    connection: sqlite3.Connection, service: str, model: str, closed: list[int]
) -> tuple[int, str] | None:
    if closed:
        parameters = (service, model, json_array(closed))
        row = connection.execute(_SELECT_FIRST_OPEN_TURN, parameters).fetchone()
    else:
        row = connection.execute(_SELECT_FIRST_TURN, (service, model)).fetchone()
    return None if row is None else (int(row[0]), str(row[1]))


def tenants_in_service(connection: sqlite3.Connection, service: str) -> int:
    """Return the number of tenants that have pending items in a service."""
    row = connection.execute(
        "SELECT tenants FROM sm_waiting WHERE service = ?", (service,)
    ).fetchone()
    return 0 if row is None else int(row[0])


def earliest_job(
    connection: sqlite3.Connection,
    service: str,
    models: list[str],
    tenant: str,
    closed: list[int],
) -> tuple[int, str] | None:
    """Return the tenant's job with the earliest deadline that has pending items of these models.

    The result is the job number and the model, or None when the tenant has no such job apart from
    those in ``closed``.
    """
    best: tuple[int, int, str] | None = None
    for model in models:
        parameters = (service, model, tenant, json_array(closed))
        row = connection.execute(_SELECT_FIRST_JOB, parameters).fetchone()
        if row is not None:
            candidate = (int(row[0]), int(row[1]), model)
            best = candidate if best is None else min(best, candidate)
    return None if best is None else (best[1], best[2])


def pending_in_service(connection: sqlite3.Connection, service: str) -> int:
    """Return the number of pending items of a service in this group."""
    row = connection.execute(
        "SELECT pending FROM sm_waiting WHERE service = ?", (service,)
    ).fetchone()
    return 0 if row is None else int(row[0])


def pending_by_service(connection: sqlite3.Connection) -> dict[str, int]:
    """Return the number of pending items of each service that has any."""
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
    connection.execute(_INSERT_TURN, (model, job.service, job.tenant))


def _remove_runnable(connection: sqlite3.Connection, job: JobRow, model: str, count: int) -> None:
    key = (job.service, model, job.tenant, job.deadline_ms, job.number)
    connection.execute(
        f"UPDATE sm_runnable SET pending = pending - ? WHERE {_RUNNABLE_KEY}", (count, *key)
    )
    connection.execute(f"DELETE FROM sm_runnable WHERE {_RUNNABLE_KEY} AND pending <= 0", key)
    _delete_idle_turn(connection, job, model)


def _delete_idle_turn(connection: sqlite3.Connection, job: JobRow, model: str) -> None:
    """Delete the turn of the job's tenant for a model if the tenant has no pending item of it."""
    key = (job.service, job.tenant, model)
    connection.execute(_DELETE_IDLE_TURN, (*key, *key))


def _add_tenant_pending(
    connection: sqlite3.Connection, service: str, tenant: str, count: int
) -> None:
    """Add to the number of pending items of a tenant and of its service.

    This must run before the turns of the tenant are inserted, as they copy its served share.
    """
    if count == 0:
        return
    key = (service, tenant)
    updated = connection.execute(
        "UPDATE sm_shares SET pending = pending + ? WHERE service = ? AND tenant = ?",
        (count, *key),
    )
    new_tenants = 1 - updated.rowcount
    if new_tenants:
        connection.execute(_INSERT_SHARE, (*key, service, count))
    connection.execute(_ADD_SERVICE_TOTALS, (service, new_tenants, count))


def _add_served_share(connection: sqlite3.Connection, job: JobRow, count: int) -> None:
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
    _subtract_tenant_pending(connection, job.service, job.tenant, count)


def _subtract_tenant_pending(
    connection: sqlite3.Connection, service: str, tenant: str, count: int
) -> None:
    key = (service, tenant)
    connection.execute(
        "UPDATE sm_shares SET pending = pending - ? WHERE service = ? AND tenant = ?",
        (count, *key),
    )
    deleted = connection.execute(
        "DELETE FROM sm_shares WHERE service = ? AND tenant = ? AND pending <= 0", key
    )
    connection.execute(
        "UPDATE sm_waiting SET tenants = tenants - ?, pending = pending - ? WHERE service = ?",
        (deleted.rowcount, count, service),
    )
