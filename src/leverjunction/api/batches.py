"""Batch API for callers: OpenAI's files and batches, and batches created without a file.

``BatchApi`` holds two CherryPy handlers: mount ``.batches`` at ``/v1/batches`` and ``.files`` at
``/v1/files``. Uploaded items are read as a stream and never held in memory as a whole.
"""

from __future__ import annotations

import random as random_module
from collections.abc import Callable, Iterator

import cherrypy
import msgspec

from leverjunction.api.auth import authenticate
from leverjunction.api.batches_files import FilesHandler
from leverjunction.api.batches_lines import LineReader
from leverjunction.api.batches_schemas import (
    BATCH_PREFIX,
    FILE_PREFIX,
    batch_list,
    batch_object,
    output_line,
)
from leverjunction.api.batches_support import (
    BatchContext,
    bad_request,
    drain_body,
    failure_response,
    idempotency_key,
    json_response,
    method_not_allowed,
    read_body,
    request_id,
)
from leverjunction.api.batches_terms import job_terms, may_repeat
from leverjunction.api.batches_upload import JobUpload, UploadTerms
from leverjunction.batch.commands import (
    AcceptJob,
    CancelJob,
    Claim,
    ClaimRequest,
    GetResults,
    JobView,
    ResultPage,
)
from leverjunction.batch.directory import GroupClient, JobDirectory
from leverjunction.clock import Clock
from leverjunction.errors import Execution, Failure, FailureKind, Step
from leverjunction.gateway.inflight import InflightRequests
from leverjunction.settings.resolved import ResolvedSettings
from leverjunction.wire.codec import decode

MAX_CREATE_BYTES = 65_536
MAX_LISTED = 100
DEFAULT_LISTED = 20
DEFAULT_PAGE_LINES = 1_000
MAX_CURSOR = (1 << 62) - 1
JSON_TYPE = "application/json"


class _CreateBatch(msgspec.Struct):
    """Body of ``POST /v1/batches``, as OpenAI defines it."""

    input_file_id: str
    endpoint: str = ""
    completion_window: str = ""
    metadata: dict[str, str] | None = None


class BatchApi:
    """Handlers of the batch API, for the gateway's CherryPy application.

    Args:
        control: Client of the replicated groups that store the jobs.
        settings: Returns the resolved settings that are in force.
        clock: Source of the current time.
        random: Generator of job ids and request ids.
        groups: Returns the names of the job groups.
        uploads: Counts the requests whose bodies are jobs, so that a planned stop waits for them.
    """

    def __init__(
        self,
        control: GroupClient,
        settings: Callable[[], ResolvedSettings],
        clock: Clock,
        random: random_module.Random,
        groups: Callable[[], list[str]],
        uploads: InflightRequests,
    ) -> None:
        context = BatchContext(
            directory=JobDirectory(control, groups, random),
            settings=settings,
            clock=clock,
            random=random,
            uploads=uploads,
        )
        self.batches = BatchesHandler(context)
        self.files = FilesHandler(context)


