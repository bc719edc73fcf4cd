"""Streaming upload of a job: items are committed in chunks while the body is still arriving.

The gateway holds one chunk in memory. No item runs before the job is accepted, so an upload that
is truncated or has an invalid line leaves only an open job, which is discarded.
"""

from __future__ import annotations

import msgspec

from leverjunction.api.batches_lines import LineReader
from leverjunction.batch.commands import (
    AcceptJob,
    AppendItems,
    Discarded,
    DiscardJob,
    ItemInput,
    JobSpec,
    JobState,
    JobView,
    OpenedJob,
    OpenJob,
    SealJob,
)
from leverjunction.batch.directory import JobDirectory
from leverjunction.batch.job_rows import RESULTS_RETENTION_MS, WEIGHT_ONE_MILLI
from leverjunction.batch.submission import items_hash
from leverjunction.errors import Execution, Failure, FailureKind, Step

CHUNK_ITEMS = 500
CHUNK_BYTES = 1_000_000
UPLOAD_TIMEOUT_S = 10.0
"""Longest time to commit one chunk, including a leader change."""


class UploadTerms(msgspec.Struct, frozen=True, kw_only=True):
    """Parameters of an upload, other than its items.

    Attributes:
        tenant: Tenant that owns the job.
        idempotency_key: Key by which a retry of the upload is recognized; empty for none.
        batch_class: Name of a batch class in the settings.
        may_repeat: Whether items may run more than once.
        deadline_ms: Wall-clock time after which pending items expire, in milliseconds.
        accept: True to accept the job at the end, False to seal it as an input file.
        weight_milli: Weight of the batch class, in thousandths.
        retention_ms: How long results are kept after the job's end, in milliseconds.
    """

    tenant: str
    idempotency_key: str
    batch_class: str
    may_repeat: bool
    deadline_ms: int
    accept: bool
    weight_milli: int = WEIGHT_ONE_MILLI
    retention_ms: int = RESULTS_RETENTION_MS


class JobUpload:
    """Upload of one job: call ``write`` with each piece of the body, then ``finish``.

    Not thread-safe; used only by the thread that reads the body. It implements ``write`` and
    ``seek`` of a file, because CherryPy's multipart reader writes the file part into it as into a
    temporary file and rewinds it at the end.
    """

    def __init__(self, directory: JobDirectory, reader: LineReader, terms: UploadTerms) -> None:
        self._directory = directory
        self._reader = reader
        self._terms = terms
        self._chunk: list[ItemInput] = []
        self._chunk_bytes = 0
        self._sent = 0
        self._digest = ""
        self._job: JobView | None = None
        self._group = ""
        self._failure: Failure | None = None
        self.received_bytes = 0

    def write(self, data: bytes) -> int:
        """Parse the next piece of the body and commit full chunks; discard it after a failure."""
        self.received_bytes += len(data)
        if self._failure is None:
            self._add_items(self._reader.feed(data))
        return len(data)

    def seek(self, position: int) -> int:
        """Return the position unchanged; an upload cannot be rewound."""
        return position

    def finish(self) -> JobView | Failure:
        """End the upload: accept or seal the whole job, or return why nothing was accepted."""
        if self._failure is None:
            self._add_items(self._reader.finish())
        if self._failure is None:
            self._failure = self._reader.failure()
        if self._failure is None:
            self._flush()
        if self._failure is None and self._job is None:
            self._failure = _empty_input()
        if self._failure is not None:
            self._discard()
            return self._failure
        return self._accept_or_seal()

    def abandon(self, failure: Failure) -> Failure:
        """End an upload whose body was truncated. Nothing is accepted."""
        self._failure = self._failure or failure
        self._discard()
        return self._failure

    def _add_items(self, items: list[ItemInput]) -> None:
        if self._reader.errors:
            # Later errors are still collected, but no more items are stored.
            return
        for item in items:
            self._chunk.append(item)
            self._chunk_bytes += len(item.body)
            if len(self._chunk) >= CHUNK_ITEMS or self._chunk_bytes >= CHUNK_BYTES:
                self._flush()

    def _flush(self) -> None:
        if self._failure is not None or not self._chunk:
            return
        items, first = self._chunk, self._sent
        self._chunk, self._chunk_bytes = [], 0
        self._sent += len(items)
        self._digest = items_hash(self._digest, items)
        if self._job is None:
            self._open()
        job = self._job
        # A retry does not send stored chunks again, nor items of an accepted job: their digest is
        # compared when the upload ends.
        if job is None or job.state != JobState.OPEN or self._sent <= job.received:
            return
        reply = self._directory.control.propose(
            self._group, AppendItems(job.spec.job_id, first, items), JobView, UPLOAD_TIMEOUT_S
        )
        if isinstance(reply, Failure):
            self._failure = _mark_not_run(reply)
        else:
            self._job = reply

    def _open(self) -> None:
        terms = self._terms
        job_id = self._directory.new_job_id(terms.tenant, terms.idempotency_key)
        spec = JobSpec(
            job_id=job_id,
            tenant=terms.tenant,
            idempotency_key=terms.idempotency_key,
            content_hash="",
            service=self._reader.service,
            batch_class=terms.batch_class,
            item_count=0,
            may_repeat=terms.may_repeat,
            deadline_ms=terms.deadline_ms,
        )
        self._group = job_id.rpartition(".")[0]
        opened = self._directory.control.propose(
            self._group, OpenJob(spec), OpenedJob, UPLOAD_TIMEOUT_S
        )
        if isinstance(opened, Failure):
            self._failure = _mark_not_run(opened)
        else:
            self._job = opened.job

    def _accept_or_seal(self) -> JobView | Failure:
        assert self._job is not None, "finish refuses an upload without items"
        job_id = self._job.spec.job_id
        command: AcceptJob | SealJob = SealJob(job_id, self._sent, self._digest)
        if self._terms.accept:
            command = AcceptJob(
                job_id,
                self._sent,
                self._digest,
                weight_milli=self._terms.weight_milli,
                retention_ms=self._terms.retention_ms,
            )
        return self._directory.control.propose(self._group, command, JobView, UPLOAD_TIMEOUT_S)

    def _discard(self) -> None:
        """Delete the stored items of a refused upload.

        An upload with an idempotency key that failed for another reason, such as a lost quorum, is
        kept: a retry continues from the items stored so far. If there is no retry, the upload is
        deleted at its deadline.
        """
        if self._job is None or self._job.state != JobState.OPEN:
            return
        refused = self._reader.errors or not self._terms.idempotency_key
        if refused:
            self._directory.control.propose(
                self._group, DiscardJob(self._job.spec.job_id), Discarded
            )


def _mark_not_run(failure: Failure) -> Failure:
    """Mark a failure as not run, even when it is unknown whether the last chunk was committed.

    No item of a job runs before the job is accepted.
    """
    return msgspec.structs.replace(failure, execution=Execution.NOT_RUN)


def _empty_input() -> Failure:
    return Failure(
        kind=FailureKind.BAD_REQUEST,
        reason="nothing was accepted: the input has no lines; send one JSON object per line",
        step=Step.PARSING,
        execution=Execution.NOT_RUN,
    )
