"""What one replica of a job group writes for its items, by table and index.

``python -m testbed.load.written_bytes [--jobs 20] [--lease_items 16] [--json F]`` runs one replica
with the product's engine, store and state machine, without network. As on a busy leader, what an
entry changed is committed together with the next entry of the log. Each commit's frames in the
write-ahead log are counted by the table or index that the page belongs to.
"""

from __future__ import annotations

import sqlite3
import struct
import tempfile
from collections import Counter
from pathlib import Path
from random import Random
from typing import TypeVar

import fire
import msgspec
import psutil

from leverjunction.batch.commands import (
    AcceptJob,
    AppendItems,
    CompletedItems,
    CompleteItems,
    GrantLease,
    ItemInput,
    ItemResult,
    ItemState,
    JobSpec,
    JobView,
    Lease,
    OpenedJob,
    OpenJob,
)
from leverjunction.batch.state_machine import JobsStateMachine
from leverjunction.consensus.engine import EngineCallbacks, ReplicaEngine
from leverjunction.consensus.events import Propose, Tick
from leverjunction.consensus.store import open_store
from leverjunction.consensus.types import GroupConfig, Role
from leverjunction.errors import Failure
from leverjunction.wire.codec import decode_reply, encode

T = TypeVar("T")

SEED = 1
ADDRESS = "127.0.0.1:1"
BODY_BYTES = 600
CHUNK_ITEMS = 500
LOG_KEPT_ENTRIES = 100
"""Entries kept: so few that the log is compacted many times within a run."""

SAMPLE_COMMITS = 50
"""Commits between two readings of which page belongs to what."""

WALL_MS = 1_000
DEADLINE_MS = 10_000_000
TICK_S = 0.1
FREE_PAGE = "(free page)"
HEADER_PAGE = "(file header)"

_WAL_HEADER_BYTES = 32
_SALTS = slice(16, 24)
_FRAME = struct.Struct(">II8s8s")


class CauseBytes(msgspec.Struct, frozen=True, kw_only=True):
    """Bytes in the write-ahead log for an item, by the table or index that the page belongs to."""

    name: str
    bytes_per_item: float
    pages_per_commit: float


class WrittenReport(msgspec.Struct, frozen=True, kw_only=True):
    """What granting and completing the items wrote; submission is not in it.

    Attributes:
        jobs: Jobs, each of a tenant of its own.
        items: Items granted and completed.
        lease_items: Items of a lease.
        commits: Synced transactions.
        pages_per_commit: Frames of the write-ahead log for one of them.
        log_bytes_per_item: Bytes of the write-ahead log for an item.
        disk_bytes_per_item: All bytes that the process wrote, checkpoints and sidecars included.
        causes: Shares of ``log_bytes_per_item``, largest first.
    """

    jobs: int
    items: int
    lease_items: int
    commits: int
    pages_per_commit: float
    log_bytes_per_item: float
    disk_bytes_per_item: float
    causes: list[CauseBytes]


class LogReader:
    """Reads the page numbers of new frames from the write-ahead log."""

    def __init__(self, wal: Path, page_bytes: int) -> None:
        self._wal = wal
        self._frame_bytes = _FRAME.size + page_bytes
        self._salts = b""
        self._offset = 0

    def new_pages(self) -> list[int]:
        """Return the page of each frame added since the last call."""
        with self._wal.open("rb") as file:
            salts = file.read(_WAL_HEADER_BYTES)[_SALTS]
            if salts != self._salts:
                self._salts, self._offset = salts, _WAL_HEADER_BYTES
            pages: list[int] = []
            while True:
                file.seek(self._offset)
                head = file.read(_FRAME.size)
                if len(head) < _FRAME.size or _FRAME.unpack(head)[2] != salts:
                    return pages
                pages.append(_FRAME.unpack(head)[0])
                self._offset += self._frame_bytes


class PageOwners:
    """Counts frames by the table or index that their page belongs to."""

    def __init__(self, connection: sqlite3.Connection) -> None:
        self._connection = connection
        self._waiting: list[int] = []
        self._known: dict[int, str] = {}
        self.frames: Counter[str] = Counter()

    def add(self, pages: list[int]) -> None:
        """Take the frames of a commit."""
        self._waiting += pages

    def settle(self) -> None:
        """Count the frames taken so far, by the owners that their pages have now or had before."""
        rows = self._connection.execute("SELECT pageno, name FROM dbstat")
        now = {int(page): str(name) for page, name in rows}
        for page in self._waiting:
            known = HEADER_PAGE if page == 1 else now.get(page) or self._known.get(page)
            self.frames[known or FREE_PAGE] += 1
        self._waiting.clear()
        self._known = now