class BatchesHandler:
    """Handler of ``/v1/batches``. CherryPy calls it from its worker threads."""

    _cp_config = {"request.process_request_body": False, "response.stream": True}

    def __init__(self, context: BatchContext) -> None:
        self._context = context

    @cherrypy.expose
    def default(self, *path: str, **query: str) -> bytes | Iterator[bytes]:
        """Dispatch a request at or below ``/v1/batches`` by its method and path."""
        tenant = authenticate(cherrypy.request, self._context.settings())
        if isinstance(tenant, Failure):
            return failure_response(tenant)
        match (cherrypy.request.method, path):
            case ("POST", ()):
                return self._context.upload(lambda: self._create(tenant, query))
            case ("GET" | "HEAD", ()):
                return self._list(tenant, query)
            case ("GET" | "HEAD", (batch_id,)):
                return self._show(tenant, batch_id)
            case ("POST", (batch_id, "cancel")):
                return self._cancel(tenant, batch_id)
            case ("GET", (batch_id, "results")):
                return self._results(tenant, batch_id, query)
        return method_not_allowed()

    def _create(self, tenant: str, query: dict[str, str]) -> bytes:
        content_type = cherrypy.request.headers.get("Content-Type", "").partition(";")[0].strip()
        if content_type == JSON_TYPE:
            return self._create_from_file(tenant)
        return self._create_from_body(tenant, query)

    def _create_from_file(self, tenant: str) -> bytes:
        """Create a batch from an uploaded file, by accepting the job that holds its items."""
        body = cherrypy.request.rfile.read(MAX_CREATE_BYTES)
        create = decode(body, _CreateBatch)
        if isinstance(create, Failure):
            reason = (
                f"{create.reason}; send a JSON object with input_file_id, or JSON lines as "
                "application/jsonl"
            )
            return failure_response(bad_request(reason))
        job_id = create.input_file_id.removeprefix(FILE_PREFIX)
        job = self._context.directory.find(tenant, job_id)
        if isinstance(job, Failure):
            return failure_response(job)
        refusal = self._claim_key(tenant, create.input_file_id)
        if refusal is not None:
            return failure_response(refusal)
        batch_class = (create.metadata or {}).get("batch_class", "")
        window = "" if batch_class else create.completion_window
        resolved_terms = job_terms(self._context, batch_class, window)
        if isinstance(resolved_terms, Failure):
            return failure_response(resolved_terms)
        # None keeps the setting that the file was uploaded with.
        repeat = None if may_repeat() else False
        command = AcceptJob(
            job_id,
            batch_class=batch_class,
            deadline_ms=resolved_terms.deadline_ms,
            may_repeat=repeat,
            weight_milli=resolved_terms.weight_milli,
            retention_ms=resolved_terms.retention_ms,
        )
        return self._propose(job, command)

    def _claim_key(self, tenant: str, file_id: str) -> Failure | None:
        """Bind the request's idempotency key to a file.

        Returns:
            None when the request has no key, or when the key is bound to this file. A Failure of
            kind KEY_REUSED when the key is bound to another file. Any Failure of the claim itself.
        """
        key = idempotency_key()
        if not key:
            return None
        claim_key = f"batch-of-file:{key}"
        directory = self._context.directory
        group = directory.group_of_key(tenant, claim_key)
        command = ClaimRequest(tenant, claim_key, file_id, "", request_id(self._context.random))
        claim = directory.control.propose(group, command, Claim)
        if isinstance(claim, Failure):
            return claim
        if claim.content_hash == file_id:
            return None
        return Failure(
            kind=FailureKind.KEY_REUSED,
            reason=(
                f"idempotency key {key!r} was used for a batch of {claim.content_hash}; "
                "use a new key"
            ),
            step=Step.CLAIMING,
            execution=Execution.NOT_RUN,
        )

    def _create_from_body(self, tenant: str, query: dict[str, str]) -> bytes:
        """Create a batch whose JSON lines are the body of this request."""
        headers = cherrypy.request.headers
        batch_class = query.get("batch_class", "") or headers.get("X-Batch-Class", "")
        window = query.get("completion_window", "")
        resolved_terms = job_terms(self._context, batch_class, window)
        if isinstance(resolved_terms, Failure):
            drain_body()
            return failure_response(resolved_terms)
        key = idempotency_key()
        terms = UploadTerms(
            tenant=tenant,
            idempotency_key=f"batch:{key}" if key else "",
            batch_class=batch_class,
            may_repeat=may_repeat(),
            deadline_ms=resolved_terms.deadline_ms,
            accept=True,
            weight_milli=resolved_terms.weight_milli,
            retention_ms=resolved_terms.retention_ms,
        )
        settings = self._context.settings()
        reader = LineReader(
            self._context.service_lookup(tenant), settings.limits(tenant).max_job_items
        )
        upload = JobUpload(self._context.directory, reader, terms)
        body_failure = read_body(upload.write)
        if body_failure is None:
            job = upload.finish()
        else:
            job = upload.abandon(self._context.incomplete_upload(body_failure))
        return (
            failure_response(job) if isinstance(job, Failure) else json_response(batch_object(job))
        )

    def _list(self, tenant: str, query: dict[str, str]) -> bytes:
        """Return a page of the tenant's batches; ``after`` is the last id of the previous page."""
        limit = _parse_number("limit", query, DEFAULT_LISTED, 1, MAX_LISTED)
        if isinstance(limit, Failure):
            return failure_response(limit)
        after = query.get("after", "")
        before = self._find(tenant, after) if after else None
        if isinstance(before, Failure):
            return failure_response(before)
        # One job more than the page holds shows whether another page follows.
        jobs = self._context.directory.list_accepted(tenant, limit + 1, before)
        if isinstance(jobs, Failure):
            return failure_response(jobs)
        return json_response(batch_list(jobs[:limit], has_more=len(jobs) > limit))

    def _show(self, tenant: str, batch_id: str) -> bytes:
        job = self._find(tenant, batch_id)
        return (
            failure_response(job) if isinstance(job, Failure) else json_response(batch_object(job))
        )

    def _cancel(self, tenant: str, batch_id: str) -> bytes:
        job = self._find(tenant, batch_id)
        if isinstance(job, Failure):
            return failure_response(job)
        return self._propose(job, CancelJob(job.spec.job_id))

    def _propose(self, job: JobView, command: AcceptJob | CancelJob) -> bytes:
        group = job.spec.job_id.rpartition(".")[0]
        changed = self._context.directory.control.propose(group, command, JobView)
        return (
            failure_response(changed)
            if isinstance(changed, Failure)
            else json_response(batch_object(changed))
        )

    def _results(self, tenant: str, batch_id: str, query: dict[str, str]) -> bytes:
        """Return a page of results; ``X-Next-Cursor`` is the ``after`` of the next page."""
        job = self._find(tenant, batch_id)
        if isinstance(job, Failure):
            return failure_response(job)
        after = _parse_number("after", query, 0, 0, MAX_CURSOR)
        if isinstance(after, Failure):
            return failure_response(after)
        limit = _parse_number("limit", query, DEFAULT_PAGE_LINES, 1, DEFAULT_PAGE_LINES)
        if isinstance(limit, Failure):
            return failure_response(limit)
        job_id = job.spec.job_id
        page = self._context.directory.control.query(
            job_id.rpartition(".")[0], GetResults(job_id, after, limit), ResultPage
        )
        if isinstance(page, Failure):
            return failure_response(page)
        headers = cherrypy.response.headers
        headers["Content-Type"] = "application/jsonl"
        headers["X-Next-Cursor"] = str(page.next_cursor)
        headers["X-Complete"] = "true" if page.complete else "false"
        body = b"".join(output_line(job_id, line) for line in page.lines)
        headers["Content-Length"] = str(len(body))
        return body

    def _find(self, tenant: str, batch_id: str) -> JobView | Failure:
        return self._context.directory.find(tenant, batch_id.removeprefix(BATCH_PREFIX))


def _parse_number(
    name: str, query: dict[str, str], default: int, minimum: int, maximum: int
) -> int | Failure:
    """Return a numeric query parameter, or its default when the parameter is absent."""
    text = query.get(name)
    if text is None:
        return default
    if text.isdecimal() and text.isascii() and minimum <= int(text) <= maximum:
        return int(text)
    return bad_request(f"{name}: expected a whole number from {minimum} to {maximum}, got {text!r}")
