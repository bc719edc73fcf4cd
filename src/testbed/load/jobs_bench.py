"""Bench of the job state machine alone: one replica's work, without network and consensus.

Run with ``python -m testbed.load.jobs_bench``. Each command is committed in a transaction of its
own in an SQLite file set up as a replica's is, so the figures hold a replica's writes and syncs.
"""

from __future__ import annotations

import sqlite3
import statistics
import tempfile
import time
from pathlib import Path
from typing import TypeVar

import fire
import msgspec
import psutil

from leverjunction.batch.commands import (
    AcceptJob,
    AppendItems,
    CancelJob,
    CompletedItems,
    CompleteItems,
    GetJob,
    GetResults,
    GrantLease,
    ItemInput,
    ItemResult,
    ItemState,
    JobSpec,
    JobView,
    Lease,
    OpenedJob,
    OpenJob,
    ResultPage,
)
from leverjunction.batch.state_machine import JobsStateMachine
from leverjunction.consensus.api import ApplyContext
from leverjunction.errors import Failure
from leverjunction.wire.codec import decode_reply, encode

T = TypeVar("T")

CHUNK_ITEMS = 500
LEASE_ITEMS = 64
PAGE_LINES = 1_000
TENANTS = 20
MS_PER_S = 1_000
BYTES_PER_MB = 1_000_000
WALL_MS = 1_000
DEADLINE_MS = 10_000_000


class JobsBenchReport(msgspec.Struct, frozen=True, kw_only=True):
    """Figures of one run.

    Attributes:
        items: Items of the big job.
        other_jobs: Further jobs that are pending meanwhile, spread over the tenants.
        other_items: Items of each of them.
        tenants: Tenants that the further jobs belong to.
        append_items_per_s: Items committed by AppendItems, in chunks of ``CHUNK_ITEMS``.
        run_items_per_s: Items granted and completed, in leases of ``LEASE_ITEMS``.
        grant_ms_p50: Median time of a GrantLease with its commit.
        grant_ms_p99: 99th percentile of it.
        complete_ms_p50: Median time of a CompleteItems with its commit.
        complete_ms_p99: 99th percentile of it.
        read_results_per_s: Results read through the cursor.
        cancel_ms: Time to cancel a job of the same size.
        resident_mb_before: Resident memory before the job, in megabytes.
        resident_mb_peak: Highest resident memory seen after a command.
        file_mb: Size of the database at the end.
    """

    items: int
    other_jobs: int
    other_items: int
    tenants: int
    append_items_per_s: float
    run_items_per_s: float
    grant_ms_p50: float
    grant_ms_p99: float
    complete_ms_p50: float
    complete_ms_p99: float
    read_results_per_s: float
    cancel_ms: float
    resident_mb_before: float
    resident_mb_peak: float
    file_mb: float


class JobsBench:
    """One state machine on one database file."""

    def __init__(self, path: Path, body_bytes: int) -> None:
        self._connection = sqlite3.connect(path, isolation_level=None)
        for pragma in ("locking_mode=EXCLUSIVE", "journal_mode=WAL", "synchronous=FULL"):
            self._connection.execute(f"PRAGMA {pragma}")
        self._machine = JobsStateMachine()
        self._machine.create_tables(self._connection)
        self._process = psutil.Process()
        self._body = '{"model":"m","prompt":"' + "x" * body_bytes + '"}'
        self._index = 0
        self.peak_bytes = 0

    def apply(self, command: msgspec.Struct, reply_type: type[T]) -> T:
        """Apply one command in a transaction of its own."""
        self._index += 1
        context = ApplyContext(index=self._index, term=1, wall_ms=WALL_MS)
        self._connection.execute("BEGIN IMMEDIATE")
        raw = self._machine.apply(self._connection, context, encode(command))
        self._connection.execute("COMMIT")
        self.peak_bytes = max(self.peak_bytes, self.resident_bytes())
        return _unwrap(decode_reply(raw, reply_type))

    def query(self, query: msgspec.Struct, reply_type: type[T]) -> T:
        """Answer one query."""
        return _unwrap(
            decode_reply(self._machine.query(self._connection, encode(query)), reply_type)
        )

    def resident_bytes(self) -> int:
        """Return the resident memory of this process."""
        return int(self._process.memory_info().rss)

    def submit(self, job_id: str, tenant: str, count: int) -> None:
        """Open, fill and accept a job."""
        spec = JobSpec(
            job_id=job_id,
            tenant=tenant,
            idempotency_key=job_id,
            content_hash="",
            service="s",
            batch_class="",
            item_count=count,
            may_repeat=True,
            deadline_ms=DEADLINE_MS,
        )
        self.apply(OpenJob(spec), OpenedJob)
        for first in range(0, count, CHUNK_ITEMS):
            last = min(first + CHUNK_ITEMS, count)
            items = [
                ItemInput(f"item-{index}", "m", "/v1/completions", self._body)
                for index in range(first, last)
            ]
            self.apply(AppendItems(job_id, first, items), JobView)
        self.apply(AcceptJob(job_id), JobView)

    def run_lease(self, number: int) -> tuple[int, float, float]:
        """Grant and complete one lease; returns its items and both times in milliseconds."""
        lease_id = f"lease-{number}"
        started_s = time.perf_counter()
        lease = self.apply(GrantLease(lease_id, "g", "s", ["m"], LEASE_ITEMS), Lease)
        granted_s = time.perf_counter()
        results = [
            ItemResult(
                job_id=item.job_id,
                index=item.index,
                attempt=item.attempt,
                state=ItemState.DONE,
                status_code=200,
                body=self._body,
            )
            for item in lease.items
        ]
        ready_s = time.perf_counter()
        if results:
            self.apply(CompleteItems(lease_id, results), CompletedItems)
        done_s = time.perf_counter()
        grant_ms = (granted_s - started_s) * MS_PER_S
        return len(results), grant_ms, (done_s - ready_s) * MS_PER_S

    def read_results(self, job_id: str) -> int:
        """Read all results of a job through the cursor; returns how many."""
        count, cursor = 0, 0
        while True:
            page = self.query(GetResults(job_id, cursor, PAGE_LINES), ResultPage)
            count += len(page.lines)
            cursor = page.next_cursor
            if not page.lines or page.complete:
                return count