class Replica:
    """A group of one replica, driven command by command."""

    def __init__(self, path: Path) -> None:
        config = GroupConfig(
            group="jobs-0",
            address=ADDRESS,
            first_members=(ADDRESS,),
            data_path=str(path),
            log_kept_entries=LOG_KEPT_ENTRIES,
        )
        random = Random(SEED)
        store = open_store(str(path), random)
        if isinstance(store, Failure):
            raise RuntimeError(store.reason)
        self.store = store
        self._answers: dict[int, bytes | Failure] = {}
        self._requests = 0
        self._now_s = 0.0
        callbacks = EngineCallbacks(
            outbox=lambda _address, _message: None,
            answer=self._answers.__setitem__,
            changed_role=lambda _effect: None,
            repaired=lambda _repair: None,
        )
        self._engine = ReplicaEngine(config, JobsStateMachine(), store, random, 0.0, callbacks)
        while self._engine.core.role is not Role.LEADER:
            self._now_s += TICK_S
            self._engine.step([Tick()], self._now_s)
        page_bytes = store.connection.execute("PRAGMA page_size").fetchone()[0]
        self.page_bytes = int(page_bytes)
        self._log = LogReader(path.with_name(path.name + "-wal"), self.page_bytes)
        self._log.new_pages()
        self.owners = PageOwners(store.connection)

    def run(self, command: object, reply_type: type[T]) -> T:
        """Commit and apply a command and return its reply."""
        self._requests += 1
        proposal = Propose(request_id=self._requests, payload=encode(command), wall_ms=WALL_MS)
        self._engine.step([proposal], self._now_s)
        self.owners.add(self._log.new_pages())
        while self._engine.apply_committed():
            pass
        if self._requests % SAMPLE_COMMITS == 0:
            self.owners.settle()
        raw = self._answers.pop(self._requests)
        reply = raw if isinstance(raw, Failure) else decode_reply(raw, reply_type)
        if isinstance(reply, Failure):
            raise RuntimeError(f"the bench's command was refused: {reply.reason}")
        return reply

    def close(self) -> None:
        """Close the file."""
        self.store.close()


def _submit(replica: Replica, number: int, items: int) -> None:
    """Open, fill and accept a job of a tenant of its own."""
    job_id = f"job-{number}"
    spec = JobSpec(
        job_id=job_id,
        tenant=f"tenant-{number}",
        idempotency_key=job_id,
        content_hash="",
        service="s",
        batch_class="",
        item_count=items,
        may_repeat=True,
        deadline_ms=DEADLINE_MS,
    )
    replica.run(OpenJob(spec), OpenedJob)
    body = "x" * BODY_BYTES
    for first in range(0, items, CHUNK_ITEMS):
        numbers = range(first, min(first + CHUNK_ITEMS, items))
        inputs = [ItemInput(f"item-{index}", "m", "/v1/completions", body) for index in numbers]
        replica.run(AppendItems(job_id, first, inputs), JobView)
    replica.run(AcceptJob(job_id), JobView)


def _run_lease(replica: Replica, lease_id: str, lease_items: int) -> int:
    """Grant and complete one lease; return its items."""
    lease = replica.run(GrantLease(lease_id, "gateway", "s", ["m"], lease_items), Lease)
    results = [
        ItemResult(
            job_id=item.job_id,
            index=item.index,
            attempt=item.attempt,
            state=ItemState.DONE,
            status_code=200,
            body="y" * BODY_BYTES,
        )
        for item in lease.items
    ]
    replica.run(CompleteItems(lease_id, results), CompletedItems)
    return len(results)


def measure(path: Path, jobs: int, items_per_job: int, lease_items: int) -> WrittenReport:
    """Run all items of some jobs and return what that wrote."""
    random = Random(SEED)
    replica = Replica(path)
    for number in range(jobs):
        _submit(replica, number, items_per_job)
    replica.owners.settle()
    replica.owners.frames.clear()
    process = psutil.Process()
    written = process.io_counters().write_bytes
    first_commit = replica.store.commit_sequence
    items = 0
    while items < jobs * items_per_job:
        items += _run_lease(replica, f"{random.getrandbits(64):016x}", lease_items)
    replica.owners.settle()
    commits = replica.store.commit_sequence - first_commit
    disk = process.io_counters().write_bytes - written
    frames = replica.owners.frames
    replica.close()
    frame_bytes = _FRAME.size + replica.page_bytes
    return WrittenReport(
        jobs=jobs,
        items=items,
        lease_items=lease_items,
        commits=commits,
        pages_per_commit=frames.total() / commits,
        log_bytes_per_item=frames.total() * frame_bytes / items,
        disk_bytes_per_item=disk / items,
        causes=[
            CauseBytes(
                name=name,
                bytes_per_item=count * frame_bytes / items,
                pages_per_commit=count / commits,
            )
            for name, count in frames.most_common()
        ],
    )


def run(jobs: int = 20, items_per_job: int = 1_000, lease_items: int = 16, json: str = "") -> None:
    """Run the bench and print its figures as JSON."""
    with tempfile.TemporaryDirectory() as folder:
        report = measure(Path(folder) / "group.sqlite", jobs, items_per_job, lease_items)
    document = msgspec.json.format(msgspec.json.encode(report), indent=2)
    if json:
        Path(json).write_bytes(document)
    print(document.decode())


if __name__ == "__main__":
    fire.Fire(run)
