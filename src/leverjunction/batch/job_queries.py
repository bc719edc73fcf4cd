"""Queries of the job state machine: jobs, listings, results and the backlog."""

from __future__ import annotations

import sqlite3

from leverjunction.batch import job_spread, pending, retention
from leverjunction.batch.commands import (
    Backlog,
    GetBacklog,
    GetJob,
    GetResults,
    ItemState,
    JobState,
    JobView,
    ListJobs,
    ResultLine,
    ResultPage,
)
from leverjunction.batch.job_rows import (
    JobRow,
    job_by_id,
    job_not_found_failure,
    newest_jobs,
    results_removed_failure,
)
from leverjunction.batch.tables import row_key, split_key
from leverjunction.errors import Failure

MAX_PAGE_LINES = 2_000
MAX_PAGE_BYTES = 4_000_000
MAX_LISTED_JOBS = 1_000
MAX_CANCELLED_JOBS = 100
"""Covers far more cancellations than occur before every lease holder has been notified."""

_SELECT_STORED_RESULTS = """
SELECT result.result_key, result.item_index, item.custom_id, result.state, result.status_code,
    result.body
FROM sm_results AS result JOIN sm_items AS item ON item.item_key = ? + result.item_index
WHERE result.result_key > ? AND result.result_key < ? ORDER BY result.result_key LIMIT ?
"""

_SELECT_UNFINISHED_ITEMS = """
SELECT item.item_key, item.custom_id
FROM sm_items AS item LEFT JOIN sm_item_states AS state USING (item_key)
WHERE item.item_key >= ? AND item.item_key < ? AND COALESCE(state.state, 'pending')
    IN ('pending', 'leased')
ORDER BY item.item_key LIMIT ?
"""


def get_job(connection: sqlite3.Connection, query: GetJob) -> JobView | Failure:
    """Return one job, or the failure NOT_FOUND."""
    job = job_by_id(connection, query.job_id)
    return job_not_found_failure(query.job_id) if job is None else job.view()


def list_jobs(connection: sqlite3.Connection, query: ListJobs) -> list[JobView]:
    """Return the next jobs of a listing, newest first, at most ``MAX_LISTED_JOBS``."""
    limit = max(0, min(query.limit, MAX_LISTED_JOBS))
    return [job.view() for job in newest_jobs(connection, query, limit)]


def get_results(connection: sqlite3.Connection, query: GetResults) -> ResultPage | Failure:
    """Return a page of final items, limited by ``MAX_PAGE_LINES`` and ``MAX_PAGE_BYTES``.

    Cursors 1 to ``stored_results`` are the stored outcomes in the order in which they were
    committed. In a cancelled or expired job the unfinished items follow: the item with index i has
    the cursor ``stored_results + 1 + i``. The order cannot change because a final job stores no
    further outcomes.

    Returns:
        The page, or the failure NOT_FOUND (no such job) or EXPIRED (the results were removed).
    """
    job = job_by_id(connection, query.job_id)
    if job is None:
        return job_not_found_failure(query.job_id)
    if job.removed_ms:
        return results_removed_failure(job)
    after = max(0, query.after)
    limit = max(1, min(query.limit, MAX_PAGE_LINES))
    lines = _stored_lines(connection, job, after, limit)
    cursor = lines[-1].cursor if lines else after
    if len(lines) < limit and cursor >= job.stored_results and job.is_final:
        lines += _unfinished_lines(connection, job, cursor, limit - len(lines))
        cursor = lines[-1].cursor if lines else after
    return ResultPage(lines=lines, next_cursor=cursor, complete=_is_complete(job, cursor, lines))


def get_backlog(connection: sqlite3.Connection, query: GetBacklog) -> Backlog:
    """Return the number of pending items by service.

    If the query asks for leases, the reply also has the open leases, the time of the next expiry
    and the most recently cancelled jobs.
    """
    counts = pending.pending_by_service(connection)
    if query.owner and query.as_of_ms:
        closed = job_spread.closed_pending(connection, query.owner, query.as_of_ms)
        counts = {
            service: count - closed.get(service, 0)
            for service, count in counts.items()
            if count > closed.get(service, 0)
        }
    return Backlog(
        pending_by_service=counts,
        leases_by_owner=_open_leases(connection) if query.with_leases else {},
        next_due_ms=retention.next_due_ms(connection) if query.with_leases else 0,
        cancelled_jobs=_recently_cancelled_jobs(connection) if query.with_leases else [],
        alerts=job_spread.recent_alerts(connection, query.as_of_ms) if query.with_alerts else [],
    )


def _recently_cancelled_jobs(connection: sqlite3.Connection) -> list[str]:
    rows = connection.execute(
        """
        SELECT job_id FROM sm_jobs WHERE state = 'cancelled'
        ORDER BY finished_ms DESC, number DESC LIMIT ?
        """,
        (MAX_CANCELLED_JOBS,),
    )
    return [str(job_id) for (job_id,) in rows]


def _open_leases(connection: sqlite3.Connection) -> dict[str, list[str]]:
    leases: dict[str, list[str]] = {}
    rows = connection.execute(
        "SELECT owner, lease_id FROM sm_leases WHERE open_items > 0 ORDER BY owner, number"
    )
    for owner, lease_id in rows:
        leases.setdefault(owner, []).append(lease_id)
    return leases


def _stored_lines(
    connection: sqlite3.Connection, job: JobRow, after: int, limit: int
) -> list[ResultLine]:
    rows = connection.execute(
        _SELECT_STORED_RESULTS,
        (
            row_key(job.number, 0),
            row_key(job.number, min(after, job.stored_results)),
            row_key(job.number + 1, 0),
            limit,
        ),
    )
    lines: list[ResultLine] = []
    size = 0
    for key, index, custom_id, state, status_code, body in rows:
        line = ResultLine(
            cursor=split_key(key)[1],
            index=index,
            custom_id=custom_id,
            state=ItemState(state),
            status_code=status_code,
            body=body,
        )
        lines.append(line)
        size += len(body)
        if size >= MAX_PAGE_BYTES:
            break
    return lines


def _unfinished_lines(
    connection: sqlite3.Connection, job: JobRow, after: int, limit: int
) -> list[ResultLine]:
    """Return lines for the items that had no outcome when the job ended, in index order."""
    if job.cancelled + job.expired == 0:
        return []
    state = ItemState.CANCELLED if job.state == JobState.CANCELLED else ItemState.EXPIRED
    first_index = max(0, after - job.stored_results)
    rows = connection.execute(
        _SELECT_UNFINISHED_ITEMS,
        (row_key(job.number, first_index), row_key(job.number + 1, 0), limit),
    )
    return [
        ResultLine(
            cursor=job.stored_results + 1 + split_key(key)[1],
            index=split_key(key)[1],
            custom_id=custom_id,
            state=state,
            status_code=0,
            body="",
        )
        for key, custom_id in rows
    ]


def _is_complete(job: JobRow, cursor: int, lines: list[ResultLine]) -> bool:
    if not job.is_final or cursor < job.stored_results:
        return False
    unfinished = job.cancelled + job.expired
    if unfinished == 0:
        return True
    # No unfinished item follows the cursor, or the last line of the page is the job's last item.
    exhausted = not lines and cursor > job.stored_results
    return exhausted or cursor >= job.stored_results + job.received
