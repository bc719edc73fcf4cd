"""Cost of a job group's state machine by items, jobs and tenants; without replication."""

from __future__ import annotations

import sqlite3
import time
from collections.abc import Callable
from functools import partial
from pathlib import Path
from tempfile import TemporaryDirectory

import msgspec

from leverjunction.batch.commands import (
    AcceptJob,
    AppendItems,
    CancelJob,
    ClaimRequest,
    CompleteItems,
    FinishClaim,
    GrantLease,
    ItemInput,
    ItemResult,
    ItemState,
    JobCommand,
    JobSpec,
    Lease,
    OpenJob,
)
from leverjunction.batch.state_machine import JobsStateMachine
from leverjunction.batch.submission import items_hash
from leverjunction.consensus.api import ApplyContext
from leverjunction.errors import Failure
from leverjunction.wire.codec import decode_reply, encode
from testbed.scale.lease_traffic import MODELS, SERVICE
from testbed.scale.operators import make_items
from testbed.scale.slope_report import Slope, slope
from testbed.scale.slopes import Point

ITEM_BYTES = 600
JOB_ITEMS = (10_000, 25_000, 50_000, 100_000)
JOBS = (100, 400, 800, 1600)
TENANTS = (10, 100, 400, 1600)
CLAIMS = (2_000, 10_000, 20_000)
CHUNK_ITEMS = 1000
LEASE_ITEMS = (1, 4, 16, 64)
GRANTS_TIMED = 200
FIRST_WALL_MS = 1_700_000_000_000
DEADLINE_MS = FIRST_WALL_MS + 86_400_000
US = 1e6
MS = 1e3


def measure() -> list[Slope]:
    """Return all slopes of the job groups."""
    return [*_by_job_size(), *_by_lease_size(), *_by_jobs(), *_by_tenants(), *_by_claims()]


class JobGroup:
    """A job state machine on a file, with the pragmas of a replica but no log."""

    def __init__(self, folder: Path) -> None:
        self._path = folder / "jobs.sqlite"
        self._machine = JobsStateMachine()
        self._connection = sqlite3.connect(self._path, isolation_level=None)
        self._connection.execute("PRAGMA locking_mode=EXCLUSIVE")
        self._connection.execute("PRAGMA journal_mode=WAL")
        self._machine.create_tables(self._connection)
        self._index = 0
        self._leases = 0

    @property
    def disk_bytes(self) -> int:
        """Size of the state on disk, after a checkpoint."""
        self._connection.execute("PRAGMA wal_checkpoint(TRUNCATE)")
        return self._path.stat().st_size

    def apply(self, command: JobCommand) -> bytes:
        """Apply one command in a transaction of its own."""
        self._index += 1
        context = ApplyContext(index=self._index, term=1, wall_ms=FIRST_WALL_MS + self._index)
        self._connection.execute("BEGIN")
        reply = self._machine.apply(self._connection, context, encode(command))
        self._connection.execute("COMMIT")
        return reply

    def submit(self, job_id: str, tenant: str, items: list[ItemInput]) -> float:
        """Open, fill and accept a job; returns the processor time of the acceptance."""
        spec = JobSpec(
            job_id=job_id,
            tenant=tenant,
            idempotency_key=job_id,
            content_hash=items_hash("", items),
            service=SERVICE,
            batch_class="night",
            item_count=len(items),
            may_repeat=True,
            deadline_ms=DEADLINE_MS,
        )
        self._checked(OpenJob(spec=spec))
        for start in range(0, len(items), CHUNK_ITEMS):
            chunk = items[start : start + CHUNK_ITEMS]
            self._checked(AppendItems(job_id=job_id, first_index=start, items=chunk))
        return processor_of(lambda: self._checked(AcceptJob(job_id=job_id)))

    def grant(self, items: int) -> Lease:
        """Lease items and return the lease."""
        self._leases += 1
        command = GrantLease(
            lease_id=f"lease-{self._leases}",
            owner=f"gateway-{self._leases % 340}",
            service=SERVICE,
            models=MODELS,
            max_items=items,
        )
        lease = decode_reply(self.apply(command), Lease)
        assert not isinstance(lease, Failure), lease
        return lease

    def complete(self, lease: Lease) -> None:
        """Commit results of all items of a lease."""
        results = [
            ItemResult(
                job_id=leased.job_id,
                index=leased.index,
                attempt=leased.attempt,
                state=ItemState.DONE,
                status_code=200,
                body="y" * ITEM_BYTES,
            )
            for leased in lease.items
        ]
        self.apply(CompleteItems(lease_id=lease.lease_id, results=results))

    def _checked(self, command: JobCommand) -> None:
        reply = self.apply(command)
        assert b'"type":"failure"' not in reply[:40], reply[:300]


def processor_of(work: Callable[[], object]) -> float:
    """Return the processor time of one call, in seconds."""
    started_s = time.process_time()
    work()
    return time.process_time() - started_s


