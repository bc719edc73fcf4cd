"""``/v1/files``: input files of batches, and their output as files.

An uploaded file is an open job whose items are committed; creating the batch accepts it. So a file
makes one batch, needs no store of its own, and is deleted after a day when none was created.
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
    answer_json,
    bad_request,
    broken_body,
    fail,
    idempotency_key,
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
    """A page of an output file could not be read after its head was sent.

    Raising it breaks the connection, so that the caller never takes a part for the whole.
    """


class FilesHandler:
    """``/v1/files``: called by CherryPy's worker threads."""

    _cp_config = {"request.process_request_body": False, "response.stream": True}

    def __init__(self, context: BatchContext) -> None:
        self._context = context

    @cherrypy.expose
    def default(self, *path: str, **_query: str) -> bytes | Iterator[bytes]:
        """Serve one call below ``/v1/files``."""
        tenant = authenticate(cherrypy.request, self._context.settings())
        if isinstance(tenant, Failure):
            return fail(tenant)
        match (cherrypy.request.method, path):
            case ("POST", ()):
                return self._upload(tenant)
            case ("GET" | "HEAD", (file_id,)):
                return self._show(tenant, file_id)
            case ("GET", (file_id, "content")):
                return self._content(tenant, file_id)
            case ("DELETE", (file_id,)):
                return self._delete(tenant, file_id)
        return method_not_allowed()

    def _upload(self, tenant: str) -> bytes:
        """Store the ``file`` part of a multipart form; the part streams into the upload."""
        upload = self._new_upload(tenant)
        filenames: list[str] = []

        class UploadPart(Part):
            """A part of the form; CherryPy writes the file's bytes into the upload."""

            def make_file(self) -> JobUpload:
                filenames.append(str(self.filename))
                return upload

        body = cherrypy.request.body
        body.part_class = UploadPart
        try:
            body.process()
        except (EOFError, OSError, ValueError) as error:
            return fail(upload.abandon(broken_body(f"in the form ({error})")))
        if not filenames:
            return fail(bad_request("no file in the form; send multipart/form-data with 'file'"))
        job = upload.finish()
        if isinstance(job, Failure):
            return fail(job)
        file_id = FILE_PREFIX + job.spec.job_id
        return answer_json(file_object(job, file_id, filenames[0], upload.received_bytes))

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
            return fail(job)
        is_output = file_id.startswith(OUTPUT_FILE_PREFIX)
        name = OUTPUT_FILENAME if is_output else INPUT_FILENAME
        return answer_json(file_object(job, file_id, name, 0))

    def _delete(self, tenant: str, file_id: str) -> bytes:
        job = self._find(tenant, file_id)
        if isinstance(job, Failure):
            return fail(job)
        job_id = job.spec.job_id
        reply = self._context.directory.control.propose(
            job_id.rpartition(".")[0], DiscardJob(job_id), Discarded
        )
        if isinstance(reply, Failure):
            return fail(reply)
        return answer_json(DeletedFile(id=file_id, object="file", deleted=reply.dropped))

    def _content(self, tenant: str, file_id: str) -> bytes | Iterator[bytes]:
        """Stream the results that are final by now, page by page."""
        if not file_id.startswith(OUTPUT_FILE_PREFIX):
            return fail(bad_request("only output files can be read; input files are not kept"))
        job = self._find(tenant, file_id)
        if isinstance(job, Failure):
            return fail(job)
        first = self._page(job.spec.job_id, 0)
        if isinstance(first, Failure):
            return fail(first)
        cherrypy.response.headers["Content-Type"] = "application/jsonl"
        return self._stream(job, first)

    def _stream(self, job: JobView, page: ResultPage) -> Iterator[bytes]:
        job_id = job.spec.job_id
        while page.lines:
            yield _encode_lines(job_id, page.lines)
            following = self._page(job_id, page.next_cursor)
            if isinstance(following, Failure):
                raise ResultsUnavailableError(following.reason)
            page = following

    def _page(self, job_id: str, after: int) -> ResultPage | Failure:
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