def measure(
    items: int,
    other_jobs: int,
    body_bytes: int,
    path: Path,
    tenants: int = TENANTS,
    other_items: int = 1,
) -> JobsBenchReport:
    """Run the bench on a new database file."""
    bench = JobsBench(path, body_bytes)
    before_bytes = bench.resident_bytes()
    for number in range(other_jobs):
        bench.submit(f"other-{number}", f"tenant-{number % tenants}", other_items)
    started_s = time.perf_counter()
    bench.submit("big", "tenant-0", items)
    append_s = time.perf_counter() - started_s
    started_s = time.perf_counter()
    leases: list[tuple[int, float, float]] = []
    while bench.query(GetJob("big"), JobView).done < items:
        leases.append(bench.run_lease(len(leases)))
    run_s = time.perf_counter() - started_s
    started_s = time.perf_counter()
    read = bench.read_results("big")
    read_s = time.perf_counter() - started_s
    bench.submit("cancelled", "tenant-0", items)
    started_s = time.perf_counter()
    bench.apply(CancelJob("cancelled"), JobView)
    cancel_s = time.perf_counter() - started_s
    grants, completes = [lease[1] for lease in leases], [lease[2] for lease in leases]
    return JobsBenchReport(
        items=items,
        other_jobs=other_jobs,
        other_items=other_items,
        tenants=tenants,
        append_items_per_s=items / append_s,
        run_items_per_s=sum(lease[0] for lease in leases) / run_s,
        grant_ms_p50=statistics.median(grants),
        grant_ms_p99=_p99(grants),
        complete_ms_p50=statistics.median(completes),
        complete_ms_p99=_p99(completes),
        read_results_per_s=read / read_s,
        cancel_ms=cancel_s * MS_PER_S,
        resident_mb_before=before_bytes / BYTES_PER_MB,
        resident_mb_peak=bench.peak_bytes / BYTES_PER_MB,
        file_mb=path.stat().st_size / BYTES_PER_MB,
    )


def run(
    items: int = 100_000,
    other_jobs: int = 1_600,
    body_bytes: int = 500,
    tenants: int = TENANTS,
    other_items: int = 1,
) -> None:
    """Run the bench and print its figures as JSON."""
    with tempfile.TemporaryDirectory() as folder:
        report = measure(
            items, other_jobs, body_bytes, Path(folder) / "jobs.sqlite", tenants, other_items
        )
    print(msgspec.json.format(msgspec.json.encode(report), indent=2).decode())


def _p99(values: list[float]) -> float:
    return statistics.quantiles(values, n=100)[98]


def _unwrap(reply: T | Failure) -> T:
    if isinstance(reply, Failure):
        raise RuntimeError(f"the bench's command was refused: {reply.reason}")
    return reply


if __name__ == "__main__":
    fire.Fire(run)
