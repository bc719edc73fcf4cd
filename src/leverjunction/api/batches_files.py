"""Files API, ``/v1/files``: input files of batches, and batch output as files.

An uploaded file is stored as a job that is not accepted yet and whose items are committed. Creating
the batch accepts that job. A file therefore yields at most one batch and needs no separate storage.
It is deleted after one day when no batch was created from it.
"""

from __future__ import annotations

from collections.abc import Iterator

import cherrypy
from cherrypy._cpreqbody import Part

from leverjunction.api.auth import authenticate
from leverjunction.api.batches_lines import LineReader
from leverjunction.api.batches_schemas import (
    FILE_PREFIX,
    OUTPUT_FILE_PREFIX,
    DeletedFile,
    file_object,
    output_line,
)
from leverjunction.api.batches_support import (
    BatchContext,
    bad_request,
    failure_response,
    idempotency_key,
    incomplete_body,
    json_response,
    method_not_allowed,
)
from leverjunction.api.batches_terms import may_repeat
from leverjunction.api.batches_upload import JobUpload, UploadTerms
from leverjunction.batch.commands import (
    Discarded,
    DiscardJob,
    GetResults,
    JobView,
    ResultLine,
    ResultPage,
)
from leverjunction.errors import Failure

FILE_RETENTION_MS = 24 * 3600 * 1000
PAGE_LINES = 500
QUERY_TIMEOUT_S = 20.0
INPUT_FILENAME = "input.jsonl"
OUTPUT_FILENAME = "output.jsonl"


class ResultsUnavailableError(Exception):
    """A page of an output file could not be read after the response headers were sent.

    Raising it aborts the connection, so that the caller can't mistake a truncated file for a
    complete one.
    """


class FilesHandler:
    """Handler of ``/v1/files``. CherryPy calls it from its worker threads."""

    _cp_config = {"request.process_request_body": False, "response.stream": True}

    def __init__(self, context: BatchContext) -> None:
        self._context = context

    @cherrypy.expose
    def default(self, *path: str, **_query: str) -> bytes | Iterator[bytes]:
        """Dispatch a request at or below ``/v1/files`` by its method and path."""
        tenant = authenticate(cherrypy.request, self._context.settings())
        if isinstance(tenant, Failure):
            return failure_response(tenant)
        match (cherrypy.request.method, path):
            case ("POST", ()):
                return self._context.upload(lambda: self._upload(tenant))
            case ("GET" | "HEAD", (file_id,)):
                return self._show(tenant, file_id)
            case ("GET", (file_id, "content")):
                return self._content(tenant, file_id)
            case ("DELETE", (file_id,)):
                return self._delete(tenant, file_id)
        return method_not_allowed()

    def _upload(self, tenant: str) -> bytes:
        """Store the ``file`` part of a multipart form, streaming it into a ``JobUpload``."""
        upload = self._new_upload(tenant)
        filenames: list[str] = []

        class UploadPart(Part):
            """Part of the form, whose file content CherryPy writes into the upload."""

            def make_file(self) -> JobUpload:
                filenames.append(str(self.filename))
                return upload

        body = cherrypy.request.body
        body.part_class = UploadPart
        try:
            body.process()
        except (EOFError, OSError, ValueError) as error:
            failure = self._context.incomplete_upload(incomplete_body(f"in the form ({error})"))
            return failure_response(upload.abandon(failure))
        if not filenames:
            return failure_response(
                bad_request("the form has no file; send multipart/form-data with a 'file' part")
            )
        job = upload.finish()
        if isinstance(job, Failure):
            return failure_response(job)
        file_id = FILE_PREFIX + job.spec.job_id
        return json_response(file_object(job, file_id, filenames[0], upload.received_bytes))

    def _new_upload(self, tenant: str) -> JobUpload:
        key = idempotency_key()
        terms = UploadTerms(
            tenant=tenant,
            idempotency_key=f"file:{key}" if key else "",
            batch_class="",
            may_repeat=may_repeat(),
            deadline_ms=self._context.clock.wall_ms() + FILE_RETENTION_MS,
            accept=False,
        )
        limit = self._context.settings().limits(tenant).max_job_items
        reader = LineReader(self._context.service_lookup(tenant), limit)
        return JobUpload(self._context.directory, reader, terms)

    def _show(self, tenant: str, file_id: str) -> bytes:
        job = self._find(tenant, file_id)
        if isinstance(job, Failure):
            return failure_response(job)
        is_output = file_id.startswith(OUTPUT_FILE_PREFIX)
        name = OUTPUT_FILENAME if is_output else INPUT_FILENAME
        return json_response(file_object(job, file_id, name, 0))

    def _delete(self, tenant: str, file_id: str) -> bytes:
        job = self._find(tenant, file_id)
        if isinstance(job, Failure):
            return failure_response(job)
        job_id = job.spec.job_id
        reply = self._context.directory.control.propose(
            job_id.rpartition(".")[0], DiscardJob(job_id), Discarded
        )
        if isinstance(reply, Failure):
            return failure_response(reply)
        return json_response(DeletedFile(id=file_id, object="file", deleted=reply.dropped))

    def _content(self, tenant: str, file_id: str) -> bytes | Iterator[bytes]:
        """Stream the results that are final at the time of the request, page by page."""
        if not file_id.startswith(OUTPUT_FILE_PREFIX):
            return failure_response(
                bad_request("only output files can be downloaded; input files are not kept")
            )
        job = self._find(tenant, file_id)
        if isinstance(job, Failure):
            return failure_response(job)
        first = self._fetch_page(job.spec.job_id, 0)
        if isinstance(first, Failure):
            return failure_response(first)
        cherrypy.response.headers["Content-Type"] = "application/jsonl"
        return self._stream_lines(job, first)

    def _stream_lines(self, job: JobView, page: ResultPage) -> Iterator[bytes]:
        job_id = job.spec.job_id
        while page.lines:
            yield _encode_lines(job_id, page.lines)
            next_page = self._fetch_page(job_id, page.next_cursor)
            if isinstance(next_page, Failure):
                raise ResultsUnavailableError(next_page.reason)
            page = next_page

    def _fetch_page(self, job_id: str, after: int) -> ResultPage | Failure:
        return self._context.directory.control.query(
            job_id.rpartition(".")[0],
            GetResults(job_id, after, PAGE_LINES),
            ResultPage,
            QUERY_TIMEOUT_S,
        )

    def _find(self, tenant: str, file_id: str) -> JobView | Failure:
        prefix = OUTPUT_FILE_PREFIX if file_id.startswith(OUTPUT_FILE_PREFIX) else FILE_PREFIX
        return self._context.directory.find(tenant, file_id.removeprefix(prefix))


def _encode_lines(job_id: str, lines: list[ResultLine]) -> bytes:
    return b"".join(output_line(job_id, line) for line in lines)