def _by_job_size() -> list[Slope]:
    submit: list[Point] = []
    accept: list[Point] = []
    cancel: list[Point] = []
    disk: list[Point] = []
    grant: list[Point] = []
    complete: list[Point] = []
    done_disk: list[Point] = []
    for items in JOB_ITEMS:
        with TemporaryDirectory() as folder:
            group = JobGroup(Path(folder))
            empty = group.disk_bytes
            inputs = make_items("job-a", items, ITEM_BYTES)
            started_s = time.process_time()
            accept_s = group.submit("job-a", "tenant-a", inputs)
            submit.append(Point(items, time.process_time() - started_s))
            accept.append(Point(items, accept_s * MS))
            disk.append(Point(items, group.disk_bytes - empty))
            grant_s, complete_s, leased = _time_leases(group, 4)
            grant.append(Point(items, grant_s * US / leased))
            complete.append(Point(items, complete_s * US / leased))
            before = group.disk_bytes
            more = [group.grant(64) for _ in range(min(items, 10_000) // 64)]
            for lease in more:
                group.complete(lease)
            finished = sum(len(lease.items) for lease in more)
            done_disk.append(Point(items, (group.disk_bytes - before) / finished))
            cancel_s = processor_of(partial(group.apply, CancelJob(job_id="job-a")))
            cancel.append(Point(items, cancel_s * MS))
    return [
        slope("jobs: open, append and accept a job", "s", "item", submit),
        slope("jobs: accept entry alone", "ms", "item", accept),
        slope("jobs: cancel entry alone", "ms", "item", cancel),
        slope("jobs: inputs on disk", "B", "item", disk),
        slope("jobs: grant, per item, leases of 4, by size of job", "us", "item of job", grant),
        slope(
            "jobs: complete, per item, leases of 4, by size of job", "us", "item of job", complete
        ),
        slope("jobs: result on disk, per item, by size of job", "B", "item of job", done_disk),
    ]


def _time_leases(group: JobGroup, items: int) -> tuple[float, float, int]:
    """Return processor time of grants, of completions, and the number of items leased."""
    leases: list[Lease] = []
    started_s = time.process_time()
    for _ in range(GRANTS_TIMED):
        leases.append(group.grant(items))
    granted_s = time.process_time()
    for lease in leases:
        group.complete(lease)
    completed_s = time.process_time()
    leased = sum(len(lease.items) for lease in leases)
    return granted_s - started_s, completed_s - granted_s, leased


def _by_lease_size() -> list[Slope]:
    grant: list[Point] = []
    complete: list[Point] = []
    with TemporaryDirectory() as folder:
        group = JobGroup(Path(folder))
        group.submit("job-a", "tenant-a", make_items("job-a", 25_000, ITEM_BYTES))
        for items in LEASE_ITEMS:
            grant_s, complete_s, _ = _time_leases(group, items)
            grant.append(Point(items, grant_s * US / GRANTS_TIMED))
            complete.append(Point(items, complete_s * US / GRANTS_TIMED))
    return [
        slope("jobs: grant of a lease", "us", "item of lease", grant),
        slope("jobs: completion of a lease", "us", "item of lease", complete),
    ]


def _by_jobs() -> list[Slope]:
    submit: list[Point] = []
    grant: list[Point] = []
    with TemporaryDirectory() as folder:
        group = JobGroup(Path(folder))
        done = 0
        for jobs in JOBS:
            started_s = time.process_time()
            for number in range(done, jobs):
                job_id = f"job-{number}"
                group.submit(job_id, f"tenant-{number % 50}", make_items(job_id, 20, ITEM_BYTES))
            submit.append(Point(jobs, (time.process_time() - started_s) * MS / (jobs - done)))
            done = jobs
            grant_s, _, leased = _time_leases(group, 4)
            grant.append(Point(jobs, grant_s * US / leased))
    return [
        slope("jobs: submit a job of 20 items, by jobs present", "ms", "job", submit),
        slope("jobs: grant, per item, by jobs pending", "us", "job", grant),
    ]


def _by_tenants() -> list[Slope]:
    grant: list[Point] = []
    with TemporaryDirectory() as folder:
        group = JobGroup(Path(folder))
        done = 0
        for tenants in TENANTS:
            for number in range(done, tenants):
                job_id = f"job-{number}"
                group.submit(job_id, f"tenant-{number}", make_items(job_id, 20, ITEM_BYTES))
            done = tenants
            grant_s, _, leased = _time_leases(group, 4)
            grant.append(Point(tenants, grant_s * US / leased))
    return [slope("jobs: grant, per item, by tenants with work", "us", "tenant", grant)]


def _by_claims() -> list[Slope]:
    points: list[Point] = []
    disk: list[Point] = []
    with TemporaryDirectory() as folder:
        group = JobGroup(Path(folder))
        empty = group.disk_bytes
        done = 0
        for claims in CLAIMS:
            started_s = time.process_time()
            for number in range(done, claims):
                _claim(group, number)
            taken_s = time.process_time() - started_s
            points.append(Point(claims, taken_s * US / (claims - done)))
            disk.append(Point(claims, group.disk_bytes - empty))
            done = claims
    return [
        slope("claims: claim and finish one request, by claims kept", "us", "claim", points),
        slope("claims: on disk", "B", "claim", disk),
    ]


def _claim(group: JobGroup, number: int) -> None:
    group.apply(
        ClaimRequest(
            tenant="tenant-a",
            key=f"key-{number}",
            content_hash=f"{number:064x}",
            gateway="gateway-1",
            attempt_id=f"{number:032x}",
        )
    )
    group.apply(
        FinishClaim(
            tenant="tenant-a",
            key=f"key-{number}",
            attempt_id=f"{number:032x}",
            status_code=200,
            body="y" * ITEM_BYTES,
        )
    )


def item_bytes_on_wire() -> int:
    """Return the encoded size of one leased item of ``ITEM_BYTES``, for the capacity page."""
    return len(msgspec.json.encode(make_items("jobs-0.0123456789abcdef", 1, ITEM_BYTES)[0]))
