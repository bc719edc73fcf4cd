"""Schemas of batches, files and result lines: OpenAI's fields, and fields of leverjunction."""

from __future__ import annotations

import msgspec

from leverjunction.batch.commands import ItemState, JobState, JobView, ResultLine
from leverjunction.wire.codec import encode

BATCH_PREFIX = "batch_"
FILE_PREFIX = "file-"
OUTPUT_FILE_PREFIX = "file-output-"

_STATUS = {
    JobState.OPEN: "validating",
    JobState.ACCEPTED: "in_progress",
    JobState.COMPLETED: "completed",
    JobState.CANCELLED: "cancelled",
    JobState.EXPIRED: "expired",
}

_ERROR_MESSAGE = {
    ItemState.FAILED: "the request failed permanently; see the response for the reason",
    ItemState.UNKNOWN: "the request may have run and must not be repeated",
    ItemState.CANCELLED: "the batch was cancelled before the request finished",
    ItemState.EXPIRED: "the batch reached its deadline before the request started",
}


class RequestCounts(msgspec.Struct, frozen=True, kw_only=True):
    """Item counts of a job: OpenAI's total, completed and failed, and counts by state."""

    total: int
    completed: int
    failed: int
    pending: int
    running: int
    unknown: int
    cancelled: int
    expired: int
    discarded: int


class BatchObject(msgspec.Struct, frozen=True, kw_only=True):
    """Batch as returned to callers; times are in Unix seconds."""

    id: str
    object: str
    endpoint: str | None
    errors: None
    input_file_id: str
    completion_window: str
    status: str
    output_file_id: str | None
    error_file_id: None
    created_at: int
    in_progress_at: int | None
    expires_at: int
    completed_at: int | None
    cancelled_at: int | None
    expired_at: int | None
    request_counts: RequestCounts
    metadata: dict[str, str]
    service: str
    may_repeat: bool
    results_expire_at: int | None


class BatchList(msgspec.Struct, frozen=True, kw_only=True):
    """Page of a list of batches, as OpenAI defines it."""

    object: str
    data: list[BatchObject]
    first_id: str | None
    last_id: str | None
    has_more: bool


class FileObject(msgspec.Struct, frozen=True, kw_only=True):
    """Metadata of an uploaded input file or of the output file of a batch."""

    id: str
    object: str
    bytes: int
    created_at: int
    filename: str
    purpose: str
    status: str


class DeletedFile(msgspec.Struct, frozen=True, kw_only=True):
    """Response to the deletion of a file."""

    id: str
    object: str
    deleted: bool


class _Response(msgspec.Struct, frozen=True, kw_only=True):
    status_code: int
    request_id: str
    body: msgspec.Raw


class _LineFailure(msgspec.Struct, frozen=True, kw_only=True):
    code: str
    message: str


class _OutputLine(msgspec.Struct, frozen=True, kw_only=True):
    id: str
    custom_id: str
    response: _Response | None
    error: _LineFailure | None


def batch_object(job: JobView) -> BatchObject:
    """Convert a job to an OpenAI batch object."""
    spec = job.spec
    is_final = job.finished_ms > 0
    has_results = is_final and not job.removed_ms
    finished_at = {job.state: job.finished_ms // 1000} if is_final else {}
    window_s = max(0, spec.deadline_ms - job.created_ms) // 1000
    return BatchObject(
        id=BATCH_PREFIX + spec.job_id,
        object="batch",
        endpoint=None,
        errors=None,
        input_file_id=FILE_PREFIX + spec.job_id,
        completion_window=f"{window_s}s",
        status=_STATUS[job.state],
        output_file_id=OUTPUT_FILE_PREFIX + spec.job_id if has_results else None,
        error_file_id=None,
        created_at=job.created_ms // 1000,
        in_progress_at=None if job.state == JobState.OPEN else job.created_ms // 1000,
        expires_at=spec.deadline_ms // 1000,
        completed_at=finished_at.get(JobState.COMPLETED),
        cancelled_at=finished_at.get(JobState.CANCELLED),
        expired_at=finished_at.get(JobState.EXPIRED),
        request_counts=_request_counts(job),
        metadata={"batch_class": spec.batch_class},
        service=spec.service,
        may_repeat=spec.may_repeat,
        results_expire_at=job.keep_until_ms // 1000 if is_final else None,
    )


def batch_list(jobs: list[JobView], has_more: bool) -> BatchList:
    """Convert a page of jobs to an OpenAI list of batches."""
    batches = [batch_object(job) for job in jobs]
    return BatchList(
        object="list",
        data=batches,
        first_id=batches[0].id if batches else None,
        last_id=batches[-1].id if batches else None,
        has_more=has_more,
    )


def file_object(job: JobView, file_id: str, filename: str, size_bytes: int) -> FileObject:
    """Return the OpenAI file object of a job's input or output."""
    is_output = file_id.startswith(OUTPUT_FILE_PREFIX)
    return FileObject(
        id=file_id,
        object="file",
        bytes=size_bytes,
        created_at=job.created_ms // 1000,
        filename=filename,
        purpose="batch_output" if is_output else "batch",
        status="processed",
    )


def output_line(job_id: str, line: ResultLine) -> bytes:
    """Return a result as a line of an OpenAI batch output file, including the newline."""
    response = None
    if line.status_code:
        response = _Response(
            status_code=line.status_code,
            request_id=f"{job_id}-{line.index}",
            body=_json_or_text(line.body),
        )
    error = None
    if line.state != ItemState.DONE:
        error = _LineFailure(code=line.state.value, message=_ERROR_MESSAGE[line.state])
    output = _OutputLine(
        id=f"batch_req_{job_id}-{line.index}",
        custom_id=line.custom_id,
        response=response,
        error=error,
    )
    return encode(output) + b"\n"


def _json_or_text(body: str) -> msgspec.Raw:
    """Return a body as raw JSON, or as a JSON string when it is not valid JSON."""
    try:
        msgspec.json.decode(body)
    except msgspec.DecodeError:
        return msgspec.Raw(encode(body))
    return msgspec.Raw(body.encode().replace(b"\n", b" "))


def _request_counts(job: JobView) -> RequestCounts:
    return RequestCounts(
        total=job.spec.item_count or job.received,
        completed=job.done,
        failed=job.failed + job.unknown + job.expired,
        pending=job.pending,
        running=job.leased,
        unknown=job.unknown,
        cancelled=job.cancelled,
        expired=job.expired,
        discarded=job.discarded,
    )
