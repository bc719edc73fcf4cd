"""The queue of pending items: what may be leased, by service, model, tenant and deadline.

Fairness between tenants is start-time fair queueing (Goyal et al., 1996): every item leased adds
one to its tenant's served share, the tenant with the smallest share goes first, and a tenant that
joins starts at the smallest share of those present, so that idleness earns no credit.
"""

from __future__ import annotations

import sqlite3
from collections import Counter
from collections.abc import Iterable

from leverjunction.batch.job_rows import JobRow


def enqueue_job(connection: sqlite3.Connection, job: JobRow) -> None:
    """Make all pending items of a job that was just accepted available to grants."""
    rows = connection.execute(
        "SELECT model, COUNT(*) FROM sm_pending WHERE job = ? GROUP BY model", (job.number,)
    ).fetchall()
    for model, count in rows:
        _add_runnable(connection, job, model, count)
    _add_share(connection, job.service, job.tenant, job.pending)


def return_items(
    connection: sqlite3.Connection, job: JobRow, items: Iterable[tuple[int, str]]
) -> None:
    """Put leased items (index, model) back into the queue; the job's counters are the caller's."""
    rows = list(items)
    connection.executemany(
        "INSERT OR IGNORE INTO sm_pending (job, model, item_index) VALUES (?, ?, ?)",
        [(job.number, model, index) for index, model in rows],
    )
    for model, count in sorted(Counter(model for _, model in rows).items()):
        _add_runnable(connection, job, model, count)
    _add_share(connection, job.service, job.tenant, len(rows))


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
    _serve_share(connection, job.service, job.tenant, len(indexes))
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
    connection.execute("DELETE FROM sm_pending WHERE job = ?", (job.number,))
    connection.execute(
        "DELETE FROM sm_runnable WHERE service = ? AND job = ?", (job.service, job.number)
    )
    _remove_share(connection, job.service, job.tenant, job.pending)


def next_tenant(connection: sqlite3.Connection, service: str, models: list[str]) -> str | None:
    """Return the tenant whose turn it is among those with items of these models, or None."""
    marks = ", ".join("?" for _ in models)
    row = connection.execute(
        f"""
        SELECT tenant FROM sm_shares AS share
        WHERE service = ? AND EXISTS (
            SELECT 1 FROM sm_runnable AS runnable
            WHERE runnable.service = share.service AND runnable.model IN ({marks})
            AND runnable.tenant = share.tenant
        )
        ORDER BY served, tenant LIMIT 1
        """,
        [service, *models],
    ).fetchone()
    return None if row is None else str(row[0])


def tenants_in_service(connection: sqlite3.Connection, service: str) -> int:
    """Return how many tenants have pending items in a service."""
    row = connection.execute(
        "SELECT COUNT(*) FROM sm_shares WHERE service = ?", (service,)
    ).fetchone()
    return int(row[0])


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
        "SELECT COALESCE(SUM(pending), 0) FROM sm_shares WHERE service = ?", (service,)
    ).fetchone()
    return int(row[0])


def pending_by_service(connection: sqlite3.Connection) -> dict[str, int]:
    """Return the number of waiting items of each service that has any."""
    rows = connection.execute("SELECT service, SUM(pending) FROM sm_shares GROUP BY service")
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


def _remove_runnable(connection: sqlite3.Connection, job: JobRow, model: str, count: int) -> None:
    key = (job.service, model, job.tenant, job.deadline_ms, job.number)
    where = "service = ? AND model = ? AND tenant = ? AND deadline_ms = ? AND job = ?"
    connection.execute(f"UPDATE sm_runnable SET pending = pending - ? WHERE {where}", (count, *key))
    connection.execute(f"DELETE FROM sm_runnable WHERE {where} AND pending <= 0", key)


def _add_share(connection: sqlite3.Connection, service: str, tenant: str, count: int) -> None:
    if count == 0:
        return
    connection.execute(
        """
        INSERT INTO sm_shares (service, tenant, served, pending)
        VALUES (?, ?, (SELECT COALESCE(MIN(served), 0) FROM sm_shares WHERE service = ?), ?)
        ON CONFLICT DO UPDATE SET pending = pending + excluded.pending
        """,
        (service, tenant, service, count),
    )


def _serve_share(connection: sqlite3.Connection, service: str, tenant: str, count: int) -> None:
    connection.execute(
        "UPDATE sm_shares SET served = served + ? WHERE service = ? AND tenant = ?",
        (count, service, tenant),
    )
    _remove_share(connection, service, tenant, count)


def _remove_share(connection: sqlite3.Connection, service: str, tenant: str, count: int) -> None:
    connection.execute(
        "UPDATE sm_shares SET pending = pending - ? WHERE service = ? AND tenant = ?",
        (count, service, tenant),
    )
    connection.execute(
        "DELETE FROM sm_shares WHERE service = ? AND tenant = ? AND pending <= 0",
        (service, tenant),
    )
