"""Upload of a job as a stream: items are committed in chunks while the body is still arriving.

The gateway holds one chunk in memory. Nothing runs before the job is accepted, so an upload that
breaks off, or that has a bad line, leaves nothing behind but an open job, which is discarded.
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
"""How long one chunk may take to commit, a leader change included."""


class UploadTerms(msgspec.Struct, frozen=True, kw_only=True):
    """What an upload asks for besides its items.

    Attributes:
        tenant: Owner.
        idempotency_key: Key that a resend carries too; empty for none.
        batch_class: Batch class in the settings.
        may_repeat: Whether items may run more than once.
        deadline_ms: Wall-clock time after which pending items expire.
        accept: True to accept the job at the end, False to leave it as a sealed file.
        weight_milli: Thousandths of the class's weight.
        retention_ms: How long results are kept after the job's end.
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
    """One upload, used by the thread that reads the body: ``write`` pieces, then ``finish``.

    It has a file's ``write`` and ``seek`` because the multipart reader writes the file's part into
    it as into a temporary file, and rewinds it at the end.
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
        """Take the next piece of the body. After a failure the rest is read and dropped."""
        self.received_bytes += len(data)
        if self._failure is None:
            self._take(self._reader.feed(data))
        return len(data)

    def seek(self, position: int) -> int:
        """Do nothing: what was written is committed already."""
        return position

    def finish(self) -> JobView | Failure:
        """End the upload: the whole job is accepted (or sealed), or nothing is."""
        if self._failure is None:
            self._take(self._reader.finish())
        if self._failure is None:
            self._failure = self._reader.failure()
        if self._failure is None:
            self._flush()
        if self._failure is None and self._job is None:
            self._failure = _empty()
        if self._failure is not None:
            self._discard()
            return self._failure
        return self._conclude()

    def abandon(self, failure: Failure) -> Failure:
        """End an upload whose body broke off: nothing is accepted."""
        self._failure = self._failure or failure
        self._discard()
        return self._failure

    def _take(self, items: list[ItemInput]) -> None:
        if self._reader.errors:
            # Errors are still collected, but nothing more is stored.
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
        # A resend of a job that was accepted, or of a chunk that is stored, only compares hashes.
        if job is None or job.state != JobState.OPEN or self._sent <= job.received:
            return
        reply = self._directory.control.propose(
            self._group, AppendItems(job.spec.job_id, first, items), JobView, UPLOAD_TIMEOUT_S
        )
        if isinstance(reply, Failure):
            self._failure = _nothing_ran(reply)
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
            self._failure = _nothing_ran(opened)
        else:
            self._job = opened.job

    def _conclude(self) -> JobView | Failure:
        assert self._job is not None, "an upload without items was refused"
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
        """Drop what was stored of a refused upload.

        An upload under a key that failed for want of a quorum stays: its resend goes on from
        there. What nobody resends is deleted at its deadline.
        """
        if self._job is None or self._job.state != JobState.OPEN:
            return
        refused = self._reader.errors or not self._terms.idempotency_key
        if refused:
            self._directory.control.propose(
                self._group, DiscardJob(self._job.spec.job_id), Discarded
            )


def _nothing_ran(failure: Failure) -> Failure:
    """A job that was not accepted has run nothing, whatever became of its last chunk."""
    return msgspec.structs.replace(failure, execution=Execution.NOT_RUN)


def _empty() -> Failure:
    return Failure(
        kind=FailureKind.BAD_REQUEST,
        reason="nothing was accepted: the input has no lines; send one JSON object a line",
        step=Step.PARSING,
    )
